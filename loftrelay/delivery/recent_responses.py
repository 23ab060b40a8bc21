"""Recent responses on a connection, which may turn out to belong to other calls. Does no input or output.

A duplicate response shifts all later ones on its connection: each call receives the response to the call
before it, until the last true one arrives unsolicited. Which call received the first wrong response is
unknown, but the true result of each is among the next responses.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import islice

from loftrelay.decisions.events import AttemptStatus
from loftrelay.relay.message import Message

MAX_RECENT_RESPONSES = 32  # per connection
MAX_DISPUTED_REJECTIONS = 8  # per connection
MAX_SHIFT = 4  # responses after its own among which the true result of a call is expected
MAX_RETAINED_BODY_BYTES = 2 << 20  # of delivered messages on all connections; the oldest are dropped first
REPORT_MARGIN_US = 300_000  # from the deadline of a message until the report of its final status is due


@dataclass(slots=True, eq=False)
class RecentResponse:
    """The result of a message, read from a response on a connection that had carried calls before.

    Attributes:
        message: The message; without its body if it was not delivered, or if too many bytes are retained.
        status: The result.
        sent_at: When the request was written; wall clock, microseconds.
        written_at: The same on the clock of the event loop.
        has_body: Whether the message can be sent again.
        is_suspicious: Whether it came too early, or its host sends duplicates.
        is_disputed: Whether an unsolicited response, or the end of the connection, has cast doubt on it.
        is_settled: Whether no later response is likely to cast doubt on it.
        is_proven: Whether none can: its true result is known.
    """

    message: Message
    status: AttemptStatus
    sent_at: int
    written_at: int = 0
    has_body: bool = False
    is_suspicious: bool = False
    is_disputed: bool = False
    is_settled: bool = False
    is_proven: bool = False

    @property
    def is_undisputed_delivery(self) -> bool:
        """Whether the message counts as delivered."""
        return self.status is AttemptStatus.OK and not self.is_disputed

    def can_be_reported(self, now: int) -> bool:
        """Whether the message could still be delivered, or its final status reported, in time."""
        return now < self.message.deadline + REPORT_MARGIN_US


class RetainedBodies:
    """Bodies of delivered messages on all connections, within MAX_RETAINED_BODY_BYTES."""

    def __init__(self) -> None:
        self.total_bytes = 0
        self._responses: OrderedDict[RecentResponse, None] = OrderedDict()

    def add(self, response: RecentResponse) -> None:
        """Retains the body of a message; drops the oldest ones if there are too many bytes."""
        response.has_body = True
        self._responses[response] = None
        self.total_bytes += len(response.message.body)
        while self.total_bytes > MAX_RETAINED_BODY_BYTES:
            self.drop(next(iter(self._responses)))

    def drop(self, response: RecentResponse) -> None:
        """Drops the body of a message, if it is retained."""
        if response.has_body:
            response.has_body = False
            del self._responses[response]
            self.total_bytes -= len(response.message.body)
            response.message = replace(response.message, body=b"")


class RecentResponses:
    """Responses on one connection, the latest last.

    A delivery is settled once MAX_SHIFT deliveries follow it, once it is dropped, or by `settle`.

    Args:
        bodies: Retains the bodies of delivered messages.
        on_settled: Called with the id of a message whose delivery is settled.
    """

    def __init__(self, bodies: RetainedBodies, on_settled: Callable[[str], None] = lambda _id: None) -> None:
        self._bodies = bodies
        self._on_settled = on_settled
        self._responses: deque[RecentResponse] = deque()
        self._surplus: list[bool] = []  # whether each unsolicited response is a 200; the latest last

    def __iter__(self) -> Iterator[RecentResponse]:
        return iter(self._responses)

    def add(self, response: RecentResponse, now: int) -> None:
        """Adds a response; drops the oldest ones, and those of messages whose report would be too late."""
        message, status = response.message, response.status
        if status is AttemptStatus.OK:
            self._bodies.add(response)
        else:
            response.message = replace(message, body=b"")
        self._responses.append(response)
        self._settle_proven()
        while len(self._responses) > MAX_RECENT_RESPONSES or not self._responses[0].can_be_reported(now):
            self._drop_oldest()
            if not self._responses:
                return

    def _settle_proven(self) -> None:
        """Settles the delivery whose true result is among the deliveries after it."""
        latest = list(islice(reversed(self._responses), MAX_SHIFT + 1))
        if len(latest) > MAX_SHIFT and all(r.status is AttemptStatus.OK for r in latest):
            latest[-1].is_proven = True
            self._settle(latest[-1])

    def _settle(self, response: RecentResponse) -> None:
        if response.is_undisputed_delivery and not response.is_settled:
            response.is_settled = True
            self._on_settled(response.message.id)

    def _drop_oldest(self) -> None:
        response = self._responses.popleft()
        self._settle(response)
        self._bodies.drop(response)

    @property
    def has_unsettled(self) -> bool:
        """Whether a delivery is neither settled nor disputed."""
        return any(r.is_undisputed_delivery and not r.is_settled for r in self._responses)

    def settle(self) -> None:
        """Settles all deliveries: their true results would mostly have come by now."""
        for response in self._responses:
            self._settle(response)

    def end(self, is_doubtful: Callable[[RecentResponse], bool]) -> list[RecentResponse]:
        """Notes that nothing more comes; returns the deliveries whose true results may be missing."""
        latest = islice(reversed(self._responses), MAX_SHIFT)
        found = [r for r in latest if r.is_undisputed_delivery and not r.is_proven and is_doubtful(r)]
        for response in found:
            response.is_disputed = True
        return found[::-1]

    def has_delivery_since(self, sent_at: int) -> bool:
        """Whether a message was sent at `sent_at` or later, in wall-clock microseconds, and delivered."""
        return any(r.status is AttemptStatus.OK and r.sent_at >= sent_at for r in self._responses)

    def clear(self) -> None:
        """Drops all responses: none of them can be doubted any more."""
        while self._responses:
            self._drop_oldest()

    def disputed(self, is_surplus_ok: bool) -> list[RecentResponse]:
        """Adds an unsolicited response; returns the responses that it casts doubt on, each once.

        These are the rejections among the last MAX_DISPUTED_REJECTIONS, and each delivery that is followed
        by another result within MAX_SHIFT responses, the unsolicited ones included.

        Args:
            is_surplus_ok: Whether the unsolicited response is a 200.
        """
        self._surplus.append(is_surplus_ok)
        deliveries = [response.status is AttemptStatus.OK for response in self._responses]
        is_delivery = deliveries + self._surplus
        first_rejection = len(deliveries) - MAX_DISPUTED_REJECTIONS
        found: list[RecentResponse] = []
        for position, response in enumerate(self._responses):
            following = is_delivery[position + 1 : position + 1 + MAX_SHIFT]
            is_doubtful = not all(following) if is_delivery[position] else position >= first_rejection
            if is_doubtful and not response.is_disputed:
                response.is_disputed = True
                found.append(response)
        return found
