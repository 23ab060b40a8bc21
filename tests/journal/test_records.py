"""Tests of the stored form of journal records, against files written by the program of commit 32c0038."""

from __future__ import annotations

import json
import tracemalloc
import zlib
from pathlib import Path

import pytest

from loftrelay.journal.journal import Journal
from loftrelay.journal.records import HEADER, Record, decode_records, encode_record
from loftrelay.relay.message import Message

FIXTURES = Path(__file__).parents[1] / "fixtures" / "state_32c0038"
SEGMENTS = sorted(FIXTURES.glob("journal*/*.log"))


def decode_known(data: bytes) -> list[Record]:
    """Returns the records of a segment; fails on a record of an unknown kind."""
    records = []
    for record, _ in decode_records(data):
        assert record is not None
        records.append(record)
    return records


@pytest.mark.parametrize("path", SEGMENTS, ids=lambda path: f"{path.parent.name}-{path.stem}")
def test_records_encoded_again_equal_bytes_of_earlier_version(path: Path) -> None:
    data = path.read_bytes()
    assert b"".join(encode_record(record) for record in decode_known(data)) == data


def test_fixtures_contain_every_kind_of_record() -> None:
    kinds = {record.KIND for path in SEGMENTS for record in decode_known(path.read_bytes())}
    assert kinds == {"take", "try", "out", "doubt", "end", "over", "was"}


def test_decode_records_with_unknown_kind_yields_none() -> None:
    payload = json.dumps({"t": "later", "id": "m"}).encode() + b"\n"
    unknown = HEADER.pack(len(payload), zlib.crc32(payload)) + payload
    assert list(decode_records(unknown)) == [(None, len(unknown))]


def test_encode_record_omits_fields_with_default_value() -> None:
    path = FIXTURES / "journal" / "0000000001.log"
    record = next(iter(decode_known(path.read_bytes())))
    line = encode_record(record)[HEADER.size :].partition(b"\n")[0]
    stored = json.loads(line)
    assert "tried_at" not in stored
    assert "idempotency_key" not in stored
    assert stored["key"] is None  # this field has no default
    assert {"id", "number", "class_name", "tenant", "destination", "key", "taken_at", "deadline"} <= set(
        stored
    )


def test_reading_a_segment_takes_the_memory_of_one_record(tmp_path: Path) -> None:
    """Issue 67: a start read each segment whole, and with what it had held passed 32 MB."""
    body_bytes, messages = 64_000, 30
    journal = Journal(tmp_path, 16 * 2 * body_bytes * messages)  # one segment
    for number in range(messages):
        journal.admit(Message(f"m{number}", 0, "order", None, 1, None, 0, 1 << 60, b"x" * body_bytes))
        journal.complete(f"m{number}")
    journal.close()
    tracemalloc.start()
    try:
        Journal(tmp_path, journal.disk_bytes, is_read_only=True)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < 8 * body_bytes
