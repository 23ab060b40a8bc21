"""SQLite store: commits survive any end of the process, and each fault raises its error."""

from __future__ import annotations

import sqlite3
import subprocess
import sys
import threading
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
from tests.standins.harness import ROOT

SECOND_US = 1_000_000
ROUNDS, OPENERS = 20, 4


def make_changes(
    name: str,
    at: int = 1000,
    final_status: StoredFinalStatus | None = StoredFinalStatus.DELIVERED,
    admission_number: int = 1,
    **fields: object,
) -> list[Change]:
    """Returns the changes of a message up to its report, or up to its attempt if it has no final status."""
    defaults = MessageMetadata("n1", "order", "acme", 1, "k", at + 9 * SECOND_US, "ab" * 32)
    metadata = replace(defaults, **fields)  # type: ignore[arg-type]
    changes = [
        Change(name, admission_number, 1, ChangeKind.ADMIT, at, metadata=metadata),
        Change(name, admission_number, 2, ChangeKind.BEGIN_ATTEMPT, at + 1, host="h1"),
    ]
    if final_status is not None:
        changes += [
            Change(
                name, admission_number, 3, ChangeKind.DECIDE, at + 2, result="OK", final_status=final_status
            ),
            Change(name, admission_number, 4, ChangeKind.REPORT, at + 3),
        ]
    return changes


def test_sqlite_store_reads_commit_of_another_connection(tmp_path: Path) -> None:
    path = tmp_path / "record" / "r.sqlite"
    store = SQLiteStore(path)
    assert store.commit(make_changes("m")) == {}
    other = SQLiteStore(path)
    (record,) = other.read(["m", "never"]).values()
    assert record == MessageRecord(
        "m",
        1,
        MessageMetadata("n1", "order", "acme", 1, "k", 1000 + 9 * SECOND_US, "ab" * 32),
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


def test_sqlite_commit_with_invalid_change_stores_nothing(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    bad = [*make_changes("a"), Change("b", 1, 2, ChangeKind.BEGIN_ATTEMPT, 5, host="h")]
    with pytest.raises(RecordRuleError):
        store.commit(bad)
    assert not store.read(["a", "b"])
    assert not store.database.in_transaction
    store.commit(make_changes("a"))
    assert list(store.read(["a"])) == ["a"]
    store.close()


def test_sqlite_commit_repeated_is_applied_once(tmp_path: Path) -> None:
    """After an uncertain commit the whole group is committed again."""
    store = SQLiteStore(tmp_path / "r.sqlite")
    changes = make_changes("m")
    store.commit(changes[:3])
    assert store.commit(changes) == {}
    assert store.commit(changes) == {}
    assert store.read(["m"])["m"].attempts == 1
    assert not store.verify()
    store.close()


def test_sqlite_commit_of_id_of_another_instance_returns_its_record(tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    one, two = SQLiteStore(path), SQLiteStore(path)
    assert one.commit(make_changes("m", final_status=None)) == {}
    (ids_in_use,) = two.commit(
        [make_changes("m", at=2000, instance="n2")[0], *make_changes("other", instance="n2")]
    ).items()
    assert ids_in_use[0] == 0
    assert ids_in_use[1].metadata.instance == "n1"
    assert ids_in_use[1].state is RecordState.IN_FLIGHT
    assert set(one.read(["m", "other"])) == {"m", "other"}  # the rest of the group is stored
    one.close()
    two.close()


def test_sqlite_commit_admits_id_again_after_rejection(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(
        [
            *make_changes("m", final_status=StoredFinalStatus.REJECTED),
            *make_changes("m", at=5000, admission_number=2),
        ]
    )
    record = store.read(["m"])["m"]
    assert (record.admission_number, record.final_status, record.admitted_at) == (
        2,
        StoredFinalStatus.DELIVERED,
        5000,
    )
    assert not store.verify()
    store.close()


def test_sqlite_commit_to_locked_file_is_unavailable_and_stores_nothing(tmp_path: Path) -> None:
    path = tmp_path / "r.sqlite"
    store = SQLiteStore(path, busy_timeout_ms=1)
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("BEGIN EXCLUSIVE")
    with pytest.raises(StoreUnavailableError, match="locked"):
        store.commit(make_changes("m"))
    other.execute("ROLLBACK")
    assert not store.read(["m"])
    store.commit(make_changes("m"))
    other.close()
    store.close()


def test_sqlite_commit_on_full_disk_is_unavailable_and_keeps_records(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(make_changes("first"))
    (pages,) = store.database.execute("PRAGMA page_count").fetchone()
    store.database.execute(f"PRAGMA max_page_count={pages}")  # has the effect of a full disk: SQLITE_FULL
    with pytest.raises(StoreUnavailableError, match="full"):
        store.commit([change for i in range(500) for change in make_changes(f"m{i}")])
    assert not store.read(["m0"])
    assert store.read(["first"])
    assert not store.verify()
    store.database.execute("PRAGMA max_page_count=1073741823")
    store.commit(make_changes("m0"))
    store.close()


def test_sqlite_store_with_newer_schema_is_unusable_and_unchanged(tmp_path: Path) -> None:
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


def test_sqlite_store_migrates_each_older_schema(tmp_path: Path) -> None:
    for version in range(VERSION + 1):
        path = tmp_path / f"{version}.sqlite"
        database = sqlite3.connect(path, isolation_level=None)
        for text in MIGRATIONS[:version]:
            database.executescript(text)
        database.execute(f"PRAGMA user_version={version}")
        database.close()
        store = SQLiteStore(path)
        store.commit(make_changes("m"))
        assert store.database.execute("PRAGMA user_version").fetchone() == (VERSION,)
        store.close()


@pytest.mark.parametrize("data", [b"no database, whatever it says" * 50, b"SQLite format 3\0" + bytes(9)])
def test_sqlite_store_of_other_file_is_unusable_and_unchanged(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "r.sqlite"
    path.write_bytes(data)
    with pytest.raises(StoreUnusableError):
        SQLiteStore(path)
    assert path.read_bytes() == data


def test_sqlite_store_in_directory_that_cannot_be_created_is_unusable(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreUnusableError, match="can't be opened"):
        SQLiteStore(tmp_path / "file" / "r.sqlite")


def test_sqlite_store_with_truncated_log_keeps_earlier_commits(tmp_path: Path) -> None:
    """For each size of the write-ahead log, in frames, the records are a prefix of the commits."""
    path = tmp_path / "r.sqlite"
    store = SQLiteStore(path)
    store.database.execute("PRAGMA wal_autocheckpoint=0")
    for i in range(20):
        store.commit(make_changes(f"m{i:02d}"))
    main, wal = path.read_bytes(), path.with_name("r.sqlite-wal").read_bytes()
    store.close()
    counts: list[int] = []
    for size in range(0, len(wal) + 1, 4120):  # header and page of each frame
        copy = tmp_path / f"truncated{size}" / "r.sqlite"
        copy.parent.mkdir()
        copy.write_bytes(main)
        copy.with_name("r.sqlite-wal").write_bytes(wal[:size])
        truncated = SQLiteStore(copy)
        names = [record.message_id for record in truncated.select(RecordQuery())]
        assert names == [f"m{i:02d}" for i in range(len(names))]
        assert not truncated.verify()
        counts.append(len(names))
        truncated.close()
    assert counts == sorted(counts)
    assert counts[0] == 0
    assert counts[-1] >= 19


def test_sqlite_store_keeps_reported_commits_after_kill(tmp_path: Path) -> None:
    text = (
        "import sys\n"
        "from pathlib import Path\n"
        "from loftrelay.store.sqlite import SQLiteStore\n"
        "from tests.store.test_sqlite import make_changes\n"
        "store = SQLiteStore(Path(sys.argv[1]))\n"
        "for i in range(100_000):\n"
        "    store.commit(make_changes(f'm{i}'))\n"
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
        records = store.read([f"m{i}" for i in range(last + 1)])
        assert len(records) == last + 1
        assert all(e.state is RecordState.REPORTED for e in records.values())
        assert not store.verify()
        store.close()


def test_sqlite_prune_deletes_old_records_in_steps_and_keeps_open_ones(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    for i in range(30):
        store.commit(make_changes(f"m{i}", at=1000 * (i + 1)))
    store.commit(make_changes("open", at=1, final_status=None))
    steps = []
    while count := store.prune(20_500, 8):
        steps.append(count)
    assert steps == [8, 8, 4]
    remaining = [record.message_id for record in store.select(RecordQuery())]
    assert remaining == ["open", *(f"m{i}" for i in range(20, 30))]
    assert store.database.execute("SELECT count(*) FROM attempts").fetchone() == (11,)
    store.close()


def test_sqlite_select_filters_records_and_uses_indexes(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(
        make_changes("a", tenant="acme")
        + make_changes("b", at=2000, tenant="dijk", final_status=StoredFinalStatus.FAILED)
    )
    store.commit(make_changes("c", at=3000, tenant="dijk", final_status=None, class_name="status"))

    def names(**filters: object) -> list[str]:
        return [record.message_id for record in store.select(RecordQuery(**filters))]  # type: ignore[arg-type]

    assert names() == ["a", "b", "c"]
    assert names(tenant="dijk") == ["b", "c"]
    assert names(class_name="status") == ["c"]
    assert names(final_status=StoredFinalStatus.FAILED) == ["b"]
    assert names(unfinished=True) == ["c"]
    assert names(since=2000, until=3000) == ["b"]
    assert names(limit=2) == ["a", "b"]
    for condition in (
        "tenant = 'x'",
        "class = 'x'",
        "answer = 'x'",
        "taken_at > 5",
        "told_at < 5",
        "id = 'x'",
    ):
        (plan,) = store.database.execute(
            f"EXPLAIN QUERY PLAN SELECT * FROM messages WHERE {condition}"
        ).fetchall()
        assert plan[3].startswith("SEARCH"), plan
    store.close()


def test_sqlite_verify_reports_each_inconsistent_record(tmp_path: Path) -> None:
    store = SQLiteStore(tmp_path / "r.sqlite")
    store.commit(make_changes("a") + make_changes("b") + make_changes("c"))
    store.database.execute("UPDATE messages SET answer = NULL WHERE id = 'a'")
    store.database.execute("UPDATE messages SET told_at = NULL WHERE id = 'b'")
    store.database.execute("DELETE FROM attempts WHERE id = 'c'")
    lines = store.verify()
    assert len(lines) == 3
    assert [line.split(":")[0] for line in lines] == ["a", "b", "c"]
    store.close()


def test_sqlite_stores_that_are_opened_at_once_on_a_new_file_all_open(tmp_path: Path) -> None:
    """Each read that there is no schema, and all but the first failed: "table messages already exists"."""
    opened: list[SQLiteStore] = []

    def open_store(path: Path, barrier: threading.Barrier) -> None:
        barrier.wait(60)
        while True:
            try:
                opened.append(SQLiteStore(path))
            except StoreUnavailableError:  # a start tries again
                continue
            return

    for number in range(ROUNDS):
        barrier = threading.Barrier(OPENERS)
        arguments = (tmp_path / f"{number}.sqlite", barrier)
        threads = [threading.Thread(target=open_store, args=arguments) for _ in range(OPENERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        assert len(opened) == OPENERS
        opened[0].commit(make_changes("m"))
        assert all("m" in store.read(["m"]) for store in opened)
        for store in opened:
            store.close()
        opened.clear()
