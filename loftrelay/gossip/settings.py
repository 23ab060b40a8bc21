"""Operator's settings of the fleet (deploy/fleet.toml): parsing and validation."""

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
    Key("name", "fleet", "", "name of the fleet; datagrams of other fleets are ignored"),
    Key("listen", "", "", "local address and port for datagrams of other relays; port 0 selects a free port"),
    Key("advertise", "", "", "address and port that other relays send to, if it differs from `listen`"),
    Key("seeds", (), "", "addresses and ports of some relays of the fleet, which this relay joins through"),
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
        listen: Local address for datagrams; port 0 selects a free port.
        advertise: Address that other relays send to; None for the local address.
        seeds: Addresses of some relays of the fleet, which this relay joins through.
        swim: Timing of the membership protocol.
    """

    name: str
    listen: Address
    advertise: Address | None
    seeds: tuple[Address, ...]
    swim: SwimConfig


def load_gossip_settings(path: Path, environ: Mapping[str, str]) -> GossipSettings:
    """Reads the settings from a file.

    Args:
        path: The file.
        environ: Environment variables; RELAY_FLEET_LISTEN overrides `listen`.

    Raises:
        SettingsError: A setting is invalid; the text names the file, the key and the value.
    """
    table = read_toml(path, KEYS, TABLE)
    if find_spec("msgspec") is None:
        raise SettingsError(f"{path}: requires the extra `fleet`: pip install 'loftrelay[fleet]'")
    name, probe_interval_ms, suspicion_timeout_ms = table["name"], table["beat_ms"], table["suspect_ms"]
    if not 1 <= len(name) <= MAX_NAME_BYTES:
        raise SettingsError(f"{path}: name = {name!r}: has {len(name)} characters, not 1 to {MAX_NAME_BYTES}")
    if suspicion_timeout_ms < MIN_PROBES_PER_SUSPICION * probe_interval_ms:
        raise SettingsError(
            f"{path}: suspect_ms = {suspicion_timeout_ms}: is less than {MIN_PROBES_PER_SUSPICION} probe"
            f" intervals (beat_ms = {probe_interval_ms})"
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
        raise SettingsError(f"{source} = {text!r}: is not an IP address with a port: {error}") from error


def _parse_ip_address(text: str, min_port: int) -> Address:
    """Parses an IP address with a port; host names aren't resolved.

    Raises:
        ValueError: It is invalid, or its port is below `min_port`.
    """
    host, port = parse_address(text)
    ip_address(host)
    if port < min_port:
        raise ValueError(f"port is {port}, must be at least {min_port}")
    return host, port
