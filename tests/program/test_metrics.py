"""Metrics of a running relay, compared with the test's own count of every kind of result."""

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

SETTLED_S = 2.0  # after it no delivery is unsettled (loftrelay/delivery/settlement.py)


async def read_metrics(harness: RelayHarness) -> dict[str, int]:
    """Returns the relay's metrics, without the prefix `app.`."""
    lines = (await harness.call_admin("show-stat")).splitlines()
    assert lines[-1] == "END"
    return {name.removeprefix("app."): int(value) for name, value in (line.split("=") for line in lines[:-1])}


async def wait_for_metrics(harness: RelayHarness, **expected: int) -> None:
    """Waits until the metrics have the expected values; a wrong count never becomes right and times out."""
    async with asyncio.timeout(30):
        while True:
            metrics = await read_metrics(harness)
            if all(metrics[name.replace("__", ".")] == value for name, value in expected.items()):
                return
            await asyncio.sleep(0.02)


def test_metrics_count_each_kind_of_result_once(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        expected = Counter[str]()
        harness.admin_address = f"127.0.0.1:{free_port()}"
        host = await harness.start_host(respond_ok)
        batch_host = await harness.start_host(respond_ok, destination=2, flavor="bulk")
        broken = await harness.start_host(never_respond, destination=3)

        async def respond_to_batch(request: Request) -> bytes:
            results = [{"id": row["id"], "state": "delivered"} for row in json.loads(request.body)]
            return format_response(200, json.dumps(results).encode())

        batch_host.handler = respond_to_batch
        await harness.start()
        for n in range(10):  # delivered, in single calls and in batches
            assert await harness.submit(f"s{n}") == 202
            assert await harness.submit(f"b{n}", "order", destination=2) == 202
        expected.update({"succeeded.status": 10, "succeeded.order": 10})
        for n in range(3):  # rejected at once: no list names this destination
            assert await harness.submit(f"r{n}", destination=9) == 503
        expected["declined.status"] = 3
        for invalid in (
            format_submission("x", Tenant="nobody"),
            format_submission("x", Request_Id=""),
            format_submission("x", path="/none"),
        ):
            assert (await harness.send(invalid))[0] >= 400  # invalid requests, not counted as messages

        async def close_without_response(request: Request) -> bytes | None:
            return None  # closed without a response: it may have been executed

        broken.handler = close_without_response
        assert await harness.submit("doubt", "order", destination=3) == 202
        await harness.wait_until(lambda: {"id": "doubt", "status": "undeliverable"} in harness.status_reports)
        expected["aborted.order"] = 1
        assert await harness.submit("s1") == 202  # after completion a reused id is a new message
        expected["succeeded.status"] += 1
        # The result of an at-most-once message is kept, and not counted again.
        assert await harness.submit("b1", "order", destination=2) == 200
        await wait_for_metrics(
            harness, outstanding=0, **{k.replace(".", "__"): v for k, v in expected.items()}
        )
        assert (await read_metrics(harness))["forwards"] == len(host.request_ids) + 10 + len(
            broken.request_ids
        )
        # A client that disconnects before its response isn't counted; a waiting message is outstanding.
        harness.add_unavailable_destination(destination=4)
        await harness.submit_once_listed("waits", destination=4)
        _, writer = await asyncio.open_connection(*harness.address)
        writer.write(format_submission("half")[:-2])
        writer.close()
        metrics = await read_metrics(harness)
        assert metrics["outstanding"] == 1
        assert metrics["discovered"] == 4
        rejected_count = metrics["declined.status"]  # until the list named the destination
        await asyncio.sleep(SETTLED_S)  # deliveries of the last second are made again after a kill
        await harness.restart()
        await wait_for_metrics(harness, outstanding=1, succeeded__status=0, declined__status=0, forwards=0)
        harness.add_endpoint(4, "plain", "Ready", host.address)
        await wait_for_metrics(harness, outstanding=0, succeeded__status=1, forwards=1)
        assert rejected_count >= 3

    run_scenario(scenario, tmp_path)


def test_metrics_count_repeated_status_report_once(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.admin_address = f"127.0.0.1:{free_port()}"
        report_count = 0

        async def reject_reports(request: Request) -> bytes | None:
            nonlocal report_count
            report_count += 1
            return format_response(503) if report_count < 4 else b""

        async def close_without_response(request: Request) -> bytes | None:
            return None

        harness.report_handler = reject_reports
        await harness.start_host(close_without_response)
        await harness.start()
        assert await harness.submit("m", "order") == 202
        await harness.wait_until(lambda: report_count >= 2)
        assert (await read_metrics(harness))[
            "outstanding"
        ] == 1  # the platform has not acknowledged the report
        await wait_for_metrics(harness, aborted__order=1, outstanding=0)
        assert report_count == 4

    run_scenario(scenario, tmp_path)
