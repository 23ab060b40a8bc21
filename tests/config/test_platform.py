"""The platform's settings: a file is used whole or not at all."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from loftrelay.config.platform import ConfigError, load_config, reload_config
from loftrelay.config.validation import InvalidSettingError, check_change, check_settings
from tests.standins.platform import SETTINGS

FILE: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "known": {},
    "limits": {"sockets": 256, "disk_mb": 3},
    "settings": SETTINGS,
}


def paths(value: Any, *before: Any) -> Iterator[tuple[Any, ...]]:
    """Every place of a value, the deepest too."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, below in rows:
        yield (*before, key)
        yield from paths(below, *before, key)


def changed(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    whole = copy.deepcopy(value)
    at = whole
    for key in path[:-1]:
        at = at[key]
    if new is KeyError:
        del at[path[-1]]
    else:
        at[path[-1]] = new
    return whole


def read(folder: Path, text: bytes) -> Any:
    path = folder / "config.json"
    path.write_bytes(text)
    return reload_config({"RELAY_CONFIG": str(path)}, FILE)


def test_cut_off_at_every_byte_it_changes_nothing(tmp_path: Path) -> None:
    whole = json.dumps(FILE).encode()
    assert read(tmp_path, whole).settings.max_open_messages == 100
    for size in range(len(whole)):
        with pytest.raises(ConfigError, match="config"):
            read(tmp_path, whole[:size])


NAMED = [p for p in paths(SETTINGS) if isinstance(p[-1], str)]
# What a class may do without, and what tells itself apart from other rows:
MAY_LACK = [p for p in NAMED if p[0] in ("classes", "tenants") and p[-1] in ("in_order",)]


@pytest.mark.parametrize("path", [p for p in NAMED if p not in MAY_LACK], ids=str)
def test_short_of_any_key_it_changes_nothing(tmp_path: Path, path: tuple[Any, ...]) -> None:
    file = FILE | {"settings": changed(SETTINGS, path, KeyError)}
    with pytest.raises(ConfigError) as error:
        read(tmp_path, json.dumps(file).encode())
    assert str(path[-1]) in str(error.value)


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "limits", "settings"])
def test_short_of_a_part_it_changes_nothing(tmp_path: Path, key: str) -> None:
    with pytest.raises(ConfigError):
        read(tmp_path, json.dumps({k: v for k, v in FILE.items() if k != key}).encode())


@pytest.mark.parametrize("path", [p for p in paths(SETTINGS) if p[-1] != "worth"], ids=str)
def test_a_wrong_value_for_any_key_changes_nothing(tmp_path: Path, path: tuple[Any, ...]) -> None:
    file = FILE | {"settings": changed(SETTINGS, path, {"no": ["sense"]})}
    with pytest.raises(ConfigError) as error:
        read(tmp_path, json.dumps(file).encode())
    assert "config.json" in str(error.value)


@pytest.mark.parametrize(
    ("path", "value", "why"),
    [
        (("classes", 0, "deadline"), 0, r"classes\[0\].deadline = 0 is not over 0"),
        (("classes", 1, "deadline"), -5, r"classes\[1\].deadline = -5 is not over 0"),
        (("classes", 1, "deadline"), None, "is not a whole number"),
        (("classes", 1, "deadline"), True, "is not a whole number"),
        (("classes", 1, "name"), "status", "stands there twice"),
        (("classes", 1, "effect"), "", "is not a text"),
        (("classes",), [], "names no class"),
        (("policy_limits", "most_tries"), 0, "most_tries = 0 is not over 0"),
        (("policy_limits", "most_tries"), -1, "is not over 0"),
        (("policy_limits", "most_tries"), 1.5, "is not a whole number"),
        (("extra", "bundle_max", 1), 0, r"bundle_max\[1\] = 0 is not over 0"),
        (("tick",), 0, "tick = 0 is not over 0"),
    ],
)
def test_what_can_not_be_meant_is_named(path: tuple[Any, ...], value: Any, why: str) -> None:
    with pytest.raises(InvalidSettingError, match=why):
        check_settings(changed(SETTINGS, path, value))


def test_classes_may_be_added_dropped_and_changed() -> None:
    status, order = SETTINGS["classes"]
    new = SETTINGS | {"classes": [{**status, "name": "second"}, {**order, "effect": "idempotent"}]}
    new["policy_limits"] = {**SETTINGS["policy_limits"], "most_tries": 3}
    check_settings(new)
    check_change(SETTINGS, new)


@pytest.mark.parametrize(("key", "value"), [("deadline", 0), ("effect", None)])
def test_a_start_refuses_what_a_new_file_is_refused_for(tmp_path: Path, key: str, value: Any) -> None:
    path = tmp_path / "config.json"
    bad = {**FILE, "settings": changed(SETTINGS, ("classes", 0, key), value)}
    path.write_text(json.dumps(bad))
    with pytest.raises(ConfigError, match=rf"classes\[0\].{key}"):
        load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)})


def test_numbers_that_are_none(tmp_path: Path) -> None:
    text = json.dumps({**FILE, "settings": changed(SETTINGS, ("safety", "ask_every"), float("nan"))})
    with pytest.raises(ConfigError, match="ask_every"):
        read(tmp_path, text.encode())
