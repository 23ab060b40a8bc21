"""Told waits while hosts are drained, gone, listed again or moved, at SIGHUP, SIGSTOP and a handover."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.program.test_upgrade import play
from tests.standins.platform import HANG, Peer, Request, World, reply, run

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
            return reply(429, X_Come_Back_Ms=str(int(WAIT * 1000)))
        self.came[request.id] = now()
        return reply(200)


async def told(w: World, full: Full, host: Peer) -> None:
    """The relay has read the wait: it gives a call for the destination back at once."""
    full.let.set()
    await w.until(lambda: host.answered == 1)
    async with asyncio.timeout(HANG):
        while await w.hand_in("short", Request_Timeout_Ms="300") != 503:
            pass


@pytest.mark.parametrize("kind", ["plain", "bulk"])
@pytest.mark.parametrize("event", ["none", "drained", "gone", "moved", "SIGHUP", "SIGSTOP", "told stopped"])
def test_a_wait_lasts_through(tmp_path: Path, event: str, kind: str) -> None:
    async def scenario(w: World) -> None:
        full = Full()
        host = await w.host(full.script, kind=kind)
        await w.start()
        assert w.process is not None
        assert await w.hand_in("first") == 202
        await w.until(lambda: host.ids == ["first"])
        if event == "told stopped":  # across its start
            w.process.send_signal(signal.SIGSTOP)
            full.let.set()
            await w.until(lambda: host.answered == 1)
            await asyncio.sleep(WAIT / 3)
            w.process.send_signal(signal.SIGCONT)
        await told(w, full, host)
        row = w.members[0]
        match event:
            case "drained" | "gone":
                w.members[0] = {**row, "phase": {"drained": "Terminating", "gone": "Gone"}[event]}
                w.revision += 1
                w.bump()
                heard = f"index={w.revision}&"
                await w.until(lambda: heard in w.discovery.requests[-1].target)
                w.members[0] = row
            case "moved":
                other = await w.peer(full.script)
                w.members[0] = {**row, "host_port": other.address}
            case "SIGHUP":
                w.settings = {**w.settings, "tick": 6000}
                w.configure(w.discovery.address)
                w.reload()
            case "SIGSTOP":  # across its end
                w.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(WAIT)
                w.process.send_signal(signal.SIGCONT)
        w.revision += 1
        w.bump()
        assert await w.hand_in("second") in (202, 503)
        await w.until(lambda: "first" in full.came)
        assert full.told_at is not None
        assert min(full.came.values()) >= full.told_at + WAIT

    run(scenario, tmp_path, **KINDS)


@pytest.mark.parametrize("rest", ["whole", "never ends"])
def test_a_wait_told_to_the_process_before(tmp_path: Path, rest: str) -> None:
    """Its call came back after another process had taken over, which is bound."""

    async def scenario(w: World) -> None:
        let = asyncio.Event()

        async def full(_: Request) -> bytes:
            await let.wait()
            answer = reply(429, b"" if rest == "whole" else b"x", X_Come_Back_Ms="3600000")
            return answer if rest == "whole" else answer[:-1]

        host = await w.host(full)
        await w.start()
        assert await w.hand_in("first") == 202
        await w.until(lambda: host.ids == ["first"])
        await w.start_beside()
        await w.until_ready()
        let.set()
        await w.until(lambda: host.answered == 1)
        await w.until(lambda: [n["id"] for n in w.notices] == ["first"])  # at once: the wait outlasts it
        assert await w.hand_in("second") == 503
        assert host.ids == ["first"]

    play(scenario, tmp_path)


def test_a_key_keeps_its_order_behind_a_wait(tmp_path: Path) -> None:
    """All go once it is over, in the order in which they were handed in."""

    async def scenario(w: World) -> None:
        full = Full()
        host = await w.host(full.script)
        await w.start()
        assert await w.hand_in("first") == 202
        await w.until(lambda: host.ids == ["first"])
        await told(w, full, host)
        assert [await w.hand_in(f"m{n}", "order") for n in range(4)] == [202] * 4
        await w.until(lambda: len(full.came) == 5)
        assert full.told_at is not None
        assert min(full.came.values()) >= full.told_at + WAIT
        assert [name for name in full.came if name != "first"] == [f"m{n}" for n in range(4)]

    run(scenario, tmp_path)
