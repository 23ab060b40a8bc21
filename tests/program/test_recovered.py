"""Messages found at a restart: untried ones are tried, uncertain ones fail, and the start is fast enough."""

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
MIN_TIME_LEFT_S = 1.0  # at the end of the start, for a message that must be tried
MAX_START_S = 10.0  # nine in ten restarted processes are to be ready within this time


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
def test_restart_tries_untried_messages_with_little_time_left(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    """Messages of each class with half, a tenth and nearly none of their time left, batched in one call.

    On a starved machine the start may take longer than the time of some: these are reported.
    """

    async def scenario(harness: RelayHarness) -> None:
        due_at: dict[str, float] = {}
        harness.add_unavailable_destination(flavor="bulk")
        await harness.start()
        assert harness.process is not None
        shutdown_s = 3.6 if signal_number is signal.SIGTERM else 0.0
        for class_name in ("status", "order", "alarm"):
            for time_left_s in (0.8, 2.0, 9.0):
                timeout = str(int((shutdown_s + time_left_s + 1.5) * 1000))
                path = f"/{class_name}/{class_name}-{time_left_s}"
                name = f"{class_name}-{time_left_s}"
                due_at[name] = time.monotonic() + int(timeout) / 1000
                assert await harness.submit(name, class_name, path=path, Request_Timeout_Ms=timeout) == 202
        await harness.stop(signal_number)
        harness.endpoints.clear()
        host = await harness.start_host(respond_ok, flavor="bulk")
        await harness.start()
        ready_at = time.monotonic()
        assert len(due_at) == 9

        def tried_messages() -> set[str]:
            return {row["id"] for request in host.requests for row in json.loads(request.body)}

        await harness.wait_until(
            lambda: set(due_at) <= tried_messages() | {report["id"] for report in harness.status_reports}
        )
        assert {name for name, at in due_at.items() if at - ready_at >= MIN_TIME_LEFT_S} <= tried_messages()

    run_scenario(scenario, tmp_path, classes=CLASSES)


@pytest.mark.parametrize(
    ("class_name", "dedup_window_s", "is_repeated"),
    [("status", 1, True), ("order", 1, False), ("alarm", 60, True), ("alarm", 1, False)],
)
def test_restart_repeats_uncertain_message_only_where_its_class_allows(
    tmp_path: Path, class_name: str, dedup_window_s: int, is_repeated: bool
) -> None:
    """Each delivery semantics, within its deduplication window and after one of 1 s."""

    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(never_respond)
        await harness.start()
        assert await harness.submit("m", class_name) == 202
        await harness.wait_until(lambda: host.request_ids == ["m"])
        await harness.kill()
        host.handler = respond_ok
        await asyncio.sleep(1.0)
        await harness.start()
        if is_repeated:
            await harness.wait_until(lambda: host.request_ids == ["m", "m"])
        else:
            await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("m")])
            assert host.request_ids == ["m"]

    alarm = {**ALARM_CLASS, "window": dedup_window_s * 1_000_000}
    run_scenario(scenario, tmp_path, classes=[*SETTINGS["classes"], alarm])


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
def test_restart_with_batches_in_flight_ends_each_message_once(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    """Every second host hangs: each message gets one final status, and no order is executed twice."""

    async def scenario(harness: RelayHarness) -> None:
        executed: list[str] = []

        async def respond_to_batch(request: Request) -> bytes | None:
            ids = [row["id"] for row in json.loads(request.body)]
            executed.extend(ids)
            harness.notify_changed()
            await asyncio.sleep(0.02)
            return format_response(
                200, json.dumps([{"id": name, "state": "delivered"} for name in ids]).encode()
            )

        async def hang(request: Request) -> bytes | None:
            executed.extend(row["id"] for row in json.loads(request.body))
            harness.notify_changed()
            return await never_respond(request)

        for i in range(4):
            await harness.start_host(
                hang if i % 2 else respond_to_batch, destination=1 + i // 2, flavor="bulk"
            )
        await harness.start()
        assert harness.process is not None
        admitted = []
        for i in range(40):
            class_name = ("order", "status")[i % 2]
            if (
                await harness.submit(
                    f"{class_name}{i}", class_name, 1 + i // 2 % 2, path=f"/{class_name}/{class_name}{i}"
                )
                == 202
            ):
                admitted.append(f"{class_name}{i}")
        await harness.wait_until(lambda: len(executed) >= 4)
        await harness.stop(signal_number)
        for host in harness.servers:
            if host.handler is hang:
                host.handler = respond_to_batch
        await harness.start()
        await harness.wait_until(
            lambda: set(admitted) <= set(executed) | {report["id"] for report in harness.status_reports}
        )
        orders = [name for name in admitted if name.startswith("order")]
        assert all(executed.count(name) <= 1 for name in orders)
        assert all(report["status"] == "undeliverable" for report in harness.status_reports)

    run_scenario(scenario, tmp_path)


def test_resubmission_after_restart_is_admitted_once_at_each_relay(tmp_path: Path) -> None:
    """A relay admits an id once, also across its restart; another relay doesn't know the id."""

    async def scenario(harness: RelayHarness) -> None:
        harness.add_unavailable_destination()
        await harness.start()
        assert await harness.submit("m", "order") == 202
        await harness.kill()
        await harness.start()
        assert await harness.submit("m", "order") == 202
        (tmp_path / "other").mkdir()
        async with RelayHarness(tmp_path / "other") as other:
            other_host = await other.start_host(respond_ok)
            await other.start()
            assert await other.submit("m", "order", Client_Retry="again") == 202
            await other.wait_until(lambda: other_host.request_ids == ["m"])
        harness.endpoints.clear()
        host = await harness.start_host(respond_ok)
        await harness.wait_until(lambda: host.request_ids == ["m"])
        assert await harness.submit("after", "order") == 202
        await harness.wait_until(lambda: host.request_ids == ["m", "after"])

    run_scenario(scenario, tmp_path)


def test_start_with_sixty_thousand_records_and_full_disk_is_ready_in_time(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        harness.limits["disk_mb"] = 40
        message_class = MessageClass(
            "order", DeliverySemantics.AT_MOST_ONCE, None, None, 3_000_000, 600_000_000, 3.0, 0.5, True
        )
        (tmp_path / "state").mkdir()
        journal = Journal(tmp_path / "state", 36_000_000)
        now = wall_clock()
        for i in range(60_000):
            message = Message(
                f"old{i}", 0, "order", "acme", 1, f"key{i % 50}", now, now + 600_000_000, b"x" * 99
            )
            message.packed_terms = pack(message_class, 12)
            journal.admit(message)
            journal.complete(message.id, 200)
        journal.close()
        filler = tmp_path / "state" / "other"
        filler.write_bytes(b"\0" * (harness.limits["disk_mb"] * 1_000_000 - journal.disk_usage()))
        host = await harness.start_host(respond_ok)
        started_at = time.monotonic()
        await harness.start()
        assert await harness.submit("old59999", "order") == 200  # its result is known
        assert time.monotonic() - started_at < MAX_START_S
        assert not host.requests

    run_scenario(scenario, tmp_path)
