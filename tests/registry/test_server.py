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

from loftrelay.registry import server, upstream
from loftrelay.registry.protocol import PATH, Change, Watch, read_answer, target
from tests.standins.discovery import Discovery, row
from tests.standins.platform import HANG, free_port
from tests.standins.registry import Line, Registry, run

WAIT = 60_000


@asynccontextmanager
async def served(folder: Path, cells: int = 20, **keys: str) -> AsyncIterator[tuple[Discovery, Registry]]:
    async with (
        Discovery([row(f"h{i}", i) for i in range(cells)], 5) as discovery,
        Registry(folder, discovery.address, **keys) as registry,
    ):
        await registry.ready()
        yield discovery, registry


async def subscribe(registry: Registry, name: str, *cells: int) -> Line:
    line = await registry.line()
    answer = await line.call(Change("f", name, 1, add=cells, reset=True))
    assert answer.count == len(cells)
    assert set(answer.cells) == set(cells)
    return line


def test_a_change_is_told_to_those_whom_it_concerns(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            lines = [await subscribe(registry, f"r{i}.1", i, i + 1) for i in range(6)]
            for number, line in enumerate(lines):
                line.send(target(Watch("f", f"r{number}.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 6)
            discovery.change(row("h3", 3, "Terminating"))
            for number in (2, 3):
                answer = await lines[number].answer()
                assert (answer.revision, answer.fleet, answer.cells) == (6, "f", ())
                assert [(r["id"], r["phase"]) for r in answer.members] == [("h3", "Terminating")]
                assert answer.age < 5000
                assert (answer.seq, answer.count) == (1, 2)
            figures = await registry.figures()
            assert (figures["watches"], figures["woken"]) == (4, 2)

    run(scenario)


def test_a_watch_ends_with_nothing_new_when_its_time_is_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            line = await subscribe(registry, "a.1", 3)
            answer = await line.call(Watch("f", "a.1", 5, 50))
            assert (answer.revision, answer.members, answer.cells) == (5, [], ())
            answer = await line.call(Watch("f", "a.1", 9, WAIT))  # a revision that is not known here yet
            assert (answer.revision, answer.members) == (5, [])

    run(scenario)


def test_who_asks_amiss_gets_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            line = await registry.line()
            for call, status, word in (
                (Change("f", "a.1", 1, add=(1,)), 410, "subscriber"),
                (Watch("f", "a.1", 1, 0), 410, "subscriber"),
                (Change("g", "a.1", 1, add=(1,), reset=True), 403, "fleet"),
            ):
                got, body = await line.ask(target(call))
                assert got == status
                assert body["error"].startswith(word)
            for what, status in (
                (f"{PATH}?fleet=f", 400),
                (f"{PATH}?fleet=f&subscriber=a.1&seq=x", 400),
                ("/nowhere", 404),
            ):
                got, body = await line.ask(what)
                assert got == status
                assert body["error"]
                assert "\n" not in body["error"]
            figures = await registry.figures()
            assert [figures[f"answers_{n}"] for n in (400, 403, 410)] == [2, 1, 2]
            assert (await line.ask("/health/ready"))[0] == 200  # on the same connection still
            line.send("/figures", "HEAD")
            head = await line.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK")
            assert b"Content-Length: 0" not in head
            assert (await line.ask("/health/ready"))[0] == 200

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
def test_what_cant_be_read_is_answered_and_its_connection_ended(
    tmp_path: Path, data: bytes, status: int
) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            line = await registry.line()
            line.writer.write(data)
            got, headers, body = await line.read()
            assert (got, headers["connection"]) == (status, "close")
            assert "\n" not in json.loads(body)["error"]
            assert await line.ended() == b""
            assert (await (await registry.line()).ask("/health/ready"))[0] == 200

    run(scenario)


def test_a_request_line_of_nearly_16_kib_is_taken(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            cells = tuple((1 << 50) + i for i in range(900))
            call = Change("f", "a.1", 1, add=cells, reset=True)
            assert 14_000 < len(target(call)) < server.MOST_TARGET
            answer = await (await registry.line()).call(call)
            assert answer.count == 900
            assert answer.members == []
            assert answer.cells == cells

    run(scenario)


def test_a_slow_caller_is_ended_and_holds_nobody_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            silent, slow, halved = [await registry.line() for _ in range(3)]
            began = time.monotonic()
            slow.writer.write(b"GET /health")
            halved.send("/health/ready")
            halved.writer.write_eof()  # it gave its call up, or did not: nothing must come of it
            line = await subscribe(registry, "a.1", 3)
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"))
            assert (await line.answer()).revision == 6
            for late in (silent, slow):
                status, headers, _ = await late.read()
                assert (status, headers["connection"]) == (408, "close")
                assert await late.ended() == b""
            assert time.monotonic() - began > server.REQUEST_TIME - 0.1
            await halved.ended()

    run(scenario)


def test_who_does_not_read_its_answers_is_ended_and_others_are_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, cells=3, idle_s="3600") as (discovery, registry):
            many = [row(f"x{i}", 1, locality="z" * 200) for i in range(20_000)]
            discovery.change(*many)
            await registry.until(lambda figures: figures["revision"] == 6)
            deaf = socket.socket()
            with deaf:
                deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                deaf.connect(registry.address)
                call = Change("f", "deaf.1", 1, add=(1,), reset=True)
                deaf.sendall(f"GET {target(call)} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
                await registry.until(lambda figures: figures["subscribers"] == 1)
                hears = await registry.line()
                answer = await hears.call(Change("f", "b.1", 1, add=(1,), reset=True))
                assert len(answer.members) == 20_001
                # Besides these two there is the one that asks for figures. The deaf one goes by its limit.
                await registry.until(lambda figures: figures["connections"] == 3)
                await registry.until(lambda figures: figures["connections"] == 2)
                assert (await hears.ask("/health/ready"))[0] == 200

    run(scenario)


def test_1100_relays_wait_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, cells=1200) as (discovery, registry):
            lines: list[Line] = []
            for number in range(1100):
                lines.append(await subscribe(registry, f"r{number}.1", number, 1150))
                lines[-1].send(target(Watch("f", f"r{number}.1", 5, WAIT)))
            figures = await registry.until(lambda figures: figures["watches"] == 1100)
            assert (figures["subscribers"], figures["subscribed"]) == (1100, 2200)
            discovery.change(row("h7", 7, "Terminating"))
            assert len((await lines[7].answer()).members) == 1
            assert (await registry.figures())["watches"] == 1099
            discovery.change(row("h1150", 1150, "Gone"))
            for number, line in enumerate(lines):
                if number != 7:
                    assert [r["phase"] for r in (await line.answer()).members] == ["Gone"]
            assert (await registry.figures())["woken"] == 1100

    run(scenario)


def test_a_newer_watch_of_a_relay_ends_its_older_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            first, second = await subscribe(registry, "a.1", 3), await registry.line()
            first.send(target(Watch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            second.send(target(Watch("f", "a.1", 5, WAIT)))
            assert (await first.answer()).members == []
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"))
            assert len((await second.answer()).members) == 1

    run(scenario)


def test_a_watch_whose_connection_ends_is_forgotten_and_later_its_subscription(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, forget_s="1.0") as (_, registry):
            line = await subscribe(registry, "a.1", 3)
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            line.close()
            figures = await registry.until(lambda figures: figures["watches"] == 0)
            figures = await registry.until(lambda figures: figures["subscribers"] == 0)
            assert figures["subscribed"] == 0
            status, _ = await (await registry.line()).ask(target(Watch("f", "a.1", 5, 0)))
            assert status == 410

    run(scenario)


def test_a_second_call_beside_a_watch_that_waits_ends_both(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            line.send("/health/ready")
            status, headers, body = await line.read()
            assert (status, headers["connection"]) == (400, "close")
            assert b"one call at a time" in body
            assert await line.ended() == b""
            assert (await registry.figures())["watches"] == 0
            discovery.change(row("h3", 3, "Terminating"))
            figures = await registry.until(lambda figures: figures["revision"] == 6)
            assert figures["woken"] == 0

    run(scenario)


def test_at_its_end_every_watch_is_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (_, registry):
            lines = [await subscribe(registry, f"r{i}.1", i) for i in range(10)]
            for number, line in enumerate(lines):
                line.send(target(Watch("f", f"r{number}.1", 5, WAIT)))
            plain, idle = await registry.line(), await subscribe(registry, "idle.1", 1)
            plain.send(f"{PATH}?index=5&wait={WAIT}")
            await registry.until(lambda figures: figures["watches"] == 11)
            began = time.monotonic()
            assert registry.process is not None
            registry.process.send_signal(signal.SIGTERM)
            for line in lines:
                status, headers, body = await line.read()
                assert (status, headers["connection"]) == (200, "close")
                assert read_answer(body).members == []
                assert await line.ended() == b""
                line.close()
            status, _, body = await plain.read()
            assert (status, json.loads(body)["members"]) == (200, [])
            assert await idle.ended() == b""
            plain.close()
            idle.close()
            assert await registry.wait() == 0
            assert time.monotonic() - began < HANG / 2

    run(scenario)


def test_without_discovery_it_listens_and_goes_on_trying(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = Discovery([row("a", 1)], 9)
        await discovery.start()
        await discovery.stop()
        async with Registry(tmp_path, discovery.address) as registry:
            line = await registry.line()
            for what in ("/health/ready", PATH, target(Change("f", "a.1", 1, reset=True))):
                status, body = await line.ask(what)
                assert status == 503
                assert body["error"]
            await registry.says("asked again until it answers")
            await discovery.start()
            await registry.ready()
            answer = await (await registry.line()).call(Change("f", "a.1", 1, add=(1,), reset=True))
            assert (answer.revision, len(answer.members)) == (9, 1)
            assert sum("asked again until" in said for said in registry.log) == 1
            await discovery.stop()

    run(scenario)


def test_discovery_goes_and_comes_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            await discovery.stop()
            await registry.says("asked again until it answers")
            answer = await line.call(Change("f", "a.1", 2, add=(4,)))  # what is held is told meanwhile
            assert answer.count == 2
            assert [r["id"] for r in answer.members] == ["h4"]
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            discovery.change(row("h3", 3, "Terminating"))
            asked = len(discovery.asked)
            await discovery.start()
            assert [r["phase"] for r in (await line.answer()).members] == ["Terminating"]
            assert discovery.asked[asked] == f"{PATH}?index=5&wait=0"  # at once: what was missed
            await registry.says("answers again, revision 6")

    run(scenario)


def test_discovery_that_falls_silent_is_asked_anew(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            discovery.silent = True
            asked = len(discovery.asked)
            discovery.bump()
            began = time.monotonic()
            discovery.change(row("h3", 3, "Terminating"))
            await registry.says("asked again until it answers")
            age = (await registry.figures())["age_ms"]
            assert age > 1000 * upstream.PATIENCE
            discovery.silent = False
            discovery.bump()
            assert [r["phase"] for r in (await line.answer()).members] == ["Terminating"]
            assert len(discovery.asked) > asked
            assert time.monotonic() - began < HANG / 2

    run(scenario)


def test_discovery_counts_anew(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line, other = await subscribe(registry, "a.1", 3), await subscribe(registry, "b.1", 4)
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.count_anew(2, [row("h3", 3), row("h9", 4)])
            answer = await line.answer()
            assert (answer.revision, answer.members, answer.cells) == (2, [], ())
            answer = await other.call(Change("f", "b.1", 2, 5, have=(4,)))
            assert (answer.revision, answer.cells) == (2, (4,))
            assert [r["id"] for r in answer.members] == ["h9"]
            assert sum("counts anew" in said for said in registry.log) == 1
            status, body = await line.ask(target(Watch("f", "a.1", 2, WAIT)))
            assert status == 410
            assert "counts anew" in body["error"]
            answer = await line.call(Change("f", "a.1", 2, 2, have=(3,), reset=True))
            assert answer.cells == (3,)
            assert [r["id"] for r in answer.members] == ["h3"]
            line.send(target(Watch("f", "a.1", 2, WAIT)))
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"))
            assert (await line.answer()).revision == 3

    run(scenario)


def test_an_indented_list_is_taken_and_told_without_its_spaces(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Discovery([row(f"h{i}", i) for i in range(3000)]) as discovery:
            discovery.indent = 4
            async with Registry(tmp_path, discovery.address) as registry:
                await registry.ready()
                line = await registry.line()
                line.send(target(Change("f", "a.1", 1, add=(7,), reset=True)))
                status, _, body = await line.read()
                assert status == 200
                assert b" " not in body
                assert b"\n" not in body
                assert read_answer(body).members == [row("h7", 7)]

    run(scenario)


def test_a_list_with_a_bad_row_is_taken_without_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        rows = [row("a", 1), {**row("b", 2), "cell": "2"}, row("c", 3)]
        async with Discovery(rows) as discovery, Registry(tmp_path, discovery.address) as registry:
            await registry.ready()
            assert (await registry.figures())["hosts"] == 2
            await registry.says("an entry of the list is passed over: .*cell = '2'")

    run(scenario)


def test_a_list_over_its_limit_is_refused_in_one_line_and_the_old_one_stays(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, most_list_mb="1") as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            discovery.change(*(row(f"x{i}", i, locality="z" * 1000) for i in range(2000)))
            await registry.says(r"an answer of 2 MB is over most_list_mb = 1, .*what is held stays")
            answer = await line.call(Change("f", "a.1", 2, add=(4,)))
            assert answer.revision == 5
            assert [r["id"] for r in answer.members] == ["h4"]
            discovery.count_anew(7, [row("h4", 4, "Terminating")])
            await registry.until(lambda figures: figures["revision"] == 7)
            assert sum("most_list_mb" in said for said in registry.log) == 1

    run(scenario)


def test_a_relay_without_slices_is_served_as_by_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await registry.line()
            status, told = await line.ask(PATH)
            assert (status, told["revision"], told["complete"], len(told["members"])) == (200, 5, True, 20)
            line.send(f"{PATH}?index=5&wait={WAIT}")
            await registry.until(lambda figures: figures["watches"] == 1)
            discovery.change(row("h3", 3, "Terminating"), row("h4", 9))
            _, _, body = await line.read()
            told = json.loads(body)
            assert (told["revision"], told["complete"]) == (6, False)
            rows = [(r["id"], r["cell"], r["phase"]) for r in told["members"]]
            assert rows[0] == ("h4", 4, "Gone")
            assert sorted(rows[1:]) == [("h3", 3, "Terminating"), ("h4", 9, "Ready")]
            status, told = await line.ask(f"{PATH}?index=6&wait=20")
            assert (told["revision"], told["complete"], told["members"]) == (6, False, [])
            for index in (2, 99):  # not known what changed since
                status, told = await line.ask(f"{PATH}?index={index}&wait={WAIT}")
                assert (told["revision"], told["complete"], len(told["members"])) == (6, True, 20)

    run(scenario)


def test_a_whole_list_too_long_for_a_relay_without_slices_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path, cells=9000) as (_, registry):
            status, body = await (await registry.line()).ask(PATH)
            assert status == 413
            assert f"at most {server.MOST_PLAIN} are told" in body["error"]
            size = int(body["error"].split()[4])
            assert size > server.MOST_PLAIN

    run(scenario)


# The operator


def test_sighup_moves_it_to_another_discovery_and_changes_nothing_else(tmp_path: Path) -> None:
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
                await registry.says(says, since)
                assert len(registry.log) == since + 1
                registry.keys = before

            await read_again(r"not taken: .*registry.toml: fleet: can't change", fleet='"g"')
            await read_again(r"not taken: .*keep_gone = -1", keep_gone="-1")
            await read_again(r"not taken: .*discovery = 'x'", discovery='"x"')
            await read_again(r"not taken: .*colour = 1: no such key", colour="1")
            await read_again(r"nothing changed")
            assert (await line.call(Change("f", "a.1", 2, add=(4,)))).revision == 5
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            registry.keys["discovery"] = f'"{other.address}"'
            registry.write()
            registry.process.send_signal(signal.SIGHUP)
            assert (await line.answer()).revision == 2
            answer = await line.call(Change("f", "a.1", 3, 5, have=(3, 4), reset=True))
            assert answer.cells == (3, 4)
            assert [r["phase"] for r in answer.members] == ["Terminating"]
            asked = len(discovery.asked)
            other.change(row("h3", 3, "Gone"))
            assert (await line.call(Watch("f", "a.1", 2, WAIT))).revision == 3
            assert len(discovery.asked) == asked

    run(scenario)


def test_a_wrong_file_ends_the_start_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Discovery() as discovery:
            registry = Registry(tmp_path, discovery.address, keep_gone="-1")
            await registry.start(listens=False)
            assert await registry.wait() == 2
            await registry.says("^loftrelay registry: ")
            why = "is not from 0 to 1e+07 hosts"
            assert registry.log == [f"loftrelay registry: {registry.file}: keep_gone = -1: {why}"]
            assert not discovery.asked

    run(scenario)


def test_an_address_that_is_taken_ends_the_start(tmp_path: Path) -> None:
    async def scenario() -> None:
        place = f"127.0.0.1:{free_port()}"
        async with Discovery() as discovery, Registry(tmp_path, discovery.address, listen=f'"{place}"'):
            folder = tmp_path / "other"
            folder.mkdir()
            second = Registry(folder, discovery.address, listen=f'"{place}"')
            await second.start(listens=False)
            assert await second.wait() == 1
            await second.says("^loftrelay registry: can't start: .*in use")

    run(scenario)


def test_two_registries_do_their_work_from_discovery_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        other = tmp_path / "other"
        other.mkdir()
        async with served(tmp_path) as (discovery, first), Registry(other, discovery.address) as second:
            await second.ready()
            line = await subscribe(first, "a.1", 3, 4)
            discovery.change(row("h3", 3, "Terminating"))
            assert (await line.call(Watch("f", "a.1", 5, WAIT))).revision == 6
            await second.until(lambda figures: figures["revision"] == 6)
            assert await first.end(signal.SIGKILL) == -signal.SIGKILL
            line = await second.line()
            status, _ = await line.ask(target(Watch("f", "a.1", 6, 0)))
            assert status == 410
            answer = await line.call(Change("f", "a.1", 2, 6, have=(3, 4), reset=True))
            assert (answer.cells, answer.members, answer.count) == ((), [], 2)
            discovery.change(row("h4", 4, "Gone"))
            assert (await line.call(Watch("f", "a.1", 6, WAIT))).revision == 7

    run(scenario)


def test_a_registry_that_stood_still_tells_its_age_and_catches_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with served(tmp_path) as (discovery, registry):
            line = await subscribe(registry, "a.1", 3)
            assert registry.process is not None
            registry.process.send_signal(signal.SIGSTOP)
            line.send(target(Watch("f", "a.1", 5, WAIT)))
            discovery.change(row("h3", 3, "Terminating"))
            asked = len(discovery.asked)
            registry.process.send_signal(signal.SIGCONT)
            assert [r["phase"] for r in (await line.answer()).members] == ["Terminating"]
            await discovery.until_asked(asked + 1)

    run(scenario)
