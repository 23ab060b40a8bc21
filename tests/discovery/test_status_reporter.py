"""Final-status reports: retries, and the order of an ordering key until a report is accepted."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.standins.platform import Request, World, failed, reply, run


def test_ordering_key_with_a_pending_report_holds_back_its_next_message(tmp_path: Path) -> None:
    """A message that ends with a report is complete once the report is accepted."""

    async def scenario(w: World) -> None:
        accepted = asyncio.Event()

        async def report_response(request: Request) -> bytes | None:
            await accepted.wait()
            return b""

        async def reject_first(request: Request) -> bytes | None:
            return reply(500) if request.id == "m1" else reply(200)

        w.hear = report_response
        host = await w.host(reject_first)
        await w.start()
        assert await w.hand_in("m1", "order") == 202
        assert await w.hand_in("m2", "order") == 202
        await w.until(lambda: any(request.target == "/reports" for request in w.discovery.requests))
        assert await w.hand_in("other") == 202
        await w.until(lambda: "other" in host.ids)
        assert host.ids == ["m1", "other"]
        accepted.set()
        await w.until(lambda: "m2" in host.ids)

    run(scenario, tmp_path)


def test_reporter_repeats_a_report_until_it_is_accepted(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        responses: list[bytes | None] = [None, reply(503), b"rubbish\r\n\r\n"]

        async def report_response(request: Request) -> bytes | None:
            return responses.pop(0) if responses else b""

        async def reject(request: Request) -> bytes | None:
            return reply(500)

        w.hear = report_response
        await w.host(reject)
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: w.notices == [failed("m")])
        assert not responses

    run(scenario, tmp_path)
