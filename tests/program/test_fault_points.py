"""The relay killed at each named step between taking a message on and its recorded answer, one by one.

Whatever the step: the partner runs it once at the most, the store's answer is true, and a client that was
told 202 has an end. A client that heard nothing comes again under the same id: that makes no second effect.
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
# Host's answer, the message's end, and the steps on the way there.
COMMON_POINTS = [step for step in DELIVERY_POINTS if step not in ("journal end", "journal over")]
CASES = [
    *((200, step) for step in DELIVERY_POINTS),
    *((500, step) for step in (*COMMON_POINTS, *FINAL_STATUS_POINTS)),
    *((503, step) for step in FINAL_STATUS_POINTS),
]


@pytest.mark.parametrize(("status", "step"), CASES, ids=lambda value: str(value).replace(" ", "-"))
def test_relay_killed_at_fault_point_keeps_guarantees_after_restart(
    tmp_path: Path, status: int, step: str
) -> None:
    async def scenario(w: RelayHarness) -> None:
        ran: list[str] = []

        async def script(request: Request) -> bytes | None:
            if status != 503:
                ran.append(request.id)
            return format_response(status)

        path = configure_store(w, busy_ms="2000")
        host = await w.start_host(script)
        plain = w.program
        w.program = ["-m", "tests.standins.killed", step]
        await w.start()
        heard: int | None = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            heard = await w.submit("m", "order")
        assert w.process is not None
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await w.process.wait() == -9  # the step was reached
        asked = len(host.request_ids)
        w.program = plain
        await w.start()
        if heard is None:
            heard = await w.submit("m", "order")  # as a client does that heard nothing
        assert heard in (200, 202, 500, 503)
        if heard in (202, 200):
            found = await wait_for_state(path, ["m"], RecordState.REPORTED)
            ends = {"delivered": [], "failed": ["undeliverable"], "refused": ["deferred"]}
            answer = found["m"].final_status
            assert answer is not None
            if heard == 202:
                assert {notice["status"] for notice in w.status_reports} == set(ends[answer.value])
            if answer is StoredFinalStatus.DELIVERED:
                assert status == 200
                assert ran == ["m"]
            if answer is StoredFinalStatus.REJECTED:
                assert not ran
        assert ran in ([], ["m"])
        if status != 503:
            assert len(host.request_ids) <= 1
            assert asked == 0 or len(host.request_ids) == asked

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)


def test_message_passes_fault_points_in_listed_order(tmp_path: Path) -> None:
    """A step that a message passes twice, or never, would make its kill mean something else."""

    async def scenario(w: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            return format_response(200)

        path = configure_store(w)
        await w.start_host(script)
        w.program = ["-c", TRACING_PROGRAM]
        await w.start()
        assert await w.submit("m", "order") == 202
        await wait_for_state(path, ["m"], RecordState.REPORTED)
        await w.wait_until(lambda: "step journal over" in w.log)
        passed = [line[5:] for line in w.log if line.startswith("step ")]
        assert [step for step in passed if step not in SUCCESSOR_POINTS] == list(DELIVERY_POINTS)
        assert read_records(path)["m"].final_status is StoredFinalStatus.DELIVERED

    run_scenario(scenario, tmp_path)


TRACING_PROGRAM = """
import sys
from loftrelay.__main__ import main
from loftrelay.relay import fault_points
fault_points.listener = lambda step: print("step", step, file=sys.stderr, flush=True)
sys.exit(main(sys.argv[1:]))
"""
