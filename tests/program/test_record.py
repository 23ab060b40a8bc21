"""A relay with a store of record, between scripted peers: store and partners agree on what has run."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import sqlite3
from pathlib import Path

import pytest

from loftrelay.store.backend import RecordQuery
from loftrelay.store.sqlite import VERSION, SQLiteStore
from loftrelay.store.state_machine import MessageRecord, RecordState, StoredFinalStatus
from tests.standins.platform import HANG, SETTINGS, Request, World, deliver, message, never, reply, run

FAST = {**SETTINGS["policy_limits"], "most_held": 2000}


def with_store(w: World, **keys: str) -> Path:
    path = w.folder / "record.sqlite"
    lines = {"file": f'"{path}"', "busy_ms": "50", **keys}
    (w.folder / "record.toml").write_text("".join(f"{key} = {value}\n" for key, value in lines.items()))
    w.arguments = ["--record", str(w.folder / "record.toml")]
    return path


def entries(path: Path) -> dict[str, MessageRecord]:
    store = SQLiteStore(path)
    try:
        assert not store.verify()
        return {entry.message_id: entry for entry in store.select(RecordQuery())}
    finally:
        store.close()


async def until(path: Path, names: list[str], state: RecordState) -> dict[str, MessageRecord]:
    """Until the store tells that of all these."""
    async with asyncio.timeout(HANG):
        while True:
            found = entries(path)
            if all(name in found and found[name].state is state for name in names):
                return found
            await asyncio.sleep(0.02)


def test_what_was_taken_and_answered_is_in_the_store(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        async def script(request: Request) -> bytes | None:
            return reply(500 if request.id == "bad" else 200)

        path = with_store(w)
        await w.host(script)
        await w.start()
        for name, of in (("order", "order"), ("status", "status"), ("bad", "order")):
            assert await w.hand_in(name, of, path="/order/k1" if name == "bad" else f"/{of}") == 202
        found = await until(path, ["order", "status", "bad"], RecordState.REPORTED)
        assert [found[name].final_status for name in ("order", "status", "bad")] == [
            StoredFinalStatus.DELIVERED,
            StoredFinalStatus.DELIVERED,
            StoredFinalStatus.FAILED,
        ]
        bad = found["bad"]
        about = bad.metadata
        assert (about.instance, about.tenant, about.destination, about.key) == ("n1", "acme", 1, "k1")
        assert bad.attempts == 1
        assert bad.result == "ERROR"
        assert bad.host == "h0"
        assert w.notices == [{"id": "bad", "status": "undeliverable"}]

    run(scenario, tmp_path)


def test_an_id_seen_before_gets_the_answer_that_its_message_had(tmp_path: Path) -> None:
    """After a restart, after its journal is lost, and at another instance that shares the store."""

    async def scenario(w: World) -> None:
        path = with_store(w)
        host = await w.host(deliver)
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await until(path, ["m"], RecordState.REPORTED)
        assert await w.hand_in("m", "order") == 200
        await w.kill()
        shutil.rmtree(tmp_path / "state")
        await w.start()
        assert await w.hand_in("m", "order") == 200
        (tmp_path / "other").mkdir()
        async with World(tmp_path / "other") as other:
            other.arguments, other.members, other.name_ = w.arguments, w.members, "n2"
            await other.start()
            assert await other.hand_in("m", "order") == 200
        assert host.ids == ["m"]

    run(scenario, tmp_path)


async def given_to_two(w: World, folder: Path) -> list[str]:
    """Hands each id to two relays that share a store at the same moment. Returns the ids."""
    names = [f"m{i}" for i in range(30)]
    await w.start()
    (folder / "other").mkdir()
    async with World(folder / "other") as other:
        other.arguments, other.members, other.name_ = w.arguments, w.members, "n2"
        await other.start()
        for name in names:
            raw = message(name, "order", path=f"/order/{name}")
            (a, *_), (b, *_) = await asyncio.gather(w.ask(raw), other.ask(raw))
            assert {a, b} <= {200, 202, 503}
            while a == b == 503:  # both lost the race for its row
                (a, *_) = await w.ask(raw)
        wanted = set(names)
        await w.until(lambda: wanted <= {i for peer in w.peers for i in peer.ids})
    return names


def test_two_instances_given_one_id_at_the_same_moment(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        path = with_store(w, busy_ms="2000")
        host = await w.host(deliver)
        names = await given_to_two(w, tmp_path)
        assert sorted(host.ids) == sorted(names)
        assert set(entries(path)) == set(names)

    run(scenario, tmp_path)


def test_while_the_store_is_away_orders_are_refused_at_once_and_updates_go_on(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        path = with_store(w)
        host = await w.host(deliver)
        await w.start()
        await w.warm(host)
        assert await w.hand_in("before", "order") == 202
        await until(path, ["before"], RecordState.REPORTED)
        lock = sqlite3.connect(path, isolation_level=None)
        lock.execute("BEGIN EXCLUSIVE")
        status, headers, _ = await w.ask(message("away", "order"))
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert await w.hand_in("update") == 202
        await w.until(lambda: "update" in host.ids)
        lock.execute("ROLLBACK")
        lock.close()
        async with asyncio.timeout(HANG):
            while await w.hand_in("after", "order") == 503:
                await asyncio.sleep(0.02)
        found = await until(path, ["update", "after"], RecordState.REPORTED)
        assert "away" not in found
        assert "away" not in host.ids

    run(scenario, tmp_path)


def test_what_is_out_when_the_store_goes_away_is_recorded_when_it_is_back(tmp_path: Path) -> None:
    """Its delivery is claimed to nobody before; a restart in between forgets nothing."""

    async def scenario(w: World) -> None:
        release = asyncio.Event()

        async def script(request: Request) -> bytes | None:
            await release.wait()
            return reply(200)

        path = with_store(w)
        host = await w.host(script)
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: host.ids == ["m"])
        lock = sqlite3.connect(path, isolation_level=None)
        lock.execute("BEGIN EXCLUSIVE")
        release.set()
        await w.until(lambda: host.answered == 1)
        assert await w.hand_in("next", "order") == 503
        await w.kill()
        lock.execute("ROLLBACK")
        lock.close()
        assert entries(path)["m"].final_status is None
        await w.start()
        found = await until(path, ["m"], RecordState.REPORTED)
        # The answer was read before the kill, or the attempt may have run: never a second time either way.
        assert found["m"].final_status in (StoredFinalStatus.DELIVERED, StoredFinalStatus.FAILED)
        assert host.ids == ["m"]

    run(scenario, tmp_path)


def test_the_journal_lost_with_the_store_left(tmp_path: Path) -> None:
    """Nobody knows whether it ran: it is failed, told, and never sent."""

    async def scenario(w: World) -> None:
        path = with_store(w)
        host = await w.host(never)
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: host.ids == ["m"])
        await w.kill()
        shutil.rmtree(tmp_path / "state")
        await w.start()
        await w.until(lambda: w.notices == [{"id": "m", "status": "undeliverable"}])
        found = await until(path, ["m"], RecordState.REPORTED)
        assert found["m"].final_status is StoredFinalStatus.FAILED
        assert host.ids == ["m"]

    run(scenario, tmp_path)


def test_the_store_lost_with_the_journal_left(tmp_path: Path) -> None:
    """What the journal holds goes on, and is told to the new store; what may have run is failed."""

    async def scenario(w: World) -> None:
        path = with_store(w)
        host = await w.host(never, dest=1)
        w.name(2)
        await w.start()
        assert await w.hand_in("out", "order") == 202
        await w.until(lambda: host.ids == ["out"])
        assert await w.hand_in("waits", dest=2) == 202
        await w.kill()
        for file in tmp_path.glob("record.sqlite*"):
            file.unlink()
        await w.start()
        await w.until(lambda: w.notices == [{"id": "out", "status": "undeliverable"}])
        found = await until(path, ["out"], RecordState.REPORTED)
        assert found["out"].final_status is StoredFinalStatus.FAILED
        assert found["out"].attempts == 1
        assert (await until(path, ["waits"], RecordState.ADMITTED))["waits"].attempts == 0
        assert host.ids == ["out"]

    run(scenario, tmp_path)


@pytest.mark.parametrize("seed", [1, 2])
def test_killed_at_random_points_store_and_partner_agree_on_every_message(tmp_path: Path, seed: int) -> None:
    async def scenario(w: World) -> None:
        chance = random.Random(seed)
        path = with_store(w, busy_ms="2000")
        host = await w.host(deliver)
        taken: list[str] = []

        async def client(number: int, stop: asyncio.Event) -> None:
            i = 0
            while not stop.is_set():
                i += 1
                name = f"c{number}m{len(taken)}-{i}"
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    if await w.hand_in(name, "order", path=f"/order/k{number}") == 202:
                        taken.append(name)

        for _ in range(6):
            await w.start()
            stop = asyncio.Event()
            clients = [asyncio.create_task(client(n, stop)) for n in range(6)]
            wanted = len(host.ids) + chance.randrange(5, 60)
            await w.until(lambda n=wanted: len(host.ids) >= n)  # type: ignore[misc]
            await w.kill()
            stop.set()
            await asyncio.gather(*clients)
        await w.start()
        found = await until(path, taken, RecordState.REPORTED)
        assert len(taken) > 50
        assert len(set(host.ids)) == len(host.ids)
        told = {notice["id"]: notice["status"] for notice in w.notices}
        for name, entry in found.items():
            if entry.final_status is StoredFinalStatus.DELIVERED:
                assert name in host.ids
            elif entry.final_status is StoredFinalStatus.FAILED:
                assert told[name] == "undeliverable"
        assert set(host.ids) <= set(found)  # nothing went out that the store had not seen

    run(scenario, tmp_path, policy_limits=FAST)


def test_a_store_that_will_not_get_better_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        path = with_store(w)
        SQLiteStore(path).close()
        database = sqlite3.connect(path)
        database.execute(f"PRAGMA user_version={VERSION + 1}")
        database.close()
        w.configure(w.discovery.address)
        with pytest.raises(AssertionError, match="version"):
            await w.start()
        assert w.process is not None
        assert await w.process.wait() == 1
        assert len(w.log) == 1
        assert f"version {VERSION + 1}" in w.log[0]

    run(scenario, tmp_path)


def test_a_store_that_is_away_at_the_start_is_waited_for(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        path = with_store(w)
        SQLiteStore(path).close()
        lock = sqlite3.connect(path, isolation_level=None)
        lock.execute("PRAGMA locking_mode=EXCLUSIVE")
        lock.execute("BEGIN EXCLUSIVE")
        host = await w.host(deliver)
        start = asyncio.create_task(w.start())
        await w.until(lambda: any("waits for its store" in line for line in w.log))
        assert not start.done()
        lock.close()
        await start
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: host.ids == ["m"])

    run(scenario, tmp_path)
