"""One process replaced by another: real processes, clients that keep their connections, and kills."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.relay.fault_points import PREDECESSOR_POINTS, SUCCESSOR_POINTS
from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    format_submission,
    free_port,
    never_respond,
    read_response,
    respond_ok,
    run_scenario,
    undeliverable_report,
)


class Client:
    """Keeps one connection for all it hands in, as clients do."""

    def __init__(self, world: RelayHarness, name: str) -> None:
        self.harness, self.name = world, name
        self.submitted_count = 0
        self.statuses: Counter[int] = Counter()
        self.admitted: list[str] = []  # in the order in which they were handed in

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.harness.address)

    async def submit(self, of: str = "order") -> int:
        """Raises an error where the connection ends, which a handover must never do."""
        self.submitted_count += 1
        name = f"{self.name}-{self.submitted_count}"
        self.writer.write(
            format_submission(name, of, path=f"/{of}/{self.name}" if of == "order" else f"/{of}")
        )
        async with asyncio.timeout(TEST_TIMEOUT_S):
            start, headers, _ = await read_response(self.reader)
        status = int(start.split()[1])
        assert headers.get("connection") != "close"
        self.statuses[status] += 1
        if status == 202:
            self.admitted.append(name)
        return status

    def close(self) -> None:
        self.writer.close()


def run_with_shared_listener(
    scenario: Callable[[RelayHarness], Awaitable[None]], folder: Path, most_held: int = 400, **limits: int
) -> None:
    async def with_listener(w: RelayHarness) -> None:
        w.share_listener()
        w.admin_address = f"127.0.0.1:{free_port()}"
        w.limits |= limits
        await scenario(w)

    settings = {
        "policy_limits": {
            "conn_idle": 15_000_000,
            "connect_timeout": 1_000_000,
            "most_held": most_held,
            "most_tries": 12,
        },
        "extra": {"bundle_max": [1, 20], "call_slots": 16, "own_limits": [False, False]},
    }
    run_scenario(with_listener, folder, **settings)


def test_upgrades_under_load_lose_repeat_and_reorder_nothing(tmp_path: Path) -> None:
    """Three in a row, with orders of many keys under way on connections that stay open throughout."""

    async def scenario(w: RelayHarness) -> None:
        busy = 0

        async def slowly(request: Request) -> bytes:
            nonlocal busy
            busy += 1
            await asyncio.sleep(0.01)
            busy -= 1
            return format_response(200)

        host = await w.start_host(slowly)
        await w.start()
        clients = [Client(w, f"c{i}") for i in range(8)]
        for client in clients:
            await client.connect()
        done = asyncio.Event()

        async def keep_on(client: Client) -> None:
            while not done.is_set():
                await client.submit("order" if client.name != "c0" else "status")

        tasks = [asyncio.create_task(keep_on(client)) for client in clients]
        for _ in range(3):
            handed_in = sum(client.submitted_count for client in clients)
            await w.upgrade()
            await w.wait_until(lambda n=handed_in: sum(c.submitted_count for c in clients) > n + 40)  # type: ignore[misc]
        done.set()
        await asyncio.gather(*tasks)
        for client in clients:
            assert set(client.statuses) <= {202, 503}
        taken = [name for client in clients for name in client.admitted]
        assert len(taken) > 120
        await w.wait_until(lambda: set(taken) <= {*host.request_ids, *(n["id"] for n in w.status_reports)})
        runs = Counter(host.request_ids)
        assert {name: n for name, n in runs.items() if n > 1} == {}
        for client in clients[1:]:
            mine = [name for name in host.request_ids if name.startswith(f"{client.name}-")]
            assert mine == [name for name in client.admitted if name in runs]
        assert len(w.status_reports) == len({notice["id"] for notice in w.status_reports})
        assert not set(runs) & {notice["id"] for notice in w.status_reports}
        for client in clients:
            client.close()

    run_with_shared_listener(scenario, tmp_path)


def test_call_in_flight_during_handover_ends_in_predecessor(tmp_path: Path) -> None:
    """Its outcome reaches the one that took over: an order that was delivered is not told as failed, and one
    behind it for the same key goes only then."""

    async def scenario(w: RelayHarness) -> None:
        go = asyncio.Event()

        async def wait(request: Request) -> bytes:
            await go.wait()
            return format_response(200)

        host = await w.start_host(wait)
        await w.start()
        assert await w.submit("first", "order") == 202
        assert await w.submit("second", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["first"])
        await w.start_successor()
        await w.wait_until_ready()
        assert "app.outstanding=2" in await w.call_admin("show-stat")
        assert host.request_ids == ["first"]
        go.set()
        await w.wait_until(lambda: host.request_ids == ["first", "second"])
        while "app.succeeded.order=2" not in (told := await w.call_admin("show-stat")):
            pass
        assert "app.forwards=1" in told  # the first was written by the process before
        assert w.predecessor is not None
        w.predecessor.send_signal(signal.SIGTERM)
        assert await w.predecessor.wait() == 0
        assert w.status_reports == []

    run_with_shared_listener(scenario, tmp_path)


def test_partial_request_during_handover_is_completed_by_successor(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        reader, writer = await asyncio.open_connection(*w.address)
        raw = format_submission("half", body=b"a body in two parts")
        writer.write(raw[:-10])
        await w.call_admin("ready")  # the loop has been round since
        await w.upgrade()
        writer.write(raw[-10:])
        start, _, _ = await read_response(reader)
        assert start.split()[1] == "202"
        await w.wait_until(lambda: host.response_count == 1)
        assert host.requests[0].body == b"a body in two parts"
        writer.close()

    run_with_shared_listener(scenario, tmp_path)


def test_hundreds_of_idle_connections_survive_handover(tmp_path: Path) -> None:
    """More than the channel takes at once: the process before must not end while some are on their way."""

    async def scenario(w: RelayHarness) -> None:
        w.add_unavailable_destination(destination=3)
        await w.start()
        clients = [Client(w, f"c{n}") for n in range(300)]
        for client in clients:
            await client.connect()
            client.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            await read_response(client.reader)
        await w.upgrade()
        for client in clients:
            client.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        for client in clients:
            start, _, _ = await read_response(client.reader)
            assert start.split()[1] == "200"
            client.close()

    run_with_shared_listener(scenario, tmp_path, sockets=1024, memory_mb=192)


def test_handover_keeps_disabled_host_and_retry_after(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        first, second = await w.start_host(respond_ok), await w.start_host(respond_ok)
        await w.start()
        assert await w.call_admin("disable-server h0") == "YES\n"
        await w.upgrade()
        assert await w.submit("m1") == 202
        await w.wait_until(lambda: second.request_ids == ["m1"])
        assert first.request_ids == []
        assert "app.ejected=1" in await w.call_admin("show-stat")

        async def full(_: Request) -> bytes:
            return format_response(429, X_Come_Back_Ms="3600000")

        second.handler = full
        assert await w.submit("m2") == 202
        await w.wait_until(lambda: second.request_ids == ["m1", "m2"])
        while "app.ejected" not in await w.call_admin("show-stat"):
            pass
        await w.upgrade()
        assert await w.submit("m3", Request_Timeout_Ms="1500") == 503  # at once: the wait outlasts it
        assert second.request_ids == ["m1", "m2"]

    run_with_shared_listener(scenario, tmp_path)


@pytest.mark.parametrize("step", PREDECESSOR_POINTS)
def test_predecessor_killed_at_fault_point_is_replaced_by_successor(tmp_path: Path, step: str) -> None:
    """The other one goes on: what may have run and must not run twice fails, the rest is delivered."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        silent = await w.start_host(never_respond, destination=2)
        w.program = ["-m", "tests.standins.killed", step]
        await w.start()
        assert await w.submit("out", "order", destination=2) == 202
        await w.wait_until(lambda: silent.request_ids == ["out"])
        w.add_unavailable_destination(destination=3)
        await w.submit_once_listed("waits", destination=3)
        await w.start_successor(["-m", "loftrelay"])
        await w.wait_until_ready()
        assert w.predecessor is not None
        assert await w.predecessor.wait() == -signal.SIGKILL
        await w.wait_until(lambda: undeliverable_report("out") in w.status_reports)
        assert await w.submit("later", "order") == 202
        w.add_endpoint(3, "plain", "Ready", host.address)
        await w.wait_until(lambda: {"waits", "later"} <= set(host.request_ids))
        assert silent.request_ids == ["out"]
        assert Counter(host.request_ids) == {"waits": 1, "later": 1}

    run_with_shared_listener(scenario, tmp_path)


@pytest.mark.parametrize("step", SUCCESSOR_POINTS)
def test_successor_killed_at_fault_point_leaves_predecessor_serving(tmp_path: Path, step: str) -> None:
    """The one before it serves, as it did or anew from the journal, and a third can take over from it."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        w.add_unavailable_destination(destination=3)
        await w.submit_once_listed("waits", destination=3)
        door = w.admin_address
        await w.start_successor(["-m", "tests.standins.killed", step])
        assert w.process is not None
        assert w.predecessor is not None
        assert await w.process.wait() == -signal.SIGKILL
        w.admin_address, w.process, w.predecessor = door, w.predecessor, None
        await w.wait_until_ready()
        assert w.process.returncode is None
        assert await w.submit("after", "order") == 202
        w.add_endpoint(3, "plain", "Ready", host.address)
        await w.wait_until(lambda: {"waits", "after"} <= set(host.request_ids))
        await w.upgrade()
        assert await w.submit("last", "order") == 202
        await w.wait_until(lambda: "last" in host.request_ids)
        assert Counter(host.request_ids) == {"waits": 1, "after": 1, "last": 1}
        assert w.status_reports == []

    run_with_shared_listener(scenario, tmp_path)


def test_start_with_leftover_state_files_succeeds(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        state = tmp_path / "state"
        state.mkdir()
        (state / "owner.lock").write_text("4711")
        (state / "upgrade.sock").write_text("no socket")
        (state / "hosts-out.json").write_text("{")
        await w.start()
        await w.wait_until_ready()
        assert await w.submit("m") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])
        await w.upgrade()

    run_with_shared_listener(scenario, tmp_path)


def test_second_process_without_shared_listener_ends_with_one_line(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        other = await w.spawn()
        assert await other.wait() == 1
        assert any("another process of this relay holds" in line for line in w.log)
        assert await w.submit("m") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("text", ["x", "-1", "9999"])
def test_invalid_accept_descriptor_ends_start_with_one_line(tmp_path: Path, text: str) -> None:
    import os
    import subprocess
    import sys

    path = RelayHarness(tmp_path).write_config("127.0.0.1:9")
    done = subprocess.run(
        [sys.executable, "-m", "loftrelay"],
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        env={
            **os.environ,
            "RELAY_CONFIG": str(path),
            "RELAY_STATE": str(tmp_path / "s"),
            "RELAY_ACCEPT_FD": text,
        },
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert "RELAY_ACCEPT_FD" in done.stderr


def test_settings_changed_during_handover_are_applied(tmp_path: Path) -> None:
    """SIGHUP goes to the process that serves, when the one that follows has read the file already: whether
    all stand still by then, or it has taken over."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        await w.wait_until_ready()
        await w.start_successor()
        await w.wait_until(lambda: sum("accepts admin commands on" in line for line in w.log) == 2)
        classes = list(w.settings["classes"])
        w.settings["classes"] = [*classes, {**classes[0], "name": "second"}]
        assert w.predecessor is not None
        w.write_config(w.discovery.address)
        w.predecessor.send_signal(signal.SIGHUP)
        await w.wait_until_ready()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await w.submit("m", "second") != 202:
                pass
        await w.wait_until(lambda: host.request_ids == ["m"])

    run_with_shared_listener(scenario, tmp_path)
