"""Told waits while hosts are drained, gone, listed again or moved, at SIGHUP, SIGSTOP and a handover."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.program.test_upgrade import play
from tests.standins.platform import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    run_scenario,
)

WAIT = 1.5  # seconds
KINDS: dict[str, Any] = {"extra": {"bundle_max": [1, 1], "call_slots": 6, "own_limits": [False, True]}}


class Full:
    """A host that turns its first call away and tells the wait, and notes when each later one came."""

    def __init__(self) -> None:
        self.told_at: float | None = None
        self.came: dict[str, float] = {}
        self.let = asyncio.Event()

    async def script(self, request: Request) -> bytes:
        now = asyncio.get_running_loop().time
        if self.told_at is None:
            self.told_at = 0.0
            await self.let.wait()
            self.told_at = now()
            return format_response(429, X_Come_Back_Ms=str(int(WAIT * 1000)))
        self.came[request.id] = now()
        return format_response(200)


async def told(w: RelayHarness, full: Full, host: StubServer) -> None:
    """The relay has read the wait: it gives a call for the destination back at once."""
    full.let.set()
    await w.wait_until(lambda: host.response_count == 1)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while await w.submit("short", Request_Timeout_Ms="300") != 503:
            pass


@pytest.mark.parametrize("kind", ["plain", "bulk"])
@pytest.mark.parametrize("event", ["none", "drained", "gone", "moved", "SIGHUP", "SIGSTOP", "told stopped"])
def test_a_wait_lasts_through(tmp_path: Path, event: str, kind: str) -> None:
    async def scenario(w: RelayHarness) -> None:
        full = Full()
        host = await w.start_host(full.script, flavor=kind)
        await w.start()
        assert w.process is not None
        assert await w.submit("first") == 202
        await w.wait_until(lambda: host.request_ids == ["first"])
        if event == "told stopped":  # across its start
            w.process.send_signal(signal.SIGSTOP)
            full.let.set()
            await w.wait_until(lambda: host.response_count == 1)
            await asyncio.sleep(WAIT / 3)
            w.process.send_signal(signal.SIGCONT)
        await told(w, full, host)
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
                other = await w.start_server(full.script)
                w.endpoints[0] = {**row, "host_port": other.address}
            case "SIGHUP":
                w.settings = {**w.settings, "tick": 6000}
                w.write_config(w.discovery.address)
                w.reload()
            case "SIGSTOP":  # across its end
                w.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(WAIT)
                w.process.send_signal(signal.SIGCONT)
        w.revision += 1
        w.notify_changed()
        assert await w.submit("second") in (202, 503)
        await w.wait_until(lambda: "first" in full.came)
        assert full.told_at is not None
        assert min(full.came.values()) >= full.told_at + WAIT

    run_scenario(scenario, tmp_path, **KINDS)


@pytest.mark.parametrize("rest", ["whole", "never ends"])
def test_a_wait_told_to_the_process_before(tmp_path: Path, rest: str) -> None:
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

    play(scenario, tmp_path)


def test_a_key_keeps_its_order_behind_a_wait(tmp_path: Path) -> None:
    """All go once it is over, in the order in which they were handed in."""

    async def scenario(w: RelayHarness) -> None:
        full = Full()
        host = await w.start_host(full.script)
        await w.start()
        assert await w.submit("first") == 202
        await w.wait_until(lambda: host.request_ids == ["first"])
        await told(w, full, host)
        assert [await w.submit(f"m{n}", "order") for n in range(4)] == [202] * 4
        await w.wait_until(lambda: len(full.came) == 5)
        assert full.told_at is not None
        assert min(full.came.values()) >= full.told_at + WAIT
        assert [name for name in full.came if name != "first"] == [f"m{n}" for n in range(4)]

    run_scenario(scenario, tmp_path)
