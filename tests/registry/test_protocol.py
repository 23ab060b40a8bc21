"""Protocol between relays and registries: round trips of calls and responses, and malformed input."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.registry import protocol
from loftrelay.registry.protocol import (
    FullListRequest,
    ProtocolError,
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
)

NAMES = st.text(min_size=1, max_size=protocol.MAX_NAME_LENGTH).filter(lambda text: text.isprintable())
NUMBERS = st.integers(0, protocol.MAX_JSON_INTEGER)
DESTINATIONS = st.lists(NUMBERS, max_size=300).map(tuple)
CHANGES = st.builds(
    SubscriptionChange,
    NAMES,
    NAMES,
    NUMBERS,
    NUMBERS,
    DESTINATIONS,
    DESTINATIONS,
    DESTINATIONS,
    st.booleans(),
)
WATCHES = st.builds(SubscriptionWatch, NAMES, NAMES, NUMBERS, st.integers(0, 60_000))


@settings(deadline=None, derandomize=True)
@given(CHANGES | WATCHES)
def test_encoded_request_decodes_to_the_same_call(call: SubscriptionChange | SubscriptionWatch) -> None:
    target = protocol.encode_request(call)
    assert target.isascii()
    assert " " not in target
    assert protocol.decode_request(target) == call


def test_encoded_request_with_most_destinations_is_under_16_kib() -> None:
    """Uses numbers as large as for 870,000 destinations; the registry rejects longer targets."""
    call = SubscriptionChange("f" * 64, "s" * 100, 1 << 40, 1 << 40, tuple(range(1_000_000, 1_001_000)))
    assert len(protocol.encode_request(call)) < 16 << 10


@pytest.mark.parametrize(
    "target, call",
    [
        (protocol.LIST_PATH, FullListRequest()),
        (f"{protocol.LIST_PATH}?index=41&wait=2000", FullListRequest(41, 2000)),
        (f"{protocol.LIST_PATH}?index=41", FullListRequest(41, 0)),
    ],
)
def test_decode_request_in_discovery_format_returns_a_full_list_request(
    target: str, call: FullListRequest
) -> None:
    assert protocol.decode_request(target) == call


SUBSCRIBER_TARGET = f"{protocol.LIST_PATH}?fleet=f&subscriber=a.1"


@pytest.mark.parametrize(
    "target, field",
    [
        ("/other?fleet=f", "target"),
        (f"{protocol.LIST_PATH}?fleet=f", "subscriber"),
        (f"{protocol.LIST_PATH}?subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.LIST_PATH}?fleet=&subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.LIST_PATH}?fleet={'f' * 65}&subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.LIST_PATH}?fleet=f&subscriber={'s' * 101}&seq=1", "subscriber"),
        (f"{protocol.LIST_PATH}?fleet", "query"),
        (SUBSCRIBER_TARGET, "seq"),
        (f"{SUBSCRIBER_TARGET}&seq=-1", "seq"),
        (f"{SUBSCRIBER_TARGET}&seq=1&seq=2", "query"),
        (f"{SUBSCRIBER_TARGET}&seq=x", "seq"),
        (f"{SUBSCRIBER_TARGET}&seq=1&index=1.5", "index"),
        (f"{SUBSCRIBER_TARGET}&seq=99999999999999999", "seq"),
        (f"{SUBSCRIBER_TARGET}&seq=1&add=1,,2", "add"),
        (f"{SUBSCRIBER_TARGET}&seq=1&have=a", "have"),
        (f"{SUBSCRIBER_TARGET}&seq=1&drop=-1", "drop"),
        (f"{SUBSCRIBER_TARGET}&seq=1&add=9999999999999999", "add"),
        (f"{SUBSCRIBER_TARGET}&seq=1&add=" + ",".join(["7"] * 1001), "cells"),
        (f"{SUBSCRIBER_TARGET}&index=4&wait=60001", "wait"),
        (f"{SUBSCRIBER_TARGET}&index=4&wait=", "wait"),
        (f"{SUBSCRIBER_TARGET}&index=²&wait=0", "index"),
        (f"{protocol.LIST_PATH}?index=x", "index"),
        (f"{protocol.LIST_PATH}?index=1&wait=60001", "wait"),
        (f"{protocol.LIST_PATH}?" + "&".join(f"x{i}=1" for i in range(30)), "query"),
    ],
)
def test_decode_request_with_a_malformed_target_names_the_field(target: str, field: str) -> None:
    with pytest.raises(ProtocolError) as caught:
        protocol.decode_request(target)
    assert str(caught.value).startswith(field), caught.value
    assert len(str(caught.value)) < 400
    assert "\n" not in str(caught.value)


@settings(deadline=None, derandomize=True)
@given(st.binary().map(lambda data: data.decode("latin-1")) | st.text())
def test_decode_request_with_any_target_raises_only_protocol_errors(text: str) -> None:
    for target in (text, f"{protocol.LIST_PATH}?{text}", f"{SUBSCRIBER_TARGET}&{text}"):
        try:
            protocol.decode_request(target)
        except ProtocolError as error:
            assert "\n" not in str(error)


ROWS = st.lists(
    st.fixed_dictionaries({"id": st.text(max_size=9), "cell": NUMBERS, "phase": st.just("Ready")}), max_size=5
)


@settings(deadline=None, derandomize=True)
@given(NAMES, st.lists(NUMBERS, min_size=5, max_size=5), DESTINATIONS, ROWS)
def test_encoded_response_decodes_to_the_same_response(
    fleet: str, numbers: list[int], destinations: tuple[int, ...], rows: list[dict[str, object]]
) -> None:
    revision, age_ms, sequence, count, total = numbers
    response = SubscriptionResponse(fleet, revision, age_ms, sequence, count, total, destinations, rows)
    body = protocol.encode_response(response, [json.dumps(row).encode() for row in rows])
    assert protocol.decode_response(body) == response
    assert json.loads(body)["complete"] is False  # in discovery's format it is a delta


@settings(deadline=None, derandomize=True)
@given(st.binary())
def test_decode_response_with_any_body_raises_only_protocol_errors(body: bytes) -> None:
    for text in (body, b'{"fleet":"f","revision":' + body, b"[" * 100_000):
        with pytest.raises(ProtocolError):
            protocol.decode_response(text)


VALID_RESPONSE: dict[str, object] = {
    "fleet": "f",
    "revision": 1,
    "age_ms": 0,
    "seq": 1,
    "count": 0,
    "sum": 0,
    "cells": [],
    "members": [],
}


INVALID_VALUES: list[object] = [None, "x", -1, 1.5, True, {}, [-1], [True], ["1"]]
VALID_VALUES = [("fleet", "x"), ("members", [-1]), ("members", [True]), ("members", ["1"])]


@pytest.mark.parametrize(
    "field, value",
    [
        (field, value)
        for field in VALID_RESPONSE
        for value in INVALID_VALUES
        if (field, value) not in VALID_VALUES
    ],
)
def test_decode_response_with_a_field_of_the_wrong_type_is_rejected(field: str, value: object) -> None:
    with pytest.raises(ProtocolError, match=field):
        protocol.decode_response(json.dumps({**VALID_RESPONSE, field: value}).encode())


def test_encode_full_list_returns_discovery_format() -> None:
    assert json.loads(protocol.encode_full_list(4, True, [b'{"id":"a"}', b'{"id":"b"}'])) == {
        "revision": 4,
        "complete": True,
        "members": [{"id": "a"}, {"id": "b"}],
    }


def test_checksum_of_large_numbers_is_modulo_2_to_the_32() -> None:
    assert protocol.checksum([1 << 53, 5, (1 << 32) + 2]) == 7
