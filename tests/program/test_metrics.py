"""Figures of a relay that runs, against the script's own count of every kind of end."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path

from tests.standins.harness import (
    RelayHarness,
    Request,
    format_response,
    format_submission,
    free_port,
    never_respond,
    respond_ok,
    run_scenario,
)


async def read_metrics(w: RelayHarness) -> dict[str, int]:
    lines = (await w.call_admin("show-stat")).splitlines()
    assert lines[-1] == "END"
    return {name.removeprefix("app."): int(value) for name, value in (line.split("=") for line in lines[:-1])}


async def wait_for_metrics(w: RelayHarness, **wanted: int) -> None:
    """Until the figures are what the script counts; a wrong one never comes to be right."""
    async with asyncio.timeout(30):
        while True:
            told = await read_metrics(w)
            if all(told[name.replace("__", ".")] == value for name, value in wanted.items()):
                return
            await asyncio.sleep(0.02)


def test_metrics_count_each_kind_of_result_once(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        counted = Counter[str]()
        w.admin_address = f"127.0.0.1:{free_port()}"
        host = await w.start_host(respond_ok)
        bulk = await w.start_host(respond_ok, destination=2, flavor="bulk")
        broken = await w.start_host(never_respond, destination=3)

        async def batch(request: Request) -> bytes:
            rows = [{"id": row["id"], "state": "delivered"} for row in json.loads(request.body)]
            return format_response(200, json.dumps(rows).encode())

        bulk.handler = batch
        await w.start()
        for n in range(10):  # delivered, singly and in bundles
            assert await w.submit(f"s{n}") == 202
            assert await w.submit(f"b{n}", "order", destination=2) == 202
        counted.update({"succeeded.status": 10, "succeeded.order": 10})
        for n in range(3):  # refused at once: no list names such a destination
            assert await w.submit(f"r{n}", destination=9) == 503
        counted["declined.status"] = 3
        for bad in (
            format_submission("x", Tenant="nobody"),
            format_submission("x", Request_Id=""),
            format_submission("x", path="/none"),
        ):
            assert (await w.send(bad))[0] >= 400  # no messages at all

        async def gone(request: Request) -> bytes | None:
            return None  # the connection ends with no answer: it may have run

        broken.handler = gone
        assert await w.submit("doubt", "order", destination=3) == 202
        await w.wait_until(lambda: {"id": "doubt", "status": "undeliverable"} in w.status_reports)
        counted["aborted.order"] = 1
        assert await w.submit("s1") == 202  # an id that comes again is a message of its own, once it is over
        counted["succeeded.status"] += 1
        assert (
            await w.submit("b1", "order", destination=2) == 200
        )  # an unsafe one is remembered, and not counted
        await wait_for_metrics(w, outstanding=0, **{k.replace(".", "__"): v for k, v in counted.items()})
        assert (await read_metrics(w))["forwards"] == len(host.request_ids) + 10 + len(broken.request_ids)
        # One whose client goes before its answer counts nowhere; one that waits is outstanding.
        w.add_unavailable_destination(destination=4)
        await w.submit_once_listed("waits", destination=4)
        _, writer = await asyncio.open_connection(*w.address)
        writer.write(format_submission("half")[:-2])
        writer.close()
        told = await read_metrics(w)
        assert told["outstanding"] == 1
        assert told["discovered"] == 4
        refused = told["declined.status"]  # until the list named the destination
        await w.restart()
        await wait_for_metrics(w, outstanding=1, succeeded__status=0, declined__status=0, forwards=0)
        w.add_endpoint(4, "plain", "Ready", host.address)
        await wait_for_metrics(w, outstanding=0, succeeded__status=1, forwards=1)
        assert refused >= 3

    run_scenario(scenario, tmp_path)


def test_metrics_count_repeated_status_report_once(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.admin_address = f"127.0.0.1:{free_port()}"
        asked = 0

        async def deaf(request: Request) -> bytes | None:
            nonlocal asked
            asked += 1
            return format_response(503) if asked < 4 else b""

        async def gone(request: Request) -> bytes | None:
            return None

        w.report_handler = deaf
        await w.start_host(gone)
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: asked >= 2)
        assert (await read_metrics(w))["outstanding"] == 1  # the platform has not heard
        await wait_for_metrics(w, aborted__order=1, outstanding=0)
        assert asked == 4

    run_scenario(scenario, tmp_path)
