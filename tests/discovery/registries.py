"""Simulated registries and a simulated relay in virtual time, by the rules of docs/slices.md.

They share only the wire codec with the program.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from loftrelay.decisions.events import EndpointEntry, EndpointState
from loftrelay.discovery.subscription import SubscriptionState, Timing
from loftrelay.discovery.subscription_actions import (
    Action,
    CancelCalls,
    Channel,
    DestinationResolved,
    EntriesChanged,
    LogLine,
    ReleaseDestinations,
    Row,
    StartCall,
)
from loftrelay.net.address import Address
from loftrelay.registry.protocol import (
    GONE,
    UNAVAILABLE,
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
    checksum,
    decode_request,
)
from loftrelay.relay.ports import ResolutionStatus

RESPONSE_TIMEOUT_S = 2.2  # beyond a call's own wait
FLEET = "windwacht"
TIMING = Timing()
BROKEN, TOO_LONG = 0, -1  # in place of a status: the connection broke; the response exceeded the limit

Respond = Callable[[SubscriptionResponse | int], None]


@dataclass
class FakeEndpointList:
    """Discovery's list with all its former rows: a moved endpoint is removed from its old destination."""

    revision: int = 1
    rows: dict[tuple[str, int], tuple[Row, int]] = field(default_factory=dict)  # with revision of last change

    def set_endpoint(self, endpoint: str, destination: int, state: EndpointState) -> None:
        self.revision += 1
        for key, (row, _) in list(self.rows.items()):
            if key[0] == endpoint and row[0].state is not EndpointState.REMOVED:
                self.rows[key] = (replace(row[0], state=EndpointState.REMOVED), row[1]), self.revision
        entry = EndpointEntry(endpoint, destination, state, None, None, float(self.revision))
        address = ("10.0.0.1", 1024 + int(endpoint[1:]))
        self.rows[endpoint, destination] = (entry, address), self.revision

    def copy(self) -> FakeEndpointList:
        return FakeEndpointList(self.revision, dict(self.rows))

    def endpoints_of(self, destination: int) -> dict[str, Row]:
        rows = (row for row, _ in self.rows.values())
        return {
            row[0].endpoint: row
            for row in rows
            if row[0].destination == destination and row[0].state is not EndpointState.REMOVED
        }


class FakeRegistry:
    """Registry with a copy of the list from its last `sync`."""

    def __init__(self, address: Address, fleet: str = FLEET) -> None:
        self.address, self.fleet = address, fleet
        self.list: FakeEndpointList | None = None
        self.synced_at = 0.0
        self.subscriptions: dict[str, tuple[set[int], int]] = {}  # destinations and last sequence number
        self.waiting_watches: list[tuple[SubscriptionWatch, Respond]] = []
        self.is_running = True  # False: the process is stopped, and requests stay unread
        self.is_down = False  # connections are refused
        self.unread_requests: list[tuple[str, Respond]] = []
        self.request_targets: list[str] = []
        self.max_response_rows = 1 << 30  # to a change; the relay rejects a longer response

    def sync(self, now: float, endpoint_list: FakeEndpointList) -> None:
        """Receives the list from discovery, unless the process is stopped."""
        if self.is_running:
            self.list, self.synced_at = endpoint_list.copy(), now
            self._recheck_watches(now)

    def _recheck_watches(self, now: float) -> None:
        waiting, self.waiting_watches = self.waiting_watches, []
        for watch, respond in waiting:
            self._handle_watch(now, watch, respond)

    def lose_subscriptions(self) -> None:
        """Loses all subscriptions and breaks the connections, as a restart does."""
        self.subscriptions.clear()
        waiting, self.waiting_watches = self.waiting_watches, []
        for _, respond in waiting:
            respond(BROKEN)

    def resume(self, now: float) -> None:
        """Resumes a stopped process, which reads its unread requests."""
        self.is_running = True
        unread, self.unread_requests = self.unread_requests, []
        for target, respond in unread:
            self.handle_request(now, target, respond)

    def handle_request(self, now: float, target: str, respond: Respond) -> None:
        if not self.is_running:
            self.unread_requests.append((target, respond))
            return
        self.request_targets.append(target)
        call = decode_request(target)
        if self.list is None:
            respond(UNAVAILABLE)
        elif isinstance(call, SubscriptionChange):
            respond(self._handle_change(now, call))
        elif isinstance(call, SubscriptionWatch):
            self._handle_watch(now, call, respond)

    def _handle_change(self, now: float, call: SubscriptionChange) -> SubscriptionResponse | int:
        assert self.list is not None
        destinations, sequence = self.subscriptions.get(call.subscriber, (None, 0))
        if call.is_reset:
            destinations = set()
        if destinations is None or call.sequence <= sequence:
            return GONE
        destinations -= set(call.dropped)
        destinations |= {*call.added, *call.confirmed}
        self.subscriptions[call.subscriber] = destinations, call.sequence
        changed = {
            row[0].destination
            for row, changed_at in self.list.rows.values()
            if changed_at > call.since_revision
        }
        full = [
            *call.added,
            *(
                destination
                for destination in call.confirmed
                if destination in changed or not call.since_revision
            ),
        ]
        full_set = set(full)
        rows = [row for row, _ in self.list.rows.values() if row[0].destination in full_set]
        rows = [row for row in rows if row[0].state is not EndpointState.REMOVED]
        if len(rows) > self.max_response_rows:
            return TOO_LONG
        return self._make_response(now, call.subscriber, full, rows)

    def _handle_watch(self, now: float, watch: SubscriptionWatch, respond: Respond) -> None:
        assert self.list is not None
        if watch.subscriber not in self.subscriptions:
            respond(GONE)
            return
        destinations = self.subscriptions[watch.subscriber][0]
        changed = [
            row
            for row, changed_at in self.list.rows.values()
            if changed_at > watch.since_revision and row[0].destination in destinations
        ]
        if changed or not watch.wait_ms:
            respond(self._make_response(now, watch.subscriber, [], changed))
        else:
            self.waiting_watches.append((watch, respond))

    def expire_watch(self, now: float, respond: Respond) -> None:
        """Ends the watch with this `respond` after its wait, without changes."""
        for watch, waiting_respond in list(self.waiting_watches):
            if waiting_respond is respond and self.is_running:
                self.waiting_watches.remove((watch, waiting_respond))
                if watch.subscriber in self.subscriptions:
                    respond(self._make_response(now, watch.subscriber, [], []))
                else:
                    respond(GONE)

    def _make_response(
        self, now: float, subscriber: str, full: list[int], rows: list[Row]
    ) -> SubscriptionResponse:
        assert self.list is not None
        destinations, sequence = self.subscriptions[subscriber]
        return SubscriptionResponse(
            self.fleet,
            self.list.revision,
            int((now - self.synced_at) * 1000),
            sequence,
            len(destinations),
            checksum(destinations),
            tuple(full),
            rows,
        )


class SimulatedRelay:
    """One SubscriptionState with fake registries, on a virtual clock and a virtual network.

    Attributes:
        endpoints: Published endpoints by destination, as the engine has them.
        resolved: Ended lookups: destination, status and time.
        unreleasable: Destinations that the engine does not release.
        release_candidates: Destinations that the engine was asked to release.
        max_delay: Longest delay of a request or a response, in seconds.
        loss_rate: Fraction of requests and of responses that are lost.
        duplicate_rate: Fraction of responses that arrive twice.
    """

    def __init__(
        self, registries: list[FakeRegistry], timing: Timing = TIMING, seed: int = 1, name: str = "n1"
    ) -> None:
        self.registries = {registry.address: registry for registry in registries}
        self.rng = random.Random(seed)
        self.subscription = SubscriptionState(
            [registry.address for registry in registries], FLEET, name, f"{seed:x}", timing, seed
        )
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.endpoints: dict[int, dict[str, Row]] = {}
        self.resolved: list[tuple[int, ResolutionStatus, float]] = []
        self.unreleasable: set[int] = set()
        self.release_candidates: list[int] = []
        self.log_lines: list[str] = []
        self.calls: list[tuple[float, StartCall]] = []
        self.max_delay = 0.001
        self.loss_rate = self.duplicate_rate = 0.0

    @property
    def current_registry(self) -> FakeRegistry:
        """The registry in use."""
        return self.registries[self.subscription.session.selection.current.address]

    def schedule(self, time: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (max(time, self.now), self.event_count, callback))

    def advance(self, seconds: float) -> None:
        """Advances the clock and runs all events and ticks that become due."""
        end = self.now + seconds
        self.process_actions()
        while True:
            tick_due_at = self.subscription.due_at
            due_at = min(tick_due_at, self.queue[0][0] if self.queue else tick_due_at)
            if due_at > end:
                break
            self.now = max(self.now, due_at)
            if self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            else:
                self.subscription.tick(self.now)
            self.process_actions()
        self.now = end

    def process_actions(self) -> None:
        while actions := self.subscription.drain_actions():
            for action in actions:
                self._process_action(action)

    def _process_action(self, action: Action) -> None:
        match action:
            case StartCall():
                self._send_call(action)
            case EntriesChanged(rows):
                for row in rows:
                    self._apply_row(row)
            case DestinationResolved(destination, status):
                self.resolved.append((destination, status, self.now))
            case ReleaseDestinations(destinations):
                self.release_candidates += destinations
                released = [
                    destination for destination in destinations if destination not in self.unreleasable
                ]
                for destination in released:
                    self.endpoints.pop(destination, None)
                self.subscription.release(self.now, destinations, released)
            case LogLine(text):
                self.log_lines.append(text)
            case CancelCalls():
                pass  # the subscription has to ignore responses to cancelled calls

    def _apply_row(self, row: Row) -> None:
        entry = row[0]
        endpoints = self.endpoints.setdefault(entry.destination, {})
        if entry.state is EndpointState.REMOVED:
            del endpoints[entry.endpoint]  # KeyError: an endpoint was removed that was never published
        else:
            endpoints[entry.endpoint] = row

    def _send_call(self, call: StartCall) -> None:
        self.calls.append((self.now, call))
        registry, subscription = self.registries[call.registry], self.subscription
        is_ended = False

        def fail(reason: str) -> None:
            nonlocal is_ended
            if not is_ended:
                is_ended = True
                subscription.call_failed(self.now, call.call_id, reason)

        def respond(response: SubscriptionResponse | int) -> None:
            if self.rng.random() < self.loss_rate:
                return
            copies = 2 if self.rng.random() < self.duplicate_rate else 1
            for _ in range(copies):
                self.schedule(self.now + self.rng.uniform(0, self.max_delay), lambda: receive(response))

        def receive(response: SubscriptionResponse | int) -> None:
            nonlocal is_ended
            is_ended = True  # a duplicate is delivered, too: the subscription has to detect it
            if response in (BROKEN, TOO_LONG):
                is_too_long = response == TOO_LONG
                subscription.call_failed(self.now, call.call_id, "broken", is_too_long=is_too_long)
            elif isinstance(response, int):
                subscription.call_rejected(self.now, call.call_id, response, "no")
            else:
                subscription.response_received(self.now, call.call_id, response, tuple(response.rows))

        def arrive() -> None:
            if registry.is_down:
                fail("refused")
            elif self.rng.random() >= self.loss_rate:
                registry.handle_request(self.now, call.target, respond)
                if call.wait:
                    self.schedule(self.now + call.wait, lambda: registry.expire_watch(self.now, respond))

        self.schedule(self.now + self.rng.uniform(0, self.max_delay), arrive)
        is_check = call.channel is Channel.FAILBACK_CHECK
        timeout = RESPONSE_TIMEOUT_S if is_check else call.wait + RESPONSE_TIMEOUT_S
        self.schedule(self.now + timeout, lambda: fail("no response"))

    def matches(self, endpoint_list: FakeEndpointList) -> bool:
        """Whether the published endpoints equal the list for all resolved destinations."""
        destinations = {
            destination_id
            for destination_id, destination in self.subscription.table.destinations.items()
            if destination.is_resolved
        }
        return all(
            self.endpoints.get(destination, {}) == endpoint_list.endpoints_of(destination)
            for destination in destinations
        )

    def look_up(self, *destinations: int) -> None:
        for destination in destinations:
            self.subscription.resolve(self.now, destination)
        self.process_actions()
