"""The platform's configuration: a file is used completely or not at all."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from loftrelay.config.platform import ConfigError, load_config, reload_config
from loftrelay.config.validation import InvalidSettingError, check_change, check_settings
from tests.standins.harness import SETTINGS

DOCUMENT: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "known": {},
    "limits": {"sockets": 256, "disk_mb": 3},
    "settings": SETTINGS,
}


def iterate_paths(value: Any, *prefix: Any) -> Iterator[tuple[Any, ...]]:
    """Yields the path of every value in a document, including nested ones."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, nested in rows:
        yield (*prefix, key)
        yield from iterate_paths(nested, *prefix, key)


def replace_value(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    document = copy.deepcopy(value)
    target = document
    for key in path[:-1]:
        target = target[key]
    if new is KeyError:
        del target[path[-1]]
    else:
        target[path[-1]] = new
    return document


def reload_document(folder: Path, text: bytes) -> Any:
    path = folder / "config.json"
    path.write_bytes(text)
    return reload_config({"RELAY_CONFIG": str(path)}, DOCUMENT)


def test_reload_config_truncated_at_any_byte_raises(tmp_path: Path) -> None:
    data = json.dumps(DOCUMENT).encode()
    assert reload_document(tmp_path, data).settings.max_open_messages == 100
    for size in range(len(data)):
        with pytest.raises(ConfigError, match="config"):
            reload_document(tmp_path, data[:size])


NAMED_PATHS = [p for p in iterate_paths(SETTINGS) if isinstance(p[-1], str)]
# Keys that a class may omit although others have them.
OPTIONAL_PATHS = [p for p in NAMED_PATHS if p[0] in ("classes", "tenants") and p[-1] in ("in_order",)]


@pytest.mark.parametrize("path", [p for p in NAMED_PATHS if p not in OPTIONAL_PATHS], ids=str)
def test_reload_config_without_one_setting_raises(tmp_path: Path, path: tuple[Any, ...]) -> None:
    file = DOCUMENT | {"settings": replace_value(SETTINGS, path, KeyError)}
    with pytest.raises(ConfigError) as error:
        reload_document(tmp_path, json.dumps(file).encode())
    assert str(path[-1]) in str(error.value)


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "limits", "settings"])
def test_reload_config_without_one_section_raises(tmp_path: Path, key: str) -> None:
    with pytest.raises(ConfigError):
        reload_document(tmp_path, json.dumps({k: v for k, v in DOCUMENT.items() if k != key}).encode())


@pytest.mark.parametrize("path", [p for p in iterate_paths(SETTINGS) if p[-1] != "worth"], ids=str)
def test_reload_config_with_value_of_wrong_type_raises(tmp_path: Path, path: tuple[Any, ...]) -> None:
    file = DOCUMENT | {"settings": replace_value(SETTINGS, path, {"wrong": ["type"]})}
    with pytest.raises(ConfigError) as error:
        reload_document(tmp_path, json.dumps(file).encode())
    assert "config.json" in str(error.value)


@pytest.mark.parametrize(
    ("path", "value", "problem"),
    [
        (("classes", 0, "deadline"), 0, r"classes\[0\].deadline = 0 is not over 0"),
        (("classes", 1, "deadline"), -5, r"classes\[1\].deadline = -5 is not over 0"),
        (("classes", 1, "deadline"), None, "is not a whole number"),
        (("classes", 1, "deadline"), True, "is not a whole number"),
        (("classes", 1, "name"), "status", "is a duplicate"),
        (("classes", 1, "effect"), "", "is not a string"),
        (("classes",), [], "names no class"),
        (("policy_limits", "most_tries"), 0, "most_tries = 0 is not over 0"),
        (("policy_limits", "most_tries"), -1, "is not over 0"),
        (("policy_limits", "most_tries"), 1.5, "is not a whole number"),
        (("extra", "bundle_max", 1), 0, r"bundle_max\[1\] = 0 is not over 0"),
        (("tick",), 0, "tick = 0 is not over 0"),
    ],
)
def test_check_settings_error_names_key_and_value(path: tuple[Any, ...], value: Any, problem: str) -> None:
    with pytest.raises(InvalidSettingError, match=problem):
        check_settings(replace_value(SETTINGS, path, value))


def test_check_change_accepts_added_removed_and_changed_classes() -> None:
    status, order = SETTINGS["classes"]
    new = SETTINGS | {"classes": [{**status, "name": "second"}, {**order, "effect": "idempotent"}]}
    new["policy_limits"] = {**SETTINGS["policy_limits"], "most_tries": 3}
    check_settings(new)
    check_change(SETTINGS, new)


@pytest.mark.parametrize(("key", "value"), [("deadline", 0), ("effect", None)])
def test_load_config_with_invalid_class_raises(tmp_path: Path, key: str, value: Any) -> None:
    path = tmp_path / "config.json"
    bad = {**DOCUMENT, "settings": replace_value(SETTINGS, ("classes", 0, key), value)}
    path.write_text(json.dumps(bad))
    with pytest.raises(ConfigError, match=rf"classes\[0\].{key}"):
        load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)})


def test_reload_config_with_nan_raises(tmp_path: Path) -> None:
    text = json.dumps(
        {**DOCUMENT, "settings": replace_value(SETTINGS, ("safety", "ask_every"), float("nan"))}
    )
    with pytest.raises(ConfigError, match="ask_every"):
        reload_document(tmp_path, text.encode())
