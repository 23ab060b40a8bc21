"""Operator settings of a registry (deploy/registry.toml)."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.net.address import Address, parse_address
from loftrelay.registry.protocol import MAX_NAME_LENGTH

TABLE = "registry"
KEYS = (
    Key("fleet", "fleet", "", "name of the fleet whose relays are served; others are rejected"),
    Key("listen", "", "", "address and port for relays; port 0: any free port"),
    Key("discovery", "", "", "address and port of the platform's discovery"),
    Key("keep_gone", 20_000, "hosts", "that are kept as tombstones after their removal", maximum=10_000_000),
    Key("forget_s", 30.0, "s", "without a call until a subscription is dropped", minimum=1, maximum=3600),
    Key("idle_s", 60.0, "s", "without a call until a connection is closed", minimum=1, maximum=3600),
    Key("most_list_mb", 1024, "MB", "size of one response of discovery", minimum=1, maximum=65_536),
)
# Lowest valid port of each address. Port 0 makes a registry listen on any free port.
LOWEST_PORTS = {"listen": 0, "discovery": 1}


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """Settings of a registry.

    Attributes:
        fleet: Name of the fleet that the registry serves.
        listen: Address that it listens on.
        discovery: Address of the platform's discovery.
        max_tombstones: Largest number of removed endpoints that are kept.
        subscription_timeout: Seconds without a call after which a subscription is dropped.
        idle_timeout: Seconds without a call after which a connection is closed.
        max_list_bytes: Largest response of discovery that is accepted.
    """

    fleet: str
    listen: Address
    discovery: Address
    max_tombstones: int
    subscription_timeout: float
    idle_timeout: float
    max_list_bytes: int


# Settings file key -> field.
FIELDS = {
    "fleet": "fleet",
    "listen": "listen",
    "discovery": "discovery",
    "keep_gone": "max_tombstones",
    "forget_s": "subscription_timeout",
    "idle_s": "idle_timeout",
    "most_list_mb": "max_list_bytes",
}


def load_registry_settings(path: Path) -> RegistrySettings:
    """Reads the settings from a file.

    Raises:
        SettingsError: The file cannot be read or a value is invalid; the text names file, key and value.
    """
    values = dict(read_toml(path, KEYS, TABLE))
    if not 1 <= len(values["fleet"]) <= MAX_NAME_LENGTH:
        raise SettingsError(
            f"{path}: fleet = {values['fleet']!r}: is not a text of 1 to {MAX_NAME_LENGTH} characters"
        )
    for name, lowest_port in LOWEST_PORTS.items():
        values[name] = _parse_address(path, name, values[name], lowest_port)
    values["most_list_mb"] <<= 20
    return RegistrySettings(**{field: values[key] for key, field in FIELDS.items()})


def _parse_address(path: Path, name: str, text: str, lowest_port: int) -> Address:
    try:
        address = parse_address(text)
    except ValueError as error:
        raise SettingsError(f"{path}: {name} = {text!r}: {error}") from error
    if address[1] < lowest_port:
        raise SettingsError(f"{path}: {name} = {text!r}: port 0 is not allowed")
    return address
