"""A relay that holds its destinations alone, beside registries that die, stand still and lag."""

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

DRAIN_GRACE_S = 2.0  # seconds after which a drain binds

Scenario = Callable[[RelayHarness, Registries], Awaitable[None]]


def run_with_registries(scenario: Scenario, folder: Path, number: int = 2, **subscription: Any) -> None:
    async def main(w: RelayHarness) -> None:
        # A busy machine may take long to answer a first message; where one is to be refused, it is said.
        async with Registries(w, number, **{"wait_ms": 10_000, **subscription}) as registries:
            await scenario(w, registries)

    run_scenario(main, folder)


def set_phase(w: RelayHarness, host: int, phase: str) -> None:
    """Of the host that was listed as so many."""
    w.endpoints[host] = {**w.endpoints[host], "phase": phase}
    w.revision += 1
    w.notify_changed()


async def submit_rejected(w: RelayHarness, name: str, dest: int = 1) -> str:
    """When to come back, as a refusal says."""
    status, headers, _ = await w.send(format_submission(name, destination=dest))
    assert status == 503
    return headers["retry-after"]


async def submit_until_delivered(w: RelayHarness, hosts: list[StubServer], name: str, dest: int = 1) -> int:
    """Hands a message in until it is taken: the host that it went to."""
    await w.submit_once_listed(name, dest)
    await w.wait_until(lambda: any(name in host.request_ids for host in hosts))
    return next(number for number, host in enumerate(hosts) if name in host.request_ids)


def test_relay_subscribes_only_to_destinations_that_it_serves(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        host = await w.start_host(respond_ok)
        for dest in range(2, 202):
            w.add_unavailable_destination(dest)
        await w.start()
        assert any("known list ignored" in line for line in w.log)
        assert await registries.metric("slices_held") == 0
        assert await asyncio.gather(*(w.submit(f"m{n}") for n in range(5))) == [202] * 5
        await w.wait_until(lambda: host.response_count == 5)
        assert await registries.metric("slices_held") == 1 == await registries.metric("discovered")
        assert await submit_rejected(w, "nobody", dest=900) == "1"
        more = await w.start_host(respond_ok, destination=900)
        assert await submit_until_delivered(w, [more], "somebody", dest=900) == 0
        assert not [r for r in w.discovery.requests if r.target == "/reports"]
        known = {r.target.partition("?")[0] for r in w.discovery.requests}
        assert known == {"/registry/instances"}  # of the registries

    run_with_registries(scenario, tmp_path)


def test_first_messages_are_delivered_in_arrival_order(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        for address in registries.addresses:
            await registries.suspend(address)
        writers = []
        for number in range(8):
            reader, writer = await asyncio.open_connection(*w.address)
            writers.append((reader, writer))
            writer.write(format_submission(f"m{number}", "order"))
            await registries.wait_for_metric(
                "slices_parked", number + 1
            )  # read before the next one is written
        assert await w.submit("m0", "order") == 409  # that id is open
        reader, writer = writers.pop(3)
        writer.write_eof()  # its client leaves
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
        await w.wait_until(lambda: host.response_count == 7)
        assert host.request_ids == [f"m{number}" for number in range(8) if number != 3]

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize("how", ["dead", "stopped"])
def test_first_message_without_registries_is_rejected_with_retry_after(tmp_path: Path, how: str) -> None:
    """Refused in the time set, told when to come back; what is held goes on being served."""

    async def scenario(w: RelayHarness, registries: Registries) -> None:
        known, other = (
            await w.start_host(respond_ok, destination=1),
            await w.start_host(respond_ok, destination=2),
        )
        await w.start()
        assert await submit_until_delivered(w, [known], "before") == 0
        for address in registries.addresses:
            await (registries.kill(address) if how == "dead" else registries.suspend(address))
        began = time.monotonic()
        assert await submit_rejected(w, "first", dest=2) == "1"
        assert time.monotonic() - began >= 0.2
        assert await w.submit("held") == 202  # its destination is held
        await w.wait_until(lambda: "held" in known.request_ids)
        for address in registries.addresses:
            if how == "dead":
                await registries.start(address)
            else:
                registries.resume(address)
        assert await submit_until_delivered(w, [other], "again", dest=2) == 0
        assert other.request_ids == ["again"]
        assert not w.status_reports

    run_with_registries(scenario, tmp_path, wait_ms=200)


def test_start_without_registries_serves_and_delivers_once_one_answers(tmp_path: Path) -> None:
    """It serves all the same: what it held is taken up and goes out once a registry tells where; what comes
    is refused; and what runs out of time meanwhile is told."""

    async def scenario(w: RelayHarness, registries: Registries) -> None:
        async def not_now(request: Request) -> bytes:
            return format_response(503)

        host = await w.start_host(not_now)
        await w.start()
        await w.submit_once_listed("m0", 1)
        for number in (1, 2):
            assert await w.submit(f"m{number}", "order", path=f"/order/k{number}") == 202
        assert await w.submit("short", Request_Timeout_Ms="3000") == 202
        for address in registries.addresses:
            await registries.kill(address)
        await w.restart()
        assert await submit_rejected(w, "new", dest=1) == "1"
        await w.wait_until(lambda: [n["id"] for n in w.status_reports] == ["short"])
        host.requests.clear()
        host.handler = respond_ok
        await registries.start(registries.addresses[0])
        await w.wait_until(lambda: sorted(host.request_ids) == ["m0", "m1", "m2"])
        await w.wait_until(lambda: host.response_count >= 3)

    run_with_registries(scenario, tmp_path, wait_ms=200)


def test_endpoint_change_during_restart_is_applied(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        async def not_now(request: Request) -> bytes:
            return format_response(503)

        old, new = await w.start_host(not_now), await w.start_server(respond_ok)
        await w.start()
        assert await w.submit("m") == 202
        await w.wait_until(lambda: old.response_count > 0)
        await w.kill()
        old.requests.clear()
        set_phase(w, 0, "Gone")
        w.add_endpoint(1, "plain", "Ready", new.address)
        await w.start()
        await w.wait_until(lambda: new.request_ids == ["m"])
        assert await submit_until_delivered(w, [new], "n") == 0
        assert not old.request_ids

    run_with_registries(scenario, tmp_path)


async def submit_through_drain(w: RelayHarness, hosts: list[StubServer], told_at: float) -> float:
    """Messages go on until long after the grace: when the last one came to the first host, in seconds after
    `told_at`."""
    last, number, taken = 0.0, 0, ""
    while time.monotonic() < told_at + DRAIN_GRACE_S + 1.5:
        number += 1
        before = len(hosts[0].request_ids)
        if await w.submit(f"after{number}") == 202:
            taken = f"after{number}"
        if len(hosts[0].request_ids) > before:
            last = time.monotonic() - told_at
    await w.wait_until(lambda: taken in hosts[1].request_ids + hosts[0].request_ids)
    assert number > 20
    assert taken not in hosts[0].request_ids
    return last


def test_drain_through_registry_takes_effect_within_grace(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        hosts = [await w.start_host(respond_ok), await w.start_host(respond_ok)]
        await w.start()
        number = 0
        while not all(host.request_ids for host in hosts):
            number += 1
            await w.submit_once_listed(f"before{number}", 1)
        told_at = time.monotonic()
        set_phase(w, 0, "Terminating")
        assert await submit_through_drain(w, hosts, told_at) < DRAIN_GRACE_S

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize("how", ["dead", "stopped"])
def test_change_during_registry_failure_is_read_from_next_registry(tmp_path: Path, how: str) -> None:
    """In the midst of a watch. One that stands still is left once its watch is overdue, and what it tells as
    it wakes up does no harm."""

    async def scenario(w: RelayHarness, registries: Registries) -> None:
        first, second = registries.preferred_addresses()
        hosts = [await w.start_host(respond_ok), await w.start_host(respond_ok)]
        await w.start()
        number = 0
        while not all(host.request_ids for host in hosts):
            number += 1
            await w.submit_once_listed(f"before{number}", 1)
        assert await registries.metric("slices_registry") == 0
        await (registries.kill(first) if how == "dead" else registries.suspend(first))
        set_phase(w, 0, "Terminating")
        await registries.wait_for_metric("slices_moved", 1)
        assert any(f"registry {first} does not answer" in line for line in w.log)
        # The first change at the next registry tells it, and the watch begins after that.
        await w.wait_until(
            lambda: any(f"registry {second} serves this relay's destinations" in line for line in w.log)
        )
        hosts[0].requests.clear()
        for number in range(10):
            assert await w.submit(f"after{number}") == 202
        await w.wait_until(lambda: sum(name.startswith("after") for name in hosts[1].request_ids) == 10)
        if how == "stopped":
            registries.resume(first)
        else:
            await registries.start(first)
        set_phase(w, 1, "Terminating")
        third = await w.start_host(respond_ok)
        while "last" not in third.request_ids:
            await w.submit("last")
        assert not hosts[0].request_ids
        assert await registries.metric("slices_registry") == 1

    run_with_registries(scenario, tmp_path)


@pytest.mark.parametrize("sliced", [True, False])
def test_messages_of_emptied_destination_wait_for_next_host(tmp_path: Path, sliced: bool) -> None:
    """With registries as without: what is held, and what comes while it is in use, waits for a host."""

    async def scenario(w: RelayHarness, registries: Registries) -> None:
        async def not_now(request: Request) -> bytes:
            return format_response(503)

        if not sliced:
            w.arguments = []
        host = await w.start_host(not_now)
        await w.start()
        assert await w.submit("held") == 202
        await w.wait_until(lambda: host.response_count > 0)
        set_phase(w, 0, "Gone")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await registries.metric("discovered"):
                await asyncio.sleep(0.01)
        host.requests.clear()
        assert await w.submit("meanwhile") == 202
        assert await w.submit("short", Request_Timeout_Ms="500") in (202, 503)
        back = await w.start_host(respond_ok)
        await w.wait_until(lambda: {"held", "meanwhile"} <= set(back.request_ids))
        assert await submit_until_delivered(w, [back], "new") == 0
        assert not host.request_ids
        assert {notice["id"] for notice in w.status_reports} <= {"short"}

    run_with_registries(scenario, tmp_path)


def test_released_destination_is_rejected_like_unlisted_one(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        assert await submit_until_delivered(w, [host], "before") == 0
        set_phase(w, 0, "Gone")
        await registries.wait_for_metric("slices_let_go", 1)
        assert await submit_rejected(w, "new") == "1"
        back = await w.start_host(respond_ok)
        assert await submit_until_delivered(w, [back], "again") == 0
        assert host.request_ids == ["before"]

    run_with_registries(scenario, tmp_path, idle_s=1)


def test_registry_with_older_revision_is_ignored(tmp_path: Path) -> None:
    """One of them hears an older discovery. The relay stays with what it knows, and says so."""

    async def scenario(w: RelayHarness, registries: Registries) -> None:
        first, second = registries.preferred_addresses()
        old = await w.start_host(respond_ok)
        members, revision = list(w.endpoints), w.revision
        behind = await w.start_server(w.handle_discovery_request)

        async def stale(request: Request) -> bytes | None:
            if "index=" in request.target:
                await asyncio.sleep(0.2)
            told = {"revision": revision, "complete": True, "members": members}
            return format_response(200, json.dumps(told).encode())

        behind.handler = stale
        await registries.kill(second)
        await registries.start(second, discovery=behind.address)
        set_phase(w, 0, "Gone")
        new = await w.start_host(respond_ok)
        await w.start()
        assert await submit_until_delivered(w, [new], "before") == 0
        await registries.kill(first)
        await registries.wait_for_metric("slices_older", 1)
        assert any(f"registry {second} has an older revision" in line for line in w.log)
        assert await w.submit("after") == 202
        await w.wait_until(lambda: "after" in new.request_ids)
        await registries.start(first)
        third = await w.start_host(respond_ok)
        set_phase(w, 1, "Gone")
        while "last" not in third.request_ids:
            await w.submit("last")
        assert not old.request_ids

    run_with_registries(scenario, tmp_path)


def test_idle_destination_is_released_and_keeps_its_retry_after(
    tmp_path: Path,
) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        let = asyncio.Event()

        async def script(request: Request) -> bytes:
            if request.id == "out":
                await let.wait()
                return format_response(200, X_Come_Back_Ms="30000")
            return format_response(200)

        host = await w.start_host(script)
        await w.start()
        assert await w.submit("out", "order") == 202
        await w.wait_until(lambda: host.request_ids == ["out"])
        assert await w.submit("in-line", "order", Request_Timeout_Ms="4000") == 202
        assert await registries.metric("slices_held") == 1
        await asyncio.sleep(2.5)  # idle for longer than what is set: it must not be let go
        assert await registries.metric("slices_let_go") == 0
        assert host.request_ids == ["out"]
        let.set()
        await w.wait_until(lambda: [notice["id"] for notice in w.status_reports] == ["in-line"])
        await registries.wait_for_metric("slices_let_go", 1)
        assert await registries.metric("slices_held") == 0 == await registries.metric("discovered")
        number, held = 0, 0
        while not held:  # a busy machine may let the time pass for which a first message waits
            number += 1
            assert await w.submit(f"again{number}") == 503
            held = await registries.metric("slices_held")
        assert await w.submit("last") == 503
        assert host.request_ids == ["out"]

    run_with_registries(scenario, tmp_path, idle_s=1)


def test_successor_continues_subscription(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        w.share_listener()
        hosts = [await w.start_host(respond_ok, destination=dest) for dest in (1, 2)]
        await w.start()
        for dest in (1, 2):
            assert await submit_until_delivered(w, [hosts[dest - 1]], f"before{dest}", dest) == 0
        await w.upgrade()
        assert await registries.metric("slices_held") == 2
        assert await registries.metric("slices_cells") == 0  # nothing was told whole again
        for address in registries.addresses:
            await registries.kill(address)
        assert await w.submit("after1", destination=1) == 202
        assert await w.submit("after2", destination=2) == 202
        await w.wait_until(lambda: "after1" in hosts[0].request_ids and "after2" in hosts[1].request_ids)

    run_with_registries(scenario, tmp_path)


def test_successor_without_registries_requests_full_list(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        w.share_listener()
        hosts = [await w.start_host(respond_ok, destination=dest) for dest in (1, 2)]
        await w.start()
        assert await submit_until_delivered(w, hosts[:1], "before") == 0
        w.arguments = []
        await w.upgrade()
        assert await submit_until_delivered(w, hosts[1:], "after", dest=2) == 0
        assert "/registry/instances" in {r.target for r in w.discovery.requests}

    run_with_registries(scenario, tmp_path)


def test_restart_with_store_and_registries_delivers_open_messages(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        async def not_now(request: Request) -> bytes:
            return format_response(503)

        subscription = w.arguments
        path = configure_store(w)
        w.arguments = [*subscription, *w.arguments]
        host = await w.start_host(not_now)
        await w.start()
        await w.submit_once_listed("m0", 1)
        for number in (1, 2):
            assert await w.submit(f"m{number}", "order") == 202
        await w.restart()
        host.handler = respond_ok
        found = await wait_for_state(path, ["m0", "m1", "m2"], RecordState.REPORTED)
        assert {found[name].final_status for name in ("m0", "m1", "m2")} == {StoredFinalStatus.DELIVERED}
        orders = [name for name in dict.fromkeys(reversed(host.request_ids)) if name != "m0"]
        assert orders == ["m2", "m1"]
        assert not w.status_reports

    run_with_registries(scenario, tmp_path)


def test_reload_that_moves_discovery_moves_only_status_reports(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        async def no(request: Request) -> bytes:
            return format_response(500)

        host = await w.start_host(no)
        await w.start()
        changes = await registries.metric("slices_changes")
        new = await w.start_server(w.handle_discovery_request)
        w.write_config(new.address)
        w.reload()
        await w.wait_until(lambda: any("discovery moves" in line for line in w.log))
        assert await w.submit("m", "order") == 202
        await w.wait_until(lambda: w.status_reports == [undeliverable_report("m")])
        assert {r.target for r in new.requests} == {"/reports"}
        assert host.request_ids
        assert await registries.metric("slices_changes") == changes + 1  # the first message's

    run_with_registries(scenario, tmp_path)


def test_shutdown_rejects_waiting_first_messages(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness, registries: Registries) -> None:
        await w.start_host(respond_ok)
        await w.start()
        for address in registries.addresses:
            await registries.suspend(address)
        reader, writer = await asyncio.open_connection(*w.address)
        writer.write(format_submission("m"))
        await registries.wait_for_metric("slices_parked", 1)
        assert w.process is not None
        w.process.terminate()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")
            assert await w.process.wait() == 0
        writer.close()
        assert any("exits, keeping 0 messages" in line for line in w.log)

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
    async def scenario(w: RelayHarness) -> None:
        path = tmp_path / "subscription.toml"
        path.write_text(text)
        w.arguments = ["--subscription", str(path)]
        process = await w.spawn()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await process.wait() == 2
        await w.wait_until(lambda: bool(w.log))
        (told,) = w.log
        assert told.startswith(f"loftrelay: configuration: {path}: {line}"), told

    run_scenario(scenario, tmp_path)


def test_subscription_file_accepts_deploy_example_and_many_registries(tmp_path: Path) -> None:
    from loftrelay.discovery.settings import load_subscription

    told = load_subscription(Path(__file__).parents[2] / "deploy" / "subscription.toml")
    assert told.fleet == "windwacht"
    assert len(told.registries) == 2
    assert told.timing.lookup_timeout == 0.2
    path = tmp_path / "many.toml"
    path.write_text(f"[subscription]\nregistries = {json.dumps([f'10.0.0.1:{n}' for n in range(1, 1025)])}\n")
    assert len(load_subscription(path).registries) == 1024
