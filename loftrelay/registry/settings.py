"""The operator's file on the registry (deploy/registry.toml): its keys, checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.net.address import Address, parse_address
from loftrelay.registry.protocol import MOST_NAME

TABLE = "registry"
KEYS = (
    Key("fleet", "fleet", "", "whose relays are answered: those of another one are not"),
    Key("listen", "", "", "address and port for relays; port 0: a free one"),
    Key("discovery", "", "", "address and port of the platform's discovery"),
    Key("keep_gone", 20_000, "hosts", "no longer listed that are remembered", maximum=10_000_000),
    Key(
        "forget_s", 30.0, "s", "after which a subscription without a call is dropped", minimum=1, maximum=3600
    ),
    Key("idle_s", 60.0, "s", "for which a connection without a call is kept", minimum=1, maximum=3600),
    Key("most_list_mb", 1024, "MB", "of one answer of discovery", minimum=1, maximum=65_536),
)


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    fleet: str
    listen: Address
    discovery: Address
    keep_gone: int
    forget: float  # seconds
    idle: float  # seconds
    most_list: int  # bytes


def load_registry(path: Path) -> RegistrySettings:
    """Raises SettingsError, which names the file, the key and the value."""
    told = read_toml(path, KEYS, TABLE)
    if not 1 <= len(told["fleet"]) <= MOST_NAME:
        raise SettingsError(
            f"{path}: fleet = {told['fleet']!r}: is not a text of 1 to {MOST_NAME} characters"
        )
    places: dict[str, Address] = {}
    for name, least in (("listen", 0), ("discovery", 1)):
        try:
            places[name] = parse_address(told[name])
            if places[name][1] < least:
                raise ValueError("port 0 is nobody's")
        except ValueError as error:
            raise SettingsError(f"{path}: {name} = {told[name]!r}: {error}") from error
    return RegistrySettings(
        told["fleet"],
        places["listen"],
        places["discovery"],
        told["keep_gone"],
        told["forget_s"],
        told["idle_s"],
        told["most_list_mb"] << 20,
    )
