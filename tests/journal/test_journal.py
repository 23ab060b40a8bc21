"""The journal: records are recovered, torn ones are cut off, and the disk budget is never exceeded."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
from pathlib import Path

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.journal.compaction import MIN_SLICE_BYTES, SLICE_BYTES_PER_WRITTEN_BYTE
from loftrelay.journal.journal import Journal
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import JournalFullError

MB = 1_000_000


def held(name: str, size: int = 200, key: str | None = None) -> Message:
    return Message(name, 0, "status", "acme", 1, key, 1, 2, os.urandom(size))


def used(folder: Path) -> int:
    return sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())


def sizes(journal: Journal) -> dict[int, int]:
    return {number: segment.size for number, segment in journal.files.segments.items()}


def reopened(journal: Journal, disk: int = MB) -> Journal:
    journal.close()
    return Journal(journal.folder, disk)


def test_every_kind_of_record_is_recovered(tmp_path: Path) -> None:
    journal = Journal(tmp_path, MB)
    for name in ("taken", "tried", "doubtful", "refused", "ended", "over"):
        journal.admit(held(name, key="k"))
    for name in ("tried", "doubtful", "refused"):
        journal.messages[name].attempts = 1
        journal.record_attempt(journal.messages[name], "h1")
    journal.record_attempt_result(journal.messages["doubtful"], AttemptStatus.TIMEOUT)
    journal.record_attempt_result(journal.messages["refused"], AttemptStatus.REJECTED)
    journal.record_final_status("ended", {"status": "undeliverable"})
    journal.complete("over")
    before, doubts = dict(journal.messages), dict(journal.uncertain_keys)
    journal = reopened(journal)
    assert journal.messages == before
    assert list(doubts) == ["k"]
    assert journal.messages["tried"].attempt_host == "h1"
    assert journal.messages["doubtful"].first_attempt_host == "h1"
    assert journal.messages["refused"].first_attempt_at is None
    assert journal.messages["refused"].attempts == 1
    journal.admit(held("later"))
    assert journal.messages["later"].sequence == 7  # after a restart, too, behind those taken before


def test_a_record_torn_at_any_byte_is_cut_off(tmp_path: Path) -> None:
    """A process can end in the middle of a write; what was whole before must not be lost with it."""
    journal = Journal(tmp_path / "a", MB)
    journal.admit(held("first", 30))
    path = next(iter((tmp_path / "a").iterdir()))
    whole = path.stat().st_size
    journal.admit(held("second", 30))
    journal.close()
    data = path.read_bytes()
    for cut in range(whole, len(data)):
        shutil.rmtree(tmp_path / "b", ignore_errors=True)
        (tmp_path / "b").mkdir()
        (tmp_path / "b" / path.name).write_bytes(data[:cut])
        torn = Journal(tmp_path / "b", MB)
        assert list(torn.messages) == ["first"]
        torn.close()
    flipped = bytearray(data)
    flipped[-1] ^= 1
    (tmp_path / "b" / path.name).write_bytes(flipped)
    assert list(Journal(tmp_path / "b", MB).messages) == ["first"]


def test_a_segment_is_compacted_in_slices(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Writing one record copies a bounded slice, not a segment. A kill within a segment loses nothing."""
    disk, written, plain = 16 * MB, [0], os.write

    def write(file: int, data: bytes) -> int:
        written.append(len(data))
        return plain(file, data)

    monkeypatch.setattr(os, "write", write)
    journal = Journal(tmp_path, disk)
    for i in range(2000):
        journal.admit(held(f"stays{i}", 2000))
    most, passing, first = 0, 0, min(journal.files.segments)
    while min(journal.files.segments) < first + 12:
        written.clear()
        journal.admit(held(f"goes{passing}", 2000))
        most = max(most, sum(written))
        written.clear()
        journal.complete(f"goes{passing}")
        most = max(most, sum(written))
        passing += 1
    assert most < MIN_SLICE_BYTES + SLICE_BYTES_PER_WRITTEN_BYTE * 3000
    assert used(tmp_path) <= disk
    told = journal.index.open.by_segment[min(journal.files.segments)]
    assert 0 < len(told) < 2000
    assert set(reopened(journal, disk).messages) == {f"stays{i}" for i in range(2000)}


@pytest.mark.parametrize("seed", range(6))
def test_the_budget_is_kept_and_no_message_is_lost(tmp_path: Path, seed: int) -> None:
    """Segments come and go, with restarts between; the copies that dropping one makes count as well."""
    draw = random.Random(seed)
    journal = Journal(tmp_path, MB)
    expected: dict[str, bytes] = {}
    most = 0
    for i in range(2500):
        if draw.random() < 0.5 or not expected:
            new = held(f"m{i}", draw.choice([50, 300, 3000, 65536]))
            try:
                journal.admit(new)
                expected[new.id] = new.body
            except JournalFullError:
                assert expected
        else:
            known = journal.messages[draw.choice(sorted(expected))]
            known.attempts += 1
            journal.record_attempt(known, "host-with-a-name")
            if draw.random() < 0.4:
                journal.complete(known.id)
                del expected[known.id]
            else:
                journal.record_attempt_result(
                    known, draw.choice([AttemptStatus.REJECTED, AttemptStatus.ERROR])
                )
        most = max(most, used(tmp_path))
        if draw.random() < 0.01:
            journal = reopened(journal)
    assert most <= MB
    journal = reopened(journal)
    assert {name: h.body for name, h in journal.messages.items()} == expected
    assert journal.index.live_bytes == sum(at.size for at in journal.index.open.locations.values())


def test_a_full_disk_rejects_messages_and_keeps_the_rest_in_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk may fill from outside: new messages are refused, the rest goes on from memory."""
    journal = Journal(tmp_path, MB)
    journal.admit(held("m"))
    write = os.write

    def half(file: int, data: bytes) -> int:
        write(file, data[: len(data) // 2])
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", half)
    with pytest.raises(JournalFullError):
        journal.admit(held("n"))
    with pytest.raises(JournalFullError):
        journal.record_attempt(journal.messages["m"], "h")
    journal.record_attempt_result(journal.messages["m"], AttemptStatus.REJECTED)
    monkeypatch.undo()
    journal.admit(held("o"))
    assert list(reopened(journal).messages) == ["m", "o"]


def test_a_disputed_outcome_is_recovered(tmp_path: Path) -> None:
    """Forgotten, an unsafe message would go again after the restart."""
    journal = Journal(tmp_path, MB)
    journal.admit(held("m"))
    journal.messages["m"].attempts = 1
    journal.record_attempt(journal.messages["m"], "h1")
    journal.record_attempt_result(journal.messages["m"], AttemptStatus.REJECTED)
    assert journal.messages["m"].first_attempt_at is None
    journal.record_dispute(journal.messages["m"], "h1", 77)
    assert (reopened(journal).messages["m"].first_attempt_at, journal.messages["m"].first_attempt_host) == (
        77,
        "h1",
    )


def order(name: str, lives: int = 60 * 1_000_000) -> Message:
    return Message(name, 0, "order", "acme", 1, None, 1, wall_clock() + lives, b"x")


def test_a_completed_message_is_answered_until_its_deadline(tmp_path: Path) -> None:
    journal = Journal(tmp_path, MB)
    for name, lives in (("long", 60 * MB), ("short", 1), ("free", 60 * MB)):
        journal.admit(order(name, lives))
        journal.complete(name, 0 if name == "free" else 200)
    for each in (journal, reopened(journal)):
        answers = [each.completed(name) for name in ("long", "short", "free")]
        assert [answer and answer.status for answer in answers] == [200, None, None]
        assert not each.messages
    again = reopened(reopened(journal))
    assert again.completed("long") is not None
    assert len(again.index.completed.entries) == 1
    assert again.index.live_bytes == sum(e.location.size for e in again.index.completed.entries.values())


def test_answers_outlive_their_segment_within_the_budget(tmp_path: Path) -> None:
    """Segments are dropped all the time: an id that went with its segment would run a second time."""
    journal = Journal(tmp_path, 200_000)
    journal.admit(order("first"))
    journal.complete("first", 500)
    begun = min(journal.files.segments)
    taken = refused = 0
    for i in range(3000):
        try:
            journal.admit(order(f"m{i}", 60 * MB if i % 3 else 1))
        except JournalFullError:
            refused += 1
            continue
        taken += 1
        journal.complete(f"m{i}", 200)
        assert used(tmp_path) <= 200_000
    assert min(journal.files.segments) > begun
    assert refused > 0 < taken
    last = reopened(journal, 200_000)
    was = last.completed("first")
    assert was is not None
    assert was.status == 500
    assert (
        sum(last.completed(f"m{i}") is not None for i in range(3000))
        == len(journal.index.completed.entries) - 1
    )


def test_an_answer_that_expires_while_its_segment_is_dropped(tmp_path: Path) -> None:
    """It must not stay listed under a segment that is gone: nothing could be looked up there."""
    clock = {"now": 1_000_000, "step": 0}

    def tick() -> int:
        clock["now"] += clock["step"]
        return clock["now"]

    journal = Journal(tmp_path, 1_000_000, clock=tick)
    for i in range(200):
        held = Message(f"m{i}", 0, "order", "acme", 1, None, clock["now"], 1_000_050 + i)
        journal.admit(held)
        journal.complete(held.id, 200)
    journal.close()
    clock["step"] = 1  # each look at the clock finds another id out of its time
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
def test_catching_up_reads_what_a_new_reader_would(tmp_path: Path, seed: int) -> None:
    """Also where whole segments were dropped in between."""
    chance = random.Random(seed)
    owner = Journal(tmp_path, 60_000)
    number = 0

    def go_on(steps: int) -> None:
        nonlocal number
        for _ in range(steps):
            number += 1
            now = wall_clock()
            one = Message(f"m{number}", 0, "status", None, 1, None, now, now + 9_000_000, b"x" * 50)
            with contextlib.suppress(JournalFullError):
                owner.admit(one)
            for message in chance.sample(list(owner.messages), min(len(owner.messages), chance.randrange(3))):
                owner.complete(message, 200 if chance.random() < 0.3 else 0)

    go_on(chance.randrange(80))
    reader = Journal(tmp_path, 60_000, is_read_only=True)
    before = set(reader.files.segments)
    go_on(chance.choice([0, 1, 40, 400]))
    reader.catch_up()
    fresh = Journal(tmp_path, 60_000, is_read_only=True)
    assert list(reader.messages) == list(fresh.messages)
    assert set(reader.messages) == set(owner.messages)
    assert set(reader.index.completed.entries) == set(owner.index.completed.entries)
    assert set(reader.index.completed.entries) == set(fresh.index.completed.entries)
    assert sizes(reader) == sizes(owner)
    assert reader.files.record_bytes == owner.files.record_bytes
    assert reader.index.live_bytes == fresh.index.live_bytes
    assert before - set(reader.files.segments) or len(owner.files.segments) >= len(before)
    owner.close()
    reader.take_ownership()
    assert max(reader.files.segments) == max(owner.files.segments) + 1
    reader.close()
