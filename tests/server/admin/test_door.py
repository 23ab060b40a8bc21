"""The operators' door over loopback sockets, in a relay that runs."""

from __future__ import annotations

import asyncio
import os
import resource
import subprocess
import sys
from pathlib import Path

import pytest

from loftrelay.server.admin.server import MOST_CALLERS, Caller, Done, Door
from tests.standins.platform import HANG, ROOT, World, deliver, free_port, reply, run


class Asked:
    """Says yes to all but one host, which nobody has."""

    ready = False

    def figures(self) -> list[str]:
        return ["app.forwards=3"]

    def take_out(self, host: str, done: Done) -> None:
        done("no such host" if host == "nobody" else None)

    bring_back = take_out


async def call(address: tuple[str, int], line: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(line)
        async with asyncio.timeout(HANG):
            return await reader.read()
    finally:
        writer.close()


def test_each_call_has_its_answer_and_the_connection_ends() -> None:
    async def main() -> None:
        asked = Asked()
        door = Door(asked)
        address = await door.listen(("127.0.0.1", 0))
        assert await call(address, b"ready\n") == b"NO not ready\n"
        asked.ready = True
        assert await call(address, b"ready\r\n") == b"YES\n"
        assert await call(address, b"show-stat\n") == b"app.forwards=3\nEND\n"
        assert await call(address, b"disable-server s-1\n") == b"YES\n"
        assert await call(address, b"disable-server nobody\n") == b"NO no such host\n"
        assert (await call(address, b"restart\n")).startswith(b"NO no such call")
        door.close()

    asyncio.run(main())


def test_sixty_four_silent_callers_keep_nobody_out() -> None:
    """The one that has been silent longest goes, never the one that comes with a call."""

    async def main() -> None:
        door = Door(Asked())
        address = await door.listen(("127.0.0.1", 0))
        silent = [await asyncio.open_connection(*address) for _ in range(64)]
        for _, writer in silent[::2]:
            writer.write(b"rea")
        assert await call(address, b"show-stat\n") == b"app.forwards=3\nEND\n"
        assert len(door.callers) <= MOST_CALLERS
        assert await silent[0][0].read() == b""  # it had to go
        silent[-1][1].write(b"show-stat\n")
        assert await silent[-1][0].read() == b"app.forwards=3\nEND\n"
        for _, writer in silent:
            writer.close()
        door.close()

    asyncio.run(main())


def test_a_caller_that_ends_its_sending_still_hears() -> None:
    async def main() -> None:
        door = Door(Asked())
        address = await door.listen(("127.0.0.1", 0))
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
        door.close()

    asyncio.run(main())


def test_a_line_that_does_not_come_in_time_is_told_so() -> None:
    async def main() -> None:
        door = Door(Asked())
        address = await door.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        while not door.callers:
            await asyncio.sleep(0)
        (caller,) = door.callers
        assert isinstance(caller, Caller)
        caller._overdue()
        assert await reader.read() == b"NO the line did not come in time\n"
        writer.close()
        door.close()

    asyncio.run(main())


def test_a_relay_opens_its_door_where_it_is_told(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        port = free_port()
        w.control = f"127.0.0.1:{port}"
        await w.start()
        assert await call(("127.0.0.1", port), b"ready\n") == b"YES\n"
        assert await w.hand_in("m1") == 202
        assert await w.hand_in("m2", dest=9) == 503
        await w.until(lambda: host.answered == 1)
        while "app.succeeded.status=1" not in (text := (await w.call("show-stat"))):
            pass
        figures = dict(line.split("=") for line in text.splitlines()[:-1])
        assert text.endswith("\nEND\n")
        assert figures == {
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

    run(scenario, tmp_path)


def test_a_host_that_is_out_gets_nothing_until_it_is_back(tmp_path: Path) -> None:
    """Neither a new list nor a restart of the relay lifts it."""

    async def scenario(w: World) -> None:
        first, second = await w.host(deliver), await w.host(deliver)
        w.control = f"127.0.0.1:{free_port()}"
        await w.start()
        assert await w.call("disable-server h0") == "YES\n"
        assert await w.call("disable-server h0") == "YES\n"
        assert (await w.call("disable-server h7")).startswith("NO no host has the id h7")
        assert (await w.call("enable-server h7")).startswith("NO ")
        while "app.ejected=1" not in await w.call("show-stat"):
            pass  # the module hears of it in its next turn
        assert await w.hand_in("m1") == 202
        await w.until(lambda: second.answered == 1)
        w.list_host(2, "plain", "Ready", second.address)  # a new revision, with h0 ready
        await w.hand_in_once_listed("other", dest=2)
        assert await w.hand_in("m2") == 202
        await w.restart()
        assert await w.hand_in("m3") == 202
        await w.until(lambda: {"m1", "m2", "m3", "other"} <= set(second.ids))
        assert first.ids == []
        assert await w.call("enable-server h0") == "YES\n"
        assert await w.call("enable-server h0") == "YES\n"
        assert await w.call("disable-server h1") == "YES\n"
        assert await w.hand_in("m4") == 202
        await w.until(lambda: first.ids == ["m4"])

    run(scenario, tmp_path)


def test_what_cannot_be_written_down_is_not_said_to_hold(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        await w.host(deliver)
        w.control = f"127.0.0.1:{free_port()}"
        (tmp_path / "state" / "hosts-out.json").mkdir(parents=True)  # nothing can take its place
        await w.start()
        assert (await w.call("disable-server h0")).startswith("NO it can't be written down")
        assert "app.ejected=0" in await w.call("show-stat")

    run(scenario, tmp_path)


@pytest.mark.parametrize(("control", "status"), [("here", 2), ("127.0.0.1:99999", 2), ("192.0.2.1:7", 1)])
def test_an_address_that_cannot_be_used_ends_with_one_line(tmp_path: Path, control: str, status: int) -> None:
    world = World(tmp_path)
    path = world.configure("127.0.0.1:9")
    done = subprocess.run(
        [sys.executable, "-m", "loftrelay"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=HANG,
        env={
            **os.environ,
            "RELAY_CONFIG": str(path),
            "RELAY_STATE": str(tmp_path / "s"),
            "RELAY_CONTROL": control,
        },
    )
    assert done.returncode == status
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith("loftrelay: ")


def test_a_host_that_failed_is_shown_as_avoided(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        async def fail(_: object) -> bytes:
            return reply(500)

        host = await w.host(fail)
        w.control = f"127.0.0.1:{free_port()}"
        await w.start()
        assert await w.hand_in("m1") == 202
        await w.until(lambda: host.answered >= 1)
        while "app.ejected=1" not in await w.call("show-stat"):
            pass

    run(scenario, tmp_path)


def test_clients_that_use_up_all_descriptors_do_not_shut_the_door(tmp_path: Path) -> None:
    """They get theirs, and the door has its own: each call is answered, however many connect."""

    async def scenario(w: World) -> None:
        await w.host(deliver)
        w.control = f"127.0.0.1:{free_port()}"
        w.limits["sockets"] = 160
        await w.start()
        assert w.process is not None
        resource.prlimit(w.process.pid, resource.RLIMIT_NOFILE, (160, 160))
        clients = [await asyncio.open_connection(*w.address) for _ in range(300)]
        for _, writer in clients[::3]:
            writer.write(b"POST /status HTTP/1.1\r\n")
        for _ in range(3):
            assert await w.call("ready") == "YES\n"
            assert (await w.call("show-stat")).endswith("\nEND\n")
            assert await w.call("disable-server h0") == "YES\n"
            assert await w.call("enable-server h0") == "YES\n"
        assert not any("Too many open files" in line for line in w.log)
        for _, writer in clients:
            writer.close()

    run(scenario, tmp_path)
