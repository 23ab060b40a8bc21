"""State stored by the program of commit 32c0038 (the baseline) is read, and its messages are delivered.

The files, and what that program itself did with them, are in tests/fixtures/state_32c0038 (README.md there).
"""

from __future__ import annotations

import asyncio
import json
import logging
import shutil
from dataclasses import asdict
from pathlib import Path
from typing import Any

import pytest

from loftrelay.gossip.operator_overrides import Overrides
from loftrelay.journal.journal import Journal
from loftrelay.relay.message import Message
from loftrelay.service.override_file import OverrideFile
from loftrelay.state.disabled_hosts import DisabledHostsFile
from loftrelay.state.last_config import LastConfigFile
from loftrelay.store.backend import RecordQuery
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import RecordState, StoredFinalStatus
from tests.standins.recovered import recover

FIXTURES = Path(__file__).parents[1] / "fixtures" / "state_32c0038"
CONTENTS: dict[str, Any] = json.loads((FIXTURES / "journal_contents.json").read_text())
RECOVERY: dict[str, Any] = json.loads((FIXTURES / "recovery.json").read_text())
JOURNALS = ("journal", "journal_compacted", "journal_of_store", "journal_handover")
DISK_BYTES = 1_000_000
FIELD_NAMES = {
    "number": "sequence",
    "key": "ordering_key",
    "taken_at": "admitted_at",
    "tried_at": "attempt_started_at",
    "tried_on": "attempt_host",
    "ran_at": "first_uncertain_attempt_at",
    "ran_on": "first_uncertain_attempt_host",
    "notice": "final_status",
    "terms": "packed_terms",
}  # name in the records of 32c0038 -> field of Message; the others have the same name


def expected_message(stored: dict[str, Any]) -> dict[str, Any]:
    """Returns a recorded message under the field names of Message."""
    fields = {FIELD_NAMES.get(name, name): value for name, value in stored.items()}
    return {**fields, "body": bytes.fromhex(fields["body"])}


def actual_message(message: Message) -> dict[str, Any]:
    """Returns the fields of a message in the form of the recorded ones."""
    fields = asdict(message)
    assert not fields.pop("awaits_store")  # 32c0038 did not note it: its clients were promised all messages
    packed = fields["packed_terms"]
    return {**fields, "packed_terms": None if packed is None else list(packed)}


@pytest.mark.parametrize("name", JOURNALS)
@pytest.mark.parametrize("read_only", [True, False])
def test_journal_reads_every_baseline_message(tmp_path: Path, name: str, read_only: bool) -> None:
    shutil.copytree(FIXTURES / name, tmp_path / "state")
    journal = Journal(tmp_path / "state", DISK_BYTES, read_only)
    expected = CONTENTS[name]
    assert {id_: actual_message(message) for id_, message in journal.messages.items()} == {
        id_: expected_message(stored) for id_, stored in expected["messages"].items()
    }
    if read_only:
        assert list(journal.messages) == list(expected["messages"])
    assert journal.uncertain_keys == expected["uncertain_keys"]
    assert list(journal.uncertain_keys) == list(expected["uncertain_keys"])
    for id_, (status, expires_at) in expected["completed"].items():
        completed = journal.completed(id_)
        assert completed is not None
        assert (completed.status, completed.expires_at) == (status, expires_at)
    assert journal.completed("forgotten-order") is None
    journal.close()


@pytest.mark.parametrize("name", JOURNALS)
def test_journal_rewritten_from_baseline_holds_same_messages(tmp_path: Path, name: str) -> None:
    """Opening a journal for writing replaces the old segments: their contents are written to new ones."""
    shutil.copytree(FIXTURES / name, tmp_path / "state")
    old = {path.name for path in (tmp_path / "state").iterdir()}
    Journal(tmp_path / "state", DISK_BYTES).close()
    assert not old & {path.name for path in (tmp_path / "state").iterdir()}
    journal = Journal(tmp_path / "state", DISK_BYTES, True)
    assert {id_: actual_message(message) for id_, message in journal.messages.items()} == {
        id_: expected_message(stored) for id_, stored in CONTENTS[name]["messages"].items()
    }
    assert all(journal.completed(id_) is not None for id_ in CONTENTS[name]["completed"])
    journal.close()


@pytest.mark.parametrize("name", RECOVERY)
def test_relay_started_on_baseline_state_acts_as_baseline(tmp_path: Path, name: str) -> None:
    record = FIXTURES / "record.sqlite" if name == "journal_of_store" else None
    expected = RECOVERY[name]
    unfinished = {*expected["calls"], *(report["id"] for report in expected["reports"])}
    unfinished -= {id_ for id_ in unfinished if id_.startswith("forgotten-")}  # these are resubmitted
    unfinished -= {id_ for id_ in expected["resubmitted"] if expected["resubmitted"][id_] == 202}
    actual = asyncio.run(recover(tmp_path, FIXTURES / name, unfinished, record=record))
    bodies = actual.pop("bodies")
    assert actual == expected
    for id_, stored in CONTENTS[name]["messages"].items():
        if id_ in bodies:
            assert bodies[id_] == bytes.fromhex(stored["body"])


def test_disabled_hosts_file_of_baseline_is_read() -> None:
    assert DisabledHostsFile(FIXTURES).load() == {"h1", "host with spaces", "höst"}


def test_disabled_hosts_file_is_written_as_at_baseline(tmp_path: Path) -> None:
    DisabledHostsFile(tmp_path).save({"höst", "h1", "host with spaces"})
    assert (tmp_path / "hosts-out.json").read_bytes() == (FIXTURES / "hosts-out.json").read_bytes()


def test_last_config_file_is_read_and_written_as_at_baseline(tmp_path: Path) -> None:
    config = LastConfigFile(FIXTURES).load()
    assert config == {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "8c1f30d2",
        "settings": {"classes": [], "tick": 5000},
    }
    LastConfigFile(tmp_path).save({**config, "known": {"revision": 1}})
    assert (tmp_path / "last-config.json").read_bytes() == (FIXTURES / "last-config.json").read_bytes()


def test_override_file_is_read_and_written_as_at_baseline(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    shutil.copy(FIXTURES / "fleet-calls.json", tmp_path)
    file = OverrideFile(tmp_path)
    with caplog.at_level(logging.ERROR):
        loaded = file.load()
    assert not caplog.records
    assert [(item.host, item.is_disabled, item.stamp, item.origin) for item in loaded] == [
        ("h1", True, 1_790_000_000_000, "n1"),
        ("h2", False, 1_790_000_000_006, "n1"),
    ]
    overrides = Overrides("n1", 1)
    overrides.restore(loaded, ["h3"])
    assert overrides.by_host["h3"].stamp == 0
    del overrides.by_host["h3"]
    file.path.unlink()
    file.save(overrides.by_host.values())
    assert (tmp_path / "fleet-calls.json").read_bytes() == (FIXTURES / "fleet-calls.json").read_bytes()


def test_sqlite_store_reads_every_baseline_row(tmp_path: Path) -> None:
    shutil.copy(FIXTURES / "record.sqlite", tmp_path)
    store = SQLiteStore(tmp_path / "record.sqlite")
    assert store.verify() == []
    found = {entry.message_id: entry for entry in store.select(RecordQuery())}
    store.close()
    assert {name: (entry.state, entry.final_status, entry.attempts) for name, entry in found.items()} == {
        "store-untried": (RecordState.ADMITTED, None, 0),
        "store-out": (RecordState.IN_FLIGHT, None, 1),
        "store-waiting": (RecordState.WAITING, None, 1),
        "store-ended": (RecordState.DECIDED, StoredFinalStatus.FAILED, 1),
        "store-delivered-unrecorded": (RecordState.DECIDED, StoredFinalStatus.DELIVERED, 1),
        "store-lost": (RecordState.ADMITTED, None, 0),
        "store-lost-out": (RecordState.IN_FLIGHT, None, 1),
        "store-told-delivered": (RecordState.REPORTED, StoredFinalStatus.DELIVERED, 1),
        "store-told-failed": (RecordState.REPORTED, StoredFinalStatus.FAILED, 1),
        "store-told-refused": (RecordState.REPORTED, StoredFinalStatus.REJECTED, 0),
    }
    waiting = found["store-waiting"]
    assert (waiting.host, waiting.result, waiting.admission_number, waiting.change_number) == (
        "h0",
        "FULL",
        1,
        3,
    )
    about = waiting.metadata
    assert (about.instance, about.class_name, about.tenant, about.destination, about.key) == (
        "n1",
        "order",
        "acme",
        1,
        "key-store-waiting",
    )
    assert about.deadline == 4_102_444_800_000_000
