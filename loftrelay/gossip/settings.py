"""The operator's settings of the fleet (deploy/fleet.toml), checked and mapped to this package's terms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from ipaddress import ip_address
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.net.address import Address, parse_address

TABLE = "fleet"
LISTEN_VARIABLE = "RELAY_FLEET_LISTEN"
KEYS = (
    Key("name", "fleet", "", "name of the fleet: datagrams of other fleets are ignored"),
    Key("listen", "", "", "address and port for the other relays' datagrams; port 0: a free one"),
    Key("advertise", "", "", "where the others send them, if that is not `listen`"),
    Key("seeds", (), "", "addresses and ports of some relays of the fleet"),
    Key("beat_ms", 200, "ms", "probe interval", minimum=20, maximum=60_000),
    Key("suspect_ms", 1000, "ms", "suspicion timeout if several relays suspect", minimum=40, maximum=600_000),
)
MAX_NAME_BYTES = 64
MIN_PROBES_PER_SUSPICION = 2


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings of one relay's membership in its fleet.

    Attributes:
        name: Name of the fleet.
        listen: Local address for datagrams; port 0 stands for a free one.
        advertise: Address that others send to; None: the local one.
        seeds: Addresses of some relays of the fleet.
        swim: Intervals.
    """

    name: str
    listen: Address
    advertise: Address | None
    seeds: tuple[Address, ...]
    swim: SwimConfig


def load_gossip_settings(path: Path, environ: Mapping[str, str]) -> GossipSettings:
    """Reads the file; the variable RELAY_FLEET_LISTEN overrides `listen`.

    Raises:
        SettingsError: It names the file, the key and the value.
    """
    table = read_toml(path, KEYS, TABLE)
    if find_spec("msgspec") is None:
        raise SettingsError(f"{path}: needs the extra `fleet`: pip install 'loftrelay[fleet]'")
    name, probe_interval_ms, suspicion_timeout_ms = table["name"], table["beat_ms"], table["suspect_ms"]
    if not 1 <= len(name) <= MAX_NAME_BYTES:
        raise SettingsError(f"{path}: name = {name!r}: is not a text of 1 to {MAX_NAME_BYTES} characters")
    if suspicion_timeout_ms < MIN_PROBES_PER_SUSPICION * probe_interval_ms:
        raise SettingsError(
            f"{path}: suspect_ms = {suspicion_timeout_ms}: is less than two beats"
            f" (beat_ms = {probe_interval_ms})"
        )
    seeds = tuple(_parse_setting(seed, f"{path}: seeds", 1) for seed in table["seeds"])
    advertise = _parse_setting(table["advertise"], f"{path}: advertise", 1) if table["advertise"] else None
    listen, source = table["listen"], f"{path}: listen"
    if environ.get(LISTEN_VARIABLE):
        listen, source = environ[LISTEN_VARIABLE], LISTEN_VARIABLE
    swim = SwimConfig(probe_interval_ms * 1000, suspicion_timeout_ms * 1000)
    return GossipSettings(name, _parse_setting(listen, source, 0), advertise, seeds, swim)


def _parse_setting(text: str, source: str, min_port: int) -> Address:
    try:
        return _parse_ip_address(text, min_port)
    except ValueError as error:
        raise SettingsError(f"{source} = {text!r}: is no IP address with a port: {error}") from error


def _parse_ip_address(text: str, min_port: int) -> Address:
    """An IP address with a port; host names aren't resolved."""
    host, port = parse_address(text)
    ip_address(host)
    if port < min_port:
        raise ValueError("port 0 is nobody's")
    return host, port
