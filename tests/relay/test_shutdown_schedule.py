"""Tests of a graceful shutdown: it ends before SIGKILL, whatever the deadlines of the message classes."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from pathlib import Path

import pytest

from loftrelay.decisions.settings import DeliverySemantics, MessageClass
from loftrelay.relay.shutdown_schedule import shutdown_schedule
from tests.standins.harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    format_submission,
    read_response,
    respond_ok,
    run_scenario,
)

MESSAGE_CLASS = MessageClass("x", DeliverySemantics.IDEMPOTENT, None, None, None, 1_000_000, 1.0, 0.5, False)


@pytest.mark.parametrize(
    ("deadlines_s", "grace_period_s"),
    [
        ([24.0], 3.7),
        ([2.9], 3.7),
        ([2.0, 1.4], 2.8),
        ([1.2], 2.0),
        ([0.05], 0.85),
        ([1.0, None], 3.7),
        ([], 3.7),
    ],
)
def test_shutdown_schedule_places_each_step_before_sigkill(
    deadlines_s: list[float | None], grace_period_s: float
) -> None:
    classes = [
        replace(MESSAGE_CLASS, deadline=None if deadline is None else int(deadline * 1e6))
        for deadline in deadlines_s
    ]
    schedule = shutdown_schedule(classes)
    assert 0 <= schedule.last_call < schedule.last_admission < schedule.last_response < schedule.exit
    assert schedule.exit < grace_period_s
    assert schedule.exit > grace_period_s - 0.15
    assert schedule.last_admission > grace_period_s - 0.3


def test_relay_with_short_deadlines_exits_before_sigkill(tmp_path: Path) -> None:
    """With deadlines of 2 s the platform sends SIGKILL 2.8 s after SIGTERM, which once hit open calls."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        reader, writer = await asyncio.open_connection(*w.address)
        writer.write(format_submission("m", Request_Timeout_Ms="1200"))
        assert (await read_response(reader))[0].startswith("HTTP/1.1 202")
        await w.wait_until(lambda: host.request_ids == ["m"])
        assert w.process is not None
        signalled_at = asyncio.get_running_loop().time()
        w.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
            assert await w.process.wait() == 0
        # 2.0 s on an idle machine; 3.45 s with a schedule that ignores the deadlines.
        assert asyncio.get_running_loop().time() - signalled_at < 3.0
        writer.close()

    classes = [{**row, "deadline": 1_200_000} for row in SETTINGS["classes"]]
    run_scenario(scenario, tmp_path, classes=classes)
