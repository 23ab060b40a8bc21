"""Validates the `settings` of the platform's file before any of them is used. This module does no I/O.

`check_settings` requires the settings that a relay can't work without. `check_change` also requires that a
reloaded file has every key of the one in force, so that a truncated file is not accepted as a change. The
names are those of the file; `platform.parse_settings` maps them to RelaySettings.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

# Returns the problem with a value, or None if it is valid.
Check = Callable[[Any], str | None]


class InvalidSettingError(ValueError):
    """A setting is missing or invalid.

    Attributes:
        path: Path of the setting, such as `settings.classes[0].deadline`.
        problem: The problem, such as `= 0 is not over 0`.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path} {problem}")
        self.path = path
        self.problem = problem


def string(value: Any) -> str | None:
    """Checks for a non-empty string."""
    return None if isinstance(value, str) and value else "is not a string"


def boolean(value: Any) -> str | None:
    """Checks for true or false."""
    return None if isinstance(value, bool) else "is not true or false"


def positive_integer(value: Any) -> str | None:
    """Checks for an integer over 0."""
    if not _is_integer(value):
        return "is not a whole number"
    return None if value > 0 else "is not over 0"


def non_negative_integer(value: Any) -> str | None:
    """Checks for an integer of 0 or more."""
    if not _is_integer(value):
        return "is not a whole number"
    return None if value >= 0 else "is under 0"


def non_negative_number(value: Any) -> str | None:
    """Checks for a number of 0 or more."""
    if not _is_number(value):
        return "is not a number"
    return None if value >= 0 else "is under 0"


def fraction(value: Any) -> str | None:
    """Checks for a number from 0 to 1."""
    if not _is_number(value):
        return "is not a number"
    return None if 0 <= value <= 1 else "is not from 0 to 1"


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and not math.isnan(value)


CLASS_CHECKS: Mapping[str, Check] = {
    "name": string,
    "effect": string,
    "deadline": positive_integer,
    "on_time": positive_integer,
    "worth": non_negative_number,
    "late_worth": fraction,
    "window": non_negative_integer,
    "key_scope": string,
    "in_order": boolean,
    "streamed": boolean,
}
REQUIRED_CLASS_KEYS = ("name", "effect", "deadline")
# Keys that a class of a reloaded file may omit even if every class in force has them.
OPTIONAL_CLASS_KEYS = frozenset({"in_order"})
TENANT_CHECKS: Mapping[str, Check] = {
    "name": string,
    "allowance_per_s": non_negative_number,
    "fraction": non_negative_number,
}
SECTION_CHECKS: Mapping[str, Mapping[str, Check]] = {
    "policy_limits": {
        "most_tries": positive_integer,
        "most_held": positive_integer,
        "conn_idle": positive_integer,
        "connect_timeout": positive_integer,
        "max_retry_after": non_negative_integer,
        "cancel": boolean,
        "probes": boolean,
        "retry_after": boolean,
    },
    "safety": {
        "ask_every": positive_integer,
        "cold": non_negative_integer,
        "cold_from": fraction,
        "fall_multiple": non_negative_number,
        "settle_after_doubt": non_negative_integer,
        "tip_after": positive_integer,
    },
    "extra": {"call_slots": positive_integer},
}
TOP_LEVEL_CHECKS: Mapping[str, Check] = {
    "tick": positive_integer,
    "peers_total": positive_integer,
    "over_share_worth": fraction,
    "zone": string,
    "discovery": string,
    "weight_kind": string,
}
# Lists in the section `extra`, with the check of their items.
EXTRA_LIST_CHECKS: Mapping[str, Check] = {
    "bundle_max": positive_integer,
    "own_limits": boolean,
    "fee_by_zone": non_negative_number,
}
TOP_LEVEL_STRING_LISTS = ("flavors", "localities")


def check_settings(settings: Any, path: str = "settings") -> None:
    """Validates complete settings. Unknown keys are ignored.

    Raises:
        InvalidSettingError: A relay can't work with these settings.
    """
    settings = _require_object(settings, path)
    _check_classes(settings.get("classes"), f"{path}.classes")
    for i, row in enumerate(_get_list(settings, "tenants", path)):
        _check_object(row, TENANT_CHECKS, f"{path}.tenants[{i}]", required=("name",))
    for name, checks in SECTION_CHECKS.items():
        _check_object(settings.get(name, {}), checks, f"{path}.{name}")
    _check_object(settings, TOP_LEVEL_CHECKS, path)
    extra = settings.get("extra", {})
    for name, check in EXTRA_LIST_CHECKS.items():
        _check_items(extra, name, f"{path}.extra", check)
    for name in TOP_LEVEL_STRING_LISTS:
        _check_items(settings, name, path, string)


def check_change(old: Mapping[str, Any], new: Any) -> None:
    """Checks that new, valid settings have every key of the ones in force.

    Classes and tenants may be added and removed; each needs the keys that all of those in force have.

    Raises:
        InvalidSettingError: A key is missing, or an object or a list has become a value of another type.
    """
    _require_same_keys(old, new, "settings", ignored=frozenset({"classes", "tenants"}))
    required = _common_keys(old["classes"]) - OPTIONAL_CLASS_KEYS
    _require_keys(new["classes"], required, "settings.classes")
    if "tenants" in old and "tenants" not in new:
        raise InvalidSettingError("settings", "has no tenants")
    _require_keys(new.get("tenants") or [], _common_keys(old.get("tenants") or []), "settings.tenants")


def _check_classes(rows: Any, path: str) -> None:
    if not isinstance(rows, list) or not rows:
        raise InvalidSettingError(path, f"= {rows!r} names no class")
    names: set[str] = set()
    for i, row in enumerate(rows):
        _check_object(row, CLASS_CHECKS, f"{path}[{i}]", REQUIRED_CLASS_KEYS)
        if row["name"] in names:
            raise InvalidSettingError(f"{path}[{i}].name", f"= {row['name']!r} is a duplicate")
        names.add(row["name"])


def _check_object(value: Any, checks: Mapping[str, Check], path: str, required: tuple[str, ...] = ()) -> None:
    entries = _require_object(value, path)
    for name in required:
        if name not in entries:
            raise InvalidSettingError(path, f"has no {name}")
    for name, check in checks.items():
        # null means that the key is omitted, unless the key is required
        if name in entries and (entries[name] is not None or name in required):
            _check_value(entries[name], check, f"{path}.{name}")


def _check_items(section: Mapping[str, Any], name: str, path: str, check: Check) -> None:
    for i, item in enumerate(_get_list(section, name, path)):
        _check_value(item, check, f"{path}.{name}[{i}]")


def _check_value(value: Any, check: Check, path: str) -> None:
    problem = check(value)
    if problem is not None:
        raise InvalidSettingError(path, f"= {value!r} {problem}")


def _require_object(value: Any, path: str) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise InvalidSettingError(path, "is not an object")
    return value


def _get_list(section: Mapping[str, Any], name: str, path: str) -> list[Any]:
    """Returns a list of a section; an empty one if it is omitted or null."""
    value = section.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise InvalidSettingError(f"{path}.{name}", f"= {value!r} is not a list")
    return value


def _common_keys(rows: list[Mapping[str, Any]]) -> set[str]:
    return set.intersection(*map(set, rows)) if rows else set()


def _require_keys(rows: list[Mapping[str, Any]], required: set[str], path: str) -> None:
    for i, row in enumerate(rows):
        for key in sorted(required - row.keys()):
            raise InvalidSettingError(f"{path}[{i}]", f"has no {key}")


def _require_same_keys(old: Any, new: Any, path: str, ignored: frozenset[str] = frozenset()) -> None:
    if isinstance(old, Mapping):
        entries = _require_object(new, path)
        for key, value in old.items():
            if key in ignored:
                continue
            if key not in entries:
                raise InvalidSettingError(path, f"has no {key}")
            _require_same_keys(value, entries[key], f"{path}.{key}")
    elif isinstance(old, list) != isinstance(new, list):
        raise InvalidSettingError(path, f"= {new!r} is of another type than before")
