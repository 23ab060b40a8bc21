"""The operator's file on connections (deploy/connections.toml): its keys, and the limits that they make."""

from __future__ import annotations

from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.delivery.connection_pool import MS, SECOND, Distrust, Limits, Order

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


def load_limits(path: Path) -> Limits:
    """Raises SettingsError, which names the file, the key and the value."""
    told = read_toml(path, KEYS)

    def micro(name: str, unit: int) -> int:
        value: float = told[name]
        return round(value * unit)

    limits = Limits(
        strict=told["strict"],
        distrust=Distrust(told["distrust"]),
        trust_after=micro("trust_after_s", SECOND),
        rest=micro("rest_ms", MS),
        most_rest=micro("most_rest_ms", MS),
        unsafe_rest=micro("unsafe_rest_ms", MS),
        early=told["early_percent"] / 100,
        order=Order(told["order"]),
        most_per_server=told["most_per_server"],
        most_in_all=told["most_in_all"],
        most_connecting=told["most_connecting"],
        backoff=micro("backoff_ms", MS),
        most_backoff=micro("most_backoff_ms", MS),
        learn_bound=told["learn_bound"],
        forget_bound=micro("forget_bound_s", SECOND),
        ahead=told["open_ahead"],
        calm=micro("calm_s", SECOND),
        idle_limit=micro("idle_limit_s", SECOND),
        age_limit=micro("age_limit_s", SECOND),
        learn_limits=told["learn_limits"],
        evidence=told["evidence"],
        forget_limits=micro("forget_limits_s", SECOND),
        spread=told["spread_percent"] / 100,
    )
    for low, high in (("rest_ms", "most_rest_ms"), ("backoff_ms", "most_backoff_ms")):
        if told[low] > told[high]:
            raise SettingsError(f"{path}: {low} = {told[low]!r}: is over {high} = {told[high]!r}")
    if told["most_in_all"] and told["most_per_server"] > told["most_in_all"]:
        each, total = told["most_per_server"], told["most_in_all"]
        raise SettingsError(f"{path}: most_per_server = {each!r}: is over most_in_all = {total!r}")
    return limits
