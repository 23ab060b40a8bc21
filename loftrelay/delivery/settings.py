"""The operators' file on connections (deploy/connections.toml), mapped to the settings of the pool."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.delivery.connection_pool.settings import MS, SECOND, DistrustScope, PoolSettings, ReuseOrder

DAY = 86_400.0
KEYS = (
    Key("strict", False, "", "unsafe messages travel only on connections that have carried nothing"),
    Key("distrust", "all", "", "whom a surplus answer counts against", choices=("server", "all")),
    Key("trust_after_s", 3600.0, "s", "after the last surplus answer; 0: never", maximum=30 * DAY),
    Key("rest_ms", 10.0, "ms", "a connection rests after an answer", maximum=10_000),
    Key("most_rest_ms", 500.0, "ms", "to which that grows where copies come late", maximum=10_000),
    Key(
        "unsafe_rest_ms",
        100.0,
        "ms",
        "for unsafe messages; rather than less, another is opened",
        maximum=10_000,
    ),
    Key("early_percent", 25.0, "percent", "of the quickest answer: sooner is waited on; 0: off", maximum=90),
    Key("order", "newest", "", "which idle connection is used first", choices=("newest", "rotate")),
    Key("most_per_server", 0, "connections", "to one server; 0: no limit", maximum=100_000),
    Key("most_in_all", 0, "connections", "to all servers; 0: what descriptors allow", maximum=1_000_000),
    Key("most_connecting", 0, "connections", "under way to one server; 0: no limit", maximum=100_000),
    Key("backoff_ms", 0.0, "ms", "after a failed connect, doubling; 0: none", maximum=60_000),
    Key("most_backoff_ms", 2000.0, "ms", "to which that grows", minimum=1, maximum=600_000),
    Key("learn_bound", False, "", "how many connections a server takes, from those it refuses"),
    Key("forget_bound_s", 30.0, "s", "after which more are tried", minimum=0.1, maximum=DAY),
    Key("open_ahead", 0, "connections", "ready for one server before they are needed; 0: off", maximum=1000),
    Key("calm_s", 12.0, "s", "a destination has answered well before any is", maximum=DAY),
    Key("idle_limit_s", 0.0, "s", "kept idle at most; 0: what the platform tells", maximum=DAY),
    Key("age_limit_s", 0.0, "s", "in use at most; 0: no limit", maximum=30 * DAY),
    Key("learn_limits", True, "", "idle and age limits of each server, from what its resets show"),
    Key("evidence", 3, "resets", "before anything is learned from them", minimum=1, maximum=1000),
    Key(
        "forget_limits_s",
        300.0,
        "s",
        "after which what was learned is forgotten",
        minimum=1,
        maximum=30 * DAY,
    ),
    Key("spread_percent", 20.0, "percent", "of the limits: each connection draws its own", maximum=90),
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
}  # key -> field of PoolSettings, and the conversion from the key's unit
ORDERED_KEYS = (
    ("rest_ms", "most_rest_ms"),
    ("backoff_ms", "most_backoff_ms"),
)  # the first is not over the second


def load_pool_settings(path: Path) -> PoolSettings:
    """Reads the file.

    Raises:
        SettingsError: Names the file, the key and the value.
    """
    values = read_toml(path, KEYS)
    for low, high in ORDERED_KEYS:
        _check_order(path, values, low, high)
    if values["most_in_all"]:
        _check_order(path, values, "most_per_server", "most_in_all")
    return PoolSettings(**{field: convert(values[key]) for key, (field, convert) in FIELDS.items()})


def _check_order(path: Path, values: Mapping[str, Any], low: str, high: str) -> None:
    if values[low] > values[high]:
        raise SettingsError(f"{path}: {low} = {values[low]!r}: is over {high} = {values[high]!r}")
