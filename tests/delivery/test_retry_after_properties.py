"""A whole engine in virtual time, between hosts that do whatever a seed says.

No call's first byte goes to a host inside a wait read before it; nothing is lost, doubled or out of order."""

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
from tests.standins.platform import SETTINGS

HOSTS = {"a": (1, "plain"), "b": (1, "plain"), "c": (2, "apart"), "d": (2, "apart")}  # and its destination
TOLD = {
    **SETTINGS,
    "flavors": ["plain", "apart"],
    "extra": {
        "bundle_max": [1, 3],
        "call_slots": 6,
        "own_limits": [False, True],
    },
}


class Selector(selectors.SelectSelector):
    """Nothing is waited for: the time that would pass is told."""

    passed: Callable[[float], None]

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing would ever happen again"
        self.passed(max(0.0, timeout))
        return []


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        super().__init__(selector := Selector())
        self.now = 1000.0
        selector.passed = self._pass

    def _pass(self, seconds: float) -> None:
        self.now += seconds

    def time(self) -> float:
        return self.now


class Still:
    """A directory or a board of notices that says nothing by itself."""

    address, revision, pending = ("", 0), 1, 0

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.told: list[str] = []

    def report(self, message: str, notice: dict[str, Any]) -> None:
        self.told.append(message)
        asyncio.get_running_loop().call_later(0.01, self.engine.final_statuses.report_acknowledged, message)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *given: None


class Day:
    """One relay, its hosts, and the book of what went to them. `asks`: whether calls ask for waits at all."""

    def __init__(self, folder: Path, seed: int, asks: bool = True) -> None:
        self.random = random.Random(seed)
        self.settings = replace(read_settings(TOLD), awaits_final_status=True)
        self.journal = Journal(folder, 3_000_000)
        self.engine = engine = Engine(seed, self.settings, self.journal)
        limits = PoolSettings(
            reuse_delay=self.random.choice([0, 50_000]), max_per_host=self.random.choice([0, 1, 2])
        )
        self.hosts = HostClient(
            600_000,
            15_000_000,
            100,
            limits,
            seed,
            self.journal.record_attempt,
            self.ended,
            engine.attempts.outcome_disputed,
            stall_detector=engine.context.stall_detector,
            on_retry_after=self.told,
            is_blocked=engine.attempts.is_blocked if asks else lambda host: False,
        )
        self.board = Still(engine)
        engine.context.delivery = self.hosts
        engine.context.discovery = cast(Any, Still(engine))
        engine.context.status_reporter = cast(Any, self.board)
        self.waits: dict[str, float] = {}
        self.early: list[str] = []
        self.held = 0
        self.out: set[str] = set()
        self.ran: set[str] = set()
        self.faults: list[str] = []
        self.taken: dict[str, Message] = {}
        self.keys: dict[str, list[str]] = {}
        self.place(EndpointListKind.FULL, *HOSTS)

    def place(self, form: EndpointListKind, *names: str, state: EndpointState = EndpointState.ACTIVE) -> None:
        port = self.random.randrange(1, 1000)
        rows = [EndpointEntry(name, HOSTS[name][0], state, None, HOSTS[name][1], None) for name in names]
        self.engine.endpoints.list_received(
            EndpointListReceived(form, tuple(rows)), {name: (name, port) for name in names}
        )

    def told(self, host: str, wait: int) -> None:
        until = asyncio.get_running_loop().time() + wait / 1e6
        shared = HOSTS[host][1] == "plain"
        for name in [n for n in HOSTS if shared and HOSTS[n] == HOSTS[host]] or [host]:
            self.waits[name] = max(self.waits.get(name, 0.0), until)
        self.engine.attempts.retry_after_received(host, wait)

    def ended(self, held: Message, host: str, ending: AttemptResult) -> None:
        self.held += ending.is_blocked
        before = held.attempts
        self.engine.attempts.attempt_ended(held, host, ending)
        assert held.attempts == before - (ending.is_blocked or ending.is_stale)

    def first_byte(self, host: str, ids: list[str]) -> None:
        if asyncio.get_running_loop().time() < self.waits.get(host, 0.0) - 1e-6:
            self.early += ids
        for name in ids:
            held = self.taken[name]
            if name in self.out:
                self.faults.append(f"{name}: two copies at once")
            if held.class_name == "order" and name in self.ran:
                self.faults.append(f"{name}: an effect twice")
            line = self.keys[held.ordering_key] if held.ordering_key is not None else [name]
            if earlier := [m for m in line[: line.index(name)] if m in self.journal.messages]:
                self.faults.append(f"{name}: sent before {earlier}")
        self.out.update(ids)

    async def live(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        ends, number = loop.time() + seconds, 0
        while loop.time() < ends:
            await asyncio.sleep(self.random.expovariate(12))
            match self.random.randrange(14):
                case 0:
                    name = self.random.choice(list(HOSTS))
                    state = self.random.choice(
                        [EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.ACTIVE]
                    )
                    self.place(EndpointListKind.DELTA, name, state=state)
                case 1:
                    self.place(EndpointListKind.DELTA, *HOSTS)
                case 2 if self.random.random() < 0.2:
                    self.engine.apply_settings(self.settings, ("", 0))
                case _:
                    number += 1
                    self.hand_in(f"m{number}")
        self.place(EndpointListKind.DELTA, *HOSTS)
        while self.journal.messages:
            await asyncio.sleep(0.5)
            assert loop.time() < ends + 60, "lost"

    def hand_in(self, name: str) -> None:
        now, draw = int(asyncio.get_running_loop().time() * 1e6), self.random
        of = draw.choice(["status", "order"])
        key = f"k{draw.randrange(3)}" if of == "order" else None
        ends = now + draw.randrange(400_000, 9_000_000)
        held = Message(name, 0, of, "acme", draw.choice([1, 2]), key, now, ends)
        self.taken[name] = held
        if key is not None:
            self.keys.setdefault(key, []).append(name)
        self.engine.intake.submit(held, lambda status, again: None)
        if draw.random() < 0.1 and self.engine.intake.is_client_waiting(name):
            self.engine.intake.cancel(name)


class Host:
    """A connection to one of the hosts: in place of net.http.Connection."""

    day: Day

    def __init__(self, host: str) -> None:
        self.host = host
        self.sound = True
        self.is_request_written, self.request_written_at, self.first_byte_at = True, 0.0, 0.0
        self.is_status_ok = False
        self.unsolicited_data = self.on_unsolicited = None
        self.taken_back: asyncio.Future[None] | None = None

    @classmethod
    async def open(cls, address: Address, timeout: float) -> Host:
        draw = cls.day.random
        delay = draw.choice([0.0, 0.01, draw.uniform(0, 0.7)])
        await asyncio.sleep(min(delay, timeout))
        if delay >= timeout:
            raise TimeoutError
        if draw.random() < 0.05:
            raise ConnectionRefusedError
        return cls(address[0])

    def is_usable(self) -> bool:
        return self.sound

    def check_unsolicited_data(self) -> None:
        pass

    def close(self) -> None:
        self.sound = False

    def withdraw(self, why: Exception) -> bool:
        if self.is_request_written or self.taken_back is None or self.taken_back.done():
            return False
        self.taken_back.set_exception(why)
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
        day, loop, draw = self.day, asyncio.get_running_loop(), self.day.random
        if draw.random() < 0.05:
            self.sound = False
            raise ConnectionUnusableError
        batch = path.endswith(":batch")
        ids = [row["id"] for row in json.loads(body)] if batch else [headers["Request-Id"]]
        day.first_byte(self.host, ids)
        try:
            if draw.random() < 0.1:  # its last byte goes out slowly
                self.is_request_written = False
                self.taken_back = loop.create_future()
                await asyncio.wait([self.taken_back], timeout=draw.uniform(0, 0.5))
                if self.taken_back.done():
                    self.taken_back.result()
                self.is_request_written = True
            self.request_written_at = loop.time()
            on_request_written()
            answer = self.answer(ids, draw)
            delay = draw.choice([draw.uniform(0, 0.2), draw.uniform(0, 0.2), draw.uniform(0, 2.0)])
            if answer is None or answer.status in (200, 500):
                day.ran.update(ids)
            await asyncio.sleep(min(delay, deadline - loop.time()))
            if loop.time() >= deadline:
                raise TimeoutError
            self.first_byte_at = loop.time()
            if answer is None:
                raise ConnectionBrokenError
            on_response_head(answer.headers.items())
            if draw.random() < 0.1:
                await asyncio.sleep(draw.uniform(0, 0.3))
                raise MalformedResponseError
            return answer
        finally:
            day.out.difference_update(ids)

    def answer(self, ids: list[str], draw: random.Random) -> HttpResponse | None:
        status = draw.choice([200] * 12 + [429] * 5 + [500, 503, 0])
        told = draw.choice([0, 0, draw.randrange(50, 900), draw.randrange(50, 900)])
        told = 12_000 if draw.random() < 0.02 else told
        headers = {b"x-come-back-ms": b"%d" % told} if status not in (0, 200) or draw.random() < 0.1 else {}
        rows = ",".join(f'{{"id":"{name}","state":"delivered"}}' for name in ids)
        return HttpResponse(status, headers, f"[{rows}]".encode()) if status else None


def play(folder: Path, seed: int, monkeypatch: pytest.MonkeyPatch, asks: bool = True) -> Day:
    loop = Loop()
    for name, module in list(sys.modules.items()):
        if name.startswith("loftrelay.") and hasattr(module, "wall_clock"):
            monkeypatch.setattr(module, "wall_clock", lambda: int(loop.now * 1e6))
    monkeypatch.setattr(pool_driver, "Connection", Host)
    days: list[Day] = []

    async def main() -> None:
        Host.day = day = Day(folder, seed, asks)
        days.append(day)
        await day.live(40.0)
        day.hosts.close()

    def run(what: Coroutine[Any, Any, None]) -> None:
        try:
            loop.run_until_complete(what)
        finally:
            loop.close()

    run(main())
    return days[0]


@pytest.mark.parametrize("seed", range(30))
def test_no_first_byte_inside_a_wait_read_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    day = play(tmp_path, seed, monkeypatch)
    assert not day.early
    assert not day.faults
    assert len(day.taken) > 200


def test_the_book_finds_calls_inside_a_wait(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The same days, where nothing between the module's decision and the first byte asks for waits."""
    days = [play(tmp_path / str(seed), seed, monkeypatch, asks=False) for seed in range(3)]
    assert any(day.early for day in days)
    assert not any(day.held for day in days)
