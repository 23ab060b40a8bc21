"""Requests of clients: invalid ones are refused without effect, valid ones are admitted once."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path

import pytest

from tests.standins.platform import (
    HANG,
    SETTINGS,
    Request,
    World,
    deliver,
    message,
    never,
    read_message,
    reply,
    run,
)


def test_message_is_delivered_unchanged_over_a_kept_connection(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        assert await w.hand_in("m1", body=bytes(range(256))) == 202
        await w.until(lambda: host.ids == ["m1"])
        for i in range(2, 8):
            assert await w.hand_in(f"m{i}") == 202
            await w.until(lambda n=i: len(host.ids) == n)  # type: ignore[misc]
        first = host.requests[0]
        assert (first.method, first.target, first.body) == ("POST", "/v1/messages", bytes(range(256)))
        assert int(first.headers["request-timeout-ms"]) > 0
        assert len(host.connections) <= 2  # the module closes the first, then sees that more calls come
        assert (await w.ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200

    run(scenario, tmp_path)


CLASSES = [
    *SETTINGS["classes"],
    {
        "name": "alarm",
        "effect": "deduplicated",
        "key_scope": "all",
        "window": 1_000_000,
        "deadline": 24_000_000,
        "on_time": 3_000_000,
        "worth": 2,
    },
]
BAD = [
    (message("m", path="/nowhere"), 404),
    (message("m", path="/status/a/b"), 404),
    (message("m", method="PUT"), 405),
    (b"POST /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
    (message("m", Request_Class="order"), 400),
    (message("m", Request_Class=""), 400),
    (message("m", Request_Id=""), 400),
    (message("m", Request_Id="a b"), 400),
    (message("m", Tenant=""), 400),
    (message("m", Tenant="nobody"), 400),
    (message("m", Request_Timeout_Ms="soon"), 400),
    (message("m", Request_Timeout_Ms="-5"), 400),
    (message("m", Request_Timeout_Ms=""), 400),
    (message("m", X_Consignee="dest=x"), 400),
    (message("m", X_Consignee=""), 400),
    (message("m", Content_Length="-1"), 400),
    (message("m", body=b"x" * (64 * 1024 + 1)), 413),
    (message("m", Content_Length="99999999999"), 413),
    (message("m", Content_Length="9" * 5000), 400),
    (message("m", Request_Timeout_Ms="999999999"), 400),
    (message("m", dest=99), 503),  # no list has named it
    (message("m", path="/order/" + "k" * 300, Request_Class="order"), 400),
    # What may hide a request behind another, and requests sent ahead of their answers:
    (message("m", Transfer_Encoding="chunked", body=b"0\r\n\r\n" + message("hidden")), 400),
    (message("m", request_id="n"), 400),
    (message("m", request_class="status"), 400),
    (message("m", content_length="6"), 400),
    (message("m", request_timeout_ms="20000"), 400),
    (message("m") + message("n"), 400),
    (message("m") + b"noise", 400),
    (message("m", Content_Length="2"), 400),
    (message("m", path="/nowhere") + b"POST /status HT", 400),
    (message("m", Request_Timeout_Ms="0"), 500),  # its time is up
    (b"no HTTP at all\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 70_000, 431),
]


def test_invalid_request_is_refused_without_effect(tmp_path: Path) -> None:
    """It gets its status, submits nothing, and the relay goes on serving."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        for raw, status in BAD:
            assert (await w.ask(raw))[0] == status, raw[:300]
        assert await w.hand_in("good", body=b"x" * 64 * 1024) == 202
        await w.until(lambda: host.ids == ["good"])

    run(scenario, tmp_path)


def test_every_connection_is_answered_or_closed_in_time(tmp_path: Path) -> None:
    """Without a request, with a part of one, with a slow one, or after a response: each has a timeout."""

    async def scenario(w: World) -> None:
        await w.host(deliver)
        await w.start()
        good = message("good")
        for start in (b"", b"POST /sta", good[:-2], good):
            reader, writer = await asyncio.open_connection(*w.address)
            writer.write(start)
            async with asyncio.timeout(HANG):
                answer = await reader.read()
            status = {b"": 408, good: 202}.get(start, 408)
            assert answer.startswith(b"HTTP/1.1 %d " % status)
            assert answer.count(b"HTTP/1.1") == 1
            writer.close()

    run(scenario, tmp_path)


def test_pipelined_request_cancels_the_pending_one(tmp_path: Path) -> None:
    """Pipelining is refused, and no request of that connection is delivered."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        reader, writer = await asyncio.open_connection(*w.address)
        writer.write(b"".join(message(f"m{i}", body=bytes(60_000)) for i in range(40)))
        async with asyncio.timeout(HANG):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert answer.count(b"HTTP/1.1") == 1
        writer.close()
        assert await w.hand_in("good") == 202
        await w.until(lambda: host.ids == ["good"])

    run(scenario, tmp_path)


def test_silent_new_connections_do_not_evict_an_active_client(tmp_path: Path) -> None:
    """Hundreds at once. On a busy machine the client may look idle for long enough to be evicted; then it is
    served on a new connection, as clients retry."""

    async def scenario(w: World) -> None:
        w.limits["sockets"] = 100
        host = await w.host(deliver)
        await w.start()
        reader, writer = await asyncio.open_connection(*w.address)
        silent = []
        for i in range(3):
            try:
                writer.write(message(f"m{i}"))
                answer = (await read_message(reader))[0]
            except (ConnectionError, asyncio.IncompleteReadError):
                writer.close()
                reader, writer = await asyncio.open_connection(*w.address)
                writer.write(message(f"m{i}"))
                answer = (await read_message(reader))[0]
            assert answer.startswith("HTTP/1.1 202")
            silent += await asyncio.gather(*(asyncio.open_connection(*w.address) for _ in range(150)))
        writer.close()
        for other, others_writer in silent:
            async with asyncio.timeout(HANG):
                with contextlib.suppress(ConnectionError):
                    await other.read()
            others_writer.close()
        await w.until(lambda: len(host.ids) == 3)
        assert not any("accept" in line for line in w.log)  # the descriptors lasted

    run(scenario, tmp_path)


def test_new_client_evicts_the_longest_idle_connection(tmp_path: Path) -> None:
    """More clients than connections, each with one request: none evicts a regular client."""

    async def scenario(w: World) -> None:
        w.limits["sockets"] = 100
        host = await w.host(deliver)
        await w.start()
        answers, regular = await asyncio.open_connection(*w.address)
        for name in ("r1", "r2"):
            regular.write(message(name))
            assert (await read_message(answers))[0].startswith("HTTP/1.1 202")
        writers = [regular]
        for i in range(60):
            reader, writer = await asyncio.open_connection(*w.address)
            writer.write(message(f"m{i}"))
            async with asyncio.timeout(HANG):
                assert (await read_message(reader))[0].startswith("HTTP/1.1 202")
            writers.append(writer)
        regular.write(message("r3"))
        assert (await read_message(answers))[0].startswith("HTTP/1.1 202")
        await w.until(lambda: len(host.ids) == 63)
        for writer in writers:
            writer.close()

    run(scenario, tmp_path)


def test_id_in_progress_is_not_admitted_twice(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(never)
        await w.start()
        assert [await w.hand_in("m"), await w.hand_in("m")] == [202, 202]
        await w.until(lambda: host.ids == ["m"])
        assert not w.notices

    run(scenario, tmp_path)


@pytest.mark.parametrize("of", ["order", "alarm"])
def test_repeated_request_after_delivery_is_not_delivered_again(tmp_path: Path, of: str) -> None:
    """Clients without a response in time retry. An alarm may be repeated, but only within the deduplication
    window of its destination (1 s), so its id is stored, too."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        names = [f"m{i}" for i in range(10)]
        for name in names:
            assert await w.hand_in(name, of, path=f"/{of}/{name}") == 202
        await w.until(lambda: host.answered == 10)
        for _ in range(2):
            # The relay has read the last answer when it has delivered what came after it.
            before = host.answered
            assert await w.hand_in(f"after{before}", "order") == 202
            await w.until(lambda n=before: host.answered == n + 1)  # type: ignore[misc]
            for name in names:
                assert await w.hand_in(name, of, path=f"/{of}/{name}") == 200
            await asyncio.sleep(1.0 if of == "alarm" else 0.0)  # just before the window's end, and after it
            await w.restart()  # and it knows them then, too
        assert [host.ids.count(name) for name in names] == [1] * 10

    run(scenario, tmp_path, classes=CLASSES)


def test_repeated_order_gets_its_failure_again_but_is_admitted_if_deferred(tmp_path: Path) -> None:
    """A rejected order has certainly not run; a failed one may have."""

    async def scenario(w: World) -> None:
        async def fail(request: Request) -> bytes | None:
            return reply(500)

        async def refuse(request: Request) -> bytes | None:
            return reply(429, X_Come_Back_Ms="50")

        hosts = [await w.host(fail, dest=1), await w.host(refuse, dest=2)]
        await w.start()
        for dest, name, status in ((1, "failed", "undeliverable"), (2, "later", "deferred")):
            assert await w.hand_in(name, "order", dest, path=f"/order/{name}") == 202
            await w.until(lambda: len(w.notices) == 1)
            assert w.notices == [{"id": name, "status": status}]
            w.notices.clear()
            count = len(hosts[dest - 1].requests)
            async with asyncio.timeout(HANG):  # until the relay has read that its notice was heard
                while len(hosts[dest - 1].requests) == count:
                    if await w.hand_in(name, "order", dest, path=f"/order/{name}") == 500:
                        break
            assert (len(hosts[dest - 1].requests) > count) == (name == "later")
        assert hosts[0].ids == ["failed"]

    run(scenario, tmp_path, policy_limits={**SETTINGS["policy_limits"], "most_tries": 1})


def test_repeated_idempotent_message_is_admitted_again(tmp_path: Path) -> None:
    """It may run twice, so its id is not stored."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        assert await w.hand_in("m") == 202
        await w.until(lambda: host.answered == 1)
        async with asyncio.timeout(HANG):
            while len(host.requests) < 2:
                assert await w.hand_in("m") == 202
                await w.hand_in("other")  # its delivery shows that the first one's was read
                await w.until(lambda: "other" in host.ids)

    run(scenario, tmp_path)


def test_relay_rejects_messages_over_its_limit(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        await w.host(never)
        await w.start()
        for i in range(2):
            assert await w.hand_in(f"m{i}", "order") == 202
        status, headers, _ = await w.ask(message("m2", "order"))
        assert status == 503
        assert float(headers["retry-after"]) > 0

    run(scenario, tmp_path, policy_limits={**SETTINGS["policy_limits"], "most_held": 2})


def test_relay_over_its_disk_limit_rejects_only_new_messages(tmp_path: Path) -> None:
    """It rejects messages before it exceeds the limit."""

    async def scenario(w: World) -> None:
        w.limits["disk_mb"] = 1
        w.name()
        await w.start()
        statuses = [await w.hand_in(f"m{i}", body=os.urandom(60_000)) for i in range(12)]
        taken = statuses.count(202)
        assert 4 <= taken < 12
        assert set(statuses) == {202, 503}
        assert sum(-(-f.stat().st_size // 512) * 512 for f in (tmp_path / "state").iterdir()) < 1_000_000
        host = await w.host(deliver)
        await w.until(lambda: len(host.requests) == taken)
        assert await w.hand_in("again", body=bytes(60_000)) == 202

    run(scenario, tmp_path)
