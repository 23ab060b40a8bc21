"""A call to a host: its messages, its HTTP request, and the errors of calls that are not sent."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from loftrelay.delivery.connection_pool.actions import PoolErrorKind, UseConnection
from loftrelay.delivery.recent_responses import RecentResponses
from loftrelay.net.http import Connection
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions

SINGLE_PATH = "/v1/messages"
BATCH_PATH = "/v1/messages:batch"
ROW_END = b'"}'
CALL_BYTES = 8 << 10  # memory of a call and of its response, beside a message
BASE64_GROUP_BYTES, BASE64_GROUP_CHARS = 3, 4


class CallError(Exception):
    """A call that is not sent, or not completely: the host has not received the whole request."""


class StaleCallError(CallError):
    """The decision to make the call is outdated.

    The process was suspended, the host is draining or was removed, or the deduplication window has ended.
    """


class BlockedCallError(CallError):
    """A Retry-After that applies to the host was received after the decision to make the call."""


class PoolError(CallError):
    """No connection is available for the call, for the reason `kind`."""

    def __init__(self, kind: PoolErrorKind) -> None:
        super().__init__(kind.name)
        self.kind = kind


@dataclass(slots=True)
class OpenedConnection:
    """An open connection and its recent responses."""

    host: str
    connection: Connection
    recent_responses: RecentResponses
    is_in_call: bool = False  # from the start of a request until its response was processed
    last_response_at: int = 0  # microseconds on the clock of the event loop


@dataclass(slots=True)
class HostCall:
    """One request and its messages. Times are in seconds on the clock of the event loop."""

    number: int
    host: str
    messages: list[Message]
    options: CallOptions
    decided_at: float
    is_started: bool = False  # the attempt is recorded and the request is being sent
    connection_number: int = -1  # of the connection used last; -1: none yet
    connection_idle: int | None = None  # idle time of the connection before the call, microseconds
    lease: asyncio.Future[UseConnection] | None = None
    sent_on: OpenedConnection | None = None  # None until the first byte is written
    retry_after: int = 0  # microseconds, from the headers of the response
    is_withdrawn: bool = False  # its messages were taken back and get no result

    @property
    def ids(self) -> list[str]:
        """The ids of the messages."""
        return [message.id for message in self.messages]

    @property
    def memory_bytes(self) -> int:
        """Memory that the call takes: one message of it is written at a time."""
        longest = max(len(message.body) for message in self.messages)
        return CALL_BYTES + longest * BASE64_GROUP_CHARS // BASE64_GROUP_BYTES

    @property
    def send_by(self) -> float:
        """The time by which the last byte must be written."""
        return self.decided_at + self.options.send_within

    @property
    def deadline(self) -> float:
        """The time by which the response must be complete."""
        return self.decided_at + self.options.timeout

    def fail_lease(self, error: CallError) -> None:
        """Ends the wait for a connection with `error`; does nothing if the call no longer waits."""
        if self.lease is not None and not self.lease.done():
            self.lease.set_exception(error)

    def all_results(self, result: AttemptResult) -> dict[str, AttemptResult]:
        """Returns the same result for each message, by its id."""
        return dict.fromkeys(self.ids, result)


class RunningCalls:
    """The calls in progress by their tasks, and the memory that they take together."""

    def __init__(self) -> None:
        self.calls: dict[asyncio.Task[None], HostCall] = {}
        self.memory_bytes = 0

    def add(self, task: asyncio.Task[None], call: HostCall) -> None:
        """Adds a call until its task is done."""
        self.calls[task] = call
        self.memory_bytes += call.memory_bytes
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.memory_bytes -= self.calls.pop(task).memory_bytes


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """The path, headers and body of a request. The parts of the body are made as they are written."""

    path: str
    headers: dict[str, str]
    body: Iterable[bytes]


def encode_request(call: HostCall, timeout: float) -> EncodedRequest:
    """Returns the request of a call that has `timeout` seconds left."""
    headers = {"Host": "host", "Request-Timeout-Ms": str(max(1, int(timeout * 1000)))}
    body: Iterable[bytes]
    if call.options.is_batch:
        path = BATCH_PATH
        headers["Content-Type"] = "application/json"
        rows = [_BatchRow.of(message) for message in call.messages]
        body, size = _batch_parts(rows), sum(row.size for row in rows) + len(rows) + 1
    else:
        path = SINGLE_PATH
        message = call.messages[0]
        headers["Request-Id"] = message.id
        if message.idempotency_key is not None:
            headers["Idempotency-Key"] = message.idempotency_key
        body, size = (message.body,), len(message.body)
    headers["Content-Length"] = str(size)
    return EncodedRequest(path, headers, body)


@dataclass(frozen=True, slots=True)
class _BatchRow:
    """One message of a batch as JSON: `head`, the body in Base64, ROW_END."""

    head: bytes
    body: bytes

    @classmethod
    def of(cls, message: Message) -> _BatchRow:
        """Returns the row of a message; its key is the idempotency key, or else the ordering key."""
        key = message.idempotency_key or message.ordering_key
        fields = {"id": message.id, **({"key": key} if key else {}), "body": ""}
        head = json.dumps(fields, separators=(",", ":")).encode()
        return cls(head.removesuffix(ROW_END), message.body)

    @property
    def size(self) -> int:
        """Bytes of the row."""
        return len(self.head) + BASE64_GROUP_CHARS * -(-len(self.body) // BASE64_GROUP_BYTES) + len(ROW_END)

    def encode(self) -> bytes:
        """Returns the row."""
        return self.head + base64.b64encode(self.body) + ROW_END


def _batch_parts(rows: Sequence[_BatchRow]) -> Iterator[bytes]:
    """Iterates over the parts of a batch, a row each."""
    for number, row in enumerate(rows):
        yield (b"," if number else b"[") + row.encode()
    yield b"]"
