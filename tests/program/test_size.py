"""A relay in a deployment of 1,024 relays and 1,024 servers, within the limits of memory and descriptors."""

from __future__ import annotations

from pathlib import Path

import pytest

from loftrelay.gossip.operator_overrides import OperatorOverride, Overrides
from loftrelay.gossip.settings import load_gossip_settings
from loftrelay.service.override_file import MAX_FILE_BYTES
from tests.standins.platform import SETTINGS, RelayHarness, respond_ok, run_scenario

MANY = 1_024


def test_a_list_of_a_thousand_servers(tmp_path: Path) -> None:
    """It starts, serves each of them, and hears of all once more while it serves."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_server(respond_ok)
        for n in range(MANY):
            w.add_endpoint(n // 2 + 1, ["plain", "bulk"][n % 2], "Ready", host.address)
        w.limits = {"sockets": 128, "memory_mb": 80, "disk_mb": 3}
        await w.start()
        assert w.process is not None
        of = Path(f"/proc/{w.process.pid}")
        for n in range(0, MANY // 2, 4):
            assert await w.submit(f"m{n}", destination=n + 1) == 202
            assert len(list((of / "fd").iterdir())) <= 128
            if n == MANY // 4:
                w.revision += 1  # the whole list comes again
                w.notify_changed()
        await w.wait_until(lambda: host.response_count == MANY // 8)
        assert len({r.id for r in host.requests}) == MANY // 8
        (peak,) = [line for line in (of / "status").read_text().splitlines() if line.startswith("VmHWM")]
        assert int(peak.split()[1]) < 80_000  # KB

    run_scenario(scenario, tmp_path, peers_total=MANY)


def test_a_fleet_of_a_thousand_relays(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    seeds = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(MANY)]
    path.write_text(f'[fleet]\nname = "f"\nlisten = "127.0.0.1:0"\nseeds = {seeds}\n')
    assert len(load_gossip_settings(path, {}).seeds) == MANY
    calls = Overrides("relay-0", 1)
    for n in range(MANY):
        calls.merge([OperatorOverride(f"server-{n:033}", True, 1_800_000_000_000 + n, f"relay-{n:034}")])
    assert len(calls.by_host) == MANY
    assert MANY * len(f'["server-{1:033}",true,1800000000000,"relay-{1:034}"],') < MAX_FILE_BYTES


@pytest.mark.parametrize("name", ["classes", "tenants"])
def test_what_the_settings_list_has_no_bound(tmp_path: Path, name: str) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await w.start()
        assert await w.submit("m") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])

    first = SETTINGS[name][0]
    run_scenario(
        scenario, tmp_path, **{name: [*SETTINGS[name], *({**first, "name": f"x{n}"} for n in range(MANY))]}
    )
