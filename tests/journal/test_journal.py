"""The journal: what is written is read again, whatever is cut off, and the budget is never passed."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
from pathlib import Path

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.journal import journal as module
from loftrelay.journal.journal import Journal
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import JournalFullError

MB = 1_000_000


def held(name: str, size: int = 200, key: str | None = None) -> Message:
    return Message(name, 0, "status", "acme", 1, key, 1, 2, os.urandom(size))


def used(folder: Path) -> int:
    return sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())


def reopened(journal: Journal, disk: int = MB) -> Journal:
    journal.close()
    return Journal(journal.folder, disk)


def test_each_step_is_read_again(tmp_path: Path) -> None:
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


def test_a_tail_torn_at_any_byte_is_cut(tmp_path: Path) -> None:
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


def test_a_segment_goes_in_slices_beside_what_is_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Harm: one record's writing copied a whole segment, and the loop stood still for it. A kill in the midst
    of a segment loses nothing."""
    disk, written, plain = 16 * MB, [0], os.write

    def write(file: int, data: bytes) -> int:
        written.append(len(data))
        return plain(file, data)

    monkeypatch.setattr(os, "write", write)
    journal = Journal(tmp_path, disk)
    for i in range(2000):
        journal.admit(held(f"stays{i}", 2000))
    most, passing, first = 0, 0, min(journal.segments)
    while min(journal.segments) < first + 12:
        written.clear()
        journal.admit(held(f"goes{passing}", 2000))
        most = max(most, sum(written))
        written.clear()
        journal.complete(f"goes{passing}")
        most = max(most, sum(written))
        passing += 1
    assert most < module.SLICE + module.SLICE_RATIO * 3000
    assert used(tmp_path) <= disk
    told = journal.told_in[min(journal.segments)]
    assert 0 < len(told) < 2000
    assert set(reopened(journal, disk).messages) == {f"stays{i}" for i in range(2000)}


@pytest.mark.parametrize("seed", range(6))
def test_the_budget_holds_and_nothing_held_is_lost(tmp_path: Path, seed: int) -> None:
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
    assert journal.live == sum(size for _, size in journal.homes.values())


def test_a_disk_that_takes_nothing_more(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_doubt_outlasts_the_process(tmp_path: Path) -> None:
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


def test_an_unsafe_message_that_is_over_is_remembered_until_its_time_is_up(tmp_path: Path) -> None:
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
    assert len(again.past) == 1
    assert again.live == sum(past.size for past in again.past.values())


def test_what_is_remembered_outlasts_its_segment_and_keeps_to_the_budget(tmp_path: Path) -> None:
    """Segments are dropped all the time: an id that went with its segment would run a second time."""
    journal = Journal(tmp_path, 200_000)
    journal.admit(order("first"))
    journal.complete("first", 500)
    begun = min(journal.segments)
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
    assert min(journal.segments) > begun
    assert refused > 0 < taken
    last = reopened(journal, 200_000)
    was = last.completed("first")
    assert was is not None
    assert was.status == 500
    assert sum(last.completed(f"m{i}") is not None for i in range(3000)) == len(journal.past) - 1


def test_an_id_whose_time_is_up_while_its_segment_is_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Trouble: a relay that was killed did not start again, and one that ran closed a client's connection
    with no answer: the id was still listed under a segment that had gone."""
    clock = {"now": 1_000_000, "step": 0}

    def tick() -> int:
        clock["now"] += clock["step"]
        return clock["now"]

    monkeypatch.setattr(module, "wall_clock", tick)
    journal = Journal(tmp_path, 1_000_000)
    for i in range(200):
        held = Message(f"m{i}", 0, "order", "acme", 1, None, clock["now"], 1_000_050 + i)
        journal.admit(held)
        journal.complete(held.id, 200)
    journal.close()
    clock["step"] = 1  # each look at the clock finds another id out of its time
    for _ in range(3):
        journal = Journal(tmp_path, 1_000_000)
        journal.admit(Message("new", 0, "order", "acme", 1, None, clock["now"], clock["now"] + 9))
        journal.complete("new")
        journal.close()
    assert set(journal.past) <= {name for names in journal.past_homes.values() for name in names}
    clock["now"] = 2_000_000
    assert journal.completed("m199") is None
    assert not journal.past
    assert journal.live == 0


@pytest.mark.parametrize("seed", range(10))
def test_read_while_its_owner_writes_it_is_what_a_start_would_read(tmp_path: Path, seed: int) -> None:
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
    reader = Journal(tmp_path, 60_000, still=True)
    before = set(reader.segments)
    go_on(chance.choice([0, 1, 40, 400]))
    reader.catch_up()
    fresh = Journal(tmp_path, 60_000, still=True)
    assert list(reader.messages) == list(fresh.messages)
    assert set(reader.messages) == set(owner.messages)
    assert set(reader.past) == set(owner.past) == set(fresh.past)
    assert {n: s.size for n, s in reader.segments.items()} == {n: s.size for n, s in owner.segments.items()}
    assert reader.bytes == owner.bytes
    assert reader.live == fresh.live
    assert before - set(reader.segments) or len(owner.segments) >= len(before)
    owner.close()
    reader.take_ownership()
    assert max(reader.segments) == max(owner.segments) + 1
    reader.close()
