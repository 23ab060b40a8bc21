"""Validates requests and maps them to messages. Does no input or output.

The reasons in errors are sent to the client.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from urllib.parse import unquote

import h11

from loftrelay.decisions.settings import MessageClass
from loftrelay.net.head_size import count_head_lines
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import AcceptedClasses

MAX_HEAD_BYTES = 16 << 10
MAX_HEADER_COUNT = 128  # a parsed header takes many times its bytes
MAX_BODY_BYTES = 64 << 10
MAX_ORDERING_KEY_CHARS = 256
READINESS_PATH = b"/health/ready"

# Request header -> field of Message. The path is /CLASS or /CLASS/ORDERING-KEY.
MESSAGE_HEADERS = {
    "request-class": "class_name",
    "request-id": "id",
    "tenant": "tenant",
    "request-timeout-ms": "deadline",
    "x-consignee": "destination",
    "idempotency-key": "idempotency_key",
}
FRAMING_HEADERS = ("host", "content-length", "transfer-encoding")
KEPT_HEADERS = {name.encode() for name in MESSAGE_HEADERS}
SINGLE_HEADERS = {name.encode() for name in (*MESSAGE_HEADERS, *FRAMING_HEADERS)}

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"\ncontent-length: *([0-9]{1,9}) *(?:\r|$)", re.IGNORECASE)
TRANSFER_ENCODING = re.compile(rb"\ntransfer-encoding:", re.IGNORECASE)
MESSAGE_ID = re.compile(r"[!-~]{1,128}")
TIMEOUT_MS = re.compile(r"[0-9]{1,9}")
DESTINATION = re.compile(r"(?:^|[,;\s])dest=([0-9]{1,9})(?:$|[,;\s])")
IDEMPOTENCY_KEY = re.compile(r"[ -~]{1,256}")

Headers = Sequence[tuple[bytes, bytes]]  # names in lower case
MessageHeaders = Mapping[str, str]


class RequestError(Exception):
    """The request is rejected.

    Attributes:
        status: HTTP status of the response.
        reason: Body of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What is kept of the head of a request.

    Attributes:
        method: The method.
        target: The request target.
        headers: The headers that describe the message. The others are dropped: a parsed one takes 150 bytes.
        content_length: Bytes of the body; None if it is chunked.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    content_length: int | None

    @classmethod
    def from_request(cls, request: h11.Request, headers: Headers) -> RequestHead:
        """Returns what is kept of a parsed head, which may still be invalid."""
        kept = tuple([header for header in headers if header[0] in KEPT_HEADERS])
        content_length: int | None = 0
        for name, value in headers:
            if name == b"content-length":
                content_length = int(value)
            elif name == b"transfer-encoding":
                content_length = None
                break
        return cls(request.method, request.target, kept, content_length)

    @property
    def held_bytes(self) -> int:
        """Bytes of the target and of the headers."""
        return len(self.target) + sum(len(name) + len(value) for name, value in self.headers)


def validate_headers(headers: Headers) -> None:
    """Validates the headers of a request, before its body arrives.

    Raises:
        RequestError: There are too many headers, a header is repeated, the framing is ambiguous (RFC 9112,
            section 6.3), or the body is too large.
    """
    if len(headers) > MAX_HEADER_COUNT:
        raise RequestError(431, f"a request has at most {MAX_HEADER_COUNT} headers")
    names = [name for name, _ in headers if name in SINGLE_HEADERS]
    if len(names) != len(set(names)):
        raise RequestError(400, "a header that may stand once is repeated")
    lengths = [int(value) for name, value in headers if name == b"content-length"]
    if lengths and b"transfer-encoding" in names:
        raise RequestError(400, "Content-Length beside Transfer-Encoding")
    if lengths:
        check_body_size(lengths[0])


def is_whole_request(data: bytes) -> bool:
    """Returns whether bytes seem to be a whole request, by a look that costs little; it may be invalid."""
    head, _, body = data.partition(HEAD_END)
    length = CONTENT_LENGTH.search(head)
    if length is not None:
        return len(body) >= int(length[1])
    return HEAD_END in data and (TRANSFER_ENCODING.search(head) is None or body.endswith(LAST_CHUNK))


def check_head_size(size_bytes: int) -> None:
    """Raises a RequestError if a head exceeds MAX_HEAD_BYTES."""
    if size_bytes > MAX_HEAD_BYTES:
        raise RequestError(431, f"a head holds at most {MAX_HEAD_BYTES >> 10} KiB")


def check_head_lines(received: bytes | bytearray) -> None:
    """Raises a RequestError if the head that `received` begins with has too many lines to be parsed."""
    if count_head_lines(received) > MAX_HEADER_COUNT + 1:  # the request line
        raise RequestError(431, f"a request has at most {MAX_HEADER_COUNT} headers")


def check_body_size(size_bytes: int) -> None:
    """Raises a RequestError if a body exceeds MAX_BODY_BYTES."""
    if size_bytes > MAX_BODY_BYTES:
        raise RequestError(413, "a body holds at most 64 KiB")


def parse_message(
    accepted: AcceptedClasses, request: RequestHead, received_at_us: int, body: bytes
) -> Message:
    """Maps a complete request to the message that it submits.

    Args:
        accepted: Message classes and tenants that are accepted now.
        request: Head of the request.
        received_at_us: Wall-clock time at which the client sent the request.
        body: Body of the request.

    Raises:
        RequestError: The request is invalid.
    """
    headers = {name.decode(): value.decode("latin-1") for name, value in request.headers}
    path = [unquote(part) for part in request.target.decode("latin-1").partition("?")[0].split("/")[1:]]
    message_class = accepted.message_class(path[0], received_at_us)
    if message_class is None or len(path) > 2:
        raise RequestError(404, "no such path")
    if request.method != b"POST":
        raise RequestError(405, "messages are handed in with POST")
    if headers.get("request-class") != message_class.name:
        raise RequestError(400, "Request-Class does not name the class of the path")
    message_id = _parse_message_id(headers)
    tenant = _parse_tenant(headers, accepted)
    timeout_us = _parse_timeout_us(headers, message_class)
    destination = _parse_destination(headers)
    ordering_key = _parse_ordering_key(path, message_class)
    return Message(
        id=message_id,
        sequence=0,
        class_name=message_class.name,
        tenant=tenant,
        destination=destination,
        ordering_key=ordering_key,
        admitted_at=received_at_us,
        deadline=received_at_us + timeout_us,
        body=body,
        idempotency_key=_parse_idempotency_key(headers),
    )


def _parse_message_id(headers: MessageHeaders) -> str:
    message_id = headers.get("request-id", "")
    if not MESSAGE_ID.fullmatch(message_id):
        raise RequestError(400, "Request-Id is missing or malformed")
    return message_id


def _parse_tenant(headers: MessageHeaders, accepted: AcceptedClasses) -> str | None:
    tenant, tenants = headers.get("tenant"), accepted.settings.tenants
    if tenants and tenant not in tenants:
        raise RequestError(400, "Tenant is missing or unknown")
    return tenant


def _parse_timeout_us(headers: MessageHeaders, message_class: MessageClass) -> int:
    timeout_ms = headers.get("request-timeout-ms", "")
    if not TIMEOUT_MS.fullmatch(timeout_ms):
        raise RequestError(400, "Request-Timeout-Ms is missing or malformed")
    timeout_us = int(timeout_ms) * 1000
    if message_class.deadline is not None and timeout_us > 2 * message_class.deadline:
        raise RequestError(400, "Request-Timeout-Ms is longer than a message of this class can live")
    return timeout_us


def _parse_destination(headers: MessageHeaders) -> int:
    match = DESTINATION.search(headers.get("x-consignee", ""))
    if match is None:
        raise RequestError(400, "X-Consignee names no dest")
    return int(match[1])


def _parse_ordering_key(path: list[str], message_class: MessageClass) -> str | None:
    key = path[1] if len(path) == 2 else ""
    if len(key) > MAX_ORDERING_KEY_CHARS:
        raise RequestError(400, "the key is too long")
    return key if message_class.is_ordered and key else None


def _parse_idempotency_key(headers: MessageHeaders) -> str | None:
    key = headers.get("idempotency-key")
    if key is not None and not IDEMPOTENCY_KEY.fullmatch(key):
        raise RequestError(400, "Idempotency-Key is malformed")
    return key
