"""A relay in a deployment of 1,024 relays and 1,024 hosts, within its limits of memory and descriptors."""

from __future__ import annotations

from pathlib import Path

import pytest

from loftrelay.gossip.operator_overrides import OperatorOverride, Overrides
from loftrelay.gossip.settings import load_gossip_settings
from loftrelay.service.override_file import MAX_FILE_BYTES
from tests.standins.harness import SETTINGS, RelayHarness, respond_ok, run_scenario

MEMBER_COUNT = 1_024


def test_relay_with_thousand_hosts_stays_within_limits(tmp_path: Path) -> None:
    """It starts, delivers to a quarter of its destinations, and gets the full list again meanwhile."""

    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_server(respond_ok)
        for n in range(MEMBER_COUNT):
            harness.add_endpoint(n // 2 + 1, ["plain", "bulk"][n % 2], "Ready", host.address)
        harness.limits = {"sockets": 128, "memory_mb": 80, "disk_mb": 3}
        await harness.start()
        assert harness.process is not None
        process_directory = Path(f"/proc/{harness.process.pid}")
        for n in range(0, MEMBER_COUNT // 2, 4):
            assert await harness.submit(f"m{n}", destination=n + 1) == 202
            assert len(list((process_directory / "fd").iterdir())) <= 128
            if n == MEMBER_COUNT // 4:
                harness.revision += 1  # the full list is sent again
                harness.notify_changed()
        await harness.wait_until(lambda: host.response_count == MEMBER_COUNT // 8)
        assert len({r.id for r in host.requests}) == MEMBER_COUNT // 8
        (peak,) = [
            line
            for line in (process_directory / "status").read_text().splitlines()
            if line.startswith("VmHWM")
        ]
        assert int(peak.split()[1]) < 80_000  # KB

    run_scenario(scenario, tmp_path, peers_total=MEMBER_COUNT)


def test_fleet_of_thousand_relays_fits_settings_and_override_file(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    seeds = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(MEMBER_COUNT)]
    path.write_text(f'[fleet]\nname = "f"\nlisten = "127.0.0.1:0"\nseeds = {seeds}\n')
    assert len(load_gossip_settings(path, {}).seeds) == MEMBER_COUNT
    overrides = Overrides("relay-0", 1)
    for n in range(MEMBER_COUNT):
        overrides.merge([OperatorOverride(f"server-{n:033}", True, 1_800_000_000_000 + n, f"relay-{n:034}")])
    assert len(overrides.by_host) == MEMBER_COUNT
    assert MEMBER_COUNT * len(f'["server-{1:033}",true,1800000000000,"relay-{1:034}"],') < MAX_FILE_BYTES


@pytest.mark.parametrize("name", ["classes", "tenants"])
def test_settings_with_thousand_entries_are_accepted(tmp_path: Path, name: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(respond_ok)
        await harness.start()
        assert await harness.submit("m") == 202
        await harness.wait_until(lambda: host.request_ids == ["m"])

    first = SETTINGS[name][0]
    run_scenario(
        scenario,
        tmp_path,
        **{name: [*SETTINGS[name], *({**first, "name": f"x{n}"} for n in range(MEMBER_COUNT))]},
    )
