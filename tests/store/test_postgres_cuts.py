"""PostgreSQL store with a connection that is cut at every byte or unresponsive: a commit is read back.

All tests use the stand-in (tests/standins/fake_postgres.py), none a real server.
"""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

psycopg = pytest.importorskip("psycopg", reason="the extra `postgres` is not installed")

from loftrelay.store.backend import CommitUncertainError, RecordQuery, StoreError, StoreUnavailableError  # noqa: E402
from loftrelay.store.postgres import PostgresStore  # noqa: E402
from loftrelay.store.state_machine import CommitStatus, RecordState, resolve_commit  # noqa: E402
from loftrelay.store.writer import Writer  # noqa: E402
from tests.standins.fake_postgres import FakePostgresServer, Faults, cut_connection  # noqa: E402
from tests.store.test_sqlite import make_changes  # noqa: E402


@pytest.fixture
def server(tmp_path: Path) -> Iterator[FakePostgresServer]:
    with FakePostgresServer(tmp_path / "server.sqlite") as server:
        yield server


def measure_commit_bytes(server: FakePostgresServer) -> tuple[int, int]:
    """Returns the bytes that the server receives and sends in one commit of one change, without a fault."""
    store = PostgresStore(server.dsn)
    line = server.connections[-1]
    heard, said = line.received, line.sent
    store.commit(make_changes("probe")[:1])
    sizes = line.received - heard, line.sent - said
    store.close()
    return sizes


# Size of a Flush message (PostgreSQL's protocol, 55.7). psycopg sends one at the end of a pipeline if the
# responses have not arrived yet, which varies: of two equal commits one may have so many bytes fewer.
FLUSH_BYTES = 5


@pytest.mark.parametrize("side", ["received", "sent"])
def test_postgres_commit_cut_at_every_byte_raises_the_right_error(
    server: FakePostgresServer, side: str
) -> None:
    """StoreUnavailableError: nothing is stored. CommitUncertainError: reading back tells if it is stored.
    In both cases committing the same change again results in one consistent record. A commit that the server
    received completely before the cut succeeds."""
    size = measure_commit_bytes(server)[side == "sent"]
    outcomes: dict[str, set[bool]] = {"StoreUnavailableError": set(), "CommitUncertainError": set()}
    reader = PostgresStore(server.dsn)
    for byte in range(size):
        change = make_changes(f"m{byte:04}")[0]  # as long as the id of the probe
        store = PostgresStore(server.dsn)
        line = server.connections[-1]
        line.faults = cut_connection(side, getattr(line, side) + byte)
        try:
            store.commit([change])
            outcome = ""
        except (StoreUnavailableError, CommitUncertainError) as error:
            outcome = type(error).__name__
        store.close()
        stored = reader.read([change.message_id]).get(change.message_id)
        status = resolve_commit(change, stored)
        assert status in (CommitStatus.APPLIED, CommitStatus.MISSING)
        if outcome:
            outcomes[outcome].add(status is CommitStatus.APPLIED)
        else:
            assert side == "received"
            assert byte >= size - FLUSH_BYTES
            assert status is CommitStatus.APPLIED
        assert reader.commit([change]) == {}
        assert reader.read([change.message_id])[change.message_id].change_number == 1
    assert not reader.verify()
    assert len(list(reader.select(RecordQuery()))) == size + 1
    assert outcomes["StoreUnavailableError"] == {False}
    # Cut in the request, the server never had the complete COMMIT; cut in the response, it had committed.
    assert outcomes["CommitUncertainError"] == {side == "sent"}
    reader.close()


def test_postgres_store_cut_while_opening_is_unavailable_or_open(server: FakePostgresServer) -> None:
    PostgresStore(server.dsn).close()
    sizes = server.connections[-1].received, server.connections[-1].sent
    for side, size in zip(("received", "sent"), sizes, strict=True):
        for byte in range(0, size, 7):
            server.faults = cut_connection(side, byte)
            # The bytes of the Terminate message may be cut, too: then the store was opened.
            try:
                PostgresStore(server.dsn).close()
            except StoreError as error:
                assert isinstance(error, StoreUnavailableError)
    server.faults = Faults()
    store = PostgresStore(server.dsn)
    assert store.commit(make_changes("m")) == {}
    assert not store.verify()
    store.close()


@pytest.mark.parametrize("after", [0, 40], ids=["immediately", "within a response"])
def test_postgres_commit_with_unresponsive_server_times_out(server: FakePostgresServer, after: int) -> None:
    """The connection is open and nothing is received: the call ends, and another connection works."""
    store = PostgresStore(server.dsn, call_timeout_s=0.2)
    line = server.connections[-1]
    line.faults = Faults(silent_after_sent=line.sent + after)
    with pytest.raises(StoreUnavailableError):
        store.commit(make_changes("m")[:1])
    with pytest.raises(StoreError):  # this connection can't be used any more
        store.read(["m"])
    store.close()
    other = PostgresStore(server.dsn)
    assert not other.read(["m"])
    assert other.commit(make_changes("m")) == {}
    other.close()


def test_postgres_commit_without_response_to_commit_is_uncertain(server: FakePostgresServer) -> None:
    said = measure_commit_bytes(server)[1]
    # Long enough for the statements before the COMMIT on a slow machine; the COMMIT waits for all of it.
    store = PostgresStore(server.dsn, call_timeout_s=3.0)
    line = server.connections[-1]
    line.faults = Faults(silent_after_sent=line.sent + said - 5)
    change = make_changes("m")[0]
    with pytest.raises(CommitUncertainError):
        store.commit([change])
    store.close()
    other = PostgresStore(server.dsn)
    assert resolve_commit(change, other.read(["m"]).get("m")) is CommitStatus.APPLIED
    other.close()


def test_writer_with_randomly_cut_connections_stores_every_change_once(server: FakePostgresServer) -> None:
    rng, lock = random.Random(11), threading.Lock()

    def draw_faults() -> Faults:
        with lock:
            return cut_connection(rng.choice(("received", "sent")), rng.randrange(1500, 12_000))

    async def main() -> None:
        server.draw_faults = draw_faults
        writer = Writer(partial(PostgresStore, server.dsn), max_changes_per_commit=20)
        names = [f"m{i}" for i in range(300)]
        await asyncio.gather(*(writer.write(change) for name in names for change in make_changes(name)))
        server.draw_faults = None
        await writer.close()
        assert server.cut_count >= 5

    asyncio.run(main())
    store = PostgresStore(server.dsn)
    records = list(store.select(RecordQuery()))
    assert {record.message_id for record in records} == {f"m{i}" for i in range(300)}
    assert all(record.state is RecordState.REPORTED and record.attempts == 1 for record in records)
    assert not store.verify()
    store.close()
