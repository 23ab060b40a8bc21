"""PostgreSQL store against a stand-in server that can fail at any byte: each fault raises its error."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

psycopg = pytest.importorskip("psycopg", reason="the extra `postgres` is not installed")

from loftrelay.store.backend import (  # noqa: E402
    CommitUncertainError,
    RecordQuery,
    StoreUnavailableError,
    StoreUnusableError,
)
from loftrelay.store.postgres import VERSION, PostgresStore  # noqa: E402
from loftrelay.store.state_machine import RecordRuleError, RecordState, StoredFinalStatus  # noqa: E402
from tests.standins.fake_postgres import FakePostgresServer  # noqa: E402
from tests.store.test_sqlite import make_changes  # noqa: E402


@pytest.fixture
def server(tmp_path: Path) -> Iterator[FakePostgresServer]:
    with FakePostgresServer(tmp_path / "server.sqlite") as server:
        yield server


def test_postgres_store_reads_commit_of_another_connection(server: FakePostgresServer) -> None:
    store, other = PostgresStore(server.dsn), PostgresStore(server.dsn)
    assert store.commit(make_changes("m")) == {}
    record = other.read(["m", "never"])["m"]
    assert (record.state, record.final_status, record.attempts, record.metadata.instance) == (
        RecordState.REPORTED,
        StoredFinalStatus.DELIVERED,
        1,
        "n1",
    )
    assert store.commit(make_changes("m")) == {}
    assert not store.verify()
    store.close()
    other.close()


def test_postgres_commit_with_invalid_change_stores_nothing(server: FakePostgresServer) -> None:
    store = PostgresStore(server.dsn)
    with pytest.raises(RecordRuleError):
        store.commit([*make_changes("a"), make_changes("b")[1]])
    assert not store.read(["a", "b"])
    store.commit(make_changes("a"))
    assert set(store.read(["a", "b"])) == {"a"}
    store.close()


def test_postgres_commit_of_id_of_another_instance_returns_its_record(server: FakePostgresServer) -> None:
    one, two = PostgresStore(server.dsn), PostgresStore(server.dsn)
    one.commit(make_changes("m", final_status=None))
    ids_in_use = two.commit(
        [make_changes("m", at=2000, instance="n2")[0], *make_changes("other", instance="n2")]
    )
    assert ids_in_use[0].metadata.instance == "n1"
    assert set(one.read(["m", "other"])) == {"m", "other"}
    one.close()
    two.close()


def test_postgres_commit_with_concurrent_write_is_rolled_back(server: FakePostgresServer) -> None:
    store = PostgresStore(server.dsn)
    store.commit(make_changes("m")[:1])
    original_read = store._read

    def read_then_write(messages: list[str]) -> dict[str, object]:
        records = original_read(messages)
        store.database.execute("UPDATE messages SET number = 9 WHERE id = 'm'")  # as another instance would
        return records  # type: ignore[return-value]

    store._read = read_then_write  # type: ignore[method-assign, assignment]
    with pytest.raises(StoreUnavailableError, match="another instance"):
        store.commit(make_changes("m")[1:])
    store._read = original_read  # type: ignore[method-assign]
    assert store.read(["m"])["m"].change_number == 1  # rolled back as a whole
    store.close()


def test_postgres_select_and_prune_return_matching_records(server: FakePostgresServer) -> None:
    store = PostgresStore(server.dsn)
    for i in range(10):
        store.commit(make_changes(f"m{i}", at=1000 * (i + 1), tenant="acme" if i % 2 else "dijk"))
    store.commit(make_changes("open", at=1, final_status=None))
    names = [record.message_id for record in store.select(RecordQuery(tenant="dijk", since=2000, until=9000))]
    assert names == ["m2", "m4", "m6"]
    assert [record.message_id for record in store.select(RecordQuery(unfinished=True, limit=3))] == ["open"]
    assert [store.prune(5_500, 3), store.prune(5_500, 3), store.prune(5_500, 3)] == [3, 2, 0]
    assert [record.message_id for record in store.select(RecordQuery())] == [
        "open",
        *(f"m{i}" for i in range(5, 10)),
    ]
    store.close()


def test_postgres_store_proves_password_without_sending_it(tmp_path: Path) -> None:
    with FakePostgresServer(tmp_path / "s.sqlite", password="harbour") as server:
        PostgresStore(server.dsn).close()
        with pytest.raises(
            (StoreUnusableError, StoreUnavailableError), match="password authentication failed"
        ):
            PostgresStore(server.dsn.replace("harbour", "wrong"))


def test_postgres_store_with_newer_schema_is_unusable(server: FakePostgresServer) -> None:
    store = PostgresStore(server.dsn)
    store.database.execute(f"UPDATE record_version SET version = {VERSION + 1}".encode())
    store.close()
    with pytest.raises(StoreUnusableError, match=f"version {VERSION + 1}"):
        PostgresStore(server.dsn)


@pytest.mark.parametrize("state", ["40001", "40P01", "25006", "53100", "55P03"])
def test_postgres_commit_rolled_back_by_server_is_unavailable_and_repeatable(
    server: FakePostgresServer, state: str
) -> None:
    """Serialization failure, deadlock, read-only standby after a failover, full disk, lock not available."""
    store = PostgresStore(server.dsn)
    server.faults.commit_errors.append(state)
    with pytest.raises(StoreUnavailableError):
        store.commit(make_changes("m"))
    assert not store.read(["m"])
    assert store.commit(make_changes("m")) == {}
    assert not store.verify()
    store.close()


@pytest.mark.parametrize("state", ["57P01", "08006", "40003"])
def test_postgres_commit_with_unknown_outcome_is_uncertain(server: FakePostgresServer, state: str) -> None:
    store = PostgresStore(server.dsn)
    server.faults.commit_errors.append(state)
    with pytest.raises(CommitUncertainError):
        store.commit(make_changes("m"))
    store.close()


def test_postgres_store_with_too_many_connections_is_unavailable(server: FakePostgresServer) -> None:
    server.faults.startup_error = "53300"
    with pytest.raises(StoreUnavailableError):
        PostgresStore(server.dsn)
    server.faults.startup_error = None
    PostgresStore(server.dsn).close()


def test_postgres_store_without_server_is_unavailable(server: FakePostgresServer) -> None:
    dsn = server.dsn
    server.__exit__()
    with pytest.raises(StoreUnavailableError):
        PostgresStore(dsn)
