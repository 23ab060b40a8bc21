"""The platform's configuration: the JSON file that RELAY_CONFIG names, and environment variables over it.

The keys of the file and the variables belong to the platform. This module maps them to the fields of
`Config`; its `settings` are mapped by `decisions.simulator.read_settings`.
"""

from __future__ import annotations

import json
import logging
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from loftrelay.config.inherited_socket import parse_listen_fd
from loftrelay.config.resource_limits import compute_limits
from loftrelay.config.toml_file import SettingsError
from loftrelay.config.validation import check_change, check_settings
from loftrelay.decisions.settings import RelaySettings
from loftrelay.decisions.simulator import read_settings
from loftrelay.net.address import Address, parse_address
from loftrelay.state.last_config import LastConfigFile

log = logging.getLogger(__name__)

# Key of the file -> the variable that overrides it.
OVERRIDING_VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "control": "RELAY_CONTROL",
}
# Keys beside `settings` that a new file must have where the one in force has them.
KEYS_TO_KEEP = ("name", "listen", "limits")


class ConfigError(SettingsError):
    """The platform's file or environment can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one relay, checked.

    Attributes:
        name: The name by which the platform knows the relay.
        listen: Where clients connect.
        discovery: Where the platform's discovery listens.
        state_dir: The directory that outlasts the process.
        seed: Seed of all random choices.
        max_client_connections: Connections from clients at one time.
        max_host_connections: Connections to hosts at one time.
        journal_bytes: What the journal may take on disk.
        settings: The settings of the decisions.
        cached_endpoint_list: An endpoint list to begin with, in the form of discovery's answers.
        admin_address: Where operators call; None: nowhere.
        document: The file as it was read, to compare with a later one and to keep.
        listen_fd: A listening socket shared by all processes of this relay; None: the relay opens its own.
    """

    name: str
    listen: Address
    discovery: Address
    state_dir: Path
    seed: int
    max_client_connections: int
    max_host_connections: int
    journal_bytes: int
    settings: RelaySettings
    cached_endpoint_list: Mapping[str, Any]
    admin_address: Address | None = None
    document: Mapping[str, Any] = field(default_factory=dict)
    listen_fd: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """What a file that was read again changes in service."""

    discovery: Address
    settings: RelaySettings
    document: Mapping[str, Any]


def load_config(environ: Mapping[str, str], is_gossiping: bool = False) -> Config:
    """Reads the configuration at a start.

    A file that can't be used is replaced by the one last in force, where one was saved; this is logged.

    Args:
        environ: The environment.
        is_gossiping: Whether the relay takes part in a fleet, whose state needs space on disk.

    Raises:
        ConfigError: Neither file can be used; the error is that of the file that RELAY_CONFIG names.
    """
    try:
        return _parse_config(environ, read_document(environ), environ["RELAY_CONFIG"], is_gossiping)
    except ConfigError as error:
        fallback = _last_config(environ, is_gossiping)
        if fallback is None:
            raise
        log.error("%s; starting with the configuration last in force", error)
        return fallback


def reload_config(environ: Mapping[str, str], current: Mapping[str, Any]) -> ConfigChange:
    """Reads the file again in service. Its `discovery` overrides the environment from then on.

    Args:
        environ: The environment.
        current: The document in force.

    Raises:
        ConfigError: The file can't be used; nothing of it may be.
    """
    document = read_document(environ)
    path = environ["RELAY_CONFIG"]
    settings = parse_settings(document, path)
    try:
        check_change(current["settings"], document["settings"])
        _check_keys(current, document)
        return ConfigChange(parse_address(document["discovery"]), settings, document)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error


def read_document(environ: Mapping[str, str]) -> dict[str, Any]:
    """Reads the file that RELAY_CONFIG names.

    Raises:
        ConfigError: There is none, or it holds no JSON object.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} can't be read: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"{path} does not hold a JSON object")
    return document


def parse_settings(document: Mapping[str, Any], path: str) -> RelaySettings:
    """Checks a document's `settings` and maps them to the terms of the decisions.

    Raises:
        ConfigError: A setting is missing or bad.
    """
    try:
        check_settings(document.get("settings"))
        settings = read_settings(dict(document["settings"]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    # Outside the simulator the list is always polled, and a failed message ends with a report to discovery.
    return replace(settings, polls_endpoint_list=True, awaits_final_status=True)


def _check_keys(current: Mapping[str, Any], document: Mapping[str, Any]) -> None:
    for key in KEYS_TO_KEEP:
        if key in current and key not in document:
            raise ValueError(f"it has no {key}")
    if "discovery" not in document:
        raise ValueError("it has no discovery")


def _last_config(environ: Mapping[str, str], is_gossiping: bool) -> Config | None:
    """Returns the configuration last in force, or None where none is saved or it can't be used."""
    if not environ.get("RELAY_STATE"):
        return None
    last_file = LastConfigFile(Path(environ["RELAY_STATE"]))
    document = last_file.load()
    if document is None:
        return None
    try:
        return _parse_config(environ, document, str(last_file.path), is_gossiping)
    except ConfigError:
        return None


def _parse_config(
    environ: Mapping[str, str], document: Mapping[str, Any], path: str, is_gossiping: bool
) -> Config:
    try:
        return _map_document(environ, document, path, is_gossiping)
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is neither in the environment nor in {path}") from error
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigError(f"{path} holds a bad value: {error}") from error


def _map_document(
    environ: Mapping[str, str], document: Mapping[str, Any], path: str, is_gossiping: bool
) -> Config:
    def text(key: str) -> Any:
        """Raises KeyError where neither the environment nor the document has a value."""
        return environ.get(OVERRIDING_VARIABLES[key]) or document[key]

    listen = parse_address(text("listen"))
    discovery = parse_address(text("discovery"))
    admin = text("control") if "control" in document or environ.get("RELAY_CONTROL") else None
    seed = int(str(document.get("seed", "0")), 16)
    settings = parse_settings(document, path)
    limits = compute_limits(
        document.get("limits", {}),
        max_descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        max_concurrent_calls=settings.max_concurrent_calls,
        has_admin_endpoint=bool(admin),
        is_gossiping=is_gossiping,
    )
    return Config(
        name=str(text("name")),
        listen=listen,
        discovery=discovery,
        state_dir=Path(environ["RELAY_STATE"]),
        seed=seed,
        max_client_connections=limits.max_client_connections,
        max_host_connections=limits.max_host_connections,
        journal_bytes=limits.journal_bytes,
        settings=settings,
        cached_endpoint_list=document.get("known") or {},
        admin_address=parse_address(admin) if admin else None,
        document=document,
        listen_fd=parse_listen_fd(environ.get("RELAY_ACCEPT_FD")),
    )
