"""Restarts of the relay: admitted messages keep their state and get their final status."""

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
    """The call may have been executed: an at-most-once message fails, an idempotent one is sent again."""

    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(never_respond)
        other = await harness.start_host(never_respond, destination=2)
        await harness.start()
        assert await harness.submit("once", "order") == 202
        assert await harness.submit("safe", destination=2) == 202
        await harness.wait_until(lambda: host.request_ids == ["once"] and other.request_ids == ["safe"])
        host.handler = other.handler = respond_ok
        await harness.restart()
        await harness.wait_until(
            lambda: (
                harness.status_reports == [undeliverable_report("once")]
                and other.request_ids == ["safe", "safe"]
            )
        )
        assert host.request_ids == ["once"]

    run_scenario(scenario, tmp_path)


def test_kill_before_first_attempt_keeps_order_of_key(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.add_unavailable_destination()
        await harness.start()
        names = [f"m{i}" for i in range(9)]
        for name in names:
            assert await harness.submit(name, "order") == 202
        await harness.kill()
        host = await harness.start_host(respond_ok)
        await harness.start()
        assert await harness.submit("last", "order") == 202
        await harness.wait_until(lambda: len(host.request_ids) == 10)
        assert host.request_ids == [*names, "last"]

    run_scenario(scenario, tmp_path)


def test_kill_before_report_is_answered_repeats_report(tmp_path: Path) -> None:
    """The final status was decided: after the restart it is reported again, without another attempt."""

    async def scenario(harness: RelayHarness) -> None:
        async def reject_report(request: Request) -> bytes | None:
            return format_response(503)

        async def respond(request: Request) -> bytes | None:
            return format_response(500) if request.id == "m1" else format_response(200)

        harness.report_handler = reject_report
        host = await harness.start_host(respond)
        await harness.start()
        assert await harness.submit("m1", "order") == 202
        assert await harness.submit("m2", "order") == 202
        await harness.wait_until(lambda: any(r.target == "/reports" for r in harness.discovery.requests))
        await harness.kill()
        harness.report_handler = None
        await harness.start()
        # m2 is sent once the report of m1 is answered.
        await harness.wait_until(lambda: host.request_ids == ["m1", "m2"])
        assert harness.status_reports == [undeliverable_report("m1")]

    run_scenario(scenario, tmp_path)


def test_kill_after_delivery_repeats_nothing(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(respond_ok)
        await harness.start()
        for name in ("m1", "m2"):
            assert await harness.submit(name, "order") == 202
        await harness.wait_until(lambda: host.request_ids == ["m1", "m2"])  # so m1 is complete, and m2 may be
        assert await harness.submit("m3", "order") == 202
        await harness.wait_until(lambda: len(host.request_ids) == 3)
        await harness.restart()
        assert await harness.submit("m4", "order") == 202
        await harness.wait_until(lambda: "m4" in host.request_ids)
        assert host.request_ids == ["m1", "m2", "m3", "m4"]

    run_scenario(scenario, tmp_path)


def test_deadline_passed_while_relay_was_down_fails_message(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.add_unavailable_destination()
        await harness.start()
        assert await harness.submit("late", Request_Timeout_Ms="1") in (202, 500)
        assert await harness.submit("m", Request_Timeout_Ms="400") == 202
        await harness.restart()
        await harness.wait_until(lambda: undeliverable_report("m") in harness.status_reports)

    run_scenario(scenario, tmp_path)


def test_sigterm_under_load_serves_clients_until_calls_end(tmp_path: Path) -> None:
    """Clients keep using their connections and are served until the end; calls in flight may finish."""

    async def scenario(harness: RelayHarness) -> None:
        released = asyncio.Event()

        async def respond(request: Request) -> bytes | None:
            await released.wait()
            return format_response(200)

        host = await harness.start_host(respond)
        other = await harness.start_host(respond_ok, destination=3)
        harness.add_unavailable_destination(7)
        await harness.start()
        assert await harness.submit("out", "order") == 202
        for i in range(5):
            # The destination has no host that is ready yet.
            assert await harness.submit(f"m{i}", destination=7) == 202
        await harness.wait_until(lambda: host.request_ids == ["out"])
        assert harness.process is not None
        harness.process.send_signal(signal.SIGTERM)
        reader, writer = await asyncio.open_connection(*harness.address)
        for name in ("new", "held"):  # the first is still sent, the second kept for the next start
            writer.write(format_submission(name, destination=3 if name == "new" else 7))
            start, headers, _ = await read_response(reader)
            assert start.startswith("HTTP/1.1 202")
            assert "connection" not in headers
            await harness.wait_until(
                lambda: (
                    other.request_ids == ["new"] and any("no new attempts" in line for line in harness.log)
                )
            )
        released.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
            assert await harness.process.wait() == 0
        later = await harness.start_host(respond_ok, destination=7)
        await harness.start()
        await harness.wait_until(lambda: sorted(later.request_ids) == ["held", *(f"m{i}" for i in range(5))])
        assert (host.request_ids, other.request_ids) == (["out"], ["new"])
        assert not harness.status_reports

    run_scenario(scenario, tmp_path)


def test_start_reports_expired_messages_before_it_listens(tmp_path: Path) -> None:
    """Reports may be late while a relay is not ready; once it listens, they are due at once."""

    async def scenario(harness: RelayHarness) -> None:
        harness.add_unavailable_destination(2)
        await harness.start()
        for i in range(5):
            assert await harness.submit(f"m{i}", destination=2, Request_Timeout_Ms="500") == 202
        await harness.kill()
        reported_before = {report["id"] for report in harness.status_reports}
        await asyncio.sleep(0.6)
        harness.log.clear()
        listening_lines: list[int] = []
        reject_report = harness.report_handler

        async def record_listening(request: Request) -> bytes:
            listening_lines.append(sum("listens on" in line for line in harness.log))
            return b""

        assert reject_report is None
        harness.report_handler = record_listening
        await harness.start()
        assert {report["id"] for report in harness.status_reports} == {f"m{i}" for i in range(5)}
        assert len(reported_before) == 5 or (listening_lines and not any(listening_lines))

    run_scenario(scenario, tmp_path)
