"""The protocol between relays and registries: each call and response survives a round trip, and what is
malformed raises one error."""

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
NUMBERS = st.integers(0, protocol.MAX_DESTINATION_NUMBER)
CELLS = st.lists(NUMBERS, max_size=300).map(tuple)
CHANGES = st.builds(SubscriptionChange, NAMES, NAMES, NUMBERS, NUMBERS, CELLS, CELLS, CELLS, st.booleans())
WATCHES = st.builds(SubscriptionWatch, NAMES, NAMES, NUMBERS, st.integers(0, 60_000))


@settings(deadline=None, derandomize=True)
@given(CHANGES | WATCHES)
def test_request_round_trip(call: SubscriptionChange | SubscriptionWatch) -> None:
    text = protocol.encode_request(call)
    assert text.isascii()
    assert " " not in text
    assert protocol.decode_request(text) == call


def test_largest_request_stays_under_16_kib() -> None:
    """With numbers as large as 870,000 destinations take; the bound is the registry's."""
    call = SubscriptionChange("f" * 64, "s" * 100, 1 << 40, 1 << 40, tuple(range(1_000_000, 1_001_000)))
    assert len(protocol.encode_request(call)) < 16 << 10


@pytest.mark.parametrize(
    "text, call",
    [
        (protocol.LIST_PATH, FullListRequest()),
        (f"{protocol.LIST_PATH}?index=41&wait=2000", FullListRequest(41, 2000)),
        (f"{protocol.LIST_PATH}?index=41", FullListRequest(41, 0)),
    ],
)
def test_requests_in_discovery_form_are_decoded(text: str, call: FullListRequest) -> None:
    assert protocol.decode_request(text) == call


WHO = f"{protocol.LIST_PATH}?fleet=f&subscriber=a.1"


@pytest.mark.parametrize(
    "text, names",
    [
        ("/other?fleet=f", "target"),
        (f"{protocol.LIST_PATH}?fleet=f", "subscriber"),
        (f"{protocol.LIST_PATH}?subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.LIST_PATH}?fleet=&subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.LIST_PATH}?fleet={'f' * 65}&subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.LIST_PATH}?fleet=f&subscriber={'s' * 101}&seq=1", "subscriber"),
        (f"{protocol.LIST_PATH}?fleet", "query"),
        (WHO, "seq"),
        (f"{WHO}&seq=-1", "seq"),
        (f"{WHO}&seq=1&seq=2", "query"),
        (f"{WHO}&seq=x", "seq"),
        (f"{WHO}&seq=1&index=1.5", "index"),
        (f"{WHO}&seq=99999999999999999", "seq"),
        (f"{WHO}&seq=1&add=1,,2", "add"),
        (f"{WHO}&seq=1&have=a", "have"),
        (f"{WHO}&seq=1&drop=-1", "drop"),
        (f"{WHO}&seq=1&add=9999999999999999", "add"),
        (f"{WHO}&seq=1&add=" + ",".join(["7"] * 1001), "cells"),
        (f"{WHO}&index=4&wait=60001", "wait"),
        (f"{WHO}&index=4&wait=", "wait"),
        (f"{WHO}&index=²&wait=0", "index"),
        (f"{protocol.LIST_PATH}?index=x", "index"),
        (f"{protocol.LIST_PATH}?index=1&wait=60001", "wait"),
        (f"{protocol.LIST_PATH}?" + "&".join(f"x{i}=1" for i in range(30)), "query"),
    ],
)
def test_malformed_request_names_its_field(text: str, names: str) -> None:
    with pytest.raises(ProtocolError) as caught:
        protocol.decode_request(text)
    assert str(caught.value).startswith(names), caught.value
    assert len(str(caught.value)) < 400
    assert "\n" not in str(caught.value)


@settings(deadline=None, derandomize=True)
@given(st.binary().map(lambda data: data.decode("latin-1")) | st.text())
def test_any_target_raises_only_protocol_errors(text: str) -> None:
    for target in (text, f"{protocol.LIST_PATH}?{text}", f"{WHO}&{text}"):
        try:
            protocol.decode_request(target)
        except ProtocolError as error:
            assert "\n" not in str(error)


ROWS = st.lists(
    st.fixed_dictionaries({"id": st.text(max_size=9), "cell": NUMBERS, "phase": st.just("Ready")}), max_size=5
)


@settings(deadline=None, derandomize=True)
@given(NAMES, st.lists(NUMBERS, min_size=5, max_size=5), CELLS, ROWS)
def test_response_round_trip(
    fleet: str, numbers: list[int], cells: tuple[int, ...], rows: list[dict[str, object]]
) -> None:
    revision, age, seq, count, total = numbers
    told = SubscriptionResponse(fleet, revision, age, seq, count, total, cells, rows)
    body = protocol.encode_response(told, [json.dumps(row).encode() for row in rows])
    assert protocol.decode_response(body) == told
    assert json.loads(body)["complete"] is False  # a reader of discovery's form takes it for changes


@settings(deadline=None, derandomize=True)
@given(st.binary())
def test_any_body_raises_only_protocol_errors(body: bytes) -> None:
    for text in (body, b'{"fleet":"f","revision":' + body, b"[" * 100_000):
        with pytest.raises(ProtocolError):
            protocol.decode_response(text)


GOOD: dict[str, object] = {
    "fleet": "f",
    "revision": 1,
    "age_ms": 0,
    "seq": 1,
    "count": 0,
    "sum": 0,
    "cells": [],
    "members": [],
}


WRONG: list[object] = [None, "x", -1, 1.5, True, {}, [-1], [True], ["1"]]
RIGHT = [("fleet", "x"), ("members", [-1]), ("members", [True]), ("members", ["1"])]


@pytest.mark.parametrize("name, value", [(n, v) for n in GOOD for v in WRONG if (n, v) not in RIGHT])
def test_response_with_a_field_of_the_wrong_type_is_rejected(name: str, value: object) -> None:
    with pytest.raises(ProtocolError, match=name):
        protocol.decode_response(json.dumps({**GOOD, name: value}).encode())


def test_full_list_has_discovery_form() -> None:
    assert json.loads(protocol.encode_full_list(4, True, [b'{"id":"a"}', b'{"id":"b"}'])) == {
        "revision": 4,
        "complete": True,
        "members": [{"id": "a"}, {"id": "b"}],
    }


def test_checksum_is_modulo_2_to_the_32() -> None:
    assert protocol.checksum([1 << 53, 5, (1 << 32) + 2]) == 7
