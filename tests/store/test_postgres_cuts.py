"""The connection to PostgreSQL cut at every byte, or fallen silent: a commit is read back, not guessed.

All against the stand-in (tests/standins/postgres.py): nothing here was tried on a real server.
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
from tests.standins.postgres import Faults, PostgresStandIn, cut  # noqa: E402
from tests.store.test_sqlite import life  # noqa: E402


@pytest.fixture
def server(tmp_path: Path) -> Iterator[PostgresStandIn]:
    with PostgresStandIn(tmp_path / "server.sqlite") as server:
        yield server


def exchange(server: PostgresStandIn) -> tuple[int, int]:
    """Bytes heard and said in one commit of one change, with no fault."""
    store = PostgresStore(server.dsn)
    line = server.lines[-1]
    heard, said = line.heard, line.said
    store.commit(life("probe")[:1])
    sizes = line.heard - heard, line.said - said
    store.close()
    return sizes


# Bytes of a Flush (PostgreSQL's protocol, 55.7). psycopg sends one at a pipeline's end where the answers are
# not there yet, mostly and not always: of two equal commits one may be heard in so many bytes fewer.
FLUSH = 5


@pytest.mark.parametrize("side", ["heard", "said"])
def test_cut_at_every_byte_of_a_commit(server: PostgresStandIn, side: str) -> None:
    """StoreUnavailableError: nothing is stored. CommitUncertainError: it is or is not, and reading back tells
    which. Either way the same change stored once more makes one record, with nothing wrong in it. A commit
    that was heard whole before the cut came is done, and raises nothing."""
    size = exchange(server)[side == "said"]
    outcomes: dict[str, set[bool]] = {"StoreUnavailableError": set(), "CommitUncertainError": set()}
    reader = PostgresStore(server.dsn)
    for byte in range(size):
        change = life(f"m{byte:04}")[0]  # as long as the name of the probe
        store = PostgresStore(server.dsn)
        line = server.lines[-1]
        line.faults = cut(side, getattr(line, side) + byte)
        try:
            store.commit([change])
            outcome = ""
        except (StoreUnavailableError, CommitUncertainError) as error:
            outcome = type(error).__name__
        store.close()
        seen = reader.read([change.message_id]).get(change.message_id)
        found = resolve_commit(change, seen)
        assert found in (CommitStatus.APPLIED, CommitStatus.MISSING)
        if outcome:
            outcomes[outcome].add(found is CommitStatus.APPLIED)
        else:
            assert side == "heard"
            assert byte >= size - FLUSH
            assert found is CommitStatus.APPLIED
        assert reader.commit([change]) == {}
        assert reader.read([change.message_id])[change.message_id].change_number == 1
    assert not reader.verify()
    assert len(list(reader.select(RecordQuery()))) == size + 1
    assert outcomes["StoreUnavailableError"] == {False}
    # Cut while it spoke, the server never had the whole COMMIT; while it answered, it had committed.
    assert outcomes["CommitUncertainError"] == {side == "said"}
    reader.close()


def test_cut_at_every_byte_of_the_start(server: PostgresStandIn) -> None:
    PostgresStore(server.dsn).close()
    sizes = server.lines[-1].heard, server.lines[-1].said
    for side, size in zip(("heard", "said"), sizes, strict=True):
        for byte in range(0, size, 7):
            server.faults = cut(side, byte)
            # Bytes of the farewell may be cut too: then it has started.
            try:
                PostgresStore(server.dsn).close()
            except StoreError as error:
                assert isinstance(error, StoreUnavailableError)
    server.faults = Faults()
    store = PostgresStore(server.dsn)
    assert store.commit(life("m")) == {}
    assert not store.verify()
    store.close()


@pytest.mark.parametrize("after", [0, 40], ids=["at once", "in the midst of an answer"])
def test_a_server_that_falls_silent_is_given_up(server: PostgresStandIn, after: int) -> None:
    """Its connection is open and nothing comes: the call ends, and another connection works."""
    store = PostgresStore(server.dsn, seconds=0.2)
    line = server.lines[-1]
    line.faults = Faults(hush_said=line.said + after)
    with pytest.raises(StoreUnavailableError):
        store.commit(life("m")[:1])
    with pytest.raises(StoreError):  # this one is of no further use
        store.read(["m"])
    store.close()
    other = PostgresStore(server.dsn)
    assert not other.read(["m"])
    assert other.commit(life("m")) == {}
    other.close()


def test_silent_just_when_it_has_committed(server: PostgresStandIn) -> None:
    said = exchange(server)[1]
    # Seconds that the statements before the commit need not use up on any machine; the commit waits them all.
    store = PostgresStore(server.dsn, seconds=3.0)
    line = server.lines[-1]
    line.faults = Faults(hush_said=line.said + said - 5)
    change = life("m")[0]
    with pytest.raises(CommitUncertainError):
        store.commit([change])
    store.close()
    other = PostgresStore(server.dsn)
    assert resolve_commit(change, other.read(["m"]).get("m")) is CommitStatus.APPLIED
    other.close()


def test_cut_at_random_bytes_a_writer_stores_every_change_once(server: PostgresStandIn) -> None:
    chance, guard = random.Random(11), threading.Lock()

    def draw() -> Faults:
        with guard:
            return cut(chance.choice(("heard", "said")), chance.randrange(1500, 12_000))

    async def main() -> None:
        server.drawn = draw
        writer = Writer(partial(PostgresStore, server.dsn), max_changes_per_commit=20)
        names = [f"m{i}" for i in range(300)]
        await asyncio.gather(*(writer.write(change) for name in names for change in life(name)))
        server.drawn = None
        await writer.close()
        assert server.cuts >= 5

    asyncio.run(main())
    store = PostgresStore(server.dsn)
    entries = list(store.select(RecordQuery()))
    assert {entry.message_id for entry in entries} == {f"m{i}" for i in range(300)}
    assert all(entry.state is RecordState.REPORTED and entry.attempts == 1 for entry in entries)
    assert not store.verify()
    store.close()
