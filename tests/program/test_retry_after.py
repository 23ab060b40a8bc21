"""Told waits while hosts are drained, gone, listed again or moved, at SIGHUP, SIGSTOP and a handover."""

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

RETRY_AFTER_S = 1.5  # seconds
SINGLE_CALLS: dict[str, Any] = {"extra": {"bundle_max": [1, 1], "call_slots": 6, "own_limits": [False, True]}}


class RateLimitedHost:
    """A host that turns its first call away and tells the wait, and notes when each later one came."""

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


async def wait_until_retry_after_applies(w: RelayHarness, full: RateLimitedHost, host: StubServer) -> None:
    """The relay has read the wait: it gives a call for the destination back at once."""
    full.release.set()
    await w.wait_until(lambda: host.response_count == 1)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while await w.submit("short", Request_Timeout_Ms="300") != 503:
            pass


@pytest.mark.parametrize("kind", ["plain", "bulk"])
@pytest.mark.parametrize("event", ["none", "drained", "gone", "moved", "SIGHUP", "SIGSTOP", "told stopped"])
def test_retry_after_outlasts_endpoint_and_process_events(tmp_path: Path, event: str, kind: str) -> None:
    async def scenario(w: RelayHarness) -> None:
        full = RateLimitedHost()
        host = await w.start_host(full.respond, flavor=kind)
        await w.start()
        assert w.process is not None
        assert await w.submit("first") == 202
        await w.wait_until(lambda: host.request_ids == ["first"])
        if event == "told stopped":  # across its start
            w.process.send_signal(signal.SIGSTOP)
            full.release.set()
            await w.wait_until(lambda: host.response_count == 1)
            await asyncio.sleep(RETRY_AFTER_S / 3)
            w.process.send_signal(signal.SIGCONT)
        await wait_until_retry_after_applies(w, full, host)
        row = w.endpoints[0]
        match event:
            case "drained" | "gone":
                w.endpoints[0] = {**row, "phase": {"drained": "Terminating", "gone": "Gone"}[event]}
                w.revision += 1
                w.notify_changed()
                heard = f"index={w.revision}&"
                await w.wait_until(lambda: heard in w.discovery.requests[-1].target)
                w.endpoints[0] = row
            case "moved":
                other = await w.start_server(full.respond)
                w.endpoints[0] = {**row, "host_port": other.address}
            case "SIGHUP":
                w.settings = {**w.settings, "tick": 6000}
                w.write_config(w.discovery.address)
                w.reload()
            case "SIGSTOP":  # across its end
                w.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(RETRY_AFTER_S)
                w.process.send_signal(signal.SIGCONT)
        w.revision += 1
        w.notify_changed()
        assert await w.submit("second") in (202, 503)
        await w.wait_until(lambda: "first" in full.arrived_at)
        assert full.rejected_at is not None
        assert min(full.arrived_at.values()) >= full.rejected_at + RETRY_AFTER_S

    run_scenario(scenario, tmp_path, **SINGLE_CALLS)


@pytest.mark.parametrize("rest", ["whole", "never ends"])
def test_retry_after_received_by_predecessor_binds_successor(tmp_path: Path, rest: str) -> None:
    """Its call came back after another process had taken over, which is bound."""

    async def scenario(w: RelayHarness) -> None:
        let = asyncio.Event()

        async def full(_: Request) -> bytes:
            await let.wait()
            answer = format_response(429, b"" if rest == "whole" else b"x", X_Come_Back_Ms="3600000")
            return answer if rest == "whole" else answer[:-1]

        host = await w.start_host(full)
        await w.start()
        assert await w.submit("first") == 202
        await w.wait_until(lambda: host.request_ids == ["first"])
        await w.start_successor()
        await w.wait_until_ready()
        let.set()
        await w.wait_until(lambda: host.response_count == 1)
        await w.wait_until(
            lambda: [n["id"] for n in w.status_reports] == ["first"]
        )  # at once: the wait outlasts it
        assert await w.submit("second") == 503
        assert host.request_ids == ["first"]

    run_with_shared_listener(scenario, tmp_path)


def test_retry_after_keeps_order_of_key(tmp_path: Path) -> None:
    """All go once it is over, in the order in which they were handed in."""

    async def scenario(w: RelayHarness) -> None:
        full = RateLimitedHost()
        host = await w.start_host(full.respond)
        await w.start()
        assert await w.submit("first") == 202
        await w.wait_until(lambda: host.request_ids == ["first"])
        await wait_until_retry_after_applies(w, full, host)
        assert [await w.submit(f"m{n}", "order") for n in range(4)] == [202] * 4
        await w.wait_until(lambda: len(full.arrived_at) == 5)
        assert full.rejected_at is not None
        assert min(full.arrived_at.values()) >= full.rejected_at + RETRY_AFTER_S
        assert [name for name in full.arrived_at if name != "first"] == [f"m{n}" for n in range(4)]

    run_scenario(scenario, tmp_path)
