"""The subscriber's connections to registries, among them scripted ones with invalid responses."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions.events import EndpointListKind, EndpointListReceived
from loftrelay.discovery.registry_selection import preference_order
from loftrelay.discovery.settings import SubscriptionSettings
from loftrelay.discovery.subscriber import Subscriber
from loftrelay.discovery.subscription import Timing
from loftrelay.net.address import Address, parse_address
from loftrelay.registry.protocol import (
    LIST_PATH,
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
    checksum,
    decode_request,
    encode_response,
)
from loftrelay.relay.ports import ResolutionStatus
from tests.standins.platform import HANG, Peer, Request, World, never, reply

FLEET = "windwacht"
NOTICES = ("127.0.0.1", 9)


def row(host: str, cell: int, phase: str = "Ready", **more: Any) -> dict[str, Any]:
    return {"id": host, "host_port": "127.0.0.1:9", "cell": cell, "phase": phase, "size": 1.0, **more}


class Sound:
    """A registry as it should be, with one host in each cell that is asked for."""

    def __init__(self) -> None:
        self.cells: set[int] = set()
        self.seq = 0
        self.calls: list[SubscriptionChange | SubscriptionWatch] = []

    async def __call__(self, request: Request) -> bytes | None:
        assert request.target.startswith(LIST_PATH)
        call = decode_request(request.target)
        assert isinstance(call, SubscriptionChange | SubscriptionWatch)
        self.calls.append(call)
        if isinstance(call, SubscriptionWatch):
            return await never(request)
        self.cells = (set() if call.is_reset else self.cells) | {*call.added, *call.confirmed}
        self.cells -= set(call.dropped)
        self.seq = call.sequence
        rows = [json.dumps(row(f"h{cell}", cell)).encode() for cell in call.added]
        return reply(200, self.answer(call.added, rows))

    def answer(self, cells: Sequence[int], rows: list[bytes], **changes: Any) -> bytes:
        told: dict[str, Any] = {
            "fleet": FLEET,
            "revision": 5,
            "age_ms": 0,
            "sequence": self.seq,
            "size": len(self.cells),
            "checksum": checksum(self.cells),
            "full_destinations": tuple(cells),
            "rows": (),
            **changes,
        }
        return encode_response(SubscriptionResponse(**told), rows)


class Relay:
    def __init__(self, registries: Sequence[Peer]) -> None:
        self.listings: list[EndpointListReceived] = []
        self.addresses: dict[str, Address] = {}
        self.states: list[tuple[int, ResolutionStatus]] = []
        self.changed = asyncio.Event()
        self.broken = 0  # tellings that fail
        places = tuple(parse_address(peer.address) for peer in registries)
        told = SubscriptionSettings(FLEET, places, Timing())
        self.subscriber = Subscriber(told, "n1", NOTICES, self.tell, self.sliced, self.let_go)

    def tell(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        if listing.entries and self.broken:
            self.broken -= 1
            raise RuntimeError("a fault")
        self.listings.append(listing)
        self.addresses |= addresses
        self.changed.set()

    def sliced(self, destination: int, state: ResolutionStatus) -> None:
        self.states.append((destination, state))
        self.changed.set()

    def let_go(self, destinations: Sequence[int]) -> list[int]:
        return []

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def play(folder: Path, scenario: Callable[[World], Awaitable[None]]) -> None:
    async def main() -> None:
        async with World(folder) as w:
            await scenario(w)

    asyncio.run(main())


async def two(w: World, first: Callable[[Request], Awaitable[bytes | None]]) -> tuple[Peer, Sound, Relay]:
    """A relay that prefers the registry of this script to a sound one."""
    peers = [await w.peer(never), await w.peer(never)]
    order = preference_order("n1", [parse_address(peer.address) for peer in peers])
    peers.sort(key=lambda peer: order.index(parse_address(peer.address)))
    sound = Sound()
    peers[0].script, peers[1].script = first, sound
    return peers[0], sound, Relay(peers)


def test_destinations_are_added_and_released_over_two_connections(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        sound = Sound()
        peer = await w.peer(sound)
        relay = Relay([peer])
        subscriber = relay.subscriber
        subscriber.load_cached({"revision": 3, "complete": True, "members": [row("old", 1)]})
        assert relay.listings == [EndpointListReceived(EndpointListKind.CACHED, ())]
        subscriber.resolve(7)
        subscriber.watch()
        subscriber.watch()  # as the module asks, in its own rhythm
        await relay.until(lambda: relay.states == [(7, ResolutionStatus.RESOLVED)])
        assert relay.addresses == {"h7": ("127.0.0.1", 9)}
        assert subscriber.revision == 5
        await w.until(lambda: any(isinstance(call, SubscriptionWatch) for call in sound.calls))
        assert len(peer.connections) == 2
        assert subscriber.first_response.is_set()
        assert [listing.kind for listing in relay.listings] == [
            EndpointListKind.CACHED,
            EndpointListKind.DELTA,
        ]
        subscriber.move_to(("127.0.0.1", 10))
        assert subscriber.address == ("127.0.0.1", 10)
        figures = dict(line.split("=") for line in subscriber.metric_lines())
        assert figures["app.slices_held"] == "1"
        assert int(figures["app.slices_bytes_in"]) > 200
        subscriber.pause()
        await w.until(lambda: len(peer.ended) == 2)
        subscriber.close()

    play(tmp_path, scenario)


ODD = {
    "not JSON": reply(200, b"not JSON"),
    "no list": reply(200, b"[]"),
    "no revision": reply(200, b'{"fleet":"windwacht","members":[]}'),
    "deep": reply(200, b"[" * 100_000),
    "503": reply(503, b"no list of discovery yet\n"),
    "403": reply(403, b"fleet = 'windwacht': this is the registry of 'other'\n"),
    "400": reply(400, b"odd\n"),
    "410": reply(410, b"not known here\n"),
    "500": reply(500),
    "nothing": None,
    "other fleet": reply(200, Sound().answer((), [], fleet="other", sequence=1)),
    "other set": reply(200, Sound().answer((), [], size=9, sequence=1)),
    "not what was asked": reply(200, Sound().answer((), [], size=1, checksum=7, sequence=1)),
}


@pytest.mark.parametrize("odd", ODD)
def test_registry_with_malformed_responses_is_left_with_one_log_line(
    tmp_path: Path, odd: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def script(request: Request) -> bytes | None:
        return ODD[odd]

    async def scenario(w: World) -> None:
        caplog.set_level("INFO")
        first, sound, relay = await two(w, script)
        relay.subscriber.resolve(7)
        relay.subscriber.watch()
        await relay.until(lambda: (7, ResolutionStatus.RESOLVED) in relay.states)
        await w.until(lambda: any(isinstance(call, SubscriptionWatch) for call in sound.calls))
        said = [r.getMessage() for r in caplog.records if first.address in r.getMessage()]
        assert len(said) == 1 and "\n" not in said[0], said
        assert len(first.requests) <= 4
        relay.subscriber.close()

    play(tmp_path, scenario)


def test_malformed_row_is_skipped(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        sound = Sound()

        async def script(request: Request) -> bytes | None:
            if "wait=" in request.target:
                return await sound(request)
            await sound(request)
            rows = [row("odd", 7, "Sleeping"), row("h7", 7), {"id": 4}, row("gone", 7, "Gone")]
            return reply(200, sound.answer((7,), [json.dumps(told).encode() for told in rows]))

        relay = Relay([await w.peer(script)])
        relay.subscriber.resolve(7)
        relay.subscriber.watch()
        await relay.until(lambda: (7, ResolutionStatus.RESOLVED) in relay.states)
        assert list(relay.addresses) == ["h7"]
        relay.subscriber.close()

    play(tmp_path, scenario)


def test_exception_while_publishing_does_not_end_the_watch(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        sound = Sound()
        relay = Relay([await w.peer(sound)])
        relay.broken = 1
        relay.subscriber.resolve(7)
        relay.subscriber.watch()
        await w.until(lambda: any(isinstance(call, SubscriptionWatch) for call in sound.calls))
        assert relay.broken == 0
        await relay.until(lambda: bool(relay.addresses))  # it is told anew
        assert list(relay.addresses) == ["h7"]
        relay.subscriber.close()

    play(tmp_path, scenario)
