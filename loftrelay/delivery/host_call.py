"""A call to a host: its messages, its HTTP request, and the errors of calls that are not sent."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass

from loftrelay.delivery.connection_pool.actions import PoolErrorKind, UseConnection
from loftrelay.delivery.recent_responses import RecentResponses
from loftrelay.net.http import Connection
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions

SINGLE_PATH = "/v1/messages"
BATCH_PATH = "/v1/messages:batch"


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


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """The path, headers and body of a request."""

    path: str
    headers: dict[str, str]
    body: bytes


def encode_request(call: HostCall, timeout: float) -> EncodedRequest:
    """Returns the request of a call that has `timeout` seconds left."""
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
    """Returns one message of a batch; its key is the idempotency key, or else the ordering key."""
    key = message.idempotency_key or message.ordering_key
    return {
        "id": message.id,
        **({"key": key} if key else {}),
        "body": base64.b64encode(message.body).decode(),
    }
