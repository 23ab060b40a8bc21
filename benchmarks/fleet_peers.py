"""Many relays' sockets and membership in one process, for one that is measured by itself in another.

python -m benchmarks.fleet_peers COUNT; the first line tells who they are (JSON: name, port, life, incarnation
of each), the first line that it is told is the same of one more. Then all know all, until its input ends.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from loftrelay.gossip.operator_overrides import Calls
from loftrelay.gossip.settings import FleetSettings
from loftrelay.gossip.swim import Known, Membership, Peer, Timing
from loftrelay.gossip.transport import Node
from loftrelay.simulation.links import MS, SECOND

SETTINGS = FleetSettings("fleet", ("127.0.0.1", 0), None, (), Timing(200 * MS, SECOND))
Told = list[Any]


async def opened(name: str) -> tuple[Node, Membership]:
    node = Node(SETTINGS, name, Calls(name, 1), lambda _: None)
    await node.open(1_000_000)
    assert node.view is not None
    return node, node.view


def told(view: Membership) -> Told:
    return [view.me.name, view.me.address[1], view.me.life, view.me.incarnation]


def peer(told: Told) -> Peer:
    name, port, life, incarnation = told
    return Peer(name, ("127.0.0.1", port), life, incarnation)


def acquaint(view: Membership, others: list[Peer]) -> None:
    """It knows these, and nothing is news to it."""
    view.known = {other.name: Known(other, 0) for other in others if other.name != view.me.name}
    view.news.clear()


async def main(count: int) -> None:
    made = [await opened(f"r{number}") for number in range(count)]
    print(json.dumps([told(view) for _, view in made]), flush=True)
    loop = asyncio.get_running_loop()
    one = peer(json.loads(await loop.run_in_executor(None, sys.stdin.readline)))
    everybody = [one, *(view.me for _, view in made)]
    for _, view in made:
        acquaint(view, everybody)
    await loop.run_in_executor(None, sys.stdin.read)
    for node, _ in made:
        node.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
