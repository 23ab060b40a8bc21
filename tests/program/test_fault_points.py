"""The relay is killed at each fault point between the admission of a message and its recorded result.

At every point the host executes the message at most once, the store's answer is correct, and a client that
received 202 gets a final status. A client without a response retries under the same id, which causes no
second execution.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from loftrelay.relay.fault_points import DELIVERY_POINTS, FINAL_STATUS_POINTS, SUCCESSOR_POINTS
from loftrelay.store.state_machine import RecordState, StoredFinalStatus
from tests.program.test_record import configure_store, read_records, wait_for_state
from tests.standins.harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    run_scenario,
)

POLICY_LIMITS = {**SETTINGS["policy_limits"], "most_tries": 1}
# Status of the host's response, and the fault points that a message passes after it.
COMMON_POINTS = [
    fault_point for fault_point in DELIVERY_POINTS if fault_point not in ("journal end", "journal over")
]
CASES = [
    *((200, fault_point) for fault_point in DELIVERY_POINTS),
    *((500, fault_point) for fault_point in (*COMMON_POINTS, *FINAL_STATUS_POINTS)),
    *((503, fault_point) for fault_point in FINAL_STATUS_POINTS),
]


@pytest.mark.parametrize(("status", "fault_point"), CASES, ids=lambda value: str(value).replace(" ", "-"))
def test_relay_killed_at_fault_point_keeps_guarantees_after_restart(
    tmp_path: Path, status: int, fault_point: str
) -> None:
    async def scenario(harness: RelayHarness) -> None:
        executed: list[str] = []

        async def respond(request: Request) -> bytes | None:
            if status != 503:
                executed.append(request.id)
            return format_response(status)

        path = configure_store(harness, busy_ms="2000")
        host = await harness.start_host(respond)
        program = harness.program
        harness.program = ["-m", "tests.standins.killed", fault_point]
        await harness.start()
        status_seen: int | None = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            status_seen = await harness.submit("m", "order")
        assert harness.process is not None
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await harness.process.wait() == -9  # the fault point was reached
        call_count = len(host.request_ids)
        harness.program = program
        await harness.start()
        if status_seen is None:
            status_seen = await harness.submit("m", "order")  # as a client without a response does
        assert status_seen in (200, 202, 500, 503)
        if status_seen in (202, 200):
            found = await wait_for_state(path, ["m"], RecordState.REPORTED)
            expected_reports = {"delivered": [], "failed": ["undeliverable"], "refused": ["deferred"]}
            answer = found["m"].final_status
            assert answer is not None
            if status_seen == 202:
                assert {report["status"] for report in harness.status_reports} == set(
                    expected_reports[answer.value]
                )
            if answer is StoredFinalStatus.DELIVERED:
                assert status == 200
                assert executed == ["m"]
            if answer is StoredFinalStatus.REJECTED:
                assert not executed
        assert executed in ([], ["m"])
        if status != 503:
            assert len(host.request_ids) <= 1
            assert call_count == 0 or len(host.request_ids) == call_count

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)


def test_message_passes_fault_points_in_listed_order(tmp_path: Path) -> None:
    """A point that a message passes twice, or never, would change what a kill there tests."""

    async def scenario(harness: RelayHarness) -> None:
        async def respond(request: Request) -> bytes | None:
            return format_response(200)

        path = configure_store(harness)
        await harness.start_host(respond)
        harness.program = ["-c", TRACING_PROGRAM]
        await harness.start()
        assert await harness.submit("m", "order") == 202
        await wait_for_state(path, ["m"], RecordState.REPORTED)
        await harness.wait_until(lambda: "step journal over" in harness.log)
        passed = [line[5:] for line in harness.log if line.startswith("step ")]
        assert [fault_point for fault_point in passed if fault_point not in SUCCESSOR_POINTS] == list(
            DELIVERY_POINTS
        )
        assert read_records(path)["m"].final_status is StoredFinalStatus.DELIVERED

    run_scenario(scenario, tmp_path)


TRACING_PROGRAM = """
import sys
from loftrelay.__main__ import main
from loftrelay.relay import fault_points
fault_points.listener = lambda step: print("step", step, file=sys.stderr, flush=True)
sys.exit(main(sys.argv[1:]))
"""
