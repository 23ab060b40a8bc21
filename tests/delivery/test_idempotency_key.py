"""Idempotency keys reach the host unchanged: in single calls, in batches and after a crash."""

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
    respond_ok,
    run_scenario,
)

KEY = '"0b8edb5cf0d4b86ad987b43447cedf3e"'
CLASSES = [
    *SETTINGS["classes"],
    {
        "name": "alarm",
        "effect": "deduplicated",
        "key_scope": "all",
        "window": 4_000_000,
        "deadline": 24_000_000,
        "on_time": 3_000_000,
        "worth": 2,
    },
]


@pytest.mark.parametrize("kind", ["plain", "bulk"])
@pytest.mark.parametrize("is_killed", [False, True])
def test_idempotency_key_is_forwarded_unchanged(tmp_path: Path, kind: str, is_killed: bool) -> None:
    async def scenario(world: RelayHarness) -> None:
        if is_killed:
            world.add_unavailable_destination(flavor=kind)
            await world.start()
            assert await world.submit("m", "alarm", Idempotency_Key=KEY) == 202
            await world.kill()
            world.endpoints.clear()
        host = await world.start_host(respond_ok, flavor=kind)
        await world.start()
        if not is_killed:
            assert await world.submit("m", "alarm", Idempotency_Key=KEY) == 202
        await world.wait_until(lambda: len(host.requests) == 1)
        call = host.requests[0]
        key = json.loads(call.body)[0]["key"] if kind == "bulk" else call.headers["idempotency-key"]
        assert key == KEY

    run_scenario(scenario, tmp_path, classes=CLASSES)


def test_idempotency_key_is_sent_with_each_attempt(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            return format_response(503 if len(host.requests) < 3 else 200)

        host = await world.start_host(script)
        await world.start()
        assert await world.submit("m", "alarm", Idempotency_Key=KEY) == 202
        assert await world.submit("without", "alarm") == 202
        await world.wait_until(lambda: host.request_ids.count("m") >= 2 and "without" in host.request_ids)
        keys = {(r.id, r.headers.get("idempotency-key")) for r in host.requests}
        assert keys == {("m", KEY), ("without", None)}

    run_scenario(scenario, tmp_path, classes=CLASSES)


@pytest.mark.parametrize(
    "raw",
    [
        format_submission("m", Idempotency_Key="k" * 257),
        format_submission("m", Idempotency_Key="k", idempotency_key="l"),
        format_submission("m", Idempotency_Key="caf\u00e9").decode().encode("latin-1"),
    ],
)
def test_invalid_idempotency_key_is_rejected_with_400(tmp_path: Path, raw: bytes) -> None:
    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        assert (await world.send(raw))[0] == 400
        await asyncio.sleep(0)
        assert not host.requests

    run_scenario(scenario, tmp_path)
