"""Deliveries that were read from a duplicate of an earlier response: the message may be lost."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from loftrelay.relay.fault_points import DISPUTE_POINTS
from loftrelay.store.state_machine import DISPUTED_RESULT, RecordState, StoredFinalStatus
from tests.program.test_record import configure_store, read_records, wait_for_state
from tests.program.test_upgrade import run_with_shared_listener
from tests.standins.harness import (
    DEDUPLICATED_CLASS,
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    never_respond,
    respond_ok,
    run_scenario,
    undeliverable_report,
)
from tests.standins.store_lock import locked_store

ORDERED_CLASS = {**SETTINGS["classes"][0], "name": "ordered", "in_order": True}
CLASSES = [*SETTINGS["classes"], DEDUPLICATED_CLASS, ORDERED_CLASS]
RESPONSE_S = 0.11  # of the host, from a request to its true response


@dataclass
class DuplicatingHost:
    """Host that delivers "first", sends its response twice, and rejects the first attempt of "second".

    Attributes:
        duplicate_after: Seconds from the first response to its duplicate; None: as the next request arrives.
        further: Answers further attempts of "second".
        rejection_s: Seconds from the first attempt of "second" to its rejection.
    """

    duplicate_after: float | None = None
    further: Any = None
    rejection_s: float = RESPONSE_S
    attempts: list[str] = field(default_factory=list)
    rejected_on: int = 0  # number of the connection
    server: StubServer | None = None

    def write(self, connection: int, response: bytes) -> None:
        assert self.server is not None
        transport = self.server.connections[connection - 1].transport
        if not transport.is_closing():
            transport.write(response)

    async def respond(self, request: Request) -> bytes | None:
        self.attempts.append(request.id)
        if request.id == "first":
            if self.duplicate_after is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(self.duplicate_after, self.write, request.connection, format_response(200))
            return format_response(200)
        if request.id == "second" and self.attempts.count("second") == 1:
            self.rejected_on = request.connection
            if self.duplicate_after is None:
                self.write(request.connection, format_response(200))
            await asyncio.sleep(self.rejection_s)
            return format_response(503)
        if request.id == "second" and self.further is not None:
            response: bytes | None = await self.further(request)
            return response
        return format_response(200)


async def submit_both(harness: RelayHarness, host: DuplicatingHost, class_name: str) -> None:
    """Submits "first" and, so that it waits when the duplicate comes, "second"."""
    path = f"/{class_name}/k1" if class_name == "ordered" else f"/{class_name}"
    assert await harness.submit("first", class_name, path=path) == 202
    await harness.wait_until(lambda: "first" in host.attempts)
    await asyncio.sleep(0.03 if host.duplicate_after is None else host.duplicate_after - 0.03)
    assert await harness.submit("second", class_name, path=path) == 202
    await harness.wait_until(lambda: "second" in host.attempts)


async def start_host(harness: RelayHarness, host: DuplicatingHost) -> None:
    host.server = await harness.start_host(host.respond)


@pytest.mark.parametrize("duplicate_after", [None, 0.05, 0.12])
@pytest.mark.parametrize("class_name", ["status", "alarm"])
def test_message_that_was_given_a_duplicate_is_delivered_once_its_rejection_comes(
    tmp_path: Path, class_name: str, duplicate_after: float | None
) -> None:
    """It was held delivered: the host rejected it, and it was neither sent again nor reported."""

    async def scenario(harness: RelayHarness) -> None:
        host = DuplicatingHost(duplicate_after)
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, class_name)
        await harness.wait_until(lambda: host.attempts.count("second") == 2)
        assert host.server is not None
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path, classes=CLASSES)


@dataclass
class TwiceDuplicatingHost(DuplicatingHost):
    """Host that answers "second" and "third" with copies of the response before; it then rejects "third".

    Attributes:
        response_s: Seconds from "second" and "third" to their true responses.
    """

    response_s: tuple[float, float] = (0.15, 0.25)

    async def respond(self, request: Request) -> bytes | None:
        self.attempts.append(request.id)
        if request.id == "first" or self.attempts.count(request.id) > 1:
            return format_response(200)
        self.write(request.connection, format_response(200))
        is_second = request.id == "second"
        await asyncio.sleep(self.response_s[not is_second])
        return format_response(200 if is_second else 503)


@pytest.mark.parametrize("response_s", [(0.15, 0.25), (0.4, 0.05), (0.15, 0.1)])
def test_message_behind_two_duplicates_is_delivered_once_its_rejection_comes(
    tmp_path: Path, response_s: tuple[float, float]
) -> None:
    """The connection was closed at the first surplus response, so that the rejection was not read."""

    async def scenario(harness: RelayHarness) -> None:
        host = TwiceDuplicatingHost(response_s=response_s)
        await start_host(harness, host)
        await harness.start()
        for name in ("first", "second", "third"):
            assert await harness.submit(name) == 202
            await harness.wait_until(lambda name=name: name in host.attempts)  # type: ignore[misc]
            await asyncio.sleep(0.03)
        await harness.wait_until(lambda: host.attempts.count("third") == 2)
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path, classes=CLASSES)


KILL_AFTER_S = 0.05  # from the request to the kill: its duplicate has come, its true response not


@pytest.mark.parametrize("class_name", ["status", "alarm"])
@pytest.mark.parametrize("store_mode", [None, "required", "follows"])
def test_message_that_was_given_a_duplicate_outlasts_a_kill_before_its_rejection(
    tmp_path: Path, class_name: str, store_mode: str | None
) -> None:
    """The journal had it as complete as soon as the duplicate was read: it was lost with the process."""

    async def scenario(harness: RelayHarness) -> None:
        if store_mode is not None:
            configure_store(harness, repeatable=f'"{store_mode}"')
        host = DuplicatingHost()
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, class_name)
        await asyncio.sleep(KILL_AFTER_S)
        await harness.restart()
        await harness.wait_until(lambda: host.attempts.count("second") == 2)
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path, classes=CLASSES)


def test_message_behind_two_duplicates_outlasts_a_kill(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = TwiceDuplicatingHost(response_s=(0.3, 0.4))
        await start_host(harness, host)
        await harness.start()
        for name in ("first", "second", "third"):
            assert await harness.submit(name) == 202
            await harness.wait_until(lambda name=name: name in host.attempts)  # type: ignore[misc]
            await asyncio.sleep(0.03)
        await harness.restart()
        await harness.wait_until(lambda: host.attempts.count("third") == 2)
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path, classes=CLASSES)


@pytest.mark.parametrize(("is_reset", "silence_s"), [(True, 0.05), (True, 3.0), (False, 3.0)])
def test_message_that_was_given_a_duplicate_is_sent_again_if_its_host_falls_silent(
    tmp_path: Path, is_reset: bool, silence_s: float
) -> None:
    """The connection ended before the true response: nothing ever showed that the delivery was false."""

    async def scenario(harness: RelayHarness) -> None:
        host = DuplicatingHost(rejection_s=60.0)
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "status")
        await asyncio.sleep(silence_s)
        assert host.server is not None
        transport = host.server.connections[host.rejected_on - 1].transport
        if is_reset:
            reset(transport)
        else:
            transport.close()
        await harness.wait_until(lambda: host.attempts.count("second") == 2)
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path, classes=CLASSES)


def reset(transport: asyncio.Transport) -> None:
    """Ends a connection by a reset."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def test_message_that_was_given_a_duplicate_is_sent_again_by_the_successor(tmp_path: Path) -> None:
    """The true response comes to the predecessor, after the handover."""

    async def scenario(harness: RelayHarness) -> None:
        harness.settings["classes"] = CLASSES
        host = DuplicatingHost(rejection_s=1.5)
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "status")
        await harness.start_successor()
        await harness.wait_until_ready()
        assert host.attempts.count("second") == 1
        await harness.wait_until(lambda: host.attempts.count("second") == 2)
        assert harness.status_reports == []

    run_with_shared_listener(scenario, tmp_path)


async def deliver_one_after_another(harness: RelayHarness, server: StubServer, names: list[str]) -> None:
    """Delivers messages on one connection."""
    for name in names:
        class_name = name.partition("-")[0]
        assert await harness.submit(name, class_name, path=f"/{class_name}/{name}") == 202
        await harness.wait_until(lambda name=name: name in server.request_ids)  # type: ignore[misc]
        await asyncio.sleep(0.12)  # the connection is used again for orders, too


@pytest.mark.parametrize("settled_s", [0.0, 2.0])
def test_kill_repeats_no_order_and_no_settled_delivery(tmp_path: Path, settled_s: float) -> None:
    """Only what may run twice is made again, and only if the kill came within a second of its delivery."""

    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(respond_ok)
        await harness.start()
        names = ["status-0", "order-0", "status-1", "order-1", "status-2"]
        await deliver_one_after_another(harness, host, names)
        await asyncio.sleep(settled_s)
        await harness.restart()
        assert await harness.submit("status-last") == 202
        await harness.wait_until(lambda: "status-last" in host.request_ids)
        await asyncio.sleep(0.5)
        counts = {name: host.request_ids.count(name) for name in names}
        repeatable = {"status-1", "status-2"} if not settled_s else set()  # the first is on a new connection
        assert counts == {name: 2 if name in repeatable else 1 for name in names}
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path)


def test_planned_restart_makes_no_delivery_again(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(respond_ok)
        await harness.start()
        names = ["status-0", "status-1", "status-2"]
        await deliver_one_after_another(harness, host, names)
        assert await harness.stop(signal.SIGTERM) == 0
        await harness.start()
        await asyncio.sleep(0.5)
        assert host.request_ids == names

    run_scenario(scenario, tmp_path)


def test_disputed_delivery_beside_a_store_is_made_again_if_the_message_may_run_twice(tmp_path: Path) -> None:
    """The store had its record as complete, so that the message could only be reported as failed."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness)
        host = DuplicatingHost()
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "status")
        record = (await wait_for_state(path, ["second"], RecordState.REPORTED))["second"]
        assert (record.attempts, record.final_status) == (2, StoredFinalStatus.DELIVERED)
        assert host.attempts.count("second") == 2
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path, classes=CLASSES)


def test_message_that_must_keep_its_order_is_reported(tmp_path: Path) -> None:
    """Later messages of its key may have been sent, so it is not sent again."""

    async def scenario(harness: RelayHarness) -> None:
        host = DuplicatingHost()
        await start_host(harness, host)
        await harness.start()
        assert await harness.submit("first", "ordered", path="/ordered/k1") == 202
        await harness.wait_until(lambda: "first" in host.attempts)
        await asyncio.sleep(0.03)
        assert await harness.submit("second", "ordered", path="/ordered/k1") == 202
        await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("second")])
        assert host.attempts.count("second") == 1

    run_scenario(scenario, tmp_path, classes=CLASSES)


def test_disputed_delivery_outlasts_a_kill(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = DuplicatingHost(further=never_respond)
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "status")
        await harness.wait_until(lambda: host.attempts.count("second") == 2)
        host.further = None
        await harness.restart()
        await harness.wait_until(lambda: host.attempts.count("second") == 3)

    run_scenario(scenario, tmp_path, classes=CLASSES)


def test_disputed_delivery_is_made_by_the_successor_after_a_handover(tmp_path: Path) -> None:
    async def reject(request: Request) -> bytes:
        return format_response(503)

    async def scenario(harness: RelayHarness) -> None:
        harness.settings["classes"] = CLASSES
        host = DuplicatingHost(further=reject)
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "status")
        await harness.wait_until(lambda: host.attempts.count("second") == 2)
        await harness.upgrade()
        host.further = None
        attempts = host.attempts.count("second")
        await harness.wait_until(lambda: host.attempts.count("second") > attempts)
        assert harness.status_reports == []

    run_with_shared_listener(scenario, tmp_path)


@pytest.mark.parametrize("mode", ["required", "follows"])
def test_disputed_delivery_is_failed_in_the_store_too(tmp_path: Path, mode: str) -> None:
    """The store still had "delivered", which the report to the platform contradicts."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, repeatable=f'"{mode}"')
        host = DuplicatingHost()
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "ordered")
        await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("second")])
        await wait_for_final_status(path, "second", StoredFinalStatus.FAILED)
        record = (await wait_for_state(path, ["second"], RecordState.REPORTED))["second"]
        assert (record.attempts, record.result) == (1, DISPUTED_RESULT)
        if mode == "required":  # in the other mode a submission is accepted without the store
            assert await harness.submit("second", "ordered", path="/ordered/k1") == 500

    run_scenario(scenario, tmp_path, classes=CLASSES)


@pytest.mark.parametrize("mode", ["required", "follows"])
def test_disputed_delivery_is_reported_while_the_store_is_away(tmp_path: Path, mode: str) -> None:
    """Its report waited for the record of the delivery, and so for the store."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, repeatable=f'"{mode}"')
        host = DuplicatingHost()
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "ordered")
        with locked_store(path):
            await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("second")])
        await wait_for_final_status(path, "second", StoredFinalStatus.FAILED)
        assert harness.status_reports == [undeliverable_report("second")]

    run_scenario(scenario, tmp_path, classes=CLASSES)


@pytest.mark.parametrize("fault_point", DISPUTE_POINTS, ids=lambda point: point.replace(" ", "-"))
def test_disputed_delivery_is_failed_in_the_store_after_a_kill(tmp_path: Path, fault_point: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, repeatable='"required"')
        host = DuplicatingHost()
        await start_host(harness, host)
        program = harness.program
        harness.program = ["-m", "tests.standins.killed", fault_point]
        await harness.start()
        await submit_both(harness, host, "ordered")
        assert harness.process is not None
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await harness.process.wait() == -9  # the fault point was reached
        harness.program = program
        await harness.start()
        await wait_for_final_status(path, "second", StoredFinalStatus.FAILED)
        assert {report["status"] for report in harness.status_reports} == {"undeliverable"}
        assert host.attempts.count("second") == 1

    run_scenario(scenario, tmp_path, classes=CLASSES)


async def wait_for_final_status(path: Path, name: str, final_status: StoredFinalStatus) -> None:
    """Waits until the store has a final status, reported."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            record = read_records(path).get(name)
            if record and (record.state, record.final_status) == (RecordState.REPORTED, final_status):
                return
            await asyncio.sleep(0.02)


def test_report_of_a_disputed_delivery_that_the_store_recorded_outlasts_a_kill(tmp_path: Path) -> None:
    """The store has the delivery as complete: a start dropped the message without its report."""
    reports_allowed = False

    async def report(request: Request) -> bytes | None:
        return b"" if reports_allowed else format_response(503)

    async def scenario(harness: RelayHarness) -> None:
        nonlocal reports_allowed
        path = configure_store(harness)
        harness.report_handler = report
        host = DuplicatingHost()
        await start_host(harness, host)
        await harness.start()
        await submit_both(harness, host, "ordered")
        await wait_for_state(path, ["second"], RecordState.REPORTED)
        await harness.wait_until(lambda: any("ending it as failed" in line for line in harness.log))
        await harness.kill()
        reports_allowed = True
        await harness.start()
        await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("second")])
        await wait_for_final_status(path, "second", StoredFinalStatus.FAILED)

    run_scenario(scenario, tmp_path, classes=CLASSES)
