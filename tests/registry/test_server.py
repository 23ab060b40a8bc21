"""A registry as its relays and its operator meet it: the real command, over loopback."""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from loftrelay.registry import client_connection, server, upstream
from loftrelay.registry.protocol import (
    LIST_PATH,
    SubscriptionChange,
    SubscriptionWatch,
    decode_response,
    encode_request,
)
from tests.standins.discovery import Discovery, row
from tests.standins.platform import HANG, free_port
from tests.standins.registry import RegistryConnection, RegistryProcess, run

WAIT = 60_000


@asynccontextmanager
async def served(
    folder: Path, cells: int = 20, **keys: str
) -> AsyncIterator[tuple[Discovery, RegistryProcess]]:
    async with (
        Discovery([row(f"h{i}", i) for i in range(cells)], 5) as discovery,
        RegistryProcess(folder, discovery.address, **keys) as registry,
    ):
        await registry.ready()
        yield discovery, registry


async def subscribe(registry: RegistryProcess, name: str, *cells: int) -> RegistryConnection:
    line = await registry.connect()
    answer = await line.call(SubscriptionChange("f", name, 1, added=cells, is_reset=True))
    assert answer.size == len(cells)
    assert set(answer.full_destinations) == set(cells)
    return line


def test_change_is_sent_to_its_subscribers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            lines = [await subscribe(registry, f"r{i}.1", i, i + 1) for i in range(6)]
            for number, line in enumerate(lines):
                line.send(encode_request(SubscriptionWatch("f", f"r{number}.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 6)
            discovery.change(row("h3", 3, "Terminating"))
            for number in (2, 3):
                answer = await lines[number].response()
                assert (answer.revision, answer.fleet, answer.full_destinations) == (6, "f", ())
                assert [(r["id"], r["phase"]) for r in answer.rows] == [("h3", "Terminating")]
                assert answer.age_ms < 5000
                assert (answer.sequence, answer.size) == (1, 2)
            figures = await registry.metrics()
            assert (figures["watches"], figures["woken"]) == (4, 2)

    run(scenario)


def test_watch_ends_without_changes_after_its_wait(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            line = await subscribe(registry, "a.1", 3)
            answer = await line.call(SubscriptionWatch("f", "a.1", 5, 50))
            assert (answer.revision, answer.rows, answer.full_destinations) == (5, [], ())
            answer = await line.call(
                SubscriptionWatch("f", "a.1", 9, WAIT)
            )  # a revision that is not known here yet
            assert (answer.revision, answer.rows) == (5, [])

    run(scenario)


def test_malformed_request_is_answered_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            line = await registry.connect()
            for call, status, word in (
                (SubscriptionChange("f", "a.1", 1, added=(1,)), 410, "subscriber"),
                (SubscriptionWatch("f", "a.1", 1, 0), 410, "subscriber"),
                (SubscriptionChange("g", "a.1", 1, added=(1,), is_reset=True), 403, "fleet"),
            ):
                got, body = await line.request(encode_request(call))
                assert got == status
                assert body["error"].startswith(word)
            for what, status in (
                (f"{LIST_PATH}?fleet=f", 400),
                (f"{LIST_PATH}?fleet=f&subscriber=a.1&seq=x", 400),
                ("/nowhere", 404),
            ):
                got, body = await line.request(what)
                assert got == status
                assert body["error"]
                assert "\n" not in body["error"]
            figures = await registry.metrics()
            assert [figures[f"answers_{n}"] for n in (400, 403, 410)] == [2, 1, 2]
            assert (await line.request("/health/ready"))[0] == 200  # on the same connection still
            line.send("/figures", "HEAD")
            head = await line.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK")
            assert b"Content-Length: 0" not in head
            assert (await line.request("/health/ready"))[0] == 200

    run(scenario)


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET /" + b"x" * 17_000 + b" HTTP/1.1\r\nHost: r\r\n\r\n", 414),
        (b"GET /" + b"x" * 60_000, 431),
        (b"GET /health/ready HTTP/1.1\r\nHost: r\r\nX: " + b"y" * 60_000, 431),
        (b"POST /health/ready HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n" * 2, 400),
        (b"GET / HTTP/1.1\r\nHost: r\r\nContent-Length: 70000\r\n\r\n" + b"b" * 70_000, 413),
    ],
)
def test_invalid_http_is_answered_and_the_connection_closed(tmp_path: Path, data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            line = await registry.connect()
            line.writer.write(data)
            got, headers, body = await line.read()
            assert (got, headers["connection"]) == (status, "close")
            assert "\n" not in json.loads(body)["error"]
            assert await line.read_until_closed() == b""
            assert (await (await registry.connect()).request("/health/ready"))[0] == 200

    run(scenario)


def test_request_line_of_nearly_16_kib_is_accepted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            cells = tuple((1 << 50) + i for i in range(900))
            call = SubscriptionChange("f", "a.1", 1, added=cells, is_reset=True)
            assert 14_000 < len(encode_request(call)) < server.MAX_TARGET_BYTES
            answer = await (await registry.connect()).call(call)
            assert answer.size == 900
            assert answer.rows == []
            assert answer.full_destinations == cells

    run(scenario)


def test_slow_client_is_disconnected_and_delays_nobody(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            silent, slow, halved = [await registry.connect() for _ in range(3)]
            began = time.monotonic()
            slow.writer.write(b"GET /health")
            halved.send("/health/ready")
            halved.writer.write_eof()  # it gave its call up, or did not: nothing must come of it
            line = await subscribe(registry, "a.1", 3)
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"))
            assert (await line.response()).revision == 6
            for late in (silent, slow):
                status, headers, _ = await late.read()
                assert (status, headers["connection"]) == (408, "close")
                assert await late.read_until_closed() == b""
            assert time.monotonic() - began > client_connection.REQUEST_TIMEOUT_S - 0.1
            await halved.read_until_closed()

    run(scenario)


def test_client_that_does_not_read_is_disconnected_and_others_are_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, cells=3, idle_s="3600") as (discovery, registry):
            many = [row(f"x{i}", 1, locality="z" * 200) for i in range(20_000)]
            discovery.change(*many)
            await registry.until(lambda figures: figures["revision"] == 6)
            deaf = socket.socket()
            with deaf:
                deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                deaf.connect(registry.address)
                call = SubscriptionChange("f", "deaf.1", 1, added=(1,), is_reset=True)
                deaf.sendall(f"GET {encode_request(call)} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
                await registry.until(lambda figures: figures["subscribers"] == 1)
                hears = await registry.connect()
                answer = await hears.call(SubscriptionChange("f", "b.1", 1, added=(1,), is_reset=True))
                assert len(answer.rows) == 20_001
                # Besides these two there is the one that asks for figures. The deaf one goes by its limit.
                await registry.until(lambda figures: figures["connections"] == 3)
                await registry.until(lambda figures: figures["connections"] == 2)
                assert (await hears.request("/health/ready"))[0] == 200

    run(scenario)


def test_1100_watches_wait_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, cells=1200) as (discovery, registry):
            lines: list[RegistryConnection] = []
            for number in range(1100):
                lines.append(await subscribe(registry, f"r{number}.1", number, 1150))
                lines[-1].send(encode_request(SubscriptionWatch("f", f"r{number}.1", 5, WAIT)))
            figures = await registry.until(lambda figures: figures["watches"] == 1100)
            assert (figures["subscribers"], figures["subscribed"]) == (1100, 2200)
            discovery.change(row("h7", 7, "Terminating"))
            assert len((await lines[7].response()).rows) == 1
            assert (await registry.metrics())["watches"] == 1099
            discovery.change(row("h1150", 1150, "Gone"))
            for number, line in enumerate(lines):
                if number != 7:
                    assert [r["phase"] for r in (await line.response()).rows] == ["Gone"]
            assert (await registry.metrics())["woken"] == 1100

    run(scenario)


def test_newer_watch_of_a_relay_ends_its_older_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            first, second = await subscribe(registry, "a.1", 3), await registry.connect()
            first.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            second.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            assert (await first.response()).rows == []
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"))
            assert len((await second.response()).rows) == 1

    run(scenario)


def test_watch_ends_with_its_connection_and_later_the_subscription(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, forget_s="1.0") as (_, registry):
            line = await subscribe(registry, "a.1", 3)
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            line.close()
            figures = await registry.until(lambda figures: figures["watches"] == 0)
            figures = await registry.until(lambda figures: figures["subscribers"] == 0)
            assert figures["subscribed"] == 0
            status, _ = await (await registry.connect()).request(
                encode_request(SubscriptionWatch("f", "a.1", 5, 0))
            )
            assert status == 410

    run(scenario)


def test_second_call_beside_a_waiting_watch_ends_both(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            line.send("/health/ready")
            status, headers, body = await line.read()
            assert (status, headers["connection"]) == (400, "close")
            assert b"one call at a time" in body
            assert await line.read_until_closed() == b""
            assert (await registry.metrics())["watches"] == 0
            discovery.change(row("h3", 3, "Terminating"))
            figures = await registry.until(lambda figures: figures["revision"] == 6)
            assert figures["woken"] == 0

    run(scenario)


def test_shutdown_answers_every_watch(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            lines = [await subscribe(registry, f"r{i}.1", i) for i in range(10)]
            for number, line in enumerate(lines):
                line.send(encode_request(SubscriptionWatch("f", f"r{number}.1", 5, WAIT)))
            plain, idle = await registry.connect(), await subscribe(registry, "idle.1", 1)
            plain.send(f"{LIST_PATH}?index=5&wait={WAIT}")
            await registry.until(lambda figures: figures["watches"] == 11)
            began = time.monotonic()
            assert registry.process is not None
            registry.process.send_signal(signal.SIGTERM)
            for line in lines:
                status, headers, body = await line.read()
                assert (status, headers["connection"]) == (200, "close")
                assert decode_response(body).rows == []
                assert await line.read_until_closed() == b""
                line.close()
            status, _, body = await plain.read()
            assert (status, json.loads(body)["members"]) == (200, [])
            assert await idle.read_until_closed() == b""
            plain.close()
            idle.close()
            assert await registry.wait() == 0
            assert time.monotonic() - began < HANG / 2

    run(scenario)


def test_registry_without_discovery_listens_and_retries(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = Discovery([row("a", 1)], 9)
        await discovery.start()
        await discovery.stop()
        async with RegistryProcess(tmp_path, discovery.address) as registry:
            line = await registry.connect()
            for what in (
                "/health/ready",
                LIST_PATH,
                encode_request(SubscriptionChange("f", "a.1", 1, is_reset=True)),
            ):
                status, body = await line.request(what)
                assert status == 503
                assert body["error"]
            await registry.wait_for_log("asked again until it answers")
            await discovery.start()
            await registry.ready()
            answer = await (await registry.connect()).call(
                SubscriptionChange("f", "a.1", 1, added=(1,), is_reset=True)
            )
            assert (answer.revision, len(answer.rows)) == (9, 1)
            assert sum("asked again until" in said for said in registry.log) == 1
            await discovery.stop()

    run(scenario)


def test_discovery_outage_and_recovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            await discovery.stop()
            await registry.wait_for_log("asked again until it answers")
            answer = await line.call(
                SubscriptionChange("f", "a.1", 2, added=(4,))
            )  # what is held is told meanwhile
            assert answer.size == 2
            assert [r["id"] for r in answer.rows] == ["h4"]
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            discovery.change(row("h3", 3, "Terminating"))
            asked = len(discovery.requests)
            await discovery.start()
            assert [r["phase"] for r in (await line.response()).rows] == ["Terminating"]
            assert discovery.requests[asked] == f"{LIST_PATH}?index=5&wait=0"  # at once: what was missed
            await registry.wait_for_log("answers again, revision 6")

    run(scenario)


def test_silent_discovery_is_called_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            discovery.is_silent = True
            asked = len(discovery.requests)
            discovery.notify()
            began = time.monotonic()
            discovery.change(row("h3", 3, "Terminating"))
            await registry.wait_for_log("asked again until it answers")
            age = (await registry.metrics())["age_ms"]
            assert age > 1000 * upstream.RESPONSE_TIMEOUT_S
            discovery.is_silent = False
            discovery.notify()
            assert [r["phase"] for r in (await line.response()).rows] == ["Terminating"]
            assert len(discovery.requests) > asked
            assert time.monotonic() - began < HANG / 2

    run(scenario)


def test_discovery_restarts_its_revisions(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line, other = await subscribe(registry, "a.1", 3), await subscribe(registry, "b.1", 4)
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.restart_revisions(2, [row("h3", 3), row("h9", 4)])
            answer = await line.response()
            assert (answer.revision, answer.rows, answer.full_destinations) == (2, [], ())
            answer = await other.call(SubscriptionChange("f", "b.1", 2, 5, confirmed=(4,)))
            assert (answer.revision, answer.full_destinations) == (2, (4,))
            assert [r["id"] for r in answer.rows] == ["h9"]
            assert sum("counts anew" in said for said in registry.log) == 1
            status, body = await line.request(encode_request(SubscriptionWatch("f", "a.1", 2, WAIT)))
            assert status == 410
            assert "counts anew" in body["error"]
            answer = await line.call(SubscriptionChange("f", "a.1", 2, 2, confirmed=(3,), is_reset=True))
            assert answer.full_destinations == (3,)
            assert [r["id"] for r in answer.rows] == ["h3"]
            line.send(encode_request(SubscriptionWatch("f", "a.1", 2, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"))
            assert (await line.response()).revision == 3

    run(scenario)


def test_indented_list_is_sent_in_compact_form(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Discovery([row(f"h{i}", i) for i in range(3000)]) as discovery:
            discovery.indent = 4
            async with RegistryProcess(tmp_path, discovery.address) as registry:
                await registry.ready()
                line = await registry.connect()
                line.send(encode_request(SubscriptionChange("f", "a.1", 1, added=(7,), is_reset=True)))
                status, _, body = await line.read()
                assert status == 200
                assert b" " not in body
                assert b"\n" not in body
                assert decode_response(body).rows == [row("h7", 7)]

    run(scenario)


def test_list_with_a_malformed_row_is_used_without_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        rows = [row("a", 1), {**row("b", 2), "cell": "2"}, row("c", 3)]
        async with Discovery(rows) as discovery, RegistryProcess(tmp_path, discovery.address) as registry:
            await registry.ready()
            assert (await registry.metrics())["hosts"] == 2
            await registry.wait_for_log("malformed entry of the list skipped: .*cell = '2'")

    run(scenario)


def test_oversize_list_is_rejected_in_one_log_line_and_the_old_one_stays(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, most_list_mb="1") as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            discovery.change(*(row(f"x{i}", i, locality="z" * 1000) for i in range(2000)))
            await registry.wait_for_log(r"an answer of 2 MB is over most_list_mb = 1, .*what is held stays")
            answer = await line.call(SubscriptionChange("f", "a.1", 2, added=(4,)))
            assert answer.revision == 5
            assert [r["id"] for r in answer.rows] == ["h4"]
            discovery.restart_revisions(7, [row("h4", 4, "Terminating")])
            await registry.until(lambda figures: figures["revision"] == 7)
            assert sum("most_list_mb" in said for said in registry.log) == 1

    run(scenario)


def test_relay_without_a_subscription_is_served_as_by_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await registry.connect()
            status, told = await line.request(LIST_PATH)
            assert (status, told["revision"], told["complete"], len(told["members"])) == (200, 5, True, 20)
            line.send(f"{LIST_PATH}?index=5&wait={WAIT}")
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"), row("h4", 9))
            _, _, body = await line.read()
            told = json.loads(body)
            assert (told["revision"], told["complete"]) == (6, False)
            rows = [(r["id"], r["cell"], r["phase"]) for r in told["members"]]
            assert rows[0] == ("h4", 4, "Gone")
            assert sorted(rows[1:]) == [("h3", 3, "Terminating"), ("h4", 9, "Ready")]
            status, told = await line.request(f"{LIST_PATH}?index=6&wait=20")
            assert (told["revision"], told["complete"], told["members"]) == (6, False, [])
            for index in (2, 99):  # not known what changed since
                status, told = await line.request(f"{LIST_PATH}?index={index}&wait={WAIT}")
                assert (told["revision"], told["complete"], len(told["members"])) == (6, True, 20)

    run(scenario)


def test_full_list_too_long_for_a_relay_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, cells=9000) as (_, registry):
            status, body = await (await registry.connect()).request(LIST_PATH)
            assert status == 413
            assert f"at most {server.MAX_FULL_LIST_BYTES} are told" in body["error"]
            size = int(body["error"].split()[4])
            assert size > server.MAX_FULL_LIST_BYTES

    run(scenario)


# The operator


def test_sighup_changes_discovery_and_nothing_else(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            served(tmp_path) as (discovery, registry),
            Discovery([row("h3", 3, "Terminating")], 2) as other,
        ):
            line = await subscribe(registry, "a.1", 3)
            assert registry.process is not None

            async def read_again(says: str, **keys: str) -> None:
                before, since = registry.keys, len(registry.log)
                registry.keys = {**before, **keys}
                registry.write()
                assert registry.process is not None
                registry.process.send_signal(signal.SIGHUP)
                await registry.wait_for_log(says, since)
                assert len(registry.log) == since + 1
                registry.keys = before

            await read_again(r"not taken: .*registry.toml: fleet: can't change", fleet='"g"')
            await read_again(r"not taken: .*keep_gone = -1", keep_gone="-1")
            await read_again(r"not taken: .*discovery = 'x'", discovery='"x"')
            await read_again(r"not taken: .*colour = 1: no such key", colour="1")
            await read_again(r"nothing changed")
            assert (await line.call(SubscriptionChange("f", "a.1", 2, added=(4,)))).revision == 5
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            registry.keys["discovery"] = f'"{other.address}"'
            registry.write()
            registry.process.send_signal(signal.SIGHUP)
            assert (await line.response()).revision == 2
            answer = await line.call(SubscriptionChange("f", "a.1", 3, 5, confirmed=(3, 4), is_reset=True))
            assert answer.full_destinations == (3, 4)
            assert [r["phase"] for r in answer.rows] == ["Terminating"]
            asked = len(discovery.requests)
            other.change(row("h3", 3, "Gone"))
            assert (await line.call(SubscriptionWatch("f", "a.1", 2, WAIT))).revision == 3
            assert len(discovery.requests) == asked

    run(scenario)


def test_invalid_settings_file_exits_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Discovery() as discovery:
            registry = RegistryProcess(tmp_path, discovery.address, keep_gone="-1")
            await registry.start(listens=False)
            assert await registry.wait() == 2
            await registry.wait_for_log("^loftrelay registry: ")
            why = "is not from 0 to 1e+07 hosts"
            assert registry.log == [f"loftrelay registry: {registry.file}: keep_gone = -1: {why}"]
            assert not discovery.requests

    run(scenario)


def test_address_in_use_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        place = f"127.0.0.1:{free_port()}"
        async with (
            Discovery() as discovery,
            RegistryProcess(tmp_path, discovery.address, listen=f'"{place}"'),
        ):
            folder = tmp_path / "other"
            folder.mkdir()
            second = RegistryProcess(folder, discovery.address, listen=f'"{place}"')
            await second.start(listens=False)
            assert await second.wait() == 1
            await second.wait_for_log("^loftrelay registry: can't start: .*in use")

    run(scenario)


def test_two_registries_need_only_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        other = tmp_path / "other"
        other.mkdir()
        async with (
            served(tmp_path) as (discovery, first),
            RegistryProcess(other, discovery.address) as second,
        ):
            await second.ready()
            line = await subscribe(first, "a.1", 3, 4)
            discovery.change(row("h3", 3, "Terminating"))
            assert (await line.call(SubscriptionWatch("f", "a.1", 5, WAIT))).revision == 6
            await second.until(lambda figures: figures["revision"] == 6)
            assert await first.terminate(signal.SIGKILL) == -signal.SIGKILL
            line = await second.connect()
            status, _ = await line.request(encode_request(SubscriptionWatch("f", "a.1", 6, 0)))
            assert status == 410
            answer = await line.call(SubscriptionChange("f", "a.1", 2, 6, confirmed=(3, 4), is_reset=True))
            assert (answer.full_destinations, answer.rows, answer.size) == ((), [], 2)
            discovery.change(row("h4", 4, "Gone"))
            assert (await line.call(SubscriptionWatch("f", "a.1", 6, WAIT))).revision == 7

    run(scenario)


def test_resumed_registry_reports_its_age_and_catches_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            assert registry.process is not None
            registry.process.send_signal(signal.SIGSTOP)
            line.send(encode_request(SubscriptionWatch("f", "a.1", 5, WAIT)))
            discovery.change(row("h3", 3, "Terminating"))
            asked = len(discovery.requests)
            registry.process.send_signal(signal.SIGCONT)
            assert [r["phase"] for r in (await line.response()).rows] == ["Terminating"]
            await discovery.wait_for_requests(asked + 1)

    run(scenario)
