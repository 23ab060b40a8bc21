"""Subscriber with fake registries on loopback sockets, some of which send invalid responses."""

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
from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    never_respond,
)

FLEET = "windwacht"
REPORTS_ADDRESS = ("127.0.0.1", 9)


def make_row(endpoint: str, destination: int, phase: str = "Ready", **fields: Any) -> dict[str, Any]:
    return {
        "id": endpoint,
        "host_port": "127.0.0.1:9",
        "cell": destination,
        "phase": phase,
        "size": 1.0,
        **fields,
    }


class FakeRegistry:
    """Script of a Peer: a working registry with one endpoint in each destination."""

    def __init__(self) -> None:
        self.destinations: set[int] = set()
        self.sequence = 0
        self.calls: list[SubscriptionChange | SubscriptionWatch] = []

    async def __call__(self, request: Request) -> bytes | None:
        assert request.target.startswith(LIST_PATH)
        call = decode_request(request.target)
        assert isinstance(call, SubscriptionChange | SubscriptionWatch)
        self.calls.append(call)
        if isinstance(call, SubscriptionWatch):
            return await never_respond(request)
        self.destinations = (set() if call.is_reset else self.destinations) | {*call.added, *call.confirmed}
        self.destinations -= set(call.dropped)
        self.sequence = call.sequence
        rows = [json.dumps(make_row(f"h{destination}", destination)).encode() for destination in call.added]
        return format_response(200, self.make_body(call.added, rows))

    def make_body(self, full: Sequence[int], rows: list[bytes], **changes: Any) -> bytes:
        fields: dict[str, Any] = {
            "fleet": FLEET,
            "revision": 5,
            "age_ms": 0,
            "sequence": self.sequence,
            "size": len(self.destinations),
            "checksum": checksum(self.destinations),
            "full_destinations": tuple(full),
            "rows": (),
            **changes,
        }
        return encode_response(SubscriptionResponse(**fields), rows)


class FakeRelay:
    """Records what a Subscriber publishes, and releases no destination."""

    def __init__(self, registries: Sequence[StubServer]) -> None:
        self.updates: list[EndpointListReceived] = []
        self.addresses: dict[str, Address] = {}
        self.resolved: list[tuple[int, ResolutionStatus]] = []
        self.changed = asyncio.Event()
        self.failing_updates = 0  # number of next updates that raise
        addresses = tuple(parse_address(peer.address) for peer in registries)
        settings = SubscriptionSettings(FLEET, addresses, Timing())
        self.subscriber = Subscriber(
            settings, "n1", REPORTS_ADDRESS, self.apply_update, self.record_lookup, self.release_destinations
        )

    def apply_update(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        if listing.entries and self.failing_updates:
            self.failing_updates -= 1
            raise RuntimeError("bug in the engine")
        self.updates.append(listing)
        self.addresses |= addresses
        self.changed.set()

    def record_lookup(self, destination: int, status: ResolutionStatus) -> None:
        self.resolved.append((destination, status))
        self.changed.set()

    def release_destinations(self, destinations: Sequence[int]) -> list[int]:
        return []

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def run_scenario(folder: Path, scenario: Callable[[RelayHarness], Awaitable[None]]) -> None:
    async def main() -> None:
        async with RelayHarness(folder) as w:
            await scenario(w)

    asyncio.run(main())


async def make_relay_with_two_registries(
    w: RelayHarness, first_script: Callable[[Request], Awaitable[bytes | None]]
) -> tuple[StubServer, FakeRegistry, FakeRelay]:
    """Returns a scripted registry, a working one, and a relay that prefers the first."""
    peers = [await w.start_server(never_respond), await w.start_server(never_respond)]
    order = preference_order("n1", [parse_address(peer.address) for peer in peers])
    peers.sort(key=lambda peer: order.index(parse_address(peer.address)))
    registry = FakeRegistry()
    peers[0].handler, peers[1].handler = first_script, registry
    return peers[0], registry, FakeRelay(peers)


def test_subscriber_sends_changes_and_watches_over_two_connections(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        registry = FakeRegistry()
        peer = await w.start_server(registry)
        relay = FakeRelay([peer])
        subscriber = relay.subscriber
        subscriber.load_cached({"revision": 3, "complete": True, "members": [make_row("old", 1)]})
        assert relay.updates == [EndpointListReceived(EndpointListKind.CACHED, ())]
        subscriber.resolve(7)
        subscriber.watch()
        subscriber.watch()  # a repeated request of the decisions has no effect
        await relay.until(lambda: relay.resolved == [(7, ResolutionStatus.RESOLVED)])
        assert relay.addresses == {"h7": ("127.0.0.1", 9)}
        assert subscriber.revision == 5
        await w.wait_until(lambda: any(isinstance(call, SubscriptionWatch) for call in registry.calls))
        assert len(peer.connections) == 2
        assert subscriber.first_response.is_set()
        assert [listing.kind for listing in relay.updates] == [
            EndpointListKind.CACHED,
            EndpointListKind.DELTA,
        ]
        subscriber.move_to(("127.0.0.1", 10))
        assert subscriber.address == ("127.0.0.1", 10)
        metrics = dict(line.split("=") for line in subscriber.metric_lines())
        assert metrics["app.slices_held"] == "1"
        assert int(metrics["app.slices_bytes_in"]) > 200
        subscriber.pause()
        await w.wait_until(lambda: len(peer.closed_connections) == 2)
        subscriber.close()

    run_scenario(tmp_path, scenario)


MALFORMED_RESPONSES = {
    "not JSON": format_response(200, b"not JSON"),
    "no list": format_response(200, b"[]"),
    "no revision": format_response(200, b'{"fleet":"windwacht","members":[]}'),
    "deeply nested": format_response(200, b"[" * 100_000),
    "503": format_response(503, b"no list of discovery yet\n"),
    "403": format_response(403, b"fleet = 'windwacht': this is the registry of 'other'\n"),
    "400": format_response(400, b"bad request\n"),
    "410": format_response(410, b"not known here\n"),
    "500": format_response(500),
    "connection closed": None,
    "other fleet": format_response(200, FakeRegistry().make_body((), [], fleet="other", sequence=1)),
    "different size": format_response(200, FakeRegistry().make_body((), [], size=9, sequence=1)),
    "different checksum": format_response(
        200, FakeRegistry().make_body((), [], size=1, checksum=7, sequence=1)
    ),
}


@pytest.mark.parametrize("case", MALFORMED_RESPONSES)
def test_subscriber_leaves_a_registry_with_malformed_responses_with_one_log_line(
    tmp_path: Path, case: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def malformed_response(request: Request) -> bytes | None:
        return MALFORMED_RESPONSES[case]

    async def scenario(w: RelayHarness) -> None:
        caplog.set_level("INFO")
        first, registry, relay = await make_relay_with_two_registries(w, malformed_response)
        relay.subscriber.resolve(7)
        relay.subscriber.watch()
        await relay.until(lambda: (7, ResolutionStatus.RESOLVED) in relay.resolved)
        await w.wait_until(lambda: any(isinstance(call, SubscriptionWatch) for call in registry.calls))
        messages = [record.getMessage() for record in caplog.records]
        lines = [message for message in messages if first.address in message]
        assert len(lines) == 1 and "\n" not in lines[0], lines
        assert len(first.requests) <= 4
        relay.subscriber.close()

    run_scenario(tmp_path, scenario)


def test_subscriber_skips_a_malformed_row(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        registry = FakeRegistry()

        async def response_with_malformed_rows(request: Request) -> bytes | None:
            if "wait=" in request.target:
                return await registry(request)
            await registry(request)
            rows = [
                make_row("malformed", 7, "Sleeping"),
                make_row("h7", 7),
                {"id": 4},
                make_row("gone", 7, "Gone"),
            ]
            return format_response(200, registry.make_body((7,), [json.dumps(row).encode() for row in rows]))

        relay = FakeRelay([await w.start_server(response_with_malformed_rows)])
        relay.subscriber.resolve(7)
        relay.subscriber.watch()
        await relay.until(lambda: (7, ResolutionStatus.RESOLVED) in relay.resolved)
        assert list(relay.addresses) == ["h7"]
        relay.subscriber.close()

    run_scenario(tmp_path, scenario)


def test_subscriber_with_an_exception_while_publishing_continues_the_watch(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        registry = FakeRegistry()
        relay = FakeRelay([await w.start_server(registry)])
        relay.failing_updates = 1
        relay.subscriber.resolve(7)
        relay.subscriber.watch()
        await w.wait_until(lambda: any(isinstance(call, SubscriptionWatch) for call in registry.calls))
        assert relay.failing_updates == 0
        await relay.until(lambda: bool(relay.addresses))  # published again
        assert list(relay.addresses) == ["h7"]
        relay.subscriber.close()

    run_scenario(tmp_path, scenario)
