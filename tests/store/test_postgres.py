"""The back end for PostgreSQL against a stand-in that can fail at any byte: nothing is guessed or doubled."""

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
from tests.standins.postgres import PostgresStandIn  # noqa: E402
from tests.store.test_sqlite import life  # noqa: E402


@pytest.fixture
def server(tmp_path: Path) -> Iterator[PostgresStandIn]:
    with PostgresStandIn(tmp_path / "server.sqlite") as server:
        yield server


def test_a_life_is_read_again_by_another_connection(server: PostgresStandIn) -> None:
    store, other = PostgresStore(server.dsn), PostgresStore(server.dsn)
    assert store.commit(life("m")) == {}
    entry = other.read(["m", "never"])["m"]
    assert (entry.state, entry.final_status, entry.attempts, entry.metadata.instance) == (
        RecordState.REPORTED,
        StoredFinalStatus.DELIVERED,
        1,
        "n1",
    )
    assert store.commit(life("m")) == {}
    assert not store.verify()
    store.close()
    other.close()


def test_a_commit_is_whole_or_not_at_all(server: PostgresStandIn) -> None:
    store = PostgresStore(server.dsn)
    with pytest.raises(RecordRuleError):
        store.commit([*life("a"), life("b")[1]])
    assert not store.read(["a", "b"])
    store.commit(life("a"))
    assert set(store.read(["a", "b"])) == {"a"}
    store.close()


def test_two_instances_given_one_id(server: PostgresStandIn) -> None:
    one, two = PostgresStore(server.dsn), PostgresStore(server.dsn)
    one.commit(life("m", end=None))
    kept = two.commit([life("m", at=2000, instance="n2")[0], *life("other", instance="n2")])
    assert kept[0].metadata.instance == "n1"
    assert set(one.read(["m", "other"])) == {"m", "other"}
    one.close()
    two.close()


def test_a_row_that_another_wrote_meanwhile_is_not_overwritten(server: PostgresStandIn) -> None:
    store = PostgresStore(server.dsn)
    store.commit(life("m")[:1])
    read = store._read

    def late(messages: list[str]) -> dict[str, object]:
        seen = read(messages)
        store.database.execute("UPDATE messages SET number = 9 WHERE id = 'm'")  # as if by another instance
        return seen  # type: ignore[return-value]

    store._read = late  # type: ignore[method-assign, assignment]
    with pytest.raises(StoreUnavailableError, match="another instance"):
        store.commit(life("m")[1:])
    store._read = read  # type: ignore[method-assign]
    assert store.read(["m"])["m"].change_number == 1  # rolled back as a whole
    store.close()


def test_select_and_prune(server: PostgresStandIn) -> None:
    store = PostgresStore(server.dsn)
    for i in range(10):
        store.commit(life(f"m{i}", at=1000 * (i + 1), tenant="acme" if i % 2 else "dijk"))
    store.commit(life("open", at=1, end=None))
    names = [entry.message_id for entry in store.select(RecordQuery(tenant="dijk", since=2000, until=9000))]
    assert names == ["m2", "m4", "m6"]
    assert [entry.message_id for entry in store.select(RecordQuery(unfinished=True, limit=3))] == ["open"]
    assert [store.prune(5_500, 3), store.prune(5_500, 3), store.prune(5_500, 3)] == [3, 2, 0]
    assert [entry.message_id for entry in store.select(RecordQuery())] == [
        "open",
        *(f"m{i}" for i in range(5, 10)),
    ]
    store.close()


def test_a_password_is_proved_and_never_sent(tmp_path: Path) -> None:
    with PostgresStandIn(tmp_path / "s.sqlite", password="harbour") as server:
        PostgresStore(server.dsn).close()
        with pytest.raises(
            (StoreUnusableError, StoreUnavailableError), match="password authentication failed"
        ):
            PostgresStore(server.dsn.replace("harbour", "wrong"))


def test_a_newer_schema_is_refused(server: PostgresStandIn) -> None:
    store = PostgresStore(server.dsn)
    store.database.execute(f"UPDATE record_version SET version = {VERSION + 1}".encode())
    store.close()
    with pytest.raises(StoreUnusableError, match=f"version {VERSION + 1}"):
        PostgresStore(server.dsn)


@pytest.mark.parametrize("state", ["40001", "40P01", "25006", "53100", "55P03"])
def test_what_the_server_rolled_back_comes_again(server: PostgresStandIn, state: str) -> None:
    """A serialization failure, a deadlock, a read-only standby after a failover, a full disk, a lock."""
    store = PostgresStore(server.dsn)
    server.faults.errors.append(state)
    with pytest.raises(StoreUnavailableError):
        store.commit(life("m"))
    assert not store.read(["m"])
    assert store.commit(life("m")) == {}
    assert not store.verify()
    store.close()


@pytest.mark.parametrize("state", ["57P01", "08006", "40003"])
def test_a_commit_that_the_server_left_open_is_ambiguous(server: PostgresStandIn, state: str) -> None:
    store = PostgresStore(server.dsn)
    server.faults.errors.append(state)
    with pytest.raises(CommitUncertainError):
        store.commit(life("m"))
    store.close()


def test_out_of_connections_at_the_start_is_away(server: PostgresStandIn) -> None:
    server.faults.refuse = "53300"
    with pytest.raises(StoreUnavailableError):
        PostgresStore(server.dsn)
    server.faults.refuse = None
    PostgresStore(server.dsn).close()


def test_nobody_there_is_away(server: PostgresStandIn) -> None:
    dsn = server.dsn
    server.__exit__()
    with pytest.raises(StoreUnavailableError):
        PostgresStore(dsn)
