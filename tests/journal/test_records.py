"""The stored form of journal records: as the program of commit 32c0038 wrote it."""

from __future__ import annotations

import json
import zlib
from pathlib import Path

import pytest

from loftrelay.journal.records import HEADER, Record, decode_records, encode_record

FIXTURES = Path(__file__).parents[1] / "fixtures" / "state_32c0038"
SEGMENTS = sorted(FIXTURES.glob("journal*/*.log"))


def decoded(data: bytes) -> list[Record]:
    records = []
    for record, _ in decode_records(data):
        assert record is not None
        records.append(record)
    return records


@pytest.mark.parametrize("path", SEGMENTS, ids=lambda path: f"{path.parent.name}-{path.stem}")
def test_records_are_written_as_before(path: Path) -> None:
    data = path.read_bytes()
    assert b"".join(encode_record(record) for record in decoded(data)) == data


def test_the_fixtures_hold_records_of_every_kind() -> None:
    kinds = {record.KIND for path in SEGMENTS for record in decoded(path.read_bytes())}
    assert kinds == {"take", "try", "out", "doubt", "end", "over", "was"}


def test_a_record_of_an_unknown_kind_is_passed_over() -> None:
    payload = json.dumps({"t": "later", "id": "m"}).encode() + b"\n"
    unknown = HEADER.pack(len(payload), zlib.crc32(payload)) + payload
    assert list(decode_records(unknown)) == [(None, len(unknown))]


def test_a_field_with_its_default_is_not_stored() -> None:
    path = FIXTURES / "journal" / "0000000001.log"
    first = next(iter(decoded(path.read_bytes())))
    line = encode_record(first)[HEADER.size :].partition(b"\n")[0]
    stored = json.loads(line)
    assert "tried_at" not in stored
    assert "idempotency_key" not in stored
    assert stored["key"] is None  # it has no default
    assert {"id", "number", "class_name", "tenant", "destination", "key", "taken_at", "deadline"} <= set(
        stored
    )
