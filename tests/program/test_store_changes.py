"""The store of record, its modes or the classes differ between two starts: no accepted message is lost.

A start took a message that the store does not have for one whose client had no answer, by the settings of the
start. The process that had accepted it may have had another store, none, or other settings.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, nullcontext
from pathlib import Path
from typing import Any

import pytest

from loftrelay.store.state_machine import RecordState, StoredFinalStatus
from tests.program.test_record import configure_store, wait_for_state
from tests.program.test_settings_reload import ORDER_CLASS, STATUS_CLASS, apply_settings, start_relay
from tests.standins.fake_postgres import FakePostgresServer
from tests.standins.harness import RelayHarness, free_port, never_respond, respond_ok, run_scenario
from tests.standins.store_lock import locked_store

NAMES = {"order": ["order-0", "order-1"], "status": ["status-0", "status-1"]}
NEW_CLASS = {**STATUS_CLASS, "name": "status-2"}
MESSAGE_TIME_MS = "3000"
REPORT_MARGIN_S = 0.35  # after the deadline of a message its report is due
ALL_FOLLOW = {"unsafe": '"follows"', "repeatable": '"follows"'}
ALL_REQUIRED = {"unsafe": '"required"', "repeatable": '"required"'}

StoreChange = Callable[[RelayHarness], None]


async def submit_waiting(harness: RelayHarness, *class_names: str) -> list[str]:
    """Submits messages, which wait for a host of their destination; returns their ids."""
    names = [name for class_name in class_names for name in NAMES[class_name]]
    for name in names:
        path = f"/{name.partition('-')[0]}/{name}"
        assert await harness.submit(name, name.partition("-")[0], path=path) == 202
    return names


async def restart_with_host(
    harness: RelayHarness, names: list[str], signal_number: signal.Signals = signal.SIGKILL
) -> None:
    """Ends the relay, starts it with a host that is ready, and checks that each message runs once."""
    if harness.process is not None and harness.process.returncode is None:
        await harness.stop(signal_number)
    harness.endpoints.clear()
    host = await harness.start_host(respond_ok)
    await harness.start()
    await harness.wait_until(lambda: set(names) <= set(host.request_ids))
    assert sorted(host.request_ids) == sorted(names)
    assert harness.status_reports == []


def remove_store(harness: RelayHarness) -> None:
    harness.arguments = []


def add_store(harness: RelayHarness) -> None:
    configure_store(harness)


def move_store(harness: RelayHarness) -> None:
    """Moves the file of the store away; the next start makes a new one."""
    for path in harness.folder.glob("record.sqlite*"):
        path.rename(path.with_name(f"moved-{path.name}"))


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM], ids=lambda s: s.name)
@pytest.mark.parametrize(
    ("before", "between"),
    [(remove_store, add_store), (add_store, remove_store), (add_store, move_store)],
    ids=["switched-on", "switched-off", "moved-away"],
)
def test_untried_messages_outlast_a_change_of_the_store(
    tmp_path: Path, before: StoreChange, between: StoreChange, signal_number: signal.Signals
) -> None:
    """All orders were dropped without a call and a report where the new process found no record of them."""

    async def scenario(harness: RelayHarness) -> None:
        before(harness)
        harness.add_unavailable_destination()
        await harness.start()
        names = await submit_waiting(harness, "order", "status")
        await harness.stop(signal_number)
        between(harness)
        await restart_with_host(harness, names)

    run_scenario(scenario, tmp_path)


def test_untried_messages_outlast_an_upgrade_that_switches_the_store_on(tmp_path: Path) -> None:
    """The successor takes them over from the journal; its store has no record of them, over a kill, too."""

    async def scenario(harness: RelayHarness) -> None:
        harness.share_listener()
        harness.admin_address = f"127.0.0.1:{free_port()}"
        harness.add_unavailable_destination()
        await harness.start()
        names = await submit_waiting(harness, "order", "status")
        add_store(harness)
        await harness.upgrade()
        await restart_with_host(harness, names)

    run_scenario(scenario, tmp_path)


@pytest.fixture
def servers(tmp_path: Path) -> Iterator[list[FakePostgresServer]]:
    with ExitStack() as stack:
        yield [
            stack.enter_context(FakePostgresServer(tmp_path / f"{n}.sqlite", password="x")) for n in (0, 1)
        ]


def test_untried_messages_outlast_a_move_to_another_postgresql_server(
    tmp_path: Path, servers: list[FakePostgresServer]
) -> None:
    def use(harness: RelayHarness, server: FakePostgresServer) -> None:
        (harness.folder / "record.toml").write_text(f'dsn = "{server.dsn}"\n')
        harness.arguments = ["--record", str(harness.folder / "record.toml")]

    async def scenario(harness: RelayHarness) -> None:
        use(harness, servers[0])
        harness.add_unavailable_destination()
        await harness.start()
        names = await submit_waiting(harness, "order", "status")
        await harness.kill()
        use(harness, servers[1])
        await restart_with_host(harness, names)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    ("modes", "new_modes"),
    [(ALL_FOLLOW, ALL_REQUIRED), (ALL_REQUIRED, ALL_FOLLOW)],
    ids=["stricter", "laxer"],
)
def test_untried_messages_outlast_a_change_of_their_mode(
    tmp_path: Path, modes: dict[str, str], new_modes: dict[str, str]
) -> None:
    """The new mode said that the clients had no answer, as the store had not caught up with the old one."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, **modes)
        harness.add_unavailable_destination()
        await harness.start()
        with locked_store(path) if modes is ALL_FOLLOW else nullcontext():
            names = await submit_waiting(harness, "order", "status")
            await harness.kill()
        configure_store(harness, **new_modes)
        await restart_with_host(harness, names)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "new_class",
    [NEW_CLASS, {**ORDER_CLASS, "name": "status", "in_order": False}],
    ids=["dropped", "other-terms"],
)
def test_untried_messages_outlast_a_class_that_is_dropped_or_has_other_terms(
    tmp_path: Path, new_class: dict[str, Any]
) -> None:
    """A start looked the mode of a message up by the name of its class, in the settings of the start."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness)
        harness.add_unavailable_destination()
        await start_relay(harness)
        with locked_store(path):
            names = await submit_waiting(harness, "status")
            await apply_settings(harness, 1, classes=[new_class, ORDER_CLASS])
            await harness.kill()
        await restart_with_host(harness, names)
        await wait_for_state(path, names, RecordState.REPORTED)

    run_scenario(scenario, tmp_path)


def test_class_that_is_dropped_and_added_again_keeps_its_open_messages(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness)
        harness.add_unavailable_destination()
        await start_relay(harness)
        with locked_store(path):
            await apply_settings(harness, 1, classes=[NEW_CLASS, ORDER_CLASS])
            names = await submit_waiting(harness, "status")  # their client does not know the change yet
            await apply_settings(harness, 2, classes=[STATUS_CLASS, ORDER_CLASS])
            await harness.kill()
        await restart_with_host(harness, names)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("between", [add_store, remove_store], ids=["same-store", "switched-off"])
def test_start_drops_message_whose_client_was_promised_nothing(tmp_path: Path, between: StoreChange) -> None:
    """The store has not confirmed it and the process is killed: its client submits it under another id."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, busy_ms="20000", take_ms="20000")
        host = await harness.start_host(respond_ok)
        await harness.start()
        with locked_store(path):
            submission = asyncio.create_task(harness.submit("order-0", "order"))
            segments = harness.folder / "state"
            while not any(b'"order-0"' in file.read_bytes() for file in segments.glob("**/*.log")):
                await asyncio.sleep(0.01)
            await harness.kill()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await submission
        between(harness)
        await harness.start()
        assert await harness.submit("order-1", "order") == 202
        await harness.wait_until(lambda: "order-1" in host.request_ids)
        assert host.request_ids == ["order-1"]
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path)


def test_delivery_that_is_not_in_the_store_yet_is_not_reported_once_the_store_is_off(tmp_path: Path) -> None:
    """A start without a store reported it to the platform, with a status that no report has."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness, **ALL_FOLLOW)
        host = await harness.start_host(respond_ok)
        await harness.start()
        with locked_store(path):
            assert await harness.submit("status-0", "status") == 202
            await harness.wait_until(lambda: host.response_count == 1)
            while not any(
                b'"delivered"' in f.read_bytes() for f in (harness.folder / "state").glob("**/*.log")
            ):
                await asyncio.sleep(0.01)
            await harness.kill()
        remove_store(harness)
        await harness.start()
        assert await harness.submit("status-1", "status") == 202
        await harness.wait_until(lambda: host.response_count == 2)
        assert harness.status_reports == []
        assert "0 messages" in await exit_line(harness)

    run_scenario(scenario, tmp_path)


async def exit_line(harness: RelayHarness) -> str:
    """Ends the relay by SIGTERM; returns its log line on the messages that it keeps."""
    assert await harness.stop(signal.SIGTERM) == 0
    await harness.wait_until(lambda: any("exits, keeping" in line for line in harness.log))
    return next(line for line in harness.log if "exits, keeping" in line)


def test_order_delivered_while_the_store_is_off_is_recorded_as_delivered(tmp_path: Path) -> None:
    """The store had it as unfinished; the start that switched the store on again reported it as failed."""

    async def scenario(harness: RelayHarness) -> None:
        path = configure_store(harness)
        harness.add_unavailable_destination()
        await harness.start()
        names = await submit_waiting(harness, "order")
        await harness.kill()
        remove_store(harness)
        await restart_with_host(harness, names)
        await exit_line(harness)
        configure_store(harness)
        await harness.start()
        found = await wait_for_state(path, names, RecordState.REPORTED)
        assert {found[name].final_status for name in names} == {StoredFinalStatus.DELIVERED}
        assert harness.status_reports == []

    run_scenario(scenario, tmp_path)


def test_untried_messages_without_a_host_are_reported_in_time_after_the_store_is_switched_on(
    tmp_path: Path,
) -> None:
    async def scenario(harness: RelayHarness) -> None:
        await harness.start_host(never_respond)
        harness.endpoints[0]["phase"] = "Terminating"
        await harness.start()
        due_at = time.time() + int(MESSAGE_TIME_MS) / 1000 + REPORT_MARGIN_S
        assert await harness.submit("order-0", "order", Request_Timeout_Ms=MESSAGE_TIME_MS) == 202
        await harness.kill()
        add_store(harness)
        await harness.start()
        await harness.wait_until(lambda: bool(harness.status_reports))
        assert harness.status_reports[0] == {"id": "order-0", "status": "undeliverable"}
        assert harness.reported_at["order-0"] < due_at

    run_scenario(scenario, tmp_path)
