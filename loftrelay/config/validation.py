"""Checks the settings that the platform's file tells, whole, before any of them is used. No input or output.

A start asks for what a relay can't do without. A file that replaces one in force has to tell every key that
this one told, too: a file that was cut or written by half must not pass for one with other settings.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

Check = Callable[[Any], str | None]  # what is wrong with a value, or None


class InvalidSettingError(ValueError):
    """Names the key and the value."""


def _whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value == value


def text(value: Any) -> str | None:
    return None if isinstance(value, str) and value else "is not a text"


def flag(value: Any) -> str | None:
    return None if isinstance(value, bool) else "is not true or false"


def over_zero(value: Any) -> str | None:
    if not _whole(value):
        return "is not a whole number"
    return None if value > 0 else "is not over 0"


def not_negative(value: Any) -> str | None:
    if not _whole(value):
        return "is not a whole number"
    return None if value >= 0 else "is under 0"


def amount(value: Any) -> str | None:
    if not _number(value):
        return "is not a number"
    return None if value >= 0 else "is under 0"


def share(value: Any) -> str | None:
    if not _number(value):
        return "is not a number"
    return None if 0 <= value <= 1 else "is not from 0 to 1"


CLASS: Mapping[str, Check] = {
    "name": text,
    "effect": text,
    "deadline": over_zero,
    "on_time": over_zero,
    "worth": amount,
    "late_worth": share,
    "window": not_negative,
    "key_scope": text,
    "in_order": flag,
    "streamed": flag,
}
CLASS_NEEDS = ("name", "effect", "deadline")
# Beside these a class of a new file needs what every class in force tells; a class may do without this:
OPTIONAL = frozenset({"in_order"})
TENANT: Mapping[str, Check] = {"name": text, "allowance_per_s": amount, "fraction": amount}
PARTS: Mapping[str, Mapping[str, Check]] = {
    "policy_limits": {
        "most_tries": over_zero,
        "most_held": over_zero,
        "conn_idle": over_zero,
        "connect_timeout": over_zero,
        "max_retry_after": not_negative,
        "cancel": flag,
        "probes": flag,
        "retry_after": flag,
    },
    "safety": {
        "ask_every": over_zero,
        "cold": not_negative,
        "cold_from": share,
        "fall_multiple": amount,
        "settle_after_doubt": not_negative,
        "tip_after": over_zero,
    },
    "extra": {"call_slots": over_zero},
}
ALONE: Mapping[str, Check] = {
    "tick": over_zero,
    "peers_total": over_zero,
    "over_share_worth": share,
    "zone": text,
    "discovery": text,
    "weight_kind": text,
}
LISTS: Mapping[str, tuple[str, Check]] = {
    "bundle_max": ("extra", over_zero),
    "own_limits": ("extra", flag),
    "fee_by_zone": ("extra", amount),
}


def check_settings(told: Any, path: str = "settings") -> None:
    """Raises Wrong where a relay can't work by these settings. Keys that it does not know are passed over."""
    if not isinstance(told, Mapping):
        raise InvalidSettingError(f"{path} is not an object")
    _classes(told.get("classes"), f"{path}.classes")
    for row, where in _rows(told, "tenants", path):
        _check(row, TENANT, where, needs=("name",))
    for name, keys in PARTS.items():
        part = told.get(name, {})
        if not isinstance(part, Mapping):
            raise InvalidSettingError(f"{path}.{name} is not an object")
        _check(part, keys, f"{path}.{name}")
    _check(told, ALONE, path)
    for name, (part_name, check) in LISTS.items():
        for i, value in enumerate(_list(told.get(part_name, {}), name, f"{path}.{part_name}")):
            if (why := check(value)) is not None:
                raise InvalidSettingError(f"{path}.{part_name}.{name}[{i}] = {value!r} {why}")
    for name in ("flavors", "localities"):
        for i, value in enumerate(_list(told, name, path)):
            if (why := text(value)) is not None:
                raise InvalidSettingError(f"{path}.{name}[{i}] = {value!r} {why}")


def check_change(old: Mapping[str, Any], new: Any) -> None:
    """What a file in force told, one that replaces it tells as well. Raises Wrong."""
    _told_too(old, new, "settings", skip=frozenset({"classes", "tenants"}))
    classes = [row.keys() for row in old["classes"]]
    needed = set.intersection(*map(set, classes)) - OPTIONAL
    for i, row in enumerate(new["classes"]):
        for key in sorted(needed - row.keys()):
            raise InvalidSettingError(f"settings.classes[{i}] tells no {key}")
    if "tenants" in old and "tenants" not in new:
        raise InvalidSettingError("settings tells no tenants")
    tenants = [set(row) for row in old.get("tenants") or ()]
    for i, row in enumerate(new.get("tenants") or ()):
        for key in sorted((set.intersection(*tenants) if tenants else set()) - row.keys()):
            raise InvalidSettingError(f"settings.tenants[{i}] tells no {key}")


def _classes(rows: Any, path: str) -> None:
    if not isinstance(rows, list) or not rows:
        raise InvalidSettingError(f"{path} = {rows!r} names no class")
    names: set[str] = set()
    for i, row in enumerate(rows):
        if not isinstance(row, Mapping):
            raise InvalidSettingError(f"{path}[{i}] is not an object")
        _check(row, CLASS, f"{path}[{i}]", CLASS_NEEDS)
        if row["name"] in names:
            raise InvalidSettingError(f"{path}[{i}].name = {row['name']!r} stands there twice")
        names.add(row["name"])


def _check(row: Mapping[str, Any], keys: Mapping[str, Check], path: str, needs: tuple[str, ...] = ()) -> None:
    for name in needs:
        if name not in row:
            raise InvalidSettingError(f"{path} tells no {name}")
    for name, check in keys.items():
        # null stands for what is not told, except where it is needed
        if name in row and (row[name] is not None or name in needs) and (why := check(row[name])) is not None:
            raise InvalidSettingError(f"{path}.{name} = {row[name]!r} {why}")


def _list(part: Any, name: str, path: str) -> list[Any]:
    value = part.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise InvalidSettingError(f"{path}.{name} = {value!r} is not a list")
    return value


def _rows(told: Mapping[str, Any], name: str, path: str) -> list[tuple[Mapping[str, Any], str]]:
    rows = _list(told, name, path)
    for i, row in enumerate(rows):
        if not isinstance(row, Mapping):
            raise InvalidSettingError(f"{path}.{name}[{i}] is not an object")
    return [(row, f"{path}.{name}[{i}]") for i, row in enumerate(rows)]


def _told_too(old: Any, new: Any, path: str, skip: frozenset[str] = frozenset()) -> None:
    if isinstance(old, Mapping):
        if not isinstance(new, Mapping):
            raise InvalidSettingError(f"{path} is not an object")
        for key, value in old.items():
            if key in skip:
                continue
            if key not in new:
                raise InvalidSettingError(f"{path} tells no {key}")
            _told_too(value, new[key], f"{path}.{key}")
    elif isinstance(old, list) != isinstance(new, list):
        raise InvalidSettingError(f"{path} = {new!r} is of another kind than before")
