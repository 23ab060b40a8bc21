"""A request to a host takes the memory of one piece, however many messages it carries."""

from __future__ import annotations

import json
from base64 import b64decode

import h11

from loftrelay.delivery.host_call import HostCall, encode_request
from loftrelay.net.request_writer import PIECE_BYTES, RequestWriter
from loftrelay.relay.message import Message
from loftrelay.relay.ports import CallOptions

BODY_BYTES = 64_000
MESSAGES = 20


def make_writer(*bodies: bytes, is_batch: bool) -> RequestWriter:
    messages = [
        Message(f"m{number}", 0, "x", None, 1, None, 0, 1, body) for number, body in enumerate(bodies)
    ]
    call = HostCall(1, "h", messages, CallOptions(5.0, is_batch, False, None), 0.0)
    request = encode_request(call, 1.0)
    head = h11.Request(method="POST", target=request.path, headers=list(request.headers.items()))
    return RequestWriter(h11.Connection(h11.CLIENT), head, request.body)


def test_batch_is_written_a_message_at_a_time() -> None:
    """Issue 67: a batch of 20 messages of 64,000 bytes took 7 MB until its host had read it."""
    writer = make_writer(*(b"%d" % (number % 10) * BODY_BYTES for number in range(MESSAGES)), is_batch=True)
    pieces = list(iter(writer.next_bytes, b""))
    row_bytes = BODY_BYTES * 4 // 3 + 100
    assert max(map(len, pieces)) <= PIECE_BYTES + row_bytes
    head, _, body = b"".join(pieces).partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".lower().encode() in head.lower()
    assert [len(b64decode(row["body"])) for row in json.loads(body)] == [BODY_BYTES] * MESSAGES


def test_small_request_is_one_piece() -> None:
    writer = make_writer(b"hello", b"", is_batch=True)
    assert writer.next_bytes().endswith(b'{"id":"m1","body":""}]')
    assert writer.next_bytes() == b""
    single = make_writer(b"", is_batch=False)
    assert single.next_bytes().endswith(b"Content-Length: 0\r\n\r\n")
    assert single.next_bytes() == b""
