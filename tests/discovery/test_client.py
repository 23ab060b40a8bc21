"""Endpoint list client in a running relay: malformed lists, reloads that move discovery, invalid files."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.standins.harness import (
    ROOT,
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    never_respond,
    respond_ok,
    run_scenario,
    undeliverable_report,
)


def test_client_continues_after_malformed_lists(tmp_path: Path) -> None:
    """An unreadable list counts as a failed call; an unreadable entry is skipped."""

    async def scenario(w: RelayHarness) -> None:
        malformed_row = {"id": "x", "phase": "Sleeping", "cell": 1, "host_port": "127.0.0.1:1"}
        responses = [
            format_response(200, b"not JSON"),
            format_response(200, b"[1]"),
            format_response(200, b'{"members":3}'),
            format_response(503),
            None,
            format_response(
                200, json.dumps({"revision": 1, "complete": True, "members": [malformed_row, 5, {}]}).encode()
            ),
        ]

        async def list_response(request: Request) -> bytes | None:
            return responses.pop(0) if responses else b""

        w.list_handler = list_response
        w.add_unavailable_destination()
        await w.start()
        assert await w.submit("m") == 202  # accepted by the cached list
        host = await w.start_host(respond_ok)
        await w.wait_until(lambda: host.request_ids == ["m"])
        assert not responses

    run_scenario(scenario, tmp_path, safety={**SETTINGS["safety"], "ask_every": 1_000_000})


def test_reload_with_another_discovery_address_moves_immediately(tmp_path: Path) -> None:
    """The watch and the report pending at the old address are cancelled; the new one has lower revisions."""

    async def scenario(w: RelayHarness) -> None:
        async def reject(request: Request) -> bytes | None:
            return format_response(500)

        await w.start_host(reject)
        w.revision = 1000
        w.report_handler = w.list_handler = never_respond
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: {request.target for request in w.discovery.requests} >= {"/reports"})
        w.report_handler = w.list_handler = None
        w.revision = 1
        new_discovery = await w.start_server(w.handle_discovery_request)
        w.write_config(new_discovery.address)
        for _ in range(3):
            w.reload()
        await w.wait_until(lambda: w.status_reports == [undeliverable_report("m")])
        host = await w.start_host(respond_ok, destination=2)
        await w.submit_once_listed("n", 2)
        await w.wait_until(lambda: host.request_ids == ["n"])
        await w.wait_until(lambda: len(w.discovery.closed_connections) == len(w.discovery.connections))
        assert (
            next(request.target for request in new_discovery.requests if request.method == "GET")
            == "/registry/instances"
        )

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("text", ["{", "[]", "{}", '{"discovery":"nowhere"}'])
def test_reload_with_a_malformed_file_changes_nothing(tmp_path: Path, text: str) -> None:
    async def scenario(w: RelayHarness) -> None:
        await w.start()
        (tmp_path / "config.json").write_text(text)
        w.reload()
        await w.wait_until(lambda: any("configuration unchanged" in line for line in w.log))
        host = await w.start_host(respond_ok)
        await w.submit_once_listed("m", 1)
        await w.wait_until(lambda: host.request_ids == ["m"])

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (None, "can't be read"),
        ("{", "can't be read"),
        ("[]", "JSON object"),
        ('{"name":"n","settings":{}}', "listen"),
        ('{"name":"n","listen":"here","discovery":"127.0.0.1:1","settings":{}}', "'here'"),
        ('{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":7}', "not an object"),
        ('{"name":"n","listen":"a:0","discovery":"a:1","seed":"z","settings":{}}', "bad value"),
    ],
)
def test_relay_with_an_invalid_configuration_exits_with_one_line(
    tmp_path: Path, text: str | None, reason: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    process = subprocess.run(
        [sys.executable, "-m", "loftrelay"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        env={**os.environ, "RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)},
    )
    assert process.returncode == 2
    assert process.stderr.count("\n") == 1
    assert reason in process.stderr
