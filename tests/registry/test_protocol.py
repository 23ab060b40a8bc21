"""What relays and registries say to each other: each call and answer is read as it was meant, and what can't
be read does no more harm than one error."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.registry import protocol
from loftrelay.registry.protocol import Answer, Change, Plain, ProtocolError, Watch

NAMES = st.text(min_size=1, max_size=protocol.MOST_NAME).filter(lambda text: text.isprintable())
NUMBERS = st.integers(0, protocol.MOST_CELL)
CELLS = st.lists(NUMBERS, max_size=300).map(tuple)
CHANGES = st.builds(Change, NAMES, NAMES, NUMBERS, NUMBERS, CELLS, CELLS, CELLS, st.booleans())
WATCHES = st.builds(Watch, NAMES, NAMES, NUMBERS, st.integers(0, 60_000))


@settings(deadline=None, derandomize=True)
@given(CHANGES | WATCHES)
def test_a_call_is_read_as_it_was_written(call: Change | Watch) -> None:
    text = protocol.target(call)
    assert text.isascii()
    assert " " not in text
    assert protocol.read_target(text) == call


def test_a_call_with_the_most_cells_stays_under_16_kib() -> None:
    """With numbers as large as 870,000 destinations take; the bound is the registry's."""
    call = Change("f" * 64, "s" * 100, 1 << 40, 1 << 40, tuple(range(1_000_000, 1_001_000)))
    assert len(protocol.target(call)) < 16 << 10


@pytest.mark.parametrize(
    "text, call",
    [
        (protocol.PATH, Plain()),
        (f"{protocol.PATH}?index=41&wait=2000", Plain(41, 2000)),
        (f"{protocol.PATH}?index=41", Plain(41, 0)),
    ],
)
def test_discoverys_own_calls_are_known(text: str, call: Plain) -> None:
    assert protocol.read_target(text) == call


WHO = f"{protocol.PATH}?fleet=f&subscriber=a.1"


@pytest.mark.parametrize(
    "text, names",
    [
        ("/other?fleet=f", "target"),
        (f"{protocol.PATH}?fleet=f", "subscriber"),
        (f"{protocol.PATH}?subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.PATH}?fleet=&subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.PATH}?fleet={'f' * 65}&subscriber=a.1&seq=1", "fleet"),
        (f"{protocol.PATH}?fleet=f&subscriber={'s' * 101}&seq=1", "subscriber"),
        (f"{protocol.PATH}?fleet", "query"),
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
        (f"{protocol.PATH}?index=x", "index"),
        (f"{protocol.PATH}?index=1&wait=60001", "wait"),
        (f"{protocol.PATH}?" + "&".join(f"x{i}=1" for i in range(30)), "query"),
    ],
)
def test_a_bad_call_names_its_field(text: str, names: str) -> None:
    with pytest.raises(ProtocolError) as caught:
        protocol.read_target(text)
    assert str(caught.value).startswith(names), caught.value
    assert len(str(caught.value)) < 400
    assert "\n" not in str(caught.value)


@settings(deadline=None, derandomize=True)
@given(st.binary().map(lambda data: data.decode("latin-1")) | st.text())
def test_no_target_raises_anything_else(text: str) -> None:
    for target in (text, f"{protocol.PATH}?{text}", f"{WHO}&{text}"):
        try:
            protocol.read_target(target)
        except ProtocolError as error:
            assert "\n" not in str(error)


ROWS = st.lists(
    st.fixed_dictionaries({"id": st.text(max_size=9), "cell": NUMBERS, "phase": st.just("Ready")}), max_size=5
)


@settings(deadline=None, derandomize=True)
@given(NAMES, st.lists(NUMBERS, min_size=5, max_size=5), CELLS, ROWS)
def test_an_answer_is_read_as_it_was_written(
    fleet: str, numbers: list[int], cells: tuple[int, ...], rows: list[dict[str, object]]
) -> None:
    revision, age, seq, count, total = numbers
    told = Answer(fleet, revision, age, seq, count, total, cells, rows)
    body = protocol.write_answer(told, [json.dumps(row).encode() for row in rows])
    assert protocol.read_answer(body) == told
    assert json.loads(body)["complete"] is False  # a reader of discovery's form takes it for changes


@settings(deadline=None, derandomize=True)
@given(st.binary())
def test_no_bytes_raise_anything_else_than_that_they_cant_be_read(body: bytes) -> None:
    for text in (body, b'{"fleet":"f","revision":' + body, b"[" * 100_000):
        with pytest.raises(ProtocolError):
            protocol.read_answer(text)


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
def test_an_answer_with_a_field_of_the_wrong_kind_is_not_taken(name: str, value: object) -> None:
    with pytest.raises(ProtocolError, match=name):
        protocol.read_answer(json.dumps({**GOOD, name: value}).encode())


def test_a_plain_answer_is_discoverys() -> None:
    assert json.loads(protocol.write_plain(4, True, [b'{"id":"a"}', b'{"id":"b"}'])) == {
        "revision": 4,
        "complete": True,
        "members": [{"id": "a"}, {"id": "b"}],
    }


def test_a_sum_is_modulo_2_to_the_32() -> None:
    assert protocol.checksum([1 << 53, 5, (1 << 32) + 2]) == 7
