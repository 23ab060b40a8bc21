"""The record in an SQLite file: what was committed is there after any end, and faults are told apart."""

from __future__ import annotations

import sqlite3
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from loftrelay.store.backend import RecordQuery, StoreUnavailableError, StoreUnusableError
from loftrelay.store.sqlite import MIGRATIONS, VERSION, SQLiteStore
from loftrelay.store.state_machine import (
    Change,
    ChangeKind,
    MessageMetadata,
    MessageRecord,
    RecordRuleError,
    RecordState,
    StoredFinalStatus,
)
from tests.standins.platform import ROOT

S = 1_000_000


def life(
    name: str,
    at: int = 1000,
    end: StoredFinalStatus | None = StoredFinalStatus.DELIVERED,
    run: int = 1,
    **about: object,
) -> list[Change]:
    what = replace(MessageMetadata("n1", "order", "acme", 1, "k", at + 9 * S, "ab" * 32), **about)  # type: ignore[arg-type]
    changes = [
        Change(name, run, 1, ChangeKind.ADMIT, at, metadata=what),
        Change(name, run, 2, ChangeKind.BEGIN_ATTEMPT, at + 1, host="h1"),
    ]
    if end is not None:
        changes += [
            Change(name, run, 3, ChangeKind.DECIDE, at + 2, result="OK", final_status=end),
            Change(name, run, 4, ChangeKind.REPORT, at + 3),
        ]
    return changes


def test_a_life_is_read_again_by_another_connection(tmp_path: Path) -> None:
    path = tmp_path / "record" / "r.sqlite"
    store = SQLiteStore(path)
    assert store.commit(life("m")) == {}
    other = SQLiteStore(path)
    (entry,) = other.read(["m", "never"]).values()
    assert entry == MessageRecord(
        "m",
        1,
        MessageMetadata("n1", "order", "acme", 1, "k", 1000 + 9 * S, "ab" * 32),
        4,
        RecordState.REPORTED,
        1000,
        1,
        "h1",
        1001,
        "OK",
        1002,
        StoredFinalStatus.DELIVERED,
        1002,
        1003,
    )
    assert not store.verify()
    assert store.database.execute("PRAGMA journal_mode").fetchone() == ("wal",)
    assert store.database.execute("PRAGMA synchronous").fetchone() == (2,)  # FULL
    store.close()
    other.close()


def test_a_commit_is_whole_or_not_at_all(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    bad = [*life("a"), Change("b", 1, 2, ChangeKind.BEGIN_ATTEMPT, 5, host="h")]
    with pytest.raises(RecordRuleError):
        store.commit(bad)
    assert not store.read(["a", "b"])
    assert not store.database.in_transaction
    store.commit(life("a"))
    assert list(store.read(["a"])) == ["a"]
    store.close()


def test_stored_once_more_it_is_stored_once(tmp_path: Path) -> None:
    """After a commit whose outcome was not known, the whole group comes again."""
    store = SQLiteStore(tmp_path / "r.sqlite")
    changes = life("m")
    store.commit(changes[:3])
    assert store.commit(changes) == {}
    assert store.commit(changes) == {}
    assert store.read(["m"])["m"].attempts == 1
    assert not store.verify()
    store.close()


def test_two_instances_given_one_id(tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    one, two = SQLiteStore(path), SQLiteStore(path)
    assert one.commit(life("m", end=None)) == {}
    (kept,) = two.commit([life("m", at=2000, instance="n2")[0], *life("other", instance="n2")]).items()
    assert kept[0] == 0
    assert kept[1].metadata.instance == "n1"
    assert kept[1].state is RecordState.IN_FLIGHT
    assert set(one.read(["m", "other"])) == {"m", "other"}  # the rest of the group is stored
    one.close()
    two.close()


def test_an_id_comes_back_after_a_refusal(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit([*life("m", end=StoredFinalStatus.REJECTED), *life("m", at=5000, run=2)])
    entry = store.read(["m"])["m"]
    assert (entry.admission_number, entry.final_status, entry.admitted_at) == (
        2,
        StoredFinalStatus.DELIVERED,
        5000,
    )
    assert not store.verify()
    store.close()


def test_a_database_locked_by_another_is_away_and_nothing_is_stored(tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    store = SQLiteStore(path, busy_ms=1)
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("BEGIN EXCLUSIVE")
    with pytest.raises(StoreUnavailableError, match="locked"):
        store.commit(life("m"))
    other.execute("ROLLBACK")
    assert not store.read(["m"])
    store.commit(life("m"))
    other.close()
    store.close()


def test_a_full_disk_is_away_and_what_stood_stands(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(life("first"))
    (pages,) = store.database.execute("PRAGMA page_count").fetchone()
    store.database.execute(f"PRAGMA max_page_count={pages}")  # as a full disk: SQLITE_FULL
    with pytest.raises(StoreUnavailableError, match="full"):
        store.commit([change for i in range(500) for change in life(f"m{i}")])
    assert not store.read(["m0"])
    assert store.read(["first"])
    assert not store.verify()
    store.database.execute("PRAGMA max_page_count=1073741823")
    store.commit(life("m0"))
    store.close()


def test_a_file_from_a_newer_program_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    SQLiteStore(path).close()
    database = sqlite3.connect(path)
    database.execute(f"PRAGMA user_version={VERSION + 1}")
    database.close()
    before = path.read_bytes()
    with pytest.raises(
        StoreUnusableError, match=f"version {VERSION + 1}, this program knows up to {VERSION}"
    ):
        SQLiteStore(path)
    assert path.read_bytes() == before


def test_each_older_schema_is_migrated(tmp_path: Path) -> None:
    for version in range(VERSION + 1):
        path = tmp_path / f"{version}.sqlite"
        database = sqlite3.connect(path, isolation_level=None)
        for text in MIGRATIONS[:version]:
            database.executescript(text)
        database.execute(f"PRAGMA user_version={version}")
        database.close()
        store = SQLiteStore(path)
        store.commit(life("m"))
        assert store.database.execute("PRAGMA user_version").fetchone() == (VERSION,)
        store.close()


@pytest.mark.parametrize("data", [b"no database, whatever it says" * 50, b"SQLite format 3\0" + bytes(9)])
def test_a_file_that_is_no_database_is_refused_and_left(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "r.sqlite"
    path.write_bytes(data)
    with pytest.raises(StoreUnusableError):
        SQLiteStore(path)
    assert path.read_bytes() == data


def test_a_folder_that_can_not_be_made_is_refused(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreUnusableError, match="can't be opened"):
        SQLiteStore(tmp_path / "file" / "r.sqlite")


def test_a_torn_log_loses_no_commit_before_it(tmp_path: Path) -> None:
    """The write-ahead log cut at every block: what is read is a prefix of what was committed."""
    path = tmp_path / "r.sqlite"
    store = SQLiteStore(path)
    store.database.execute("PRAGMA wal_autocheckpoint=0")
    for i in range(20):
        store.commit(life(f"m{i:02d}"))
    main, wal = path.read_bytes(), path.with_name("r.sqlite-wal").read_bytes()
    store.close()
    counts: list[int] = []
    for size in range(0, len(wal) + 1, 4120):  # header and page of each frame
        copy = tmp_path / f"torn{size}" / "r.sqlite"
        copy.parent.mkdir()
        copy.write_bytes(main)
        copy.with_name("r.sqlite-wal").write_bytes(wal[:size])
        torn = SQLiteStore(copy)
        names = [entry.message_id for entry in torn.select(RecordQuery())]
        assert names == [f"m{i:02d}" for i in range(len(names))]
        assert not torn.verify()
        counts.append(len(names))
        torn.close()
    assert counts == sorted(counts)
    assert counts[0] == 0
    assert counts[-1] >= 19


def test_killed_at_any_time_what_was_said_to_be_committed_is_there(tmp_path: Path) -> None:
    text = (
        "import sys\n"
        "from pathlib import Path\n"
        "from loftrelay.store.sqlite import SQLiteStore\n"
        "from tests.store.test_sqlite import life\n"
        "store = SQLiteStore(Path(sys.argv[1]))\n"
        "for i in range(100_000):\n"
        "    store.commit(life(f'm{i}'))\n"
        "    print(i, flush=True)\n"
    )
    for lines in (1, 7, 40):
        path = tmp_path / f"{lines}.sqlite"
        with subprocess.Popen(
            [sys.executable, "-c", text, str(path)], cwd=ROOT, stdout=subprocess.PIPE, text=True
        ) as child:
            assert child.stdout is not None
            for _ in range(lines):
                last = int(child.stdout.readline())
            child.kill()
            last = max([last, *(int(line) for line in child.stdout.read().split() if line.isdigit())])
        store = SQLiteStore(path)
        entries = store.read([f"m{i}" for i in range(last + 1)])
        assert len(entries) == last + 1
        assert all(e.state is RecordState.REPORTED for e in entries.values())
        assert not store.verify()
        store.close()


def test_old_records_go_in_small_steps_and_open_ones_stay(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    for i in range(30):
        store.commit(life(f"m{i}", at=1000 * (i + 1)))
    store.commit(life("open", at=1, end=None))
    steps = []
    while count := store.prune(20_500, 8):
        steps.append(count)
    assert steps == [8, 8, 4]
    left = [entry.message_id for entry in store.select(RecordQuery())]
    assert left == ["open", *(f"m{i}" for i in range(20, 30))]
    assert store.database.execute("SELECT count(*) FROM attempts").fetchone() == (11,)
    store.close()


def test_what_the_back_office_asks_is_found_by_an_index(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(life("a", tenant="acme") + life("b", at=2000, tenant="dijk", end=StoredFinalStatus.FAILED))
    store.commit(life("c", at=3000, tenant="dijk", end=None, class_name="status"))

    def names(**asked: object) -> list[str]:
        return [entry.message_id for entry in store.select(RecordQuery(**asked))]  # type: ignore[arg-type]

    assert names() == ["a", "b", "c"]
    assert names(tenant="dijk") == ["b", "c"]
    assert names(class_name="status") == ["c"]
    assert names(final_status=StoredFinalStatus.FAILED) == ["b"]
    assert names(unfinished=True) == ["c"]
    assert names(since=2000, until=3000) == ["b"]
    assert names(limit=2) == ["a", "b"]
    for term in ("tenant = 'x'", "class = 'x'", "answer = 'x'", "taken_at > 5", "told_at < 5", "id = 'x'"):
        (plan,) = store.database.execute(f"EXPLAIN QUERY PLAN SELECT * FROM messages WHERE {term}").fetchall()
        assert plan[3].startswith("SEARCH"), plan
    store.close()


def test_verify_tells_what_contradicts_itself(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(life("a") + life("b") + life("c"))
    store.database.execute("UPDATE messages SET answer = NULL WHERE id = 'a'")
    store.database.execute("UPDATE messages SET told_at = NULL WHERE id = 'b'")
    store.database.execute("DELETE FROM attempts WHERE id = 'c'")
    said = store.verify()
    assert len(said) == 3
    assert [line.split(":")[0] for line in said] == ["a", "b", "c"]
    store.close()
