"""A call to a host: the messages that travel together, their request, and why a call is not sent."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import deque
from dataclasses import dataclass, field

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.connection_pool.actions import PoolErrorKind, UseConnection
from loftrelay.net.http import Connection
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions

MAX_RECENT_RESPONSES = 8  # of a connection, disputed when an unsolicited response shows them doubtful
SINGLE_PATH = "/v1/messages"
BATCH_PATH = "/v1/messages:batch"


class CallError(Exception):
    """A call that is not sent. The host has not received the whole of it."""


class StaleCallError(CallError):
    """The decision for the call does not hold any more.

    The process was suspended, the host drains or was removed, or the deduplication window has ended.
    """


class BlockedCallError(CallError):
    """A Retry-After of the host was received since the decision for the call."""


class PoolError(CallError):
    """No connection is available for the call; `kind` says why."""

    def __init__(self, kind: PoolErrorKind) -> None:
        super().__init__(kind.name)
        self.kind = kind


@dataclass(slots=True)
class RecentResponse:
    """What was made of a response on a connection that had carried calls before."""

    message: str
    status: AttemptStatus
    sent_at: int  # wall clock, microseconds


@dataclass(slots=True)
class OpenedConnection:
    """An open connection and its recent responses."""

    host: str
    connection: Connection
    is_in_call: bool = False  # from a request until its response was processed
    recent_responses: deque[RecentResponse] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_RESPONSES)
    )


@dataclass(slots=True)
class HostCall:
    """Messages that travel together. Times are the event loop's, in seconds."""

    number: int
    host: str
    messages: list[Message]
    options: CallOptions
    decided_at: float
    is_started: bool = False  # recorded and handed to its connection
    connection: int = -1  # number of its last connection
    connection_idle: int | None = None  # microseconds
    lease: asyncio.Future[UseConnection] | None = None
    sent_on: OpenedConnection | None = None  # from the first byte on
    retry_after: int = 0  # microseconds, from the head of its response
    is_withdrawn: bool = False

    @property
    def ids(self) -> list[str]:
        """The ids of its messages."""
        return [message.id for message in self.messages]

    @property
    def send_by(self) -> float:
        """When its last byte is to be written, at the latest."""
        return self.decided_at + self.options.send_within

    @property
    def deadline(self) -> float:
        """When its response is to be complete, at the latest."""
        return self.decided_at + self.options.timeout

    def fail_lease(self, error: CallError) -> None:
        """Ends its wait for a connection; nothing happens where it waits no more."""
        if self.lease is not None and not self.lease.done():
            self.lease.set_exception(error)

    def all_results(self, result: AttemptResult) -> dict[str, AttemptResult]:
        """The same result for each of its messages."""
        return dict.fromkeys(self.ids, result)


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """Path, headers and body of a request."""

    path: str
    headers: dict[str, str]
    body: bytes


def encode_request(call: HostCall, timeout: float) -> EncodedRequest:
    """The request of a call that has `timeout` seconds left."""
    headers = {"Host": "host", "Request-Timeout-Ms": str(max(1, int(timeout * 1000)))}
    if call.options.is_batch:
        path = BATCH_PATH
        headers["Content-Type"] = "application/json"
        rows = [_batch_row(message) for message in call.messages]
        body = json.dumps(rows, separators=(",", ":")).encode()
    else:
        path = SINGLE_PATH
        message = call.messages[0]
        headers["Request-Id"] = message.id
        if message.idempotency_key is not None:
            headers["Idempotency-Key"] = message.idempotency_key
        body = message.body
    headers["Content-Length"] = str(len(body))
    return EncodedRequest(path, headers, body)


def _batch_row(message: Message) -> dict[str, str]:
    """One message of a batch. Its key is the idempotency key, else the ordering key."""
    key = message.idempotency_key or message.ordering_key
    return {
        "id": message.id,
        **({"key": key} if key else {}),
        "body": base64.b64encode(message.body).decode(),
    }
