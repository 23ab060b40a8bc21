"""The operator's file on the fleet (deploy/fleet.toml): its keys, checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from importlib.util import find_spec
from ipaddress import ip_address
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.gossip.swim import Timing
from loftrelay.net.address import Address, parse_address

TABLE, VARIABLE = "fleet", "RELAY_FLEET_LISTEN"
KEYS = (
    Key("name", "fleet", "", "of the fleet: relays of another one are not heard"),
    Key("listen", "", "", "address and port for the other relays' datagrams; port 0: a free one"),
    Key("advertise", "", "", "where the others send them, if that is not `listen`"),
    Key("seeds", (), "", "addresses and ports of some relays of the fleet"),
    Key("beat_ms", 200, "ms", "between two probes", minimum=20, maximum=60_000),
    Key(
        "suspect_ms", 1000, "ms", "before a suspicion that several share counts", minimum=40, maximum=600_000
    ),
)
MOST_NAME = 64


@dataclass(frozen=True, slots=True)
class FleetSettings:
    name: str
    listen: Address
    advertise: Address | None  # None: the address in use
    seeds: tuple[Address, ...]
    timing: Timing


def load_fleet(path: Path, environ: Mapping[str, str]) -> FleetSettings:
    """RELAY_FLEET_LISTEN goes before `listen`. Raises SettingsError, which names the file, key and value."""
    told = read_toml(path, KEYS, TABLE)
    if find_spec("msgspec") is None:
        raise SettingsError(f"{path}: needs the extra `fleet`: pip install 'loftrelay[fleet]'")
    listen, where = (
        (environ[VARIABLE], VARIABLE) if environ.get(VARIABLE) else (told["listen"], f"{path}: listen")
    )
    if not 1 <= len(told["name"]) <= MOST_NAME:
        raise SettingsError(f"{path}: name = {told['name']!r}: is not a text of 1 to {MOST_NAME} characters")
    if told["suspect_ms"] < 2 * told["beat_ms"]:
        raise SettingsError(
            f"{path}: suspect_ms = {told['suspect_ms']}: is less than two beats (beat_ms = {told['beat_ms']})"
        )
    seeds = tuple(_place(seed, f"{path}: seeds", 1) for seed in told["seeds"])
    timing = Timing(told["beat_ms"] * 1000, told["suspect_ms"] * 1000)
    advertise = _place(told["advertise"], f"{path}: advertise", 1) if told["advertise"] else None
    return FleetSettings(told["name"], _place(listen, where, 0), advertise, seeds, timing)


def _place(text: str, where: str, least: int) -> Address:
    """No name is looked up: a datagram goes to a number."""
    try:
        host, port = parse_address(text)
        ip_address(host)
        if port < least:
            raise ValueError("port 0 is nobody's")
    except ValueError as error:
        raise SettingsError(f"{where} = {text!r}: is no IP address with a port: {error}") from error
    return host, port
