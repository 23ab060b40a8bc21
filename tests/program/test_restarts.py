"""The program ended and started again: what it has taken on stays its own."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    format_submission,
    never_respond,
    read_response,
    respond_ok,
    run_scenario,
    undeliverable_report,
)


def test_kill_during_call_fails_order_and_repeats_status_update(tmp_path: Path) -> None:
    """The call may have run: what is unsafe must fail and not go again; what is safe goes again."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(never_respond)
        other = await w.start_host(never_respond, destination=2)
        await w.start()
        assert await w.submit("once", "order") == 202
        assert await w.submit("safe", destination=2) == 202
        await w.wait_until(lambda: host.request_ids == ["once"] and other.request_ids == ["safe"])
        host.handler = other.handler = respond_ok
        await w.restart()
        await w.wait_until(
            lambda: (
                w.status_reports == [undeliverable_report("once")] and other.request_ids == ["safe", "safe"]
            )
        )
        assert host.request_ids == ["once"]

    run_scenario(scenario, tmp_path)


def test_kill_before_first_attempt_keeps_order_of_key(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.add_unavailable_destination()
        await w.start()
        names = [f"m{i}" for i in range(9)]
        for name in names:
            assert await w.submit(name, "order") == 202
        await w.kill()
        host = await w.start_host(respond_ok)
        await w.start()
        assert await w.submit("last", "order") == 202
        await w.wait_until(lambda: len(host.request_ids) == 10)
        assert host.request_ids == [*names, "last"]

    run_scenario(scenario, tmp_path)


def test_kill_before_report_is_answered_repeats_report(tmp_path: Path) -> None:
    """The end was decided: after the restart it is told again, and the message does not go again."""

    async def scenario(w: RelayHarness) -> None:
        async def hear(request: Request) -> bytes | None:
            return format_response(503)

        async def script(request: Request) -> bytes | None:
            return format_response(500) if request.id == "m1" else format_response(200)

        w.report_handler = hear
        host = await w.start_host(script)
        await w.start()
        assert await w.submit("m1", "order") == 202
        assert await w.submit("m2", "order") == 202
        await w.wait_until(lambda: any(r.target == "/reports" for r in w.discovery.requests))
        await w.kill()
        w.report_handler = None
        await w.start()
        await w.wait_until(lambda: host.request_ids == ["m1", "m2"])  # m2 goes once the end of m1 is heard
        assert w.status_reports == [undeliverable_report("m1")]

    run_scenario(scenario, tmp_path)


def test_kill_after_delivery_repeats_nothing(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        for name in ("m1", "m2"):
            assert await w.submit(name, "order") == 202
        await w.wait_until(lambda: host.request_ids == ["m1", "m2"])  # so m1 is over, and m2 may be
        assert await w.submit("m3", "order") == 202
        await w.wait_until(lambda: len(host.request_ids) == 3)
        await w.restart()
        assert await w.submit("m4", "order") == 202
        await w.wait_until(lambda: "m4" in host.request_ids)
        assert host.request_ids == ["m1", "m2", "m3", "m4"]

    run_scenario(scenario, tmp_path)


def test_deadline_passed_while_relay_was_down_fails_message(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.add_unavailable_destination()
        await w.start()
        assert await w.submit("late", Request_Timeout_Ms="1") in (202, 500)
        assert await w.submit("m", Request_Timeout_Ms="400") == 202
        await w.restart()
        await w.wait_until(lambda: undeliverable_report("m") in w.status_reports)

    run_scenario(scenario, tmp_path)


def test_sigterm_under_load_serves_clients_until_calls_end(tmp_path: Path) -> None:
    """Clients go on using their connections: they are served to the last; calls out may finish."""

    async def scenario(w: RelayHarness) -> None:
        released = asyncio.Event()

        async def script(request: Request) -> bytes | None:
            await released.wait()
            return format_response(200)

        host = await w.start_host(script)
        other = await w.start_host(respond_ok, destination=3)
        w.add_unavailable_destination(7)
        await w.start()
        assert await w.submit("out", "order") == 202
        for i in range(5):
            assert await w.submit(f"m{i}", destination=7) == 202  # of a destination that takes nothing yet
        await w.wait_until(lambda: host.request_ids == ["out"])
        assert w.process is not None
        w.process.send_signal(signal.SIGTERM)
        reader, writer = await asyncio.open_connection(*w.address)
        for name in ("new", "held"):  # one that is still begun, one that is only kept for the next start
            writer.write(format_submission(name, destination=3 if name == "new" else 7))
            start, headers, _ = await read_response(reader)
            assert start.startswith("HTTP/1.1 202")
            assert "connection" not in headers
            await w.wait_until(
                lambda: other.request_ids == ["new"] and any("no new attempts" in line for line in w.log)
            )
        released.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
            assert await w.process.wait() == 0
        later = await w.start_host(respond_ok, destination=7)
        await w.start()
        await w.wait_until(lambda: sorted(later.request_ids) == ["held", *(f"m{i}" for i in range(5))])
        assert (host.request_ids, other.request_ids) == (["out"], ["new"])
        assert not w.status_reports

    run_scenario(scenario, tmp_path)


def test_start_reports_expired_messages_before_it_listens(tmp_path: Path) -> None:
    """Overdue ends are not owed while a relay is not ready; one that listens first owes them at once."""

    async def scenario(w: RelayHarness) -> None:
        w.add_unavailable_destination(2)
        await w.start()
        for i in range(5):
            assert await w.submit(f"m{i}", destination=2, Request_Timeout_Ms="500") == 202
        await w.kill()
        heard = {notice["id"] for notice in w.status_reports}
        await asyncio.sleep(0.6)
        w.log.clear()
        seen: list[int] = []
        hear = w.report_handler

        async def report(request: Request) -> bytes:
            seen.append(sum("listens on" in line for line in w.log))
            return b""

        assert hear is None
        w.report_handler = report
        await w.start()
        assert {notice["id"] for notice in w.status_reports} == {f"m{i}" for i in range(5)}
        assert len(heard) == 5 or (seen and not any(seen))

    run_scenario(scenario, tmp_path)
