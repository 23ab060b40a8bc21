"""What a restart finds: tried where it was not, failed where it may have run, in time for those who wait."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

import pytest

from loftrelay.decisions.settings import DeliverySemantics, MessageClass
from loftrelay.journal.journal import Journal
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import pack
from tests.standins.harness import (
    SETTINGS,
    RelayHarness,
    Request,
    format_response,
    never_respond,
    respond_ok,
    run_scenario,
    undeliverable_report,
)

ALARM_CLASS = {
    "name": "alarm",
    "effect": "deduplicated",
    "key_scope": "all",
    "window": 1_000_000,
    "deadline": 24_000_000,
    "on_time": 3_000_000,
    "worth": 2,
}
CLASSES = [*SETTINGS["classes"], ALARM_CLASS]
MAX_START_S = 10.0  # seconds within which nine in ten restarted processes are ready


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_restart_tries_untried_messages_with_little_time_left(tmp_path: Path, number: signal.Signals) -> None:
    """With half, a tenth and nearly none of their time left, of each class, beside each other in one call."""

    async def scenario(w: RelayHarness) -> None:
        w.add_unavailable_destination(flavor="bulk")
        await w.start()
        assert w.process is not None
        down = 3.6 if number is signal.SIGTERM else 0.0
        for of in ("status", "order", "alarm"):
            for left in (0.8, 2.0, 9.0):
                timeout = str(int((down + left + 1.5) * 1000))
                path = f"/{of}/{of}-{left}"
                name = f"{of}-{left}"
                assert await w.submit(name, of, path=path, Request_Timeout_Ms=timeout) == 202
        await w.stop(number)
        w.endpoints.clear()
        host = await w.start_host(respond_ok, flavor="bulk")
        await w.start()
        wanted = {f"{of}-{left}" for of in ("status", "order", "alarm") for left in (0.8, 2.0, 9.0)}

        def tried() -> set[str]:
            return {row["id"] for request in host.requests for row in json.loads(request.body)}

        await w.wait_until(lambda: wanted <= tried() | {notice["id"] for notice in w.status_reports})
        # On a machine so busy that the start takes longer than the least of them has, that one may be late.
        assert {name for name in wanted if not name.endswith("0.8")} <= tried()

    run_scenario(scenario, tmp_path, classes=CLASSES)


@pytest.mark.parametrize(
    ("of", "window", "goes"),
    [("status", 1, True), ("order", 1, False), ("alarm", 60, True), ("alarm", 1, False)],
)
def test_restart_repeats_uncertain_message_only_where_its_class_allows(
    tmp_path: Path, of: str, window: int, goes: bool
) -> None:
    """Of each effect, inside its window and after one of 1 s."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(never_respond)
        await w.start()
        assert await w.submit("m", of) == 202
        await w.wait_until(lambda: host.request_ids == ["m"])
        await w.kill()
        host.handler = respond_ok
        await asyncio.sleep(1.0)
        await w.start()
        if goes:
            await w.wait_until(lambda: host.request_ids == ["m", "m"])
        else:
            await w.wait_until(lambda: w.status_reports == [undeliverable_report("m")])
            assert host.request_ids == ["m"]

    alarm = {**ALARM_CLASS, "window": window * 1_000_000}
    run_scenario(scenario, tmp_path, classes=[*SETTINGS["classes"], alarm])


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_restart_with_batches_in_flight_ends_each_message_once(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Each message has one end, and what must not run twice runs once."""

    async def scenario(w: RelayHarness) -> None:
        runs: list[str] = []

        async def works(request: Request) -> bytes | None:
            ids = [row["id"] for row in json.loads(request.body)]
            runs.extend(ids)
            w.notify_changed()
            await asyncio.sleep(0.02)
            return format_response(
                200, json.dumps([{"id": name, "state": "delivered"} for name in ids]).encode()
            )

        async def hangs(request: Request) -> bytes | None:
            runs.extend(row["id"] for row in json.loads(request.body))
            w.notify_changed()
            return await never_respond(request)

        for i in range(4):
            await w.start_host(hangs if i % 2 else works, destination=1 + i // 2, flavor="bulk")
        await w.start()
        assert w.process is not None
        taken = []
        for i in range(40):
            of = ("order", "status")[i % 2]
            if await w.submit(f"{of}{i}", of, 1 + i // 2 % 2, path=f"/{of}/{of}{i}") == 202:
                taken.append(f"{of}{i}")
        await w.wait_until(lambda: len(runs) >= 4)
        await w.stop(number)
        for host in w.servers:
            if host.handler is hangs:
                host.handler = works
        await w.start()
        await w.wait_until(lambda: set(taken) <= set(runs) | {notice["id"] for notice in w.status_reports})
        orders = [name for name in taken if name.startswith("order")]
        assert all(runs.count(name) <= 1 for name in orders)
        assert all(notice["status"] == "undeliverable" for notice in w.status_reports)

    run_scenario(scenario, tmp_path)


def test_resubmission_after_restart_is_admitted_once_at_each_relay(tmp_path: Path) -> None:
    """An id that one relay has is taken on there once, over its restart too; another knows nothing of it."""

    async def scenario(w: RelayHarness) -> None:
        w.add_unavailable_destination()
        await w.start()
        assert await w.submit("m", "order") == 202
        await w.kill()
        await w.start()
        assert await w.submit("m", "order") == 202
        (tmp_path / "other").mkdir()
        async with RelayHarness(tmp_path / "other") as other:
            there = await other.start_host(respond_ok)
            await other.start()
            assert await other.submit("m", "order", Client_Retry="again") == 202
            await other.wait_until(lambda: there.request_ids == ["m"])
        w.endpoints.clear()
        host = await w.start_host(respond_ok)
        await w.wait_until(lambda: host.request_ids == ["m"])
        assert await w.submit("after", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["m", "after"])

    run_scenario(scenario, tmp_path)


def test_start_with_sixty_thousand_records_and_full_disk_is_ready_in_time(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.limits["disk_mb"] = 40
        about = MessageClass(
            "order", DeliverySemantics.AT_MOST_ONCE, None, None, 3_000_000, 600_000_000, 3.0, 0.5, True
        )
        (tmp_path / "state").mkdir()
        journal = Journal(tmp_path / "state", 36_000_000)
        now = wall_clock()
        for i in range(60_000):
            held = Message(
                f"old{i}", 0, "order", "acme", 1, f"key{i % 50}", now, now + 600_000_000, b"x" * 99
            )
            held.packed_terms = pack(about, 12)
            journal.admit(held)
            journal.complete(held.id, 200)
        journal.close()
        full = tmp_path / "state" / "other"
        full.write_bytes(b"\0" * (w.limits["disk_mb"] * 1_000_000 - journal.disk_usage()))
        host = await w.start_host(respond_ok)
        began = time.monotonic()
        await w.start()
        assert await w.submit("old59999", "order") == 200  # it is known
        assert time.monotonic() - began < MAX_START_S
        assert not host.requests

    run_scenario(scenario, tmp_path)
