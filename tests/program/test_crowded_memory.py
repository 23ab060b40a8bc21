"""Memory and service of a relay beside hundreds of slow and half clients, through a kill and an upgrade.

In CI a few short runs. The whole table is started by hand and its figures go into the capacity page:

    CROWD_TABLE=1 CROWD_FIGURES=figures.txt pytest -q -n 4 tests/program/test_crowded_memory.py
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from tests.standins.crowd import KINDS
from tests.standins.crowded_relay import CrowdedRelay, write_figures
from tests.standins.harness import SETTINGS, RelayHarness, free_port, respond_ok, run_scenario

IS_WHOLE_TABLE = os.environ.get("CROWD_TABLE") == "1"
DURATION_S = float(os.environ.get("CROWD_S", "45"))
SEED = int(os.environ.get("CROWD_SEED", "1"))
CLIENTS = 600
HELD_MESSAGES = 20
MAX_UNANSWERED_SHARE = 0.01
MIN_ACCEPTED_SHARE = 0.9
PAIR_FROM_MB = 64  # with less, two idle processes do not fit beside each other
POLICY_LIMITS = {**SETTINGS["policy_limits"], "most_held": 1000}

WHOLE_TABLE = [
    *((memory_mb, 1024, kind) for memory_mb in (32, 48, 64, 192) for kind in ("all", *KINDS)),
    *((memory_mb, 256, "all") for memory_mb in (32, 48, 64, 192)),
]
SHORT_TABLE = [(32, 1024, "all"), (64, 1024, "fields-and-body"), (32, 256, "half-body")]


def check_figures(crowded: CrowdedRelay, memory_mb: int, label: str) -> None:
    memory, regular = crowded.memory, crowded.regular
    requests = regular.answered + len(regular.unanswered)
    accepted = sum(name.startswith("regular") for name in regular.due_at)
    write_figures(
        f"{label}: peak {memory.peak_kib} KiB, pair {memory.pair_kib} KiB, {requests} requests, "
        f"{accepted} accepted, {len(regular.unanswered)} unanswered, {len(crowded.held)} held"
    )
    assert memory.peak_kib <= memory_mb << 10
    if memory_mb >= PAIR_FROM_MB:
        assert memory.pair_kib <= memory_mb << 10
    assert len(regular.unanswered) <= MAX_UNANSWERED_SHARE * requests, regular.unanswered
    assert accepted >= MIN_ACCEPTED_SHARE * requests


@pytest.mark.parametrize("memory_mb, sockets, kinds", WHOLE_TABLE if IS_WHOLE_TABLE else SHORT_TABLE)
def test_relay_keeps_to_its_memory_beside_slow_and_half_clients(
    tmp_path: Path, memory_mb: int, sockets: int, kinds: str
) -> None:
    """Issue 67: hundreds of clients that stopped in midst of a request took a relay over its limit."""

    async def scenario(harness: RelayHarness) -> None:
        harness.limits = {"sockets": sockets, "memory_mb": memory_mb, "disk_mb": 6}
        harness.share_listener()
        harness.admin_address = f"127.0.0.1:{free_port()}"
        await harness.start_host(respond_ok)
        harness.add_unavailable_destination(2)
        harness.process = await harness.spawn()
        await harness.wait_until_ready()
        crowded = CrowdedRelay(harness)
        watch = asyncio.create_task(crowded.memory.run())
        try:
            await crowded.hold_messages(HELD_MESSAGES)
            await crowded.start_crowd(kinds, CLIENTS, SEED)
            serving = asyncio.create_task(crowded.regular.run(DURATION_S))
            await asyncio.sleep(DURATION_S / 3)
            await crowded.kill_and_restart()
            await asyncio.sleep(DURATION_S / 3)
            await harness.upgrade()
            await serving
        finally:
            await crowded.stop_crowd()
            watch.cancel()
        label = f"{memory_mb} MB, {sockets} descriptors, {kinds}, {DURATION_S:g} s, seed {SEED}"
        check_figures(crowded, memory_mb, label)
        assert await crowded.end_and_check_messages() == []

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)
