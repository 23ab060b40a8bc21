"""Resubmission of an id: while its message is open, while its final status is reported, and afterwards."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from tests.standins.harness import (
    SETTINGS,
    RelayHarness,
    Request,
    format_response,
    format_submission,
    run_scenario,
)

SINGLE_ATTEMPT = {**SETTINGS["policy_limits"], "most_tries": 1}


@pytest.mark.parametrize(
    ("status", "report_status", "expected_status"), [(503, "deferred", 503), (500, "undeliverable", 500)]
)
def test_resubmission_during_status_report_gets_same_result(
    tmp_path: Path, status: int, report_status: str, expected_status: int
) -> None:
    """The platform may have the report already: after a 202 none would follow, losing the message."""

    async def scenario(harness: RelayHarness) -> None:
        release = asyncio.Event()
        reports: list[dict[str, str]] = []

        async def hold_report(request: Request) -> bytes | None:
            reports.extend(json.loads(line) for line in request.body.splitlines())
            harness.notify_changed()
            await release.wait()
            return b""  # the harness answers 204

        async def reject(request: Request) -> bytes | None:
            return format_response(status)

        harness.report_handler = hold_report
        host = await harness.start_host(reject)
        await harness.start()
        assert await harness.submit("m", "order") == 202
        await harness.wait_until(lambda: bool(reports))
        assert reports[0] == {"id": "m", "status": report_status}
        status_again, headers, _ = await harness.send(format_submission("m", "order"))
        assert status_again == expected_status
        assert expected_status == 500 or float(headers["retry-after"]) > 0
        release.set()
        await harness.wait_until(lambda: bool(harness.status_reports))
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path, policy_limits=SINGLE_ATTEMPT)


def test_resubmission_of_open_message_is_delivered_once(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        release = asyncio.Event()

        async def respond_late(request: Request) -> bytes | None:
            await release.wait()
            return format_response(200)

        host = await harness.start_host(respond_late)
        await harness.start()
        assert [await harness.submit("m", "order") for _ in range(3)] == [202] * 3
        release.set()
        await harness.wait_until(lambda: host.response_count == 1)
        while (status := await harness.submit("m", "order")) == 202:
            pass  # the relay has not read the host's response yet
        assert status == 200
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path)
