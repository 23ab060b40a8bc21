"""Run the sockets and membership of many relays in one process, as peers of a relay measured in another.

python -m benchmarks.fleet_peers COUNT; the first line of output lists the relays (JSON: name, port,
incarnation id, incarnation of each), the first line of input is the same of one more relay. Then all know
each other, until the input ends.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from loftrelay.gossip.member_table import MemberEntry
from loftrelay.gossip.messages import Peer
from loftrelay.gossip.operator_overrides import Overrides
from loftrelay.gossip.settings import GossipSettings
from loftrelay.gossip.swim import Membership
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.gossip.transport import GossipTransport
from loftrelay.simulation.fleet import MS, SECOND

SETTINGS = GossipSettings("fleet", ("127.0.0.1", 0), None, (), SwimConfig(200 * MS, SECOND))
PeerDescription = list[Any]  # name, port, incarnation id, incarnation


async def open_node(name: str) -> tuple[GossipTransport, Membership]:
    """Opens the socket of a relay on loopback; returns its transport and membership."""
    node = GossipTransport(SETTINGS, name, Overrides(name, 1), lambda _: None)
    await node.open(1_000_000)
    assert node.membership is not None
    return node, node.membership


def describe(membership: Membership) -> PeerDescription:
    return [
        membership.local.peer.name,
        membership.local.peer.address[1],
        membership.local.peer.incarnation_id,
        membership.local.peer.incarnation,
    ]


def parse_peer(description: PeerDescription) -> Peer:
    name, port, incarnation_id, incarnation = description
    return Peer(name, ("127.0.0.1", port), incarnation_id, incarnation)


def set_known_peers(membership: Membership, others: list[Peer]) -> None:
    """Fills a member table with these peers and leaves no updates to spread."""
    membership.table.entries = {
        other.name: MemberEntry(other, 0) for other in others if other.name != membership.local.peer.name
    }
    membership.table.updates.clear()


async def main(count: int) -> None:
    nodes = [await open_node(f"r{number}") for number in range(count)]
    print(json.dumps([describe(membership) for _, membership in nodes]), flush=True)
    loop = asyncio.get_running_loop()
    measured = parse_peer(json.loads(await loop.run_in_executor(None, sys.stdin.readline)))
    all_peers = [measured, *(membership.local.peer for _, membership in nodes)]
    for _, membership in nodes:
        set_known_peers(membership, all_peers)
    await loop.run_in_executor(None, sys.stdin.read)
    for node, _ in nodes:
        node.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
