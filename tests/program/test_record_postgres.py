"""A relay with its store in a fake PostgreSQL server: connections cut, commits slow, server down and back."""

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
from tests.program.test_store_outage import (  # noqa: E402
    MESSAGE_TIME_S,
    REPORT_MARGIN_S,
    SlowHost,
    late_messages,
    submit_orders,
)
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


def configure_store(harness: RelayHarness, server: FakePostgresServer) -> None:
    """Configures the fake PostgreSQL server as store of record."""
    (harness.folder / "record.toml").write_text(f'dsn = "{server.dsn}"\ncall_s = 20.0\n')
    harness.arguments = ["--record", str(harness.folder / "record.toml")]


def read_records(server: FakePostgresServer) -> dict[str, MessageRecord]:
    """Returns all records by message id, after the store's own check."""
    store = PostgresStore(server.dsn)
    try:
        assert not store.verify()
        return {entry.message_id: entry for entry in store.select(RecordQuery())}
    finally:
        store.close()


async def wait_until_reported(server: FakePostgresServer, message_ids: set[str]) -> dict[str, MessageRecord]:
    """Waits until the final status of all these messages is recorded as reported."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            found = await asyncio.to_thread(read_records, server)
            if all(name in found and found[name].state is RecordState.REPORTED for name in message_ids):
                return found
            await asyncio.sleep(0.05)


async def submit_until_admitted(client: Client, submission: Submission) -> None:
    """Repeats a submission until it is not rejected."""
    while await client.submit(submission) == 503:
        await asyncio.sleep(0.02)


def test_store_connection_cut_at_random_loses_and_repeats_no_order(
    tmp_path: Path, server: FakePostgresServer
) -> None:
    """Store and host agree on every order; none is executed twice, none reported that was not recorded."""
    rng, lock = random.Random(3), threading.Lock()

    def draw() -> Faults:
        with lock:
            side = rng.choice(("received", "sent"))
            return cut_connection(side, rng.randrange(50_000, 2_000_000))

    async def scenario(harness: RelayHarness) -> None:
        harness.limits["disk_mb"] = 50
        configure_store(harness, server)
        async with FakeHost() as host:
            harness.add_endpoint(1, "plain", "Ready", "{}:{}".format(*host.address))
            server.draw_faults = draw
            await harness.start()
            log = SubmissionLog()

            async def submit_share(n: int) -> None:
                client = Client(harness, log)
                for i in range(n, MESSAGE_COUNT, CLIENT_COUNT):
                    await submit_until_admitted(client, Submission(f"o{i}", "order", 1, f"k{i}", 20.0))
                client.close()

            await asyncio.gather(*(submit_share(n) for n in range(CLIENT_COUNT)))
            server.draw_faults = None
            server.close_connections()
            found = await wait_until_reported(server, set(log.admitted))
            assert server.cut_count >= 10
            assert len(found) == MESSAGE_COUNT
            assert max(host.executions.values()) == 1
            reported = {report["id"]: report["status"] for report in harness.status_reports}
            expected_reports = {
                StoredFinalStatus.FAILED: "undeliverable",
                StoredFinalStatus.REJECTED: "deferred",
            }
            for name, entry in found.items():
                assert (entry.final_status is StoredFinalStatus.DELIVERED) == (host.executions[name] == 1), (
                    name
                )
                if entry.final_status is not StoredFinalStatus.DELIVERED and name in log.admitted:
                    assert entry.final_status is not None
                    assert reported[name] == expected_reports[entry.final_status]
            assert set(host.executions) <= set(found)
            assert len(host.executions) > 0.99 * MESSAGE_COUNT

    run_scenario(
        scenario, tmp_path, policy_limits=POLICY_LIMITS, extra={**SETTINGS["extra"], "call_slots": 64}
    )


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes (VmRSS, proc(5))."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) * 1024


def test_overload_during_store_outage_rejects_orders_and_recovers(
    tmp_path: Path, server: FakePostgresServer
) -> None:
    """With 130% of the message limit orders are rejected at once with a Retry-After, status updates continue,
    memory is bounded, and each order resubmitted after the outage is executed once."""
    message_ids = [f"o{i}" for i in range(int(1.3 * MAX_OPEN_MESSAGES))]

    async def scenario(harness: RelayHarness) -> None:
        configure_store(harness, server)
        host = await harness.start_host(respond_ok)
        await harness.start()
        await harness.warm_up(host)
        assert harness.process is not None

        async def submit_all_rejected(rounds: int) -> None:
            for _ in range(rounds):
                responses = await asyncio.gather(
                    *(
                        harness.send(format_submission(name, "order", path=f"/order/{name}"))
                        for name in message_ids
                    )
                )
                assert {status for status, *_ in responses} == {503}
                assert all(float(headers["retry-after"]) > 0 for _, headers, _ in responses)

        server.may_commit.clear()
        await submit_all_rejected(1)
        bytes_before = resident_bytes(harness.process.pid)
        await submit_all_rejected(3)
        assert await harness.submit("during") == 202  # the journal alone is enough for its class
        await harness.wait_until(lambda: "during" in host.request_ids)
        server.faults.startup_error = "57P03"  # the database system is starting up
        server.close_connections()
        server.may_commit.set()
        await harness.wait_until(
            lambda: any("store of record is unavailable" in line for line in harness.log)
        )
        await submit_all_rejected(20)
        assert not any(name in host.request_ids for name in message_ids)
        assert resident_bytes(harness.process.pid) - bytes_before < 16 << 20
        server.faults.startup_error = None

        async def resubmit(name: str) -> None:
            while await harness.submit(name, "order", path=f"/order/{name}") == 503:
                await asyncio.sleep(0.02)

        await asyncio.gather(*(resubmit(name) for name in message_ids))
        found = await wait_until_reported(server, {*message_ids, "during"})
        assert sorted(i for i in host.request_ids if i in message_ids) == sorted(message_ids)
        assert all(found[name].final_status is StoredFinalStatus.DELIVERED for name in message_ids)

    run_scenario(scenario, tmp_path)


def test_orders_are_reported_in_time_while_a_commit_of_the_server_hangs(
    tmp_path: Path, server: FakePostgresServer
) -> None:
    """Approvals and reports waited for the commit, which the driver ends after `call_s` at the latest."""

    async def scenario(harness: RelayHarness) -> None:
        configure_store(harness, server)
        host = SlowHost(0.2)
        await harness.start_host(host.respond)
        await harness.start()
        accepted = await submit_orders(harness, [f"o{number}" for number in range(6)])
        assert len(accepted) == 6
        server.may_commit.clear()
        await asyncio.sleep(MESSAGE_TIME_S + 2 * REPORT_MARGIN_S)
        assert late_messages(harness, host, accepted) == []
        assert harness.status_reports
        server.may_commit.set()
        found = await wait_until_reported(server, {submission.name for submission in accepted})
        reports = sorted(report["id"] for report in harness.status_reports)
        assert reports == sorted(
            name
            for name, record in found.items()
            if record.final_status is StoredFinalStatus.FAILED and name not in host.delivered
        )

    run_scenario(scenario, tmp_path, extra={**SETTINGS["extra"], "call_slots": 1})


def test_two_relays_sharing_server_deliver_each_id_once(tmp_path: Path, server: FakePostgresServer) -> None:
    async def scenario(harness: RelayHarness) -> None:
        configure_store(harness, server)
        host = await harness.start_host(respond_ok)
        message_ids = await submit_to_two_relays(harness, tmp_path)
        assert sorted(host.request_ids) == sorted(message_ids) == sorted(read_records(server))

    run_scenario(scenario, tmp_path)
