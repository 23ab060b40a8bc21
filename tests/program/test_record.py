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
from tests.standins.harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    format_submission,
    never_respond,
    respond_ok,
    run_scenario,
)

POLICY_LIMITS = {**SETTINGS["policy_limits"], "most_held": 2000}


def configure_store(w: RelayHarness, **keys: str) -> Path:
    path = w.folder / "record.sqlite"
    lines = {"file": f'"{path}"', "busy_ms": "50", **keys}
    (w.folder / "record.toml").write_text("".join(f"{key} = {value}\n" for key, value in lines.items()))
    w.arguments = ["--record", str(w.folder / "record.toml")]
    return path


def read_records(path: Path) -> dict[str, MessageRecord]:
    store = SQLiteStore(path)
    try:
        assert not store.verify()
        return {entry.message_id: entry for entry in store.select(RecordQuery())}
    finally:
        store.close()


async def wait_for_state(path: Path, names: list[str], state: RecordState) -> dict[str, MessageRecord]:
    """Until the store tells that of all these."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            found = read_records(path)
            if all(name in found and found[name].state is state for name in names):
                return found
            await asyncio.sleep(0.02)


def test_store_records_admissions_and_results(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            return format_response(500 if request.id == "bad" else 200)

        path = configure_store(w)
        await w.start_host(script)
        await w.start()
        for name, of in (("order", "order"), ("status", "status"), ("bad", "order")):
            assert await w.submit(name, of, path="/order/k1" if name == "bad" else f"/{of}") == 202
        found = await wait_for_state(path, ["order", "status", "bad"], RecordState.REPORTED)
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
        assert w.status_reports == [{"id": "bad", "status": "undeliverable"}]

    run_scenario(scenario, tmp_path)


def test_resubmission_gets_recorded_answer_after_restart_and_elsewhere(tmp_path: Path) -> None:
    """After a restart, after its journal is lost, and at another instance that shares the store."""

    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w)
        host = await w.start_host(respond_ok)
        await w.start()
        assert await w.submit("m", "order") == 202
        await wait_for_state(path, ["m"], RecordState.REPORTED)
        assert await w.submit("m", "order") == 200
        await w.kill()
        shutil.rmtree(tmp_path / "state")
        await w.start()
        assert await w.submit("m", "order") == 200
        (tmp_path / "other").mkdir()
        async with RelayHarness(tmp_path / "other") as other:
            other.arguments, other.endpoints, other.relay_name = w.arguments, w.endpoints, "n2"
            await other.start()
            assert await other.submit("m", "order") == 200
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path)


async def submit_to_two_relays(w: RelayHarness, folder: Path) -> list[str]:
    """Hands each id to two relays that share a store at the same moment. Returns the ids."""
    names = [f"m{i}" for i in range(30)]
    await w.start()
    (folder / "other").mkdir()
    async with RelayHarness(folder / "other") as other:
        other.arguments, other.endpoints, other.relay_name = w.arguments, w.endpoints, "n2"
        await other.start()
        for name in names:
            raw = format_submission(name, "order", path=f"/order/{name}")
            (a, *_), (b, *_) = await asyncio.gather(w.send(raw), other.send(raw))
            assert {a, b} <= {200, 202, 503}
            while a == b == 503:  # both lost the race for its row
                (a, *_) = await w.send(raw)
        wanted = set(names)
        await w.wait_until(lambda: wanted <= {i for peer in w.servers for i in peer.request_ids})
    return names


def test_id_submitted_to_two_relays_at_once_is_delivered_once(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w, busy_ms="2000")
        host = await w.start_host(respond_ok)
        names = await submit_to_two_relays(w, tmp_path)
        assert sorted(host.request_ids) == sorted(names)
        assert set(read_records(path)) == set(names)

    run_scenario(scenario, tmp_path)


def test_locked_store_rejects_orders_and_admits_status_updates(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w)
        host = await w.start_host(respond_ok)
        await w.start()
        await w.warm_up(host)
        assert await w.submit("before", "order") == 202
        await wait_for_state(path, ["before"], RecordState.REPORTED)
        lock = sqlite3.connect(path, isolation_level=None)
        lock.execute("BEGIN EXCLUSIVE")
        status, headers, _ = await w.send(format_submission("away", "order"))
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert await w.submit("update") == 202
        await w.wait_until(lambda: "update" in host.request_ids)
        lock.execute("ROLLBACK")
        lock.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await w.submit("after", "order") == 503:
                await asyncio.sleep(0.02)
        found = await wait_for_state(path, ["update", "after"], RecordState.REPORTED)
        assert "away" not in found
        assert "away" not in host.request_ids

    run_scenario(scenario, tmp_path)


def test_call_in_flight_during_store_outage_is_recorded_afterwards(tmp_path: Path) -> None:
    """Its delivery is claimed to nobody before; a restart in between forgets nothing."""

    async def scenario(w: RelayHarness) -> None:
        release = asyncio.Event()

        async def script(request: Request) -> bytes | None:
            await release.wait()
            return format_response(200)

        path = configure_store(w)
        host = await w.start_host(script)
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])
        lock = sqlite3.connect(path, isolation_level=None)
        lock.execute("BEGIN EXCLUSIVE")
        release.set()
        await w.wait_until(lambda: host.response_count == 1)
        assert await w.submit("next", "order") == 503
        await w.kill()
        lock.execute("ROLLBACK")
        lock.close()
        assert read_records(path)["m"].final_status is None
        await w.start()
        found = await wait_for_state(path, ["m"], RecordState.REPORTED)
        # The answer was read before the kill, or the attempt may have run: never a second time either way.
        assert found["m"].final_status in (StoredFinalStatus.DELIVERED, StoredFinalStatus.FAILED)
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path)


def test_restart_without_journal_fails_message_in_flight(tmp_path: Path) -> None:
    """Nobody knows whether it ran: it is failed, told, and never sent."""

    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w)
        host = await w.start_host(never_respond)
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])
        await w.kill()
        shutil.rmtree(tmp_path / "state")
        await w.start()
        await w.wait_until(lambda: w.status_reports == [{"id": "m", "status": "undeliverable"}])
        found = await wait_for_state(path, ["m"], RecordState.REPORTED)
        assert found["m"].final_status is StoredFinalStatus.FAILED
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path)


def test_restart_without_store_file_continues_from_journal(tmp_path: Path) -> None:
    """What the journal holds goes on, and is told to the new store; what may have run is failed."""

    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w)
        host = await w.start_host(never_respond, destination=1)
        w.add_unavailable_destination(2)
        await w.start()
        assert await w.submit("out", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["out"])
        assert await w.submit("waits", destination=2) == 202
        await w.kill()
        for file in tmp_path.glob("record.sqlite*"):
            file.unlink()
        await w.start()
        await w.wait_until(lambda: w.status_reports == [{"id": "out", "status": "undeliverable"}])
        found = await wait_for_state(path, ["out"], RecordState.REPORTED)
        assert found["out"].final_status is StoredFinalStatus.FAILED
        assert found["out"].attempts == 1
        assert (await wait_for_state(path, ["waits"], RecordState.ADMITTED))["waits"].attempts == 0
        assert host.request_ids == ["out"]

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("seed", [1, 2])
def test_relay_killed_at_random_agrees_with_store_and_host(tmp_path: Path, seed: int) -> None:
    async def scenario(w: RelayHarness) -> None:
        chance = random.Random(seed)
        path = configure_store(w, busy_ms="2000")
        host = await w.start_host(respond_ok)
        taken: list[str] = []

        async def client(number: int, stop: asyncio.Event) -> None:
            i = 0
            while not stop.is_set():
                i += 1
                name = f"c{number}m{len(taken)}-{i}"
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    if await w.submit(name, "order", path=f"/order/k{number}") == 202:
                        taken.append(name)

        for _ in range(6):
            await w.start()
            stop = asyncio.Event()
            clients = [asyncio.create_task(client(n, stop)) for n in range(6)]
            wanted = len(host.request_ids) + chance.randrange(5, 60)
            await w.wait_until(lambda n=wanted: len(host.request_ids) >= n)  # type: ignore[misc]
            await w.kill()
            stop.set()
            await asyncio.gather(*clients)
        await w.start()
        found = await wait_for_state(path, taken, RecordState.REPORTED)
        assert len(taken) > 50
        assert len(set(host.request_ids)) == len(host.request_ids)
        told = {notice["id"]: notice["status"] for notice in w.status_reports}
        for name, entry in found.items():
            if entry.final_status is StoredFinalStatus.DELIVERED:
                assert name in host.request_ids
            elif entry.final_status is StoredFinalStatus.FAILED:
                assert told[name] == "undeliverable"
        assert set(host.request_ids) <= set(found)  # nothing went out that the store had not seen

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)


def test_start_with_unsupported_store_version_fails_with_one_line(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w)
        SQLiteStore(path).close()
        database = sqlite3.connect(path)
        database.execute(f"PRAGMA user_version={VERSION + 1}")
        database.close()
        w.write_config(w.discovery.address)
        with pytest.raises(AssertionError, match="version"):
            await w.start()
        assert w.process is not None
        assert await w.process.wait() == 1
        assert len(w.log) == 1
        assert f"version {VERSION + 1}" in w.log[0]

    run_scenario(scenario, tmp_path)


def test_start_with_locked_store_waits_for_it(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        path = configure_store(w)
        SQLiteStore(path).close()
        lock = sqlite3.connect(path, isolation_level=None)
        lock.execute("PRAGMA locking_mode=EXCLUSIVE")
        lock.execute("BEGIN EXCLUSIVE")
        host = await w.start_host(respond_ok)
        start = asyncio.create_task(w.start())
        await w.wait_until(lambda: any("waits for its store" in line for line in w.log))
        assert not start.done()
        lock.close()
        await start
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])

    run_scenario(scenario, tmp_path)
