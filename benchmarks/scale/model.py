"""The relays' own datagrams in virtual time (loftrelay/lab/links.py), as a process of its own: for a run that
has no time to wait until what was news at the start is told."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from benchmarks.links import OLD, TIMING, Weighed
from benchmarks.scale.children import work
from loftrelay.lab.links import SECOND, Links


async def members(count: int, seconds: int) -> dict[str, Any]:
    """Of one relay of so many, once all know all and that is no news any more: bytes a second both ways (what
    is sent is heard: nothing is lost), and seconds of the processor in a virtual one, without sockets."""
    fleet = Weighed(count, 1, TIMING, Links())
    took = fleet.run_while(lambda: not fleet.agreed(), 120 * SECOND)
    fleet.run(fleet.now + OLD * SECOND)
    fleet.weighs, began = True, time.process_time()
    fleet.run(fleet.now + seconds * SECOND)
    cpu = (time.process_time() - began) / count / seconds
    return {"bytes_per_s": 2 * fleet.weight / count / seconds, "cpu": cpu, "agreed_s": took / SECOND}


if __name__ == "__main__":
    asyncio.run(work({"members": members}))
