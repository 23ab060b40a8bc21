"""Final-status reports: retries, and the order of an ordering key until a report is accepted."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.standins.harness import RelayHarness, Request, format_response, run_scenario, undeliverable_report


def test_ordering_key_with_a_pending_report_holds_back_its_next_message(tmp_path: Path) -> None:
    """A message that ends with a report is complete once the report is accepted."""

    async def scenario(w: RelayHarness) -> None:
        accepted = asyncio.Event()

        async def report_response(request: Request) -> bytes | None:
            await accepted.wait()
            return b""

        async def reject_first(request: Request) -> bytes | None:
            return format_response(500) if request.id == "m1" else format_response(200)

        w.report_handler = report_response
        host = await w.start_host(reject_first)
        await w.start()
        assert await w.submit("m1", "order") == 202
        assert await w.submit("m2", "order") == 202
        await w.wait_until(lambda: any(request.target == "/reports" for request in w.discovery.requests))
        assert await w.submit("other") == 202
        await w.wait_until(lambda: "other" in host.request_ids)
        assert host.request_ids == ["m1", "other"]
        accepted.set()
        await w.wait_until(lambda: "m2" in host.request_ids)

    run_scenario(scenario, tmp_path)


def test_reporter_repeats_a_report_until_it_is_accepted(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        responses: list[bytes | None] = [None, format_response(503), b"rubbish\r\n\r\n"]

        async def report_response(request: Request) -> bytes | None:
            return responses.pop(0) if responses else b""

        async def reject(request: Request) -> bytes | None:
            return format_response(500)

        w.report_handler = report_response
        await w.start_host(reject)
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: w.status_reports == [undeliverable_report("m")])
        assert not responses

    run_scenario(scenario, tmp_path)
