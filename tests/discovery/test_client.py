"""Endpoint list client in a running relay: malformed lists, reloads that move discovery, invalid files."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.standins.platform import HANG, ROOT, SETTINGS, Request, World, deliver, failed, never, reply, run


def test_client_continues_after_malformed_lists(tmp_path: Path) -> None:
    """An unreadable list counts as a failed call; an unreadable entry is skipped."""

    async def scenario(w: World) -> None:
        malformed_row = {"id": "x", "phase": "Sleeping", "cell": 1, "host_port": "127.0.0.1:1"}
        responses = [
            reply(200, b"not JSON"),
            reply(200, b"[1]"),
            reply(200, b'{"members":3}'),
            reply(503),
            None,
            reply(
                200, json.dumps({"revision": 1, "complete": True, "members": [malformed_row, 5, {}]}).encode()
            ),
        ]

        async def list_response(request: Request) -> bytes | None:
            return responses.pop(0) if responses else b""

        w.list_answer = list_response
        w.name()
        await w.start()
        assert await w.hand_in("m") == 202  # accepted by the cached list
        host = await w.host(deliver)
        await w.until(lambda: host.ids == ["m"])
        assert not responses

    run(scenario, tmp_path, safety={**SETTINGS["safety"], "ask_every": 1_000_000})


def test_reload_with_another_discovery_address_moves_immediately(tmp_path: Path) -> None:
    """The watch and the report pending at the old address are cancelled; the new one has lower revisions."""

    async def scenario(w: World) -> None:
        async def reject(request: Request) -> bytes | None:
            return reply(500)

        await w.host(reject)
        w.revision = 1000
        w.hear = w.list_answer = never
        await w.start()
        assert await w.hand_in("m", "order") == 202
        await w.until(lambda: {request.target for request in w.discovery.requests} >= {"/reports"})
        w.hear = w.list_answer = None
        w.revision = 1
        new_discovery = await w.peer(w.discover)
        w.configure(new_discovery.address)
        for _ in range(3):
            w.reload()
        await w.until(lambda: w.notices == [failed("m")])
        host = await w.host(deliver, dest=2)
        await w.hand_in_once_listed("n", 2)
        await w.until(lambda: host.ids == ["n"])
        await w.until(lambda: len(w.discovery.ended) == len(w.discovery.connections))
        assert (
            next(request.target for request in new_discovery.requests if request.method == "GET")
            == "/registry/instances"
        )

    run(scenario, tmp_path)


@pytest.mark.parametrize("text", ["{", "[]", "{}", '{"discovery":"nowhere"}'])
def test_reload_with_a_malformed_file_changes_nothing(tmp_path: Path, text: str) -> None:
    async def scenario(w: World) -> None:
        await w.start()
        (tmp_path / "config.json").write_text(text)
        w.reload()
        await w.until(lambda: any("configuration unchanged" in line for line in w.log))
        host = await w.host(deliver)
        await w.hand_in_once_listed("m", 1)
        await w.until(lambda: host.ids == ["m"])

    run(scenario, tmp_path)


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
        timeout=HANG,
        env={**os.environ, "RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)},
    )
    assert process.returncode == 2
    assert process.stderr.count("\n") == 1
    assert reason in process.stderr
