"""The operator's file on the registries (deploy/subscription.toml): its keys, checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.discovery.subscription import Timing
from loftrelay.net.address import Address, parse_address
from loftrelay.registry.protocol import MOST_NAME

TABLE = "subscription"
KEYS = (
    Key("fleet", "fleet", "", "of the registries: those of another one are not believed"),
    Key("registries", (), "", "their addresses and ports"),
    Key(
        "wait_ms", 200, "ms", "for which a first message waits for its destination", minimum=1, maximum=10_000
    ),
    Key(
        "idle_s", 300, "s", "without a message after which a destination is let go", minimum=1, maximum=86_400
    ),
    Key("most", 16_384, "destinations", "that are held, while those in use allow it", minimum=1_024),
    Key("stale_ms", 6_000, "ms", "age of a registry's news from which on another is tried", minimum=100),
)


@dataclass(frozen=True, slots=True)
class SubscriptionSettings:
    fleet: str
    registries: tuple[Address, ...]
    timing: Timing


def load_subscription(path: Path) -> SubscriptionSettings:
    """Raises SettingsError, which names the file, key and value."""
    told = read_toml(path, KEYS, TABLE)
    if not 1 <= len(told["fleet"]) <= MOST_NAME:
        raise SettingsError(
            f"{path}: fleet = {told['fleet']!r}: is not a text of 1 to {MOST_NAME} characters"
        )
    if not told["registries"]:
        raise SettingsError(f"{path}: registries = []: names none")
    registries = dict.fromkeys(_place(text, path) for text in told["registries"])
    timing = Timing(told["wait_ms"] / 1000, float(told["idle_s"]), told["most"], told["stale_ms"] / 1000)
    return SubscriptionSettings(told["fleet"], tuple(registries), timing)


def _place(text: str, path: Path) -> Address:
    try:
        host, port = parse_address(text)
        if port < 1:
            raise ValueError("port 0 is nobody's")
    except ValueError as error:
        raise SettingsError(f"{path}: registries = {text!r}: is no address with a port: {error}") from error
    return host, port
