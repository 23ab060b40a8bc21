"""Loads the operator's connection settings (deploy/connections.toml) into the settings of the pool."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.delivery.connection_pool.settings import MS, SECOND, DistrustScope, PoolSettings, ReuseOrder

DAY = 86_400.0
KEYS = (
    Key("strict", False, "", "at-most-once messages use only connections that have carried no call"),
    Key(
        "distrust",
        "all",
        "",
        "which hosts lose trust after an unsolicited response",
        choices=("server", "all"),
    ),
    Key(
        "trust_after_s",
        3600.0,
        "s",
        "until trust is restored after the last unsolicited response; 0: never",
        maximum=30 * DAY,
    ),
    Key("rest_ms", 10.0, "ms", "idle time after a response before a connection is reused", maximum=10_000),
    Key(
        "most_rest_ms",
        500.0,
        "ms",
        "upper bound of rest_ms where duplicate responses arrive late",
        maximum=10_000,
    ),
    Key(
        "unsafe_rest_ms",
        100.0,
        "ms",
        "idle time for at-most-once messages; if possible, another connection is opened instead",
        maximum=10_000,
    ),
    Key(
        "early_percent",
        25.0,
        "percent",
        "of the shortest response time: earlier responses are held; 0: off",
        maximum=90,
    ),
    Key("order", "newest", "", "which idle connection is reused first", choices=("newest", "rotate")),
    Key("most_per_server", 0, "connections", "to one host; 0: no limit", maximum=100_000),
    Key("most_in_all", 0, "connections", "to all hosts; 0: what file descriptors allow", maximum=1_000_000),
    Key("most_connecting", 0, "connections", "being opened to one host; 0: no limit", maximum=100_000),
    Key("backoff_ms", 0.0, "ms", "delay after a failed connect, doubled each time; 0: none", maximum=60_000),
    Key("most_backoff_ms", 2000.0, "ms", "upper bound of backoff_ms", minimum=1, maximum=600_000),
    Key("learn_bound", False, "", "learn from refused connects how many connections a host accepts"),
    Key("forget_bound_s", 30.0, "s", "after which a learned limit is dropped", minimum=0.1, maximum=DAY),
    Key("open_ahead", 0, "connections", "opened to one host before they are needed; 0: off", maximum=1000),
    Key("calm_s", 12.0, "s", "of successful calls to a destination before open_ahead applies", maximum=DAY),
    Key("idle_limit_s", 0.0, "s", "maximum idle time; 0: as the platform specifies", maximum=DAY),
    Key("age_limit_s", 0.0, "s", "maximum age of a connection; 0: no limit", maximum=30 * DAY),
    Key("learn_limits", True, "", "learn idle and age limits of each host from its resets"),
    Key("evidence", 3, "resets", "needed before a limit is learned", minimum=1, maximum=1000),
    Key(
        "forget_limits_s",
        300.0,
        "s",
        "after which learned limits are dropped",
        minimum=1,
        maximum=30 * DAY,
    ),
    Key("spread_percent", 20.0, "percent", "of the limits: random reduction for each connection", maximum=90),
)


def _milliseconds(value: float) -> int:
    return round(value * MS)


def _seconds(value: float) -> int:
    return round(value * SECOND)


def _percent(value: float) -> float:
    return value / 100


FIELDS: dict[str, tuple[str, Callable[[Any], Any]]] = {
    "strict": ("is_strict", bool),
    "distrust": ("distrust_scope", DistrustScope),
    "trust_after_s": ("trust_restored_after", _seconds),
    "rest_ms": ("reuse_delay", _milliseconds),
    "most_rest_ms": ("max_reuse_delay", _milliseconds),
    "unsafe_rest_ms": ("at_most_once_reuse_delay", _milliseconds),
    "early_percent": ("early_response_fraction", _percent),
    "order": ("reuse_order", ReuseOrder),
    "most_per_server": ("max_per_host", int),
    "most_in_all": ("max_total", int),
    "most_connecting": ("max_connecting", int),
    "backoff_ms": ("connect_backoff", _milliseconds),
    "most_backoff_ms": ("max_connect_backoff", _milliseconds),
    "learn_bound": ("is_capacity_learned", bool),
    "forget_bound_s": ("capacity_memory", _seconds),
    "open_ahead": ("max_prewarmed", int),
    "calm_s": ("warm_up_after", _seconds),
    "idle_limit_s": ("max_idle", _seconds),
    "age_limit_s": ("max_age", _seconds),
    "learn_limits": ("is_age_limit_learned", bool),
    "evidence": ("min_resets", int),
    "forget_limits_s": ("reset_memory", _seconds),
    "spread_percent": ("limit_jitter", _percent),
}  # key -> field of PoolSettings, and the conversion from the unit of the key
ORDERED_KEYS = (
    ("rest_ms", "most_rest_ms"),
    ("backoff_ms", "most_backoff_ms"),
)  # the first must not exceed the second


def load_pool_settings(path: Path) -> PoolSettings:
    """Reads and checks the file.

    Raises:
        SettingsError: The file is invalid; the message names the file, the key and the value.
    """
    values = read_toml(path, KEYS)
    for low, high in ORDERED_KEYS:
        _check_order(path, values, low, high)
    if values["most_in_all"]:
        _check_order(path, values, "most_per_server", "most_in_all")
    return PoolSettings(**{field: convert(values[key]) for key, (field, convert) in FIELDS.items()})


def _check_order(path: Path, values: Mapping[str, Any], low: str, high: str) -> None:
    if values[low] > values[high]:
        raise SettingsError(f"{path}: {low} = {values[low]!r}: exceeds {high} = {values[high]!r}")
