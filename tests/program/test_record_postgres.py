"""A relay with its record in PostgreSQL (the stand-in), through real sockets: cut, slow, away and back."""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

psycopg = pytest.importorskip("psycopg", reason="the extra `postgres` is not installed")

from loftrelay.store.backend import RecordQuery  # noqa: E402
from loftrelay.store.postgres import PostgresStore  # noqa: E402
from loftrelay.store.state_machine import MessageRecord, RecordState, StoredFinalStatus  # noqa: E402
from tests.program.test_connections import POLICY_LIMITS  # noqa: E402
from tests.program.test_record import submit_to_two_relays  # noqa: E402
from tests.standins.fake_host import FakeHost  # noqa: E402
from tests.standins.fake_postgres import FakePostgresServer, Faults, cut_connection  # noqa: E402
from tests.standins.harness import (  # noqa: E402
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    format_submission,
    respond_ok,
    run_scenario,
)
from tests.standins.submissions import Client, Submission, SubmissionLog  # noqa: E402

MESSAGE_COUNT, CLIENT_COUNT = 10_000, 32
MAX_OPEN_MESSAGES = SETTINGS["policy_limits"]["most_held"]


@pytest.fixture
def server(tmp_path: Path) -> Iterator[FakePostgresServer]:
    with FakePostgresServer(tmp_path / "server.sqlite", password="harbour") as server:
        yield server


def configure_store(w: RelayHarness, server: FakePostgresServer) -> None:
    (w.folder / "record.toml").write_text(f'dsn = "{server.dsn}"\ncall_s = 20.0\n')
    w.arguments = ["--record", str(w.folder / "record.toml")]


def read_records(server: FakePostgresServer) -> dict[str, MessageRecord]:
    store = PostgresStore(server.dsn)
    try:
        assert not store.verify()
        return {entry.message_id: entry for entry in store.select(RecordQuery())}
    finally:
        store.close()


async def wait_until_reported(server: FakePostgresServer, names: set[str]) -> dict[str, MessageRecord]:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            found = await asyncio.to_thread(read_records, server)
            if all(name in found and found[name].state is RecordState.REPORTED for name in names):
                return found
            await asyncio.sleep(0.05)


async def submit_until_admitted(client: Client, order: Submission) -> None:
    while await client.submit(order) == 503:
        await asyncio.sleep(0.02)


def test_store_connection_cut_at_random_loses_and_repeats_no_order(
    tmp_path: Path, server: FakePostgresServer
) -> None:
    """Store and partner agree on every one; nothing ran twice, nothing is claimed that was not recorded."""
    chance, guard = random.Random(3), threading.Lock()

    def draw() -> Faults:
        with guard:
            side = chance.choice(("received", "sent"))
            return cut_connection(side, chance.randrange(50_000, 2_000_000))

    async def scenario(w: RelayHarness) -> None:
        w.limits["disk_mb"] = 50
        configure_store(w, server)
        async with FakeHost() as partner:
            w.add_endpoint(1, "plain", "Ready", "{}:{}".format(*partner.address))
            server.draw_faults = draw
            await w.start()
            account = SubmissionLog()

            async def client(n: int) -> None:
                own = Client(w, account)
                for i in range(n, MESSAGE_COUNT, CLIENT_COUNT):
                    await submit_until_admitted(own, Submission(f"o{i}", "order", 1, f"k{i}", 20.0))
                own.close()

            await asyncio.gather(*(client(n) for n in range(CLIENT_COUNT)))
            server.draw_faults = None
            server.close_connections()
            found = await wait_until_reported(server, set(account.admitted))
            assert server.cut_count >= 10
            assert len(found) == MESSAGE_COUNT
            assert max(partner.executions.values()) == 1
            told = {notice["id"]: notice["status"] for notice in w.status_reports}
            ends = {StoredFinalStatus.FAILED: "undeliverable", StoredFinalStatus.REJECTED: "deferred"}
            for name, entry in found.items():
                assert (entry.final_status is StoredFinalStatus.DELIVERED) == (
                    partner.executions[name] == 1
                ), name
                if entry.final_status is not StoredFinalStatus.DELIVERED and name in account.admitted:
                    assert entry.final_status is not None
                    assert told[name] == ends[entry.final_status]
            assert set(partner.executions) <= set(found)
            assert len(partner.executions) > 0.99 * MESSAGE_COUNT

    run_scenario(
        scenario, tmp_path, policy_limits=POLICY_LIMITS, extra={**SETTINGS["extra"], "call_slots": 64}
    )


def resident_bytes(pid: int) -> int:
    """Bytes of memory (proc(5), VmRSS)."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) * 1024


def test_overload_during_store_outage_rejects_orders_and_recovers(
    tmp_path: Path, server: FakePostgresServer
) -> None:
    """130% of what may be held: orders are refused at once with when to come back, status updates go on,
    memory is bounded, and each that comes again when the store is back runs once."""
    names = [f"o{i}" for i in range(int(1.3 * MAX_OPEN_MESSAGES))]

    async def scenario(w: RelayHarness) -> None:
        configure_store(w, server)
        host = await w.start_host(respond_ok)
        await w.start()
        await w.warm_up(host)
        assert w.process is not None

        async def refused(rounds: int) -> None:
            for _ in range(rounds):
                answers = await asyncio.gather(
                    *(w.send(format_submission(name, "order", path=f"/order/{name}")) for name in names)
                )
                assert {status for status, *_ in answers} == {503}
                assert all(float(headers["retry-after"]) > 0 for _, headers, _ in answers)

        server.may_commit.clear()
        await refused(1)
        before = resident_bytes(w.process.pid)
        await refused(3)
        assert await w.submit("during") == 202  # the journal answers for it
        await w.wait_until(lambda: "during" in host.request_ids)
        server.faults.startup_error = "57P03"  # the database system is starting up
        server.close_connections()
        server.may_commit.set()
        await w.wait_until(lambda: any("store of record is unavailable" in line for line in w.log))
        await refused(20)
        assert not any(name in host.request_ids for name in names)
        assert resident_bytes(w.process.pid) - before < 16 << 20
        server.faults.startup_error = None

        async def again(name: str) -> None:
            while await w.submit(name, "order", path=f"/order/{name}") == 503:
                await asyncio.sleep(0.02)

        await asyncio.gather(*(again(name) for name in names))
        found = await wait_until_reported(server, {*names, "during"})
        assert sorted(i for i in host.request_ids if i in names) == sorted(names)
        assert all(found[name].final_status is StoredFinalStatus.DELIVERED for name in names)

    run_scenario(scenario, tmp_path)


def test_two_relays_sharing_server_deliver_each_id_once(tmp_path: Path, server: FakePostgresServer) -> None:
    async def scenario(w: RelayHarness) -> None:
        configure_store(w, server)
        host = await w.start_host(respond_ok)
        names = await submit_to_two_relays(w, tmp_path)
        assert sorted(host.request_ids) == sorted(names) == sorted(read_records(server))

    run_scenario(scenario, tmp_path)
