"""Simulation of an engine in virtual time, with hosts that behave at random from a seed.

No call is sent to a host while a Retry-After received before applies to it. No message is lost, sent while
another attempt of it is in progress, or sent out of order, and no at-most-once message is sent after it may
have run.
"""

from __future__ import annotations

import asyncio
import json
import random
import selectors
import sys
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest

from loftrelay.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from loftrelay.decisions.simulator import read_settings
from loftrelay.delivery import pool_driver
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_client import HostClient
from loftrelay.delivery.settlement import DeliveryEvents
from loftrelay.journal.journal import Journal
from loftrelay.net.address import Address
from loftrelay.net.response_parser import (
    ConnectionBrokenError,
    ConnectionUnusableError,
    Headers,
    HttpResponse,
    MalformedResponseError,
)
from loftrelay.relay.engine import Engine
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult
from tests.standins.harness import SETTINGS

# Host -> its destination and its kind; hosts of kind "apart" share no Retry-After.
HOST_ROUTES = {"a": (1, "plain"), "b": (1, "plain"), "c": (2, "apart"), "d": (2, "apart")}
SETTINGS_FILE = {
    **SETTINGS,
    "flavors": ["plain", "apart"],
    "extra": {
        "bundle_max": [1, 3],
        "call_slots": 6,
        "own_limits": [False, True],
    },
}


class VirtualTimeSelector(selectors.SelectSelector):
    """Selector that returns at once and reports the time that it would have waited."""

    on_time_passed: Callable[[float], None]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "the event loop has no timer left"
        self.on_time_passed(max(0.0, timeout))
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances by the time that the selector would have waited."""

    def __init__(self) -> None:
        super().__init__(selector := VirtualTimeSelector())
        self.now = 1000.0
        selector.on_time_passed = self._advance_clock

    def _advance_clock(self, seconds: float) -> None:
        self.now += seconds

    def time(self) -> float:
        return self.now


class StubPeer:
    """Discovery client or status reporter that sends no events, except that it confirms reports."""

    address, revision, pending = ("", 0), 1, 0

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.reported: list[str] = []

    def report(self, message: str, notice: dict[str, Any]) -> None:
        self.reported.append(message)
        asyncio.get_running_loop().call_later(0.01, self.engine.final_statuses.report_acknowledged, message)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *given: None


class Simulation:
    """One relay with its hosts, which records what is sent to them.

    Attributes:
        blocked_until: Host -> end of its Retry-After, in seconds on the clock of the event loop.
        sent_while_blocked: Ids of messages sent to a host while a Retry-After applied.
        blocked_count: Number of attempts that were blocked by a Retry-After.
        in_progress: Ids of messages in calls in progress.
        executed: Ids of messages that may have run.
        violations: Descriptions of messages sent during another attempt, again or out of order.
    """

    def __init__(self, folder: Path, seed: int, checks_retry_after: bool = True) -> None:
        self.random = random.Random(seed)
        self.settings = replace(read_settings(SETTINGS_FILE), awaits_final_status=True)
        self.journal = Journal(folder, 3_000_000)
        self.engine = engine = Engine(seed, self.settings, self.journal)
        pool_settings = PoolSettings(
            reuse_delay=self.random.choice([0, 50_000]), max_per_host=self.random.choice([0, 1, 2])
        )
        self.client = HostClient(
            600_000,
            15_000_000,
            100,
            pool_settings,
            seed,
            self.journal.record_attempt,
            self.attempt_ended,
            engine.attempts.outcome_disputed,
            stall_detector=engine.context.stall_detector,
            on_retry_after=self.retry_after_received,
            is_blocked=engine.attempts.is_blocked if checks_retry_after else lambda host: False,
            delivery_events=DeliveryEvents(
                engine.redelivery.delivery_disputed,
                engine.redelivery.delivery_unconfirmed,
                engine.redelivery.delivery_settled,
            ),
        )
        self.status_reporter = StubPeer(engine)
        engine.context.delivery = self.client
        engine.context.discovery = cast(Any, StubPeer(engine))
        engine.context.status_reporter = cast(Any, self.status_reporter)
        self.blocked_until: dict[str, float] = {}
        self.sent_while_blocked: list[str] = []
        self.blocked_count = 0
        self.in_progress: set[str] = set()
        self.executed: set[str] = set()
        self.violations: list[str] = []
        self.messages: dict[str, Message] = {}
        self.keys: dict[str, list[str]] = {}
        self.list_endpoints(EndpointListKind.FULL, *HOST_ROUTES)

    def list_endpoints(
        self, kind: EndpointListKind, *names: str, state: EndpointState = EndpointState.ACTIVE
    ) -> None:
        port = self.random.randrange(1, 1000)
        rows = [
            EndpointEntry(name, HOST_ROUTES[name][0], state, None, HOST_ROUTES[name][1], None)
            for name in names
        ]
        self.engine.endpoints.list_received(
            EndpointListReceived(kind, tuple(rows)), {name: (name, port) for name in names}
        )

    def retry_after_received(self, host: str, delay: int) -> None:
        until = asyncio.get_running_loop().time() + delay / 1e6
        shared = HOST_ROUTES[host][1] == "plain"
        for name in [n for n in HOST_ROUTES if shared and HOST_ROUTES[n] == HOST_ROUTES[host]] or [host]:
            self.blocked_until[name] = max(self.blocked_until.get(name, 0.0), until)
        self.engine.attempts.retry_after_received(host, delay)

    def attempt_ended(self, message: Message, host: str, result: AttemptResult) -> None:
        self.blocked_count += result.is_blocked
        before = message.attempts
        self.engine.attempts.attempt_ended(message, host, result)
        assert message.attempts == before - (result.is_blocked or result.is_stale)

    def first_byte_sent(self, host: str, ids: list[str]) -> None:
        if asyncio.get_running_loop().time() < self.blocked_until.get(host, 0.0) - 1e-6:
            self.sent_while_blocked += ids
        for name in ids:
            message = self.messages[name]
            if name in self.in_progress:
                self.violations.append(f"{name}: sent while another attempt is in progress")
            if message.class_name == "order" and name in self.executed:
                self.violations.append(f"{name}: at-most-once message sent after it may have run")
            same_key = self.keys[message.ordering_key] if message.ordering_key is not None else [name]
            if earlier := [m for m in same_key[: same_key.index(name)] if m in self.journal.messages]:
                self.violations.append(f"{name}: sent before {earlier} of the same ordering key")
        self.in_progress.update(ids)

    async def run(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end, number = loop.time() + seconds, 0
        while loop.time() < end:
            await asyncio.sleep(self.random.expovariate(12))
            match self.random.randrange(14):
                case 0:
                    name = self.random.choice(list(HOST_ROUTES))
                    state = self.random.choice(
                        [EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.ACTIVE]
                    )
                    self.list_endpoints(EndpointListKind.DELTA, name, state=state)
                case 1:
                    self.list_endpoints(EndpointListKind.DELTA, *HOST_ROUTES)
                case 2 if self.random.random() < 0.2:
                    self.engine.apply_settings(self.settings, ("", 0))
                case _:
                    number += 1
                    self.submit(f"m{number}")
        self.list_endpoints(EndpointListKind.DELTA, *HOST_ROUTES)
        while self.journal.messages:
            await asyncio.sleep(0.5)
            assert loop.time() < end + 60, f"not final after 60 s: {list(self.journal.messages)}"

    def submit(self, name: str) -> None:
        now, rng = int(asyncio.get_running_loop().time() * 1e6), self.random
        class_name = rng.choice(["status", "order"])
        key = f"k{rng.randrange(3)}" if class_name == "order" else None
        deadline = now + rng.randrange(400_000, 9_000_000)
        message = Message(name, 0, class_name, "acme", rng.choice([1, 2]), key, now, deadline)
        self.messages[name] = message
        if key is not None:
            self.keys.setdefault(key, []).append(name)
        self.engine.intake.submit(message, lambda status, again: None)
        if rng.random() < 0.1 and self.engine.intake.is_client_waiting(name):
            self.engine.intake.cancel(name)


class FakeConnection:
    """Connection to a simulated host, in place of net.http.Connection."""

    simulation: Simulation

    def __init__(self, host: str) -> None:
        self.host = host
        self.is_open = True
        self.is_request_written, self.request_written_at, self.first_byte_at = True, 0.0, 0.0
        self.is_status_ok = self.was_reset = False
        self.unsolicited_data = self.on_unsolicited = None
        self.withdrawn: asyncio.Future[None] | None = None

    @classmethod
    async def open(cls, address: Address, timeout: float) -> FakeConnection:
        rng = cls.simulation.random
        delay = rng.choice([0.0, 0.01, rng.uniform(0, 0.7)])
        await asyncio.sleep(min(delay, timeout))
        if delay >= timeout:
            raise TimeoutError
        if rng.random() < 0.05:
            raise ConnectionRefusedError
        return cls(address[0])

    def is_usable(self) -> bool:
        return self.is_open

    def check_unsolicited_data(self) -> None:
        pass

    def close(self) -> None:
        self.is_open = False

    def withdraw(self, reason: Exception) -> bool:
        if self.is_request_written or self.withdrawn is None or self.withdrawn.done():
            return False
        self.withdrawn.set_exception(reason)
        return True

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        completion_timeout: float,
        on_request_written: Callable[[], None],
        deadline: float,
        on_response_head: Callable[[Headers], None],
    ) -> HttpResponse:
        simulation, loop, rng = self.simulation, asyncio.get_running_loop(), self.simulation.random
        if rng.random() < 0.05:
            self.is_open = False
            raise ConnectionUnusableError
        batch = path.endswith(":batch")
        ids = [row["id"] for row in json.loads(body)] if batch else [headers["Request-Id"]]
        simulation.first_byte_sent(self.host, ids)
        try:
            if rng.random() < 0.1:  # the last byte is written late
                self.is_request_written = False
                self.withdrawn = loop.create_future()
                await asyncio.wait([self.withdrawn], timeout=rng.uniform(0, 0.5))
                if self.withdrawn.done():
                    self.withdrawn.result()
                self.is_request_written = True
            self.request_written_at = loop.time()
            on_request_written()
            response = self.draw_response(ids, rng)
            delay = rng.choice([rng.uniform(0, 0.2), rng.uniform(0, 0.2), rng.uniform(0, 2.0)])
            if response is None or response.status in (200, 500):
                simulation.executed.update(ids)
            await asyncio.sleep(min(delay, deadline - loop.time()))
            if loop.time() >= deadline:
                raise TimeoutError
            self.first_byte_at = loop.time()
            if response is None:
                raise ConnectionBrokenError
            on_response_head(response.headers.items())
            if rng.random() < 0.1:
                await asyncio.sleep(rng.uniform(0, 0.3))
                raise MalformedResponseError
            return response
        finally:
            simulation.in_progress.difference_update(ids)

    def draw_response(self, ids: list[str], rng: random.Random) -> HttpResponse | None:
        status = rng.choice([200] * 12 + [429] * 5 + [500, 503, 0])
        retry_after_ms = rng.choice([0, 0, rng.randrange(50, 900), rng.randrange(50, 900)])
        retry_after_ms = 12_000 if rng.random() < 0.02 else retry_after_ms
        headers = (
            {b"x-come-back-ms": b"%d" % retry_after_ms}
            if status not in (0, 200) or rng.random() < 0.1
            else {}
        )
        rows = ",".join(f'{{"id":"{name}","state":"delivered"}}' for name in ids)
        return HttpResponse(status, headers, f"[{rows}]".encode()) if status else None


def run_simulation(
    folder: Path, seed: int, monkeypatch: pytest.MonkeyPatch, checks_retry_after: bool = True
) -> Simulation:
    loop = VirtualTimeLoop()
    for name, module in list(sys.modules.items()):
        if name.startswith("loftrelay.") and hasattr(module, "wall_clock"):
            monkeypatch.setattr(module, "wall_clock", lambda: int(loop.now * 1e6))
    monkeypatch.setattr(pool_driver, "Connection", FakeConnection)
    simulations: list[Simulation] = []

    async def main() -> None:
        FakeConnection.simulation = simulation = Simulation(folder, seed, checks_retry_after)
        simulations.append(simulation)
        await simulation.run(40.0)
        simulation.client.close()

    def run_until_complete(coroutine: Coroutine[Any, Any, None]) -> None:
        try:
            loop.run_until_complete(coroutine)
        finally:
            loop.close()

    run_until_complete(main())
    return simulations[0]


@pytest.mark.parametrize("seed", range(30))
def test_no_call_is_sent_while_retry_after_applies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    simulation = run_simulation(tmp_path, seed, monkeypatch)
    assert not simulation.sent_while_blocked
    assert not simulation.violations
    assert len(simulation.messages) > 200


def test_simulation_detects_calls_sent_while_retry_after_applies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the check between the decision and the first byte, the same simulations send blocked calls."""
    simulations = [
        run_simulation(tmp_path / str(seed), seed, monkeypatch, checks_retry_after=False) for seed in range(3)
    ]
    assert any(simulation.sent_while_blocked for simulation in simulations)
    assert not any(simulation.blocked_count for simulation in simulations)
