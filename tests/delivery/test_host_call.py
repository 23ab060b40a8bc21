"""Encoding of calls as HTTP requests: path, header order and body."""

from __future__ import annotations

import pytest

from loftrelay.delivery.host_call import HostCall, encode_request
from loftrelay.relay.message import Message
from loftrelay.relay.ports import CallOptions


def make_message(message_id: str, idempotency_key: str | None, ordering_key: str | None) -> Message:
    return Message(message_id, 0, "x", None, 1, ordering_key, 0, 1, b"hello", idempotency_key=idempotency_key)


def make_call(*messages: Message, batch: bool = False) -> HostCall:
    return HostCall(1, "h", list(messages), CallOptions(5.0, batch, False, None), 0.0)


@pytest.mark.parametrize(("key", "header"), [(None, {}), ("k", {"Idempotency-Key": "k"})])
def test_encode_request_single_message_sets_path_headers_and_body(
    key: str | None, header: dict[str, str]
) -> None:
    request = encode_request(make_call(make_message("m", key, "o")), 1.5)
    assert request.path == "/v1/messages"
    assert list(request.headers.items()) == [
        ("Host", "host"),
        ("Request-Timeout-Ms", "1500"),
        ("Request-Id", "m"),
        *header.items(),
        ("Content-Length", "5"),
    ]
    assert b"".join(request.body) == b"hello"


def test_encode_request_batch_sets_path_headers_and_rows() -> None:
    messages = make_message("a", "k", "o"), make_message("b", None, "o"), make_message("c", None, None)
    request = encode_request(make_call(*messages, batch=True), 0.0)
    assert request.path == "/v1/messages:batch"
    body = b"".join(request.body)
    assert body == (
        b'[{"id":"a","key":"k","body":"aGVsbG8="},{"id":"b","key":"o","body":"aGVsbG8="},'
        b'{"id":"c","body":"aGVsbG8="}]'
    )
    assert list(request.headers.items()) == [
        ("Host", "host"),
        ("Request-Timeout-Ms", "1"),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
