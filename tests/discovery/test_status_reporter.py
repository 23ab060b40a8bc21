"""Final-status reports, and the order of a key until they are answered."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.standins.platform import Request, World, failed, reply, run


def test_next_message_of_an_ordering_key_waits_for_the_report_to_be_answered(tmp_path: Path) -> None:
    """A message that ends by a notice is over when that is answered; the next of its key goes only then."""

    async def scenario(w: World) -> None:
        heard = asyncio.Event()

        async def hear(request: Request) -> bytes | None:
            await heard.wait()
            return b""

        async def script(request: Request) -> bytes | None:
            return reply(500) if request.id == "m1" else reply(200)

        w.hear = hear
        host = await w.host(script)
        await w.start()
        assert await w.hand_in("m1", "order") == 202
        assert await w.hand_in("m2", "order") == 202
        await w.until(lambda: any(r.target == "/reports" for r in w.discovery.requests))
        assert await w.hand_in("other") == 202
        await w.until(lambda: "other" in host.ids)
        assert host.ids == ["m1", "other"]
        heard.set()
        await w.until(lambda: "m2" in host.ids)

    run(scenario, tmp_path)


def test_report_is_repeated_until_it_is_accepted(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        answers: list[bytes | None] = [None, reply(503), b"rubbish\r\n\r\n"]

        async def hear(request: Request) -> bytes | None:
            return answers.pop(0) if answers else b""

        async def script(request: Request) -> bytes | None:
            return reply(500)

        w.hear = hear
        await w.host(script)
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: w.notices == [failed("m")])
        assert not answers

    run(scenario, tmp_path)
