"""Figures of a relay that runs, against the script's own count of every kind of end."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path

from tests.standins.platform import Request, World, deliver, free_port, message, never, reply, run


async def shown(w: World) -> dict[str, int]:
    lines = (await w.call("show-stat")).splitlines()
    assert lines[-1] == "END"
    return {name.removeprefix("app."): int(value) for name, value in (line.split("=") for line in lines[:-1])}


async def settle(w: World, **wanted: int) -> None:
    """Until the figures are what the script counts; a wrong one never comes to be right."""
    async with asyncio.timeout(30):
        while True:
            told = await shown(w)
            if all(told[name.replace("__", ".")] == value for name, value in wanted.items()):
                return
            await asyncio.sleep(0.02)


def test_every_kind_of_end_is_counted_once(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        counted = Counter[str]()
        w.control = f"127.0.0.1:{free_port()}"
        host = await w.host(deliver)
        bulk = await w.host(deliver, dest=2, kind="bulk")
        broken = await w.host(never, dest=3)

        async def batch(request: Request) -> bytes:
            rows = [{"id": row["id"], "state": "delivered"} for row in json.loads(request.body)]
            return reply(200, json.dumps(rows).encode())

        bulk.script = batch
        await w.start()
        for n in range(10):  # delivered, singly and in bundles
            assert await w.hand_in(f"s{n}") == 202
            assert await w.hand_in(f"b{n}", "order", dest=2) == 202
        counted.update({"succeeded.status": 10, "succeeded.order": 10})
        for n in range(3):  # refused at once: no list names such a destination
            assert await w.hand_in(f"r{n}", dest=9) == 503
        counted["declined.status"] = 3
        for bad in (message("x", Tenant="nobody"), message("x", Request_Id=""), message("x", path="/none")):
            assert (await w.ask(bad))[0] >= 400  # no messages at all

        async def gone(request: Request) -> bytes | None:
            return None  # the connection ends with no answer: it may have run

        broken.script = gone
        assert await w.hand_in("doubt", "order", dest=3) == 202
        await w.until(lambda: {"id": "doubt", "status": "undeliverable"} in w.notices)
        counted["aborted.order"] = 1
        assert await w.hand_in("s1") == 202  # an id that comes again is a message of its own, once it is over
        counted["succeeded.status"] += 1
        assert await w.hand_in("b1", "order", dest=2) == 200  # an unsafe one is remembered, and not counted
        await settle(w, outstanding=0, **{k.replace(".", "__"): v for k, v in counted.items()})
        assert (await shown(w))["forwards"] == len(host.ids) + 10 + len(broken.ids)
        # One whose client goes before its answer counts nowhere; one that waits is outstanding.
        w.name(dest=4)
        await w.hand_in_once_listed("waits", dest=4)
        _, writer = await asyncio.open_connection(*w.address)
        writer.write(message("half")[:-2])
        writer.close()
        told = await shown(w)
        assert told["outstanding"] == 1
        assert told["discovered"] == 4
        refused = told["declined.status"]  # until the list named the destination
        await w.restart()
        await settle(w, outstanding=1, succeeded__status=0, declined__status=0, forwards=0)
        w.list_host(4, "plain", "Ready", host.address)
        await settle(w, outstanding=0, succeeded__status=1, forwards=1)
        assert refused >= 3

    run(scenario, tmp_path)


def test_a_notice_that_is_told_again_counts_once(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        w.control = f"127.0.0.1:{free_port()}"
        asked = 0

        async def deaf(request: Request) -> bytes | None:
            nonlocal asked
            asked += 1
            return reply(503) if asked < 4 else b""

        async def gone(request: Request) -> bytes | None:
            return None

        w.hear = deaf
        await w.host(gone)
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: asked >= 2)
        assert (await shown(w))["outstanding"] == 1  # the platform has not heard
        await settle(w, aborted__order=1, outstanding=0)
        assert asked == 4

    run(scenario, tmp_path)
