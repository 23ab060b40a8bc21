"""A relay that subscribes to its own destinations only, with registries that die, hang and lag behind."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from loftrelay.store.state_machine import RecordState, StoredFinalStatus
from tests.program.test_record import configure_store, wait_for_state
from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    format_submission,
    respond_ok,
    run_scenario,
    undeliverable_report,
)
from tests.standins.registries import Registries

DRAIN_GRACE_S = 2.0  # time within which a drain has to take effect

Scenario = Callable[[RelayHarness, Registries], Awaitable[None]]


def run_with_registries(scenario: Scenario, folder: Path, count: int = 2, **subscription: Any) -> None:
    """Runs a scenario with `count` registries; `subscription` are keys of the relay's settings."""

    async def main(harness: RelayHarness) -> None:
        # A busy machine may be slow to answer a first message; tests of rejections set a shorter wait.
        async with Registries(harness, count, **{"wait_ms": 10_000, **subscription}) as registries:
            await scenario(harness, registries)

    run_scenario(main, folder)


def set_phase(harness: RelayHarness, index: int, phase: str) -> None:
    """Sets the phase of the endpoint with this index."""
    harness.endpoints[index] = {**harness.endpoints[index], "phase": phase}
    harness.revision += 1
    harness.notify_changed()


async def submit_rejected(harness: RelayHarness, message_id: str, destination: int = 1) -> str:
    """Submits a message that has to be rejected with 503; returns the Retry-After header."""
    status, headers, _ = await harness.send(format_submission(message_id, destination=destination))
    assert status == 503
    return headers["retry-after"]


async def submit_until_delivered(
    harness: RelayHarness, hosts: list[StubServer], message_id: str, destination: int = 1
) -> int:
    """Submits a message until it is admitted; returns the index of the host that received it."""
    await harness.submit_once_listed(message_id, destination)
    await harness.wait_until(lambda: any(message_id in host.request_ids for host in hosts))
    return next(number for number, host in enumerate(hosts) if message_id in host.request_ids)


def test_relay_subscribes_only_to_destinations_that_it_serves(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        host = await harness.start_host(respond_ok)
        for destination in range(2, 202):
            harness.add_unavailable_destination(destination)
        await harness.start()
        assert any("known list ignored" in line for line in harness.log)
        assert await registries.metric("slices_held") == 0
        assert await asyncio.gather(*(harness.submit(f"m{n}") for n in range(5))) == [202] * 5
        await harness.wait_until(lambda: host.response_count == 5)
        assert await registries.metric("slices_held") == 1 == await registries.metric("discovered")
        assert await submit_rejected(harness, "nobody", destination=900) == "1"
        new_host = await harness.start_host(respond_ok, destination=900)
        assert await submit_until_delivered(harness, [new_host], "somebody", destination=900) == 0
        assert not [r for r in harness.discovery.requests if r.target == "/reports"]
        targets = {r.target.partition("?")[0] for r in harness.discovery.requests}
        assert targets == {"/registry/instances"}  # the registries' requests; the relay itself makes none

    run_with_registries(scenario, tmp_path)


def test_first_messages_are_delivered_in_arrival_order(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        host = await harness.start_host(respond_ok)
        await harness.start()
        for address in registries.addresses:
            await registries.suspend(address)
        writers = []
        for number in range(8):
            reader, writer = await asyncio.open_connection(*harness.address)
            writers.append((reader, writer))
            writer.write(format_submission(f"m{number}", "order"))
            # Read before the next one is written.
            await registries.wait_for_metric("slices_parked", number + 1)
        assert await harness.submit("m0", "order") == 409  # the id is open already
        reader, writer = writers.pop(3)
        writer.write_eof()  # its client disconnects
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read() == b""
        writer.close()
        assert await registries.metric("slices_parked") == 7
        for address in registries.addresses:
            registries.resume(address)
        for reader, writer in writers:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
            writer.close()
        await harness.wait_until(lambda: host.response_count == 7)
        assert host.request_ids == [f"m{number}" for number in range(8) if number != 3]

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize("failure", ["dead", "stopped"])
def test_first_message_without_registries_is_rejected_with_retry_after(tmp_path: Path, failure: str) -> None:
    """It is rejected after the configured wait; subscribed destinations are still served."""

    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        first_host, second_host = (
            await harness.start_host(respond_ok, destination=1),
            await harness.start_host(respond_ok, destination=2),
        )
        await harness.start()
        assert await submit_until_delivered(harness, [first_host], "before") == 0
        for address in registries.addresses:
            await (registries.kill(address) if failure == "dead" else registries.suspend(address))
        started_at = time.monotonic()
        assert await submit_rejected(harness, "first", destination=2) == "1"
        assert time.monotonic() - started_at >= 0.2
        assert await harness.submit("held") == 202  # its destination is subscribed
        await harness.wait_until(lambda: "held" in first_host.request_ids)
        for address in registries.addresses:
            if failure == "dead":
                await registries.start(address)
            else:
                registries.resume(address)
        assert await submit_until_delivered(harness, [second_host], "again", destination=2) == 0
        assert second_host.request_ids == ["again"]
        assert not harness.status_reports

    run_with_registries(scenario, tmp_path, wait_ms=200)


def test_start_without_registries_serves_and_delivers_once_one_answers(tmp_path: Path) -> None:
    """The relay serves clients: recovered messages are sent once a registry answers, new ones are rejected,
    and expired ones are reported."""

    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        async def reject(request: Request) -> bytes:
            return format_response(503)

        host = await harness.start_host(reject)
        await harness.start()
        await harness.submit_once_listed("m0", 1)
        for number in (1, 2):
            assert await harness.submit(f"m{number}", "order", path=f"/order/k{number}") == 202
        assert await harness.submit("short", Request_Timeout_Ms="3000") == 202
        for address in registries.addresses:
            await registries.kill(address)
        await harness.restart()
        assert await submit_rejected(harness, "new", destination=1) == "1"
        await harness.wait_until(lambda: [n["id"] for n in harness.status_reports] == ["short"])
        host.requests.clear()
        host.handler = respond_ok
        await registries.start(registries.addresses[0])
        await harness.wait_until(lambda: sorted(host.request_ids) == ["m0", "m1", "m2"])
        await harness.wait_until(lambda: host.response_count >= 3)

    run_with_registries(scenario, tmp_path, wait_ms=200)


def test_endpoint_change_during_restart_is_applied(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        async def reject(request: Request) -> bytes:
            return format_response(503)

        old_host, new_host = await harness.start_host(reject), await harness.start_server(respond_ok)
        await harness.start()
        assert await harness.submit("m") == 202
        await harness.wait_until(lambda: old_host.response_count > 0)
        await harness.kill()
        old_host.requests.clear()
        set_phase(harness, 0, "Gone")
        harness.add_endpoint(1, "plain", "Ready", new_host.address)
        await harness.start()
        await harness.wait_until(lambda: new_host.request_ids == ["m"])
        assert await submit_until_delivered(harness, [new_host], "n") == 0
        assert not old_host.request_ids

    run_with_registries(scenario, tmp_path)


async def submit_through_drain(harness: RelayHarness, hosts: list[StubServer], drained_at: float) -> float:
    """Submits messages until 1.5 s after the drain grace. Returns when the first host received its last one,
    in seconds after `drained_at`."""
    last_received_s, number, last_admitted = 0.0, 0, ""
    while time.monotonic() < drained_at + DRAIN_GRACE_S + 1.5:
        number += 1
        count_before = len(hosts[0].request_ids)
        if await harness.submit(f"after{number}") == 202:
            last_admitted = f"after{number}"
        if len(hosts[0].request_ids) > count_before:
            last_received_s = time.monotonic() - drained_at
    await harness.wait_until(lambda: last_admitted in hosts[1].request_ids + hosts[0].request_ids)
    assert number > 20
    assert last_admitted not in hosts[0].request_ids
    return last_received_s


def test_drain_through_registry_takes_effect_within_grace(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        hosts = [await harness.start_host(respond_ok), await harness.start_host(respond_ok)]
        await harness.start()
        number = 0
        while not all(host.request_ids for host in hosts):
            number += 1
            await harness.submit_once_listed(f"before{number}", 1)
        drained_at = time.monotonic()
        set_phase(harness, 0, "Terminating")
        assert await submit_through_drain(harness, hosts, drained_at) < DRAIN_GRACE_S

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize("failure", ["dead", "stopped"])
def test_change_during_registry_failure_is_read_from_next_registry(tmp_path: Path, failure: str) -> None:
    """During a watch. A suspended registry is left once its watch is overdue; what it sends after it resumes
    is ignored."""

    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        first, second = registries.preferred_addresses()
        hosts = [await harness.start_host(respond_ok), await harness.start_host(respond_ok)]
        await harness.start()
        number = 0
        while not all(host.request_ids for host in hosts):
            number += 1
            await harness.submit_once_listed(f"before{number}", 1)
        assert await registries.metric("slices_registry") == 0
        await (registries.kill(first) if failure == "dead" else registries.suspend(first))
        set_phase(harness, 0, "Terminating")
        await registries.wait_for_metric("slices_moved", 1)
        assert any(f"registry {first} does not answer" in line for line in harness.log)
        # The first subscription change at the next registry returns the new state; the watch starts after it.
        await harness.wait_until(
            lambda: any(f"registry {second} serves this relay's destinations" in line for line in harness.log)
        )
        hosts[0].requests.clear()
        for number in range(10):
            assert await harness.submit(f"after{number}") == 202
        await harness.wait_until(lambda: sum(name.startswith("after") for name in hosts[1].request_ids) == 10)
        if failure == "stopped":
            registries.resume(first)
        else:
            await registries.start(first)
        set_phase(harness, 1, "Terminating")
        third_host = await harness.start_host(respond_ok)
        while "last" not in third_host.request_ids:
            await harness.submit("last")
        assert not hosts[0].request_ids
        assert await registries.metric("slices_registry") == 1

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize("uses_registries", [True, False])
def test_messages_of_emptied_destination_wait_for_next_host(tmp_path: Path, uses_registries: bool) -> None:
    """With and without registries: open messages and new ones of a destination in use wait for a host."""

    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        async def reject(request: Request) -> bytes:
            return format_response(503)

        if not uses_registries:
            harness.arguments = []
        host = await harness.start_host(reject)
        await harness.start()
        assert await harness.submit("held") == 202
        await harness.wait_until(lambda: host.response_count > 0)
        set_phase(harness, 0, "Gone")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await registries.metric("discovered"):
                await asyncio.sleep(0.01)
        host.requests.clear()
        assert await harness.submit("meanwhile") == 202
        assert await harness.submit("short", Request_Timeout_Ms="500") in (202, 503)
        new_host = await harness.start_host(respond_ok)
        await harness.wait_until(lambda: {"held", "meanwhile"} <= set(new_host.request_ids))
        assert await submit_until_delivered(harness, [new_host], "new") == 0
        assert not host.request_ids
        assert {report["id"] for report in harness.status_reports} <= {"short"}

    run_with_registries(scenario, tmp_path)


def test_released_destination_is_rejected_like_unlisted_one(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        host = await harness.start_host(respond_ok)
        await harness.start()
        assert await submit_until_delivered(harness, [host], "before") == 0
        set_phase(harness, 0, "Gone")
        await registries.wait_for_metric("slices_let_go", 1)
        assert await submit_rejected(harness, "new") == "1"
        new_host = await harness.start_host(respond_ok)
        assert await submit_until_delivered(harness, [new_host], "again") == 0
        assert host.request_ids == ["before"]

    run_with_registries(scenario, tmp_path, idle_s=1)


def test_registry_with_older_revision_is_ignored(tmp_path: Path) -> None:
    """One registry follows an outdated discovery. The relay keeps its newer list, and logs it."""

    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        first, second = registries.preferred_addresses()
        old_host = await harness.start_host(respond_ok)
        old_endpoints, revision = list(harness.endpoints), harness.revision
        stale_discovery = await harness.start_server(harness.handle_discovery_request)

        async def respond_stale(request: Request) -> bytes | None:
            if "index=" in request.target:
                await asyncio.sleep(0.2)
            full_list = {"revision": revision, "complete": True, "members": old_endpoints}
            return format_response(200, json.dumps(full_list).encode())

        stale_discovery.handler = respond_stale
        await registries.kill(second)
        await registries.start(second, discovery=stale_discovery.address)
        set_phase(harness, 0, "Gone")
        new_host = await harness.start_host(respond_ok)
        await harness.start()
        assert await submit_until_delivered(harness, [new_host], "before") == 0
        await registries.kill(first)
        await registries.wait_for_metric("slices_older", 1)
        assert any(f"registry {second} has an older revision" in line for line in harness.log)
        assert await harness.submit("after") == 202
        await harness.wait_until(lambda: "after" in new_host.request_ids)
        await registries.start(first)
        third_host = await harness.start_host(respond_ok)
        set_phase(harness, 1, "Gone")
        while "last" not in third_host.request_ids:
            await harness.submit("last")
        assert not old_host.request_ids

    run_with_registries(scenario, tmp_path)


def test_idle_destination_is_released_and_keeps_its_retry_after(
    tmp_path: Path,
) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        release = asyncio.Event()

        async def respond(request: Request) -> bytes:
            if request.id == "out":
                await release.wait()
                return format_response(200, X_Come_Back_Ms="30000")
            return format_response(200)

        host = await harness.start_host(respond)
        await harness.start()
        assert await harness.submit("out", "order") == 202
        await harness.wait_until(lambda: host.request_ids == ["out"])
        assert await harness.submit("in-line", "order", Request_Timeout_Ms="4000") == 202
        assert await registries.metric("slices_held") == 1
        await asyncio.sleep(2.5)  # longer than idle_s: with open messages it must not be released
        assert await registries.metric("slices_let_go") == 0
        assert host.request_ids == ["out"]
        release.set()
        await harness.wait_until(lambda: [report["id"] for report in harness.status_reports] == ["in-line"])
        await registries.wait_for_metric("slices_let_go", 1)
        assert await registries.metric("slices_held") == 0 == await registries.metric("discovered")
        number, held = 0, 0
        while not held:  # on a busy machine the wait of a first message may time out
            number += 1
            assert await harness.submit(f"again{number}") == 503
            held = await registries.metric("slices_held")
        assert await harness.submit("last") == 503
        assert host.request_ids == ["out"]

    run_with_registries(scenario, tmp_path, idle_s=1)


def test_successor_continues_subscription(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        harness.share_listener()
        hosts = [await harness.start_host(respond_ok, destination=destination) for destination in (1, 2)]
        await harness.start()
        for destination in (1, 2):
            assert (
                await submit_until_delivered(
                    harness, [hosts[destination - 1]], f"before{destination}", destination
                )
                == 0
            )
        await harness.upgrade()
        assert await registries.metric("slices_held") == 2
        assert await registries.metric("slices_cells") == 0  # no destination was sent in full again
        for address in registries.addresses:
            await registries.kill(address)
        assert await harness.submit("after1", destination=1) == 202
        assert await harness.submit("after2", destination=2) == 202
        await harness.wait_until(
            lambda: "after1" in hosts[0].request_ids and "after2" in hosts[1].request_ids
        )

    run_with_registries(scenario, tmp_path)


def test_successor_without_registries_requests_full_list(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        harness.share_listener()
        hosts = [await harness.start_host(respond_ok, destination=destination) for destination in (1, 2)]
        await harness.start()
        assert await submit_until_delivered(harness, hosts[:1], "before") == 0
        harness.arguments = []
        await harness.upgrade()
        assert await submit_until_delivered(harness, hosts[1:], "after", destination=2) == 0
        assert "/registry/instances" in {r.target for r in harness.discovery.requests}

    run_with_registries(scenario, tmp_path)


def test_restart_with_store_and_registries_delivers_open_messages(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        async def reject(request: Request) -> bytes:
            return format_response(503)

        subscription = harness.arguments
        path = configure_store(harness)
        harness.arguments = [*subscription, *harness.arguments]
        host = await harness.start_host(reject)
        await harness.start()
        await harness.submit_once_listed("m0", 1)
        for number in (1, 2):
            assert await harness.submit(f"m{number}", "order") == 202
        await harness.restart()
        host.handler = respond_ok
        found = await wait_for_state(path, ["m0", "m1", "m2"], RecordState.REPORTED)
        assert {found[name].final_status for name in ("m0", "m1", "m2")} == {StoredFinalStatus.DELIVERED}
        orders = [name for name in dict.fromkeys(reversed(host.request_ids)) if name != "m0"]
        assert orders == ["m2", "m1"]
        assert not harness.status_reports

    run_with_registries(scenario, tmp_path)


def test_reload_that_moves_discovery_moves_only_status_reports(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        async def fail(request: Request) -> bytes:
            return format_response(500)

        host = await harness.start_host(fail)
        await harness.start()
        changes = await registries.metric("slices_changes")
        new_host = await harness.start_server(harness.handle_discovery_request)
        harness.write_config(new_host.address)
        harness.reload()
        await harness.wait_until(lambda: any("discovery moves" in line for line in harness.log))
        assert await harness.submit("m", "order") == 202
        await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("m")])
        assert {r.target for r in new_host.requests} == {"/reports"}
        assert host.request_ids
        assert await registries.metric("slices_changes") == changes + 1  # that of the first message

    run_with_registries(scenario, tmp_path)


def test_shutdown_rejects_waiting_first_messages(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness, registries: Registries) -> None:
        await harness.start_host(respond_ok)
        await harness.start()
        for address in registries.addresses:
            await registries.suspend(address)
        reader, writer = await asyncio.open_connection(*harness.address)
        writer.write(format_submission("m"))
        await registries.wait_for_metric("slices_parked", 1)
        assert harness.process is not None
        harness.process.terminate()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")
            assert await harness.process.wait() == 0
        writer.close()
        assert any("exits, keeping 0 messages" in line for line in harness.log)

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("[subscription]\n", "registries = []: names none"),
        ('[subscription]\nregistries = ["nowhere"]\n', "registries = 'nowhere': is no address with a port"),
        ('[subscription]\nregistries = ["a:1"]\nmost = 1000\n', "most = 1000: is not from 1024"),
        ('[subscription]\nregistries = ["a:1"]\nfleet = ""\n', "fleet = '': is not a text"),
        ('[subscription]\nregistries = ["a:1"]\nwait = 3\n', "wait = 3: no such key"),
        ("[registry]\n", "registry = {}: all keys stand in the table [subscription]"),
    ],
)
def test_unusable_subscription_file_ends_start_with_one_line(tmp_path: Path, text: str, line: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        path = tmp_path / "subscription.toml"
        path.write_text(text)
        harness.arguments = ["--subscription", str(path)]
        process = await harness.spawn()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 2
        await harness.wait_until(lambda: bool(harness.log))
        (log_line,) = harness.log
        assert log_line.startswith(f"loftrelay: configuration: {path}: {line}"), log_line

    run_scenario(scenario, tmp_path)


def test_subscription_file_accepts_deploy_example_and_many_registries(tmp_path: Path) -> None:
    from loftrelay.discovery.settings import load_subscription

    subscription = load_subscription(Path(__file__).parents[2] / "deploy" / "subscription.toml")
    assert subscription.fleet == "windwacht"
    assert len(subscription.registries) == 2
    assert subscription.timing.lookup_timeout == 0.2
    path = tmp_path / "many.toml"
    path.write_text(f"[subscription]\nregistries = {json.dumps([f'10.0.0.1:{n}' for n in range(1, 1025)])}\n")
    assert len(load_subscription(path).registries) == 1024
