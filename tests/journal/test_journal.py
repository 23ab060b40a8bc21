"""Tests of the journal: recovery, truncation of incomplete records, compaction and the disk budget."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.journal.compaction import CHUNK_ENTRIES, MIN_STEP_BYTES, STEP_BYTES_PER_WRITTEN_BYTE
from loftrelay.journal.journal import Journal
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import JournalFullError

MB = 1_000_000
MINUTE_US = 60_000_000


def make_message(name: str, size: int = 200, key: str | None = None) -> Message:
    return Message(name, 0, "status", "acme", 1, key, 1, 2, os.urandom(size))


def disk_usage(folder: Path) -> int:
    """Returns the bytes that the files in a folder take, in whole blocks of 512 bytes."""
    return sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())


def segment_sizes(journal: Journal) -> dict[int, int]:
    return {number: segment.size for number, segment in journal.files.segments.items()}


def reopen(journal: Journal, disk_bytes: int = MB) -> Journal:
    """Closes a journal and reads it again, as after a restart."""
    journal.close()
    return Journal(journal.folder, disk_bytes)


def test_journal_after_restart_recovers_every_kind_of_record(tmp_path: Path) -> None:
    journal = Journal(tmp_path, MB)
    for name in ("admitted", "attempted", "timed out", "rejected", "ended", "complete"):
        journal.admit(make_message(name, key="k"))
    for name in ("attempted", "timed out", "rejected"):
        journal.messages[name].attempts = 1
        journal.record_attempt(journal.messages[name], "h1")
    journal.record_attempt_result(journal.messages["timed out"], AttemptStatus.TIMEOUT)
    journal.record_attempt_result(journal.messages["rejected"], AttemptStatus.REJECTED)
    journal.record_final_status("ended", {"status": "undeliverable"})
    journal.complete("complete")
    messages_before, uncertain_keys = dict(journal.messages), dict(journal.uncertain_keys)
    journal = reopen(journal)
    assert journal.messages == messages_before
    assert list(journal.uncertain_keys) == ["k"]
    assert journal.uncertain_keys == uncertain_keys
    assert journal.messages["attempted"].attempt_host == "h1"
    assert journal.messages["timed out"].first_uncertain_attempt_host == "h1"
    assert journal.messages["rejected"].first_uncertain_attempt_at is None
    assert journal.messages["rejected"].attempts == 1
    journal.admit(make_message("later"))
    assert journal.messages["later"].sequence == 7  # numbering continues after a restart


def test_journal_keeps_what_the_client_of_a_message_was_promised(tmp_path: Path) -> None:
    """Over restarts, which copy all messages; a start drops a message whose client was promised nothing."""
    journal = Journal(tmp_path, MB)
    for name in ("promised", "awaiting", "confirmed"):
        message = make_message(name)
        message.awaits_store = name != "promised"
        journal.admit(message)
    journal.record_store_confirmed("confirmed")
    for _ in range(2):
        journal = reopen(journal)
        awaiting = [name for name, message in journal.messages.items() if message.awaits_store]
        assert awaiting == ["awaiting"]


def test_journal_truncated_at_any_byte_of_last_record_keeps_earlier_records(tmp_path: Path) -> None:
    """A process can exit in the middle of a write; earlier complete records must not be lost."""
    journal = Journal(tmp_path / "a", MB)
    journal.admit(make_message("first", 30))
    path = next(iter((tmp_path / "a").iterdir()))
    first_record_end = path.stat().st_size
    journal.admit(make_message("second", 30))
    journal.close()
    data = path.read_bytes()
    for cut in range(first_record_end, len(data)):
        shutil.rmtree(tmp_path / "b", ignore_errors=True)
        (tmp_path / "b").mkdir()
        (tmp_path / "b" / path.name).write_bytes(data[:cut])
        truncated = Journal(tmp_path / "b", MB)
        assert list(truncated.messages) == ["first"]
        truncated.close()
    damaged = bytearray(data)
    damaged[-1] ^= 1
    (tmp_path / "b" / path.name).write_bytes(damaged)
    assert list(Journal(tmp_path / "b", MB).messages) == ["first"]


def test_compaction_copies_bounded_step_per_record_and_loses_nothing_on_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Writing one record copies a bounded number of bytes, not a whole segment.

    A kill in the middle of a segment loses no message.
    """
    disk_bytes, written, os_write = 16 * MB, [0], os.write

    def counting_write(file: int, data: bytes) -> int:
        written.append(len(data))
        return os_write(file, data)

    monkeypatch.setattr(os, "write", counting_write)
    journal = Journal(tmp_path, disk_bytes)
    for i in range(2000):
        journal.admit(make_message(f"stays{i}", 2000))
    max_written, completed, first_segment = 0, 0, min(journal.files.segments)
    while min(journal.files.segments) < first_segment + 12:
        written.clear()
        journal.admit(make_message(f"goes{completed}", 2000))
        max_written = max(max_written, sum(written))
        written.clear()
        journal.complete(f"goes{completed}")
        max_written = max(max_written, sum(written))
        completed += 1
    assert max_written < MIN_STEP_BYTES + STEP_BYTES_PER_WRITTEN_BYTE * 3000
    assert disk_usage(tmp_path) <= disk_bytes
    not_copied = journal.index.open_messages.by_segment[min(journal.files.segments)]
    assert 0 < len(not_copied) < 2000
    assert set(reopen(journal, disk_bytes).messages) == {f"stays{i}" for i in range(2000)}


@pytest.mark.parametrize("seed", range(6))
def test_journal_with_random_operations_and_restarts_keeps_budget_and_messages(
    tmp_path: Path, seed: int
) -> None:
    """Segments are created and compacted, with restarts between; copies count toward the disk budget too."""
    rng = random.Random(seed)
    journal = Journal(tmp_path, MB)
    expected_bodies: dict[str, bytes] = {}
    max_usage = 0
    for i in range(2500):
        if rng.random() < 0.5 or not expected_bodies:
            message = make_message(f"m{i}", rng.choice([50, 300, 3000, 65536]))
            try:
                journal.admit(message)
                expected_bodies[message.id] = message.body
            except JournalFullError:
                assert expected_bodies
        else:
            message = journal.messages[rng.choice(sorted(expected_bodies))]
            message.attempts += 1
            journal.record_attempt(message, "host-with-a-name")
            if rng.random() < 0.4:
                journal.complete(message.id)
                del expected_bodies[message.id]
            else:
                journal.record_attempt_result(
                    message, rng.choice([AttemptStatus.REJECTED, AttemptStatus.ERROR])
                )
        max_usage = max(max_usage, disk_usage(tmp_path))
        if rng.random() < 0.01:
            journal = reopen(journal)
    assert max_usage <= MB
    journal = reopen(journal)
    assert {name: message.body for name, message in journal.messages.items()} == expected_bodies
    assert journal.index.live_bytes == sum(
        location.size for location in journal.index.open_messages.locations.values()
    )


def test_journal_on_full_disk_rejects_new_messages_and_keeps_results_in_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another program may fill the disk: new messages and attempts are refused, results apply in memory."""
    journal = Journal(tmp_path, MB)
    journal.admit(make_message("m"))
    os_write = os.write

    def failing_write(file: int, data: bytes) -> int:
        os_write(file, data[: len(data) // 2])
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", failing_write)
    with pytest.raises(JournalFullError):
        journal.admit(make_message("n"))
    with pytest.raises(JournalFullError):
        journal.record_attempt(journal.messages["m"], "h")
    journal.record_attempt_result(journal.messages["m"], AttemptStatus.REJECTED)
    monkeypatch.undo()
    journal.admit(make_message("o"))
    assert list(reopen(journal).messages) == ["m", "o"]


def test_journal_after_restart_recovers_disputed_outcome(tmp_path: Path) -> None:
    """Without the dispute, a message that must not run twice would be sent again after a restart."""
    journal = Journal(tmp_path, MB)
    journal.admit(make_message("m"))
    journal.messages["m"].attempts = 1
    journal.record_attempt(journal.messages["m"], "h1")
    journal.record_attempt_result(journal.messages["m"], AttemptStatus.REJECTED)
    assert journal.messages["m"].first_uncertain_attempt_at is None
    journal.record_dispute(journal.messages["m"], "h1", 77)
    assert (
        reopen(journal).messages["m"].first_uncertain_attempt_at,
        journal.messages["m"].first_uncertain_attempt_host,
    ) == (
        77,
        "h1",
    )


def make_unsafe_message(name: str, time_to_live_us: int = MINUTE_US) -> Message:
    """Returns a message that must not run twice."""
    return Message(name, 0, "order", "acme", 1, None, 1, wall_clock() + time_to_live_us, b"x")


def test_journal_returns_completed_message_until_its_deadline(tmp_path: Path) -> None:
    journal = Journal(tmp_path, MB)
    for name, time_to_live in (("long", MINUTE_US), ("short", 1), ("free", MINUTE_US)):
        journal.admit(make_unsafe_message(name, time_to_live))
        journal.complete(name, 0 if name == "free" else 200)
    for each in (journal, reopen(journal)):
        results = [each.completed(name) for name in ("long", "short", "free")]
        assert [result and result.status for result in results] == [200, None, None]
        assert not each.messages
    reopened = reopen(reopen(journal))
    assert reopened.completed("long") is not None
    assert len(reopened.index.completed.entries) == 1
    assert reopened.index.live_bytes == sum(
        entry.location.size for entry in reopened.index.completed.entries.values()
    )


def test_journal_compaction_keeps_completed_messages_within_budget(tmp_path: Path) -> None:
    """If a completed id were lost with its segment, the message could run a second time."""
    journal = Journal(tmp_path, 200_000)
    journal.admit(make_unsafe_message("first"))
    journal.complete("first", 500)
    first_segment = min(journal.files.segments)
    admitted = rejected = 0
    for i in range(3000):
        try:
            journal.admit(make_unsafe_message(f"m{i}", MINUTE_US if i % 3 else 1))
        except JournalFullError:
            rejected += 1
            continue
        admitted += 1
        journal.complete(f"m{i}", 200)
        assert disk_usage(tmp_path) <= 200_000
    assert min(journal.files.segments) > first_segment
    assert rejected > 0 < admitted
    reopened = reopen(journal, 200_000)
    first_result = reopened.completed("first")
    assert first_result is not None
    assert first_result.status == 500
    assert (
        sum(reopened.completed(f"m{i}") is not None for i in range(3000))
        == len(journal.index.completed.entries) - 1
    )


def test_journal_removes_completed_message_that_expires_during_compaction(tmp_path: Path) -> None:
    """An expired id must not stay in the index of a segment that is deleted."""
    clock = {"now": 1_000_000, "step": 0}

    def tick() -> int:
        clock["now"] += clock["step"]
        return clock["now"]

    journal = Journal(tmp_path, 1_000_000, clock=tick)
    for i in range(200):
        message = Message(f"m{i}", 0, "order", "acme", 1, None, clock["now"], 1_000_050 + i)
        journal.admit(message)
        journal.complete(message.id, 200)
    journal.close()
    clock["step"] = 1  # with each reading of the clock another id expires
    for _ in range(3):
        journal = Journal(tmp_path, 1_000_000, clock=tick)
        journal.admit(Message("new", 0, "order", "acme", 1, None, clock["now"], clock["now"] + 9))
        journal.complete("new")
        journal.close()
    completed = journal.index.completed
    assert set(completed.entries) <= {name for names in completed.by_segment.values() for name in names}
    clock["now"] = 2_000_000
    assert journal.completed("m199") is None
    assert not completed.entries
    assert journal.index.live_bytes == 0


@pytest.mark.parametrize("seed", range(10))
def test_read_only_journal_catches_up_to_state_of_new_reader(tmp_path: Path, seed: int) -> None:
    """The owner may have deleted whole segments since the last read."""
    rng = random.Random(seed)
    owner = Journal(tmp_path, 60_000)
    message_count = 0

    def admit_and_complete(steps: int) -> None:
        nonlocal message_count
        for _ in range(steps):
            message_count += 1
            now = wall_clock()
            message = Message(
                f"m{message_count}", 0, "status", None, 1, None, now, now + 9_000_000, b"x" * 50
            )
            with contextlib.suppress(JournalFullError):
                owner.admit(message)
            for message_id in rng.sample(list(owner.messages), min(len(owner.messages), rng.randrange(3))):
                owner.complete(message_id, 200 if rng.random() < 0.3 else 0)

    admit_and_complete(rng.randrange(80))
    reader = Journal(tmp_path, 60_000, is_read_only=True)
    segments_before = set(reader.files.segments)
    admit_and_complete(rng.choice([0, 1, 40, 400]))
    reader.catch_up()
    new_reader = Journal(tmp_path, 60_000, is_read_only=True)
    assert list(reader.messages) == list(new_reader.messages)
    assert set(reader.messages) == set(owner.messages)
    assert set(reader.index.completed.entries) == set(owner.index.completed.entries)
    assert set(reader.index.completed.entries) == set(new_reader.index.completed.entries)
    assert segment_sizes(reader) == segment_sizes(owner)
    assert reader.files.record_bytes == owner.files.record_bytes
    assert reader.index.live_bytes == new_reader.index.live_bytes
    assert segments_before - set(reader.files.segments) or len(owner.files.segments) >= len(segments_before)
    owner.close()
    reader.take_ownership()
    assert max(reader.files.segments) == max(owner.files.segments) + 1
    reader.close()


class CountingSet(set[str]):
    """A set that counts how often its entries are looked up from the first one on."""

    iterations = 0

    def __iter__(self) -> Iterator[str]:
        self.iterations += 1
        return super().__iter__()


def test_compaction_of_many_completed_messages_does_not_search_for_each(tmp_path: Path) -> None:
    """Each search passed all entries copied before: a start with 60,000 of them took 9 to 40 s."""
    journal = Journal(tmp_path, 10 * MB)
    expires_at = wall_clock() + MINUTE_US
    for number in range(1_000):
        message = make_message(str(number), 1)
        message.deadline = expires_at
        journal.admit(message)
        journal.complete(message.id, 200)
    (first,) = journal.files.segments
    completed = journal.index.completed.by_segment[first] = CountingSet(
        journal.index.completed.by_segment[first]
    )
    journal.files.begin_segment()
    journal._compactor.drop_oldest(1)
    assert first not in journal.files.segments
    assert completed.iterations <= 1_000 // CHUNK_ENTRIES + 2
    assert journal.completed("999") is not None
