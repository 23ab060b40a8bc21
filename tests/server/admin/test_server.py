"""Admin endpoint over loopback sockets: the server alone, and in a running relay."""

from __future__ import annotations

import asyncio
import os
import resource
import subprocess
import sys
from pathlib import Path

import pytest

from loftrelay.server.admin.server import MAX_CONNECTIONS, AdminConnection, AdminServer, OnDone
from tests.standins.harness import (
    ROOT,
    TEST_TIMEOUT_S,
    RelayHarness,
    format_response,
    free_port,
    respond_ok,
    run_scenario,
)


class FakeHandler:
    """Executes commands for every host except "nobody"."""

    is_ready = False

    def metric_lines(self) -> list[str]:
        return ["app.forwards=3"]

    def disable_host(self, host: str, done: OnDone) -> None:
        done("no such host" if host == "nobody" else None)

    enable_host = disable_host


async def send_line(address: tuple[str, int], line: bytes) -> bytes:
    """Returns the reply, read until the server closes the connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(line)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await reader.read()
    finally:
        writer.close()


def test_admin_server_answers_each_command_and_closes_the_connection() -> None:
    async def main() -> None:
        handler = FakeHandler()
        server = AdminServer(handler)
        address = await server.listen(("127.0.0.1", 0))
        assert await send_line(address, b"ready\n") == b"NO not ready\n"
        handler.is_ready = True
        assert await send_line(address, b"ready\r\n") == b"YES\n"
        assert await send_line(address, b"show-stat\n") == b"app.forwards=3\nEND\n"
        assert await send_line(address, b"disable-server s-1\n") == b"YES\n"
        assert await send_line(address, b"disable-server nobody\n") == b"NO no such host\n"
        assert (await send_line(address, b"restart\n")).startswith(b"NO no such call")
        server.close()

    asyncio.run(main())


def test_admin_server_with_idle_connections_answers_a_command() -> None:
    """The oldest idle connection is closed, never the one that sends a command."""

    async def main() -> None:
        server = AdminServer(FakeHandler())
        address = await server.listen(("127.0.0.1", 0))
        idle = [await asyncio.open_connection(*address) for _ in range(64)]
        for _, writer in idle[::2]:
            writer.write(b"rea")
        assert await send_line(address, b"show-stat\n") == b"app.forwards=3\nEND\n"
        assert len(server.connections) <= MAX_CONNECTIONS
        assert await idle[0][0].read() == b""  # closed to make room
        idle[-1][1].write(b"show-stat\n")
        assert await idle[-1][0].read() == b"app.forwards=3\nEND\n"
        for _, writer in idle:
            writer.close()
        server.close()

    asyncio.run(main())


def test_admin_server_half_closed_connection_gets_its_reply() -> None:
    async def main() -> None:
        server = AdminServer(FakeHandler())
        address = await server.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"show-stat\n")
        writer.write_eof()
        assert await reader.read() == b"app.forwards=3\nEND\n"
        writer.close()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"show-st")
        writer.write_eof()
        assert await reader.read() == b"NO the line did not end\n"
        writer.close()
        server.close()

    asyncio.run(main())


def test_admin_server_incomplete_line_is_answered_at_timeout() -> None:
    async def main() -> None:
        server = AdminServer(FakeHandler())
        address = await server.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        while not server.connections:
            await asyncio.sleep(0)
        (connection,) = server.connections
        assert isinstance(connection, AdminConnection)
        connection._on_timeout()
        assert await reader.read() == b"NO the line did not come in time\n"
        writer.close()
        server.close()

    asyncio.run(main())


def test_relay_serves_statistics_on_the_configured_admin_address(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        port = free_port()
        world.admin_address = f"127.0.0.1:{port}"
        await world.start()
        assert await send_line(("127.0.0.1", port), b"ready\n") == b"YES\n"
        assert await world.submit("m1") == 202
        assert await world.submit("m2", destination=9) == 503
        await world.wait_until(lambda: host.response_count == 1)
        while "app.succeeded.status=1" not in (text := (await world.call_admin("show-stat"))):
            pass
        statistics = dict(line.split("=") for line in text.splitlines()[:-1])
        assert text.endswith("\nEND\n")
        assert statistics == {
            "app.succeeded.status": "1",
            "app.succeeded.order": "0",
            "app.declined.status": "1",
            "app.declined.order": "0",
            "app.aborted.status": "0",
            "app.aborted.order": "0",
            "app.forwards": "1",
            "app.outstanding": "0",
            "app.discovered": "1",
            "app.ejected": "0",
            "app.sighup_applied": "0",
            "app.sighup_rejected": "0",
        }

    run_scenario(scenario, tmp_path)


def test_disable_server_host_gets_no_message_until_enabled(tmp_path: Path) -> None:
    """The host stays disabled after a new endpoint list and a restart of the relay."""

    async def scenario(world: RelayHarness) -> None:
        first, second = await world.start_host(respond_ok), await world.start_host(respond_ok)
        world.admin_address = f"127.0.0.1:{free_port()}"
        await world.start()
        assert await world.call_admin("disable-server h0") == "YES\n"
        assert await world.call_admin("disable-server h0") == "YES\n"
        assert (await world.call_admin("disable-server h7")).startswith("NO no host has the id h7")
        assert (await world.call_admin("enable-server h7")).startswith("NO ")
        while "app.ejected=1" not in await world.call_admin("show-stat"):
            pass  # the scheduler applies it in its next batch
        assert await world.submit("m1") == 202
        await world.wait_until(lambda: second.response_count == 1)
        world.add_endpoint(2, "plain", "Ready", second.address)  # a new revision, in which h0 is ready
        await world.submit_once_listed("other", destination=2)
        assert await world.submit("m2") == 202
        await world.restart()
        assert await world.submit("m3") == 202
        await world.wait_until(lambda: {"m1", "m2", "m3", "other"} <= set(second.request_ids))
        assert first.request_ids == []
        assert await world.call_admin("enable-server h0") == "YES\n"
        assert await world.call_admin("enable-server h0") == "YES\n"
        assert await world.call_admin("disable-server h1") == "YES\n"
        assert await world.submit("m4") == 202
        await world.wait_until(lambda: first.request_ids == ["m4"])

    run_scenario(scenario, tmp_path)


def test_disable_server_is_rejected_if_it_cannot_be_stored(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        await world.start_host(respond_ok)
        world.admin_address = f"127.0.0.1:{free_port()}"
        (tmp_path / "state" / "hosts-out.json").mkdir(parents=True)  # a directory, which a file can't replace
        await world.start()
        assert (await world.call_admin("disable-server h0")).startswith("NO it can't be written down")
        assert "app.ejected=0" in await world.call_admin("show-stat")

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(("address", "status"), [("here", 2), ("127.0.0.1:99999", 2), ("192.0.2.1:7", 1)])
def test_relay_with_unusable_admin_address_exits_with_one_error_line(
    tmp_path: Path, address: str, status: int
) -> None:
    world = RelayHarness(tmp_path)
    path = world.write_config("127.0.0.1:9")
    completed = subprocess.run(
        [sys.executable, "-m", "loftrelay"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        env={
            **os.environ,
            "RELAY_CONFIG": str(path),
            "RELAY_STATE": str(tmp_path / "s"),
            "RELAY_CONTROL": address,
        },
    )
    assert completed.returncode == status
    assert completed.stderr.count("\n") == 1
    assert completed.stderr.startswith("loftrelay: ")


def test_relay_counts_failed_host_as_ejected(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        async def fail(_: object) -> bytes:
            return format_response(500)

        host = await world.start_host(fail)
        world.admin_address = f"127.0.0.1:{free_port()}"
        await world.start()
        assert await world.submit("m1") == 202
        await world.wait_until(lambda: host.response_count >= 1)
        while "app.ejected=1" not in await world.call_admin("show-stat"):
            pass

    run_scenario(scenario, tmp_path)


def test_relay_answers_admin_commands_while_clients_exhaust_descriptors(tmp_path: Path) -> None:
    """Descriptors are reserved for the admin endpoint, so clients can't use them up."""

    async def scenario(world: RelayHarness) -> None:
        await world.start_host(respond_ok)
        world.admin_address = f"127.0.0.1:{free_port()}"
        world.limits["sockets"] = 160
        await world.start()
        assert world.process is not None
        resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (160, 160))
        clients = [await asyncio.open_connection(*world.address) for _ in range(300)]
        for _, writer in clients[::3]:
            writer.write(b"POST /status HTTP/1.1\r\n")
        for _ in range(3):
            assert await world.call_admin("ready") == "YES\n"
            assert (await world.call_admin("show-stat")).endswith("\nEND\n")
            assert await world.call_admin("disable-server h0") == "YES\n"
            assert await world.call_admin("enable-server h0") == "YES\n"
        assert not any("Too many open files" in line for line in world.log)
        for _, writer in clients:
            writer.close()

    run_scenario(scenario, tmp_path)
