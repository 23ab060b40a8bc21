"""What the relay is told: the environment and the JSON file that RELAY_CONFIG names."""

from __future__ import annotations

import json
import logging
import os
import resource
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from loftrelay.config.toml_file import SettingsError
from loftrelay.config.validation import check_change, check_settings
from loftrelay.decisions.settings import RelaySettings
from loftrelay.decisions.simulator import read_settings
from loftrelay.net.address import Address, parse_address
from loftrelay.state.atomic_file import RESERVED_BYTES, RESERVED_WITH_OVERRIDES_BYTES
from loftrelay.state.last_config import LastConfigFile

log = logging.getLogger(__name__)

# Of the descriptors, some are for the journal, discovery, the loop, and connections taken before others are
# closed. Hosts get two for each call that may be out and 64 to keep, but half at most; the rest is
# for clients. The buffers of a client may hold 80 KB, so that clients fill 0.4 of the memory at most.
OTHER_DESCRIPTORS, LEAST_TO_HOSTS, CLIENTS_A_MB = 40, 64, 5
DOOR_DESCRIPTORS = 32  # the operators' door has its own, so that clients can't use them up


class ConfigError(SettingsError):
    """What the platform's file or environment tells can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    most_clients: int
    most_to_hosts: int
    disk_bytes: int
    settings: RelaySettings
    known: Mapping[str, Any]
    control: Address | None = None  # where operators call; None: no door
    told: Mapping[str, Any] = field(default_factory=dict)  # the file, as it stands
    accept: int | None = None  # descriptor of a socket that listens already, for all processes of this relay


def read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path} can't be read: {error}") from error
    if not isinstance(told, dict):
        raise ConfigError(f"{path} does not hold a JSON object")
    return told


def read_told(told: Mapping[str, Any], path: str) -> RelaySettings:
    """The settings of a file, checked. Raises ConfigError."""
    try:
        check_settings(told.get("settings"))
        # On sockets the list is always asked for, and a message not delivered ends by a notice.
        return replace(
            read_settings(dict(told["settings"])), polls_endpoint_list=True, awaits_final_status=True
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


@dataclass(frozen=True, slots=True)
class Change:
    """What a file that was read again sets."""

    discovery: Address
    settings: RelaySettings
    told: Mapping[str, Any]


def reload(environ: Mapping[str, str], in_force: Mapping[str, Any]) -> Change:
    """Reads the file again, whole, and checks it whole. Once it has been replaced, what it says of discovery
    goes before the environment. Raises ConfigError: then nothing of it may be used.
    """
    told = read_file(environ)
    path = environ["RELAY_CONFIG"]
    settings = read_told(told, path)
    try:
        check_change(in_force["settings"], told["settings"])
        for key in ("name", "listen", "limits"):
            if key in in_force and key not in told:
                raise ValueError(f"it tells no {key}")
        if "discovery" not in told:
            raise ValueError("it tells no discovery")
        return Change(parse_address(told["discovery"]), settings, told)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error


def load_config(environ: Mapping[str, str], fleet: bool = False) -> Config:
    """The environment names what it names; the rest comes from the file, or where that can't be used, from
    what was last in force. `fleet`: the relay is to know others. Raises ConfigError.
    """
    try:
        return _config(environ, read_file(environ), environ["RELAY_CONFIG"], fleet)
    except ConfigError as error:
        kept = LastConfigFile(Path(environ["RELAY_STATE"])) if environ.get("RELAY_STATE") else None
        told = kept.load() if kept is not None else None
        if kept is None or told is None:
            raise
        try:
            config = _config(environ, told, str(kept.path), fleet)
        except ConfigError:
            raise error from None
        log.error("%s: the relay starts with what was last in force", error)
        return config


def _config(environ: Mapping[str, str], told: Mapping[str, Any], path: str, fleet: bool) -> Config:
    limits = told.get("limits", {})
    try:
        # What the platform tells, and what the system lets this process have.
        sockets = min(int(limits.get("sockets", 1024)), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        control = environ.get("RELAY_CONTROL") or told.get("control")
        listen = parse_address(environ.get("RELAY_LISTEN") or told["listen"])
        discovery = parse_address(environ.get("RELAY_DISCOVERY") or told["discovery"])
        seed = int(str(told.get("seed", "0")), 16)
        settings = read_told(told, path)
        to_hosts = min(
            (sockets - OTHER_DESCRIPTORS) // 2,
            2 * (settings.max_concurrent_calls or sockets) + LEAST_TO_HOSTS,
        )
        clients = sockets - OTHER_DESCRIPTORS - to_hosts - (DOOR_DESCRIPTORS if control else 0)
        return Config(
            name=environ.get("RELAY_NAME") or str(told["name"]),
            listen=listen,
            discovery=discovery,
            state=Path(environ["RELAY_STATE"]),
            seed=seed,
            most_clients=min(clients, int(limits.get("memory_mb", 64)) * CLIENTS_A_MB),
            most_to_hosts=to_hosts,
            disk_bytes=_journal_room(float(limits.get("disk_mb", 3)), control is not None or fleet),
            settings=settings,
            known=told.get("known") or {},
            control=parse_address(control) if control else None,
            told=told,
            accept=_descriptor(environ.get("RELAY_ACCEPT_FD")),
        )
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is not told, neither in the environment nor in {path}") from error
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigError(f"{path} holds a bad value: {error}") from error


def _journal_room(disk_mb: float, calls: bool) -> int:
    """`calls`: hosts may be taken out by hand."""
    disk = int(disk_mb * 1_000_000)
    return max(
        disk - (RESERVED_WITH_OVERRIDES_BYTES if calls else RESERVED_BYTES),
        disk * 8 // 10 if calls else disk * 9 // 10,
    )


def _descriptor(text: str | None) -> int | None:
    """Raises ValueError."""
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"RELAY_ACCEPT_FD = {text!r} is no descriptor")
    try:
        with socket.socket(fileno=os.dup(int(text))) as listening:
            if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError(f"RELAY_ACCEPT_FD = {text}: that socket does not listen")
    except OSError as error:
        raise ValueError(f"RELAY_ACCEPT_FD = {text} is no socket: {error}") from error
    return int(text)
