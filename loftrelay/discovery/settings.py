"""Operator settings of the subscription (deploy/subscription.toml)."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.discovery.subscription import Timing
from loftrelay.net.address import Address, parse_address
from loftrelay.registry.protocol import MAX_NAME_LENGTH

TABLE = "subscription"
KEYS = (
    Key("fleet", "fleet", "", "name of the fleet that the registries must serve"),
    Key("registries", (), "", "addresses and ports of the registries"),
    Key("wait_ms", 200, "ms", "wait of a message for a lookup of its destination", minimum=1, maximum=10_000),
    Key(
        "idle_s",
        300,
        "s",
        "without a message until a destination is released",
        minimum=1,
        maximum=86_400,
    ),
    Key(
        "most",
        16_384,
        "destinations",
        "held before the least recently used are released early",
        minimum=1_024,
    ),
    Key("stale_ms", 6_000, "ms", "age of a registry's data above which others are checked", minimum=100),
)


@dataclass(frozen=True, slots=True)
class SubscriptionSettings:
    """Settings of the subscription.

    Attributes:
        fleet: Name of the fleet that the registries must serve.
        registries: Addresses of the registries.
        timing: Limits of the subscription.
    """

    fleet: str
    registries: tuple[Address, ...]
    timing: Timing


def load_subscription(path: Path) -> SubscriptionSettings:
    """Reads the settings from a file.

    Raises:
        SettingsError: The file cannot be read or a value is invalid; the text names file, key and value.
    """
    values = read_toml(path, KEYS, TABLE)
    if not 1 <= len(values["fleet"]) <= MAX_NAME_LENGTH:
        raise SettingsError(
            f"{path}: fleet = {values['fleet']!r}: is not a text of 1 to {MAX_NAME_LENGTH} characters"
        )
    if not values["registries"]:
        raise SettingsError(f"{path}: registries = []: names none")
    registries = dict.fromkeys(_parse_registry(text, path) for text in values["registries"])
    timing = Timing(
        lookup_timeout=values["wait_ms"] / 1000,
        idle_after=float(values["idle_s"]),
        capacity=values["most"],
        stale_after=values["stale_ms"] / 1000,
    )
    return SubscriptionSettings(values["fleet"], tuple(registries), timing)


def _parse_registry(text: str, path: Path) -> Address:
    try:
        host, port = parse_address(text)
    except ValueError as error:
        raise SettingsError(f"{path}: registries = {text!r}: is no address with a port: {error}") from error
    if port < 1:
        raise SettingsError(
            f"{path}: registries = {text!r}: is no address with a port: port 0 is not allowed"
        )
    return host, port
