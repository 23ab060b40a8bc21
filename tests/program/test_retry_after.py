"""Retry-After of a host that is drained, removed, listed again or moved, at SIGHUP, SIGSTOP and handover."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.program.test_upgrade import run_with_shared_listener
from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    run_scenario,
)

RETRY_AFTER_S = 1.5
SINGLE_CALLS: dict[str, Any] = {"extra": {"bundle_max": [1, 1], "call_slots": 6, "own_limits": [False, True]}}


class RateLimitedHost:
    """A host that rejects its first call with a Retry-After and records when each later call arrived."""

    def __init__(self) -> None:
        self.rejected_at: float | None = None
        self.arrived_at: dict[str, float] = {}
        self.release = asyncio.Event()

    async def respond(self, request: Request) -> bytes:
        now = asyncio.get_running_loop().time
        if self.rejected_at is None:
            self.rejected_at = 0.0
            await self.release.wait()
            self.rejected_at = now()
            return format_response(429, X_Come_Back_Ms=str(int(RETRY_AFTER_S * 1000)))
        self.arrived_at[request.id] = now()
        return format_response(200)


async def wait_until_retry_after_applies(
    harness: RelayHarness, host_state: RateLimitedHost, host: StubServer
) -> None:
    """Waits until the relay applies the Retry-After: it rejects a message with a shorter timeout at once."""
    host_state.release.set()
    await harness.wait_until(lambda: host.response_count == 1)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while await harness.submit("short", Request_Timeout_Ms="300") != 503:
            pass


@pytest.mark.parametrize("flavor", ["plain", "bulk"])
@pytest.mark.parametrize(
    "event", ["none", "drained", "gone", "moved", "SIGHUP", "SIGSTOP", "received while suspended"]
)
def test_retry_after_outlasts_endpoint_and_process_events(tmp_path: Path, event: str, flavor: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host_state = RateLimitedHost()
        host = await harness.start_host(host_state.respond, flavor=flavor)
        await harness.start()
        assert harness.process is not None
        assert await harness.submit("first") == 202
        await harness.wait_until(lambda: host.request_ids == ["first"])
        if event == "received while suspended":  # when the Retry-After begins
            harness.process.send_signal(signal.SIGSTOP)
            host_state.release.set()
            await harness.wait_until(lambda: host.response_count == 1)
            await asyncio.sleep(RETRY_AFTER_S / 3)
            harness.process.send_signal(signal.SIGCONT)
        await wait_until_retry_after_applies(harness, host_state, host)
        endpoint = harness.endpoints[0]
        match event:
            case "drained" | "gone":
                harness.endpoints[0] = {
                    **endpoint,
                    "phase": {"drained": "Terminating", "gone": "Gone"}[event],
                }
                harness.revision += 1
                harness.notify_changed()
                acknowledged = f"index={harness.revision}&"
                await harness.wait_until(lambda: acknowledged in harness.discovery.requests[-1].target)
                harness.endpoints[0] = endpoint
            case "moved":
                other = await harness.start_server(host_state.respond)
                harness.endpoints[0] = {**endpoint, "host_port": other.address}
            case "SIGHUP":
                harness.settings = {**harness.settings, "tick": 6000}
                harness.write_config(harness.discovery.address)
                harness.reload()
            case "SIGSTOP":  # when the Retry-After ends
                harness.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(RETRY_AFTER_S)
                harness.process.send_signal(signal.SIGCONT)
        harness.revision += 1
        harness.notify_changed()
        assert await harness.submit("second") in (202, 503)
        await harness.wait_until(lambda: "first" in host_state.arrived_at)
        assert host_state.rejected_at is not None
        assert min(host_state.arrived_at.values()) >= host_state.rejected_at + RETRY_AFTER_S

    run_scenario(scenario, tmp_path, **SINGLE_CALLS)


@pytest.mark.parametrize("body", ["whole", "never ends"])
def test_retry_after_received_by_predecessor_binds_successor(tmp_path: Path, body: str) -> None:
    """The predecessor's call ends after the successor took over, which has to respect the Retry-After."""

    async def scenario(harness: RelayHarness) -> None:
        release = asyncio.Event()

        async def reject_when_released(_: Request) -> bytes:
            await release.wait()
            response = format_response(429, b"" if body == "whole" else b"x", X_Come_Back_Ms="3600000")
            return response if body == "whole" else response[:-1]

        host = await harness.start_host(reject_when_released)
        await harness.start()
        assert await harness.submit("first") == 202
        await harness.wait_until(lambda: host.request_ids == ["first"])
        await harness.start_successor()
        await harness.wait_until_ready()
        release.set()
        await harness.wait_until(lambda: host.response_count == 1)
        # At once: the Retry-After exceeds its timeout.
        await harness.wait_until(lambda: [n["id"] for n in harness.status_reports] == ["first"])
        assert await harness.submit("second") == 503
        assert host.request_ids == ["first"]

    run_with_shared_listener(scenario, tmp_path)


def test_retry_after_keeps_order_of_key(tmp_path: Path) -> None:
    """After it has passed, all are sent in order of submission."""

    async def scenario(harness: RelayHarness) -> None:
        host_state = RateLimitedHost()
        host = await harness.start_host(host_state.respond)
        await harness.start()
        assert await harness.submit("first") == 202
        await harness.wait_until(lambda: host.request_ids == ["first"])
        await wait_until_retry_after_applies(harness, host_state, host)
        assert [await harness.submit(f"m{n}", "order") for n in range(4)] == [202] * 4
        await harness.wait_until(lambda: len(host_state.arrived_at) == 5)
        assert host_state.rejected_at is not None
        assert min(host_state.arrived_at.values()) >= host_state.rejected_at + RETRY_AFTER_S
        assert [name for name in host_state.arrived_at if name != "first"] == [f"m{n}" for n in range(4)]

    run_scenario(scenario, tmp_path)
