"""The program ended and started again: what it has taken on stays its own."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.standins.platform import (
    HANG,
    Request,
    World,
    deliver,
    failed,
    message,
    never,
    read_message,
    reply,
    run,
)


def test_killed_while_a_call_is_out(tmp_path: Path) -> None:
    """The call may have run: what is unsafe must fail and not go again; what is safe goes again."""

    async def scenario(w: World) -> None:
        host = await w.host(never)
        other = await w.host(never, dest=2)
        await w.start()
        assert await w.hand_in("once", "order") == 202
        assert await w.hand_in("safe", dest=2) == 202
        await w.until(lambda: host.ids == ["once"] and other.ids == ["safe"])
        host.script = other.script = deliver
        await w.restart()
        await w.until(lambda: w.notices == [failed("once")] and other.ids == ["safe", "safe"])
        assert host.ids == ["once"]

    run(scenario, tmp_path)


def test_killed_before_any_attempt_keeps_the_order_of_a_key(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        w.name()
        await w.start()
        names = [f"m{i}" for i in range(9)]
        for name in names:
            assert await w.hand_in(name, "order") == 202
        await w.kill()
        host = await w.host(deliver)
        await w.start()
        assert await w.hand_in("last", "order") == 202
        await w.until(lambda: len(host.ids) == 10)
        assert host.ids == [*names, "last"]

    run(scenario, tmp_path)


def test_killed_before_its_notice_was_heard(tmp_path: Path) -> None:
    """The end was decided: after the restart it is told again, and the message does not go again."""

    async def scenario(w: World) -> None:
        async def hear(request: Request) -> bytes | None:
            return reply(503)

        async def script(request: Request) -> bytes | None:
            return reply(500) if request.id == "m1" else reply(200)

        w.hear = hear
        host = await w.host(script)
        await w.start()
        assert await w.hand_in("m1", "order") == 202
        assert await w.hand_in("m2", "order") == 202
        await w.until(lambda: any(r.target == "/reports" for r in w.discovery.requests))
        await w.kill()
        w.hear = None
        await w.start()
        await w.until(lambda: host.ids == ["m1", "m2"])  # m2 goes once the end of m1 is heard
        assert w.notices == [failed("m1")]

    run(scenario, tmp_path)


def test_what_is_over_stays_over_after_a_kill(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        for name in ("m1", "m2"):
            assert await w.hand_in(name, "order") == 202
        await w.until(lambda: host.ids == ["m1", "m2"])  # so m1 is over, and m2 may be
        assert await w.hand_in("m3", "order") == 202
        await w.until(lambda: len(host.ids) == 3)
        await w.restart()
        assert await w.hand_in("m4", "order") == 202
        await w.until(lambda: "m4" in host.ids)
        assert host.ids == ["m1", "m2", "m3", "m4"]

    run(scenario, tmp_path)


def test_a_deadline_that_passed_while_the_relay_was_down(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        w.name()
        await w.start()
        assert await w.hand_in("late", Request_Timeout_Ms="1") in (202, 500)
        assert await w.hand_in("m", Request_Timeout_Ms="400") == 202
        await w.restart()
        await w.until(lambda: failed("m") in w.notices)

    run(scenario, tmp_path)


def test_sigterm_ends_in_order_under_load(tmp_path: Path) -> None:
    """Clients go on using their connections: they are served to the last; calls out may finish."""

    async def scenario(w: World) -> None:
        released = asyncio.Event()

        async def script(request: Request) -> bytes | None:
            await released.wait()
            return reply(200)

        host = await w.host(script)
        other = await w.host(deliver, dest=3)
        w.name(7)
        await w.start()
        assert await w.hand_in("out", "order") == 202
        for i in range(5):
            assert await w.hand_in(f"m{i}", dest=7) == 202  # of a destination that takes nothing yet
        await w.until(lambda: host.ids == ["out"])
        assert w.process is not None
        w.process.send_signal(signal.SIGTERM)
        reader, writer = await asyncio.open_connection(*w.address)
        for name in ("new", "held"):  # one that is still begun, one that is only kept for the next start
            writer.write(message(name, dest=3 if name == "new" else 7))
            start, headers, _ = await read_message(reader)
            assert start.startswith("HTTP/1.1 202")
            assert "connection" not in headers
            await w.until(lambda: other.ids == ["new"] and any("no new attempts" in line for line in w.log))
        released.set()
        async with asyncio.timeout(HANG):
            assert await reader.read() == b""
            assert await w.process.wait() == 0
        later = await w.host(deliver, dest=7)
        await w.start()
        await w.until(lambda: sorted(later.ids) == ["held", *(f"m{i}" for i in range(5))])
        assert (host.ids, other.ids) == (["out"], ["new"])
        assert not w.notices

    run(scenario, tmp_path)


def test_what_ran_out_of_time_meanwhile_is_told_before_clients_come(tmp_path: Path) -> None:
    """Overdue ends are not owed while a relay is not ready; one that listens first owes them at once."""

    async def scenario(w: World) -> None:
        w.name(2)
        await w.start()
        for i in range(5):
            assert await w.hand_in(f"m{i}", dest=2, Request_Timeout_Ms="500") == 202
        await w.kill()
        heard = {notice["id"] for notice in w.notices}
        await asyncio.sleep(0.6)
        w.log.clear()
        seen: list[int] = []
        hear = w.hear

        async def report(request: Request) -> bytes:
            seen.append(sum("listens on" in line for line in w.log))
            return b""

        assert hear is None
        w.hear = report
        await w.start()
        assert {notice["id"] for notice in w.notices} == {f"m{i}" for i in range(5)}
        assert len(heard) == 5 or (seen and not any(seen))

    run(scenario, tmp_path)
