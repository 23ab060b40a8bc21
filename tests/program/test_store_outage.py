"""The store of record is away, slow or hangs: accepted messages are delivered or reported in their time.

Once the store is back, it has the reported final status, also after a kill during the outage.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sqlite3
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from loftrelay.relay.fault_points import UNRECORDED_POINTS
from loftrelay.store.state_machine import RecordState, StoredFinalStatus
from tests.program.test_record import configure_store, read_records, wait_for_state
from tests.standins.harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    run_scenario,
    undeliverable_report,
)
from tests.standins.store_lock import locked_store

REPORT_MARGIN_S = 0.35  # after the deadline of a message its report is due
MESSAGE_TIME_S = 2.0
SLOW_STORE_S = 8.0
KILL_AFTER_S = 3.7  # from SIGTERM to the platform's SIGKILL
UNCERTAIN_RESULTS = ("TIMEOUT", "BROKEN")  # the host may have run the message after the relay gave it up
CLIENT_WAIT_S = 0.4  # of a client for its response
ONE_CALL = {**SETTINGS["extra"], "call_slots": 1}
ONE_ATTEMPT = {**SETTINGS["policy_limits"], "most_tries": 1}


@dataclass(frozen=True)
class Submission:
    """An accepted message."""

    name: str
    due_at: float  # wall clock, seconds


async def submit_orders(
    harness: RelayHarness, names: list[str], message_time_s: float = MESSAGE_TIME_S
) -> list[Submission]:
    """Submits orders, each with another ordering key; returns those that were accepted."""
    accepted = []
    for name in names:
        due_at = time.time() + message_time_s
        time_left_ms = str(int(message_time_s * 1000))
        path = f"/order/{name}"
        if await harness.submit(name, "order", path=path, Request_Timeout_Ms=time_left_ms) == 202:
            accepted.append(Submission(name, due_at))
    return accepted


class SlowHost:
    """Host that takes some time for each message and delivers it."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.begun_at: dict[str, float] = {}
        self.delivered: list[str] = []

    async def respond(self, request: Request) -> bytes | None:
        self.begun_at[request.id] = time.time()
        await asyncio.sleep(self.work_s)
        self.delivered.append(request.id)
        return format_response(200)


def late_messages(harness: RelayHarness, host: SlowHost, accepted: list[Submission]) -> list[str]:
    """Describes the accepted messages that were neither delivered nor reported in time."""
    late = []
    for submission in accepted:
        reported_at = harness.reported_at.get(submission.name, float("inf"))
        late_s = reported_at - submission.due_at - REPORT_MARGIN_S
        if submission.name not in host.delivered and late_s > 0:
            late.append(f"{submission.name}: {late_s:.2f} s late")
    return late


def check_agreement(harness: RelayHarness, host: SlowHost, path: Path, accepted: list[Submission]) -> None:
    """Store, platform and host agree on each message, and no call followed a report.

    The client of a message that was not accepted knows that itself, so it may have no report.
    """
    accepted_names = {submission.name for submission in accepted}
    reports = [report["id"] for report in harness.status_reports]
    assert len(reports) == len(set(reports))
    for name, record in read_records(path).items():
        assert record.state is RecordState.REPORTED
        is_delivered = record.final_status is StoredFinalStatus.DELIVERED
        was_given_up = record.final_status is StoredFinalStatus.FAILED and record.result in UNCERTAIN_RESULTS
        assert is_delivered == (name in host.delivered) or was_given_up, name
        assert is_delivered == (name not in reports) or name not in accepted_names, name
    for name, reported_at in harness.reported_at.items():
        assert host.begun_at.get(name, 0.0) < reported_at


def test_waiting_orders_are_reported_in_time_while_the_store_is_away(tmp_path: Path) -> None:
    """Their reports waited for the store, and came only when it was back."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness)
        host = SlowHost(0.2)
        await harness.start_host(host.respond)
        await harness.start()
        accepted = await submit_orders(harness, [f"o{number}" for number in range(12)])
        assert len(accepted) == 12
        with locked_store(path):
            await asyncio.sleep(MESSAGE_TIME_S + 2 * REPORT_MARGIN_S)
            reported = set(harness.reported_at)
            assert reported
            assert await harness.submit("o11", "order", path="/order/o11") == 500  # as was reported
            assert read_records(path)["o11"].final_status is None
        assert late_messages(harness, host, accepted) == []
        await wait_for_state(path, [submission.name for submission in accepted], RecordState.REPORTED)
        assert set(harness.reported_at) == reported
        check_agreement(harness, host, path, accepted)
        assert await harness.submit("o11", "order", path="/order/o11") == 500

    run_scenario(scenario, tmp_path, extra=ONE_CALL)


@pytest.mark.parametrize("fault_point", UNRECORDED_POINTS, ids=lambda point: point.replace(" ", "-"))
def test_kill_around_an_unrecorded_report_keeps_its_final_status(tmp_path: Path, fault_point: str) -> None:
    """The store gets the reported final status; after the point "journal told" it is not reported again."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness)
        host = SlowHost(0.2)
        await harness.start_host(host.respond)
        program = harness.program
        harness.program = ["-m", "tests.standins.killed", fault_point]
        await harness.start()
        assert len(await submit_orders(harness, ["first", "second"])) == 2
        with locked_store(path):
            assert harness.process is not None
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert await harness.process.wait() == -9  # the fault point was reached
        reports = list(harness.status_reports)
        harness.program = program
        await harness.start()
        await wait_for_state(path, ["first", "second"], RecordState.REPORTED)
        await harness.wait_until(lambda: undeliverable_report("second") in harness.status_reports)
        assert "second" not in host.begun_at
        assert read_records(path)["second"].final_status is StoredFinalStatus.FAILED
        if fault_point == "journal told":
            assert harness.status_reports == reports == [undeliverable_report("second")]

    run_scenario(scenario, tmp_path, extra=ONE_CALL)


def test_kill_after_the_report_of_a_class_that_the_store_follows_keeps_its_final_status(
    tmp_path: Path,
) -> None:
    """The journal had completed the message: a start reported its open record as undeliverable."""

    async def scenario(harness: RelayHarness) -> None:
        async def reject(request: Request) -> bytes | None:
            return format_response(503)

        path = configure_store(harness)
        await harness.start_host(reject)
        await harness.start()
        assert await harness.submit("warm") == 202
        await wait_for_state(path, ["warm"], RecordState.REPORTED)
        assert await harness.submit("m") == 202
        await wait_for_state(path, ["m"], RecordState.REPORTED)
        harness.status_reports.clear()
        with locked_store(path):
            assert await harness.submit("away") == 202
            await harness.wait_until(lambda: len(harness.status_reports) == 1)
            await asyncio.sleep(0.1)  # for the acknowledgement of the report
            await harness.kill()
        await harness.start()
        found = await wait_for_state(path, ["away"], RecordState.REPORTED)
        assert found["away"].final_status is StoredFinalStatus.REJECTED
        assert [report["status"] for report in harness.status_reports] == ["deferred"]

    run_scenario(scenario, tmp_path, policy_limits=ONE_ATTEMPT)


def test_order_whose_attempt_waits_for_a_hanging_commit_is_reported_in_time(tmp_path: Path) -> None:
    """The attempt waited for its approval as long as the commit hung, and no deadline ended the wait."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms="30000")
        host = SlowHost(0.2)
        await harness.start_host(host.respond)
        await harness.start()
        accepted = await submit_orders(harness, [f"o{number}" for number in range(6)])
        with locked_store(path):
            await asyncio.sleep(MESSAGE_TIME_S + 2 * REPORT_MARGIN_S)
            assert await harness.submit("away", "order") == 503
        assert late_messages(harness, host, accepted) == []
        await wait_for_state(path, [submission.name for submission in accepted], RecordState.REPORTED)
        check_agreement(harness, host, path, accepted)
        assert harness.status_reports

    run_scenario(scenario, tmp_path, extra=ONE_CALL)


def test_client_gets_its_rejection_while_it_waits_although_the_store_hangs(tmp_path: Path) -> None:
    """By default it came after 0.5 s, when its client had gone."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms="30000")
        await harness.start_host(SlowHost(0.0).respond)
        await harness.start()
        with locked_store(path):
            async with asyncio.timeout(CLIENT_WAIT_S):
                assert await harness.submit("m", "order") == 503

    run_scenario(scenario, tmp_path)


def test_no_order_is_late_while_the_store_is_slow(tmp_path: Path) -> None:
    """Locks of 0.1 to 1.2 s, orders of 2 and 8 s."""
    rng = random.Random(5)

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms="2000")
        host = SlowHost(0.12)
        await harness.start_host(host.respond)
        await harness.start()
        accepted: list[Submission] = []
        is_over = False

        async def submit(number: int) -> None:
            count = 0
            while not is_over:
                count += 1
                with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    async with asyncio.timeout(0.4):
                        time_s = rng.choice((2.0, 8.0))
                        accepted.extend(await submit_orders(harness, [f"c{number}-{count}"], time_s))
                await asyncio.sleep(0.05)

        clients = [asyncio.create_task(submit(number)) for number in range(4)]
        ends_at = time.time() + SLOW_STORE_S
        while time.time() < ends_at:
            with locked_store(path):
                await asyncio.sleep(rng.uniform(0.1, 1.2))
            await asyncio.sleep(rng.uniform(0.05, 0.4))
        is_over = True
        await asyncio.gather(*clients)
        await asyncio.sleep(8.0 + REPORT_MARGIN_S)
        assert len(accepted) > 20
        assert late_messages(harness, host, accepted) == []
        await wait_for_state(path, [submission.name for submission in accepted], RecordState.REPORTED)
        check_agreement(harness, host, path, accepted)

    run_scenario(scenario, tmp_path, extra={**SETTINGS["extra"], "call_slots": 2})


@pytest.mark.parametrize("busy_ms", ["50", "30000"], ids=["store fails", "store hangs"])
def test_planned_restart_while_the_store_is_away_keeps_what_it_does_not_have(
    tmp_path: Path, busy_ms: str
) -> None:
    """The journal completed messages that the store had refused; with a hanging commit the process stayed."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms=busy_ms)
        host = SlowHost(1.0)
        await harness.start_host(host.respond)
        await harness.start()
        accepted = await submit_orders(harness, ["delivered", "reported"], message_time_s=1.5)
        assert len(accepted) == 2
        await harness.wait_until(lambda: "delivered" in host.begun_at)
        with locked_store(path):
            await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("reported")])
            signalled_at = time.time()
            assert await harness.stop(signal.SIGTERM) == 0
            assert time.time() - signalled_at < KILL_AFTER_S
        await harness.start()
        await wait_for_state(path, ["delivered", "reported"], RecordState.REPORTED)
        check_agreement(harness, host, path, accepted)
        assert host.delivered == ["delivered"]

    run_scenario(scenario, tmp_path, extra=ONE_CALL)


async def start_beside_locked_store(harness: RelayHarness, path: Path) -> sqlite3.Connection:
    """Kills the relay, locks the store against any use, and starts the relay, which waits for it."""
    await harness.kill()
    lock = sqlite3.connect(path, isolation_level=None)
    lock.execute("PRAGMA locking_mode=EXCLUSIVE")
    lock.execute("BEGIN EXCLUSIVE")
    harness.process = await harness.spawn()
    return lock


@pytest.mark.parametrize("busy_ms", ["50", "30000"], ids=["store fails", "store hangs"])
def test_start_while_the_store_is_away_reports_what_ends_meanwhile(tmp_path: Path, busy_ms: str) -> None:
    """Nothing was reported until the store was back."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms=busy_ms)
        host = SlowHost(0.5)
        await harness.start_host(host.respond)
        await harness.start()
        accepted = await submit_orders(harness, ["in-flight", "waits", "waits-too"], message_time_s=4.0)
        await harness.wait_until(lambda: "in-flight" in host.begun_at)
        lock = await start_beside_locked_store(harness, path)
        await asyncio.sleep(4.0 + REPORT_MARGIN_S)
        assert late_messages(harness, host, accepted) == []
        lock.close()
        await harness.wait_until(lambda: any("listens on" in line for line in harness.log))
        await wait_for_state(path, [submission.name for submission in accepted], RecordState.REPORTED)
        check_agreement(harness, host, path, accepted)

    run_scenario(scenario, tmp_path, extra=ONE_CALL)


def test_start_that_waits_for_its_store_ends_on_sigterm(tmp_path: Path) -> None:
    """The signal was not looked at before the store was back."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms="30000")
        await harness.start_host(SlowHost(0.0).respond)
        await harness.start()
        lock = await start_beside_locked_store(harness, path)
        await asyncio.sleep(1.0)
        async with asyncio.timeout(KILL_AFTER_S):
            assert await harness.stop(signal.SIGTERM) == 0
        lock.close()

    run_scenario(scenario, tmp_path)
