"""Many relays' sockets and membership in one process, for one that is measured by itself in another.

python -m benchmarks.fleet_peers COUNT; the first line tells who they are (JSON: name, port, life, incarnation
of each), the first line that it is told is the same of one more. Then all know all, until its input ends.
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
Told = list[Any]


async def opened(name: str) -> tuple[GossipTransport, Membership]:
    node = GossipTransport(SETTINGS, name, Overrides(name, 1), lambda _: None)
    await node.open(1_000_000)
    assert node.membership is not None
    return node, node.membership


def told(view: Membership) -> Told:
    return [
        view.local.peer.name,
        view.local.peer.address[1],
        view.local.peer.incarnation_id,
        view.local.peer.incarnation,
    ]


def peer(told: Told) -> Peer:
    name, port, life, incarnation = told
    return Peer(name, ("127.0.0.1", port), life, incarnation)


def acquaint(view: Membership, others: list[Peer]) -> None:
    """It knows these, and nothing is news to it."""
    view.table.entries = {
        other.name: MemberEntry(other, 0) for other in others if other.name != view.local.peer.name
    }
    view.table.updates.clear()


async def main(count: int) -> None:
    made = [await opened(f"r{number}") for number in range(count)]
    print(json.dumps([told(view) for _, view in made]), flush=True)
    loop = asyncio.get_running_loop()
    one = peer(json.loads(await loop.run_in_executor(None, sys.stdin.readline)))
    everybody = [one, *(view.local.peer for _, view in made)]
    for _, view in made:
        acquaint(view, everybody)
    await loop.run_in_executor(None, sys.stdin.read)
    for node, _ in made:
        node.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
