"""An id that comes again: while its message is open, while its end is being told, and afterwards."""

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


@pytest.mark.parametrize(("status", "told", "answer"), [(503, "deferred", 503), (500, "undeliverable", 500)])
def test_resubmission_during_status_report_gets_same_result(
    tmp_path: Path, status: int, told: str, answer: int
) -> None:
    """The notice may have been heard already: after a 202 nothing more would come, and it would be lost."""

    async def scenario(w: RelayHarness) -> None:
        release = asyncio.Event()
        told_so: list[dict[str, str]] = []

        async def hear(request: Request) -> bytes | None:
            told_so.extend(json.loads(line) for line in request.body.splitlines())
            w.notify_changed()
            await release.wait()
            return b""  # goes on as usual: 204

        async def refuse(request: Request) -> bytes | None:
            return format_response(status)

        w.report_handler = hear
        host = await w.start_host(refuse)
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: bool(told_so))
        assert told_so[0] == {"id": "m", "status": told}
        again, headers, _ = await w.send(format_submission("m", "order"))
        assert again == answer
        assert answer == 500 or float(headers["retry-after"]) > 0
        release.set()
        await w.wait_until(lambda: bool(w.status_reports))
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path, policy_limits=SINGLE_ATTEMPT)


def test_resubmission_of_open_message_is_delivered_once(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        release = asyncio.Event()

        async def late(request: Request) -> bytes | None:
            await release.wait()
            return format_response(200)

        host = await w.start_host(late)
        await w.start()
        assert [await w.submit("m", "order") for _ in range(3)] == [202] * 3
        release.set()
        await w.wait_until(lambda: host.response_count == 1)
        while (status := await w.submit("m", "order")) == 202:
            pass  # the relay has not read the host's answer yet
        assert status == 200
        assert host.request_ids == ["m"]

    run_scenario(scenario, tmp_path)
