"""The platform's configuration: a file is used as a whole or not at all."""

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

DOCUMENT: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "known": {},
    "limits": {"sockets": 256, "disk_mb": 3},
    "settings": SETTINGS,
}


def paths(value: Any, *before: Any) -> Iterator[tuple[Any, ...]]:
    """Yields the path of every value in a document, nested ones too."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, below in rows:
        yield (*before, key)
        yield from paths(below, *before, key)


def changed(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    document = copy.deepcopy(value)
    at = document
    for key in path[:-1]:
        at = at[key]
    if new is KeyError:
        del at[path[-1]]
    else:
        at[path[-1]] = new
    return document


def reload(folder: Path, text: bytes) -> Any:
    path = folder / "config.json"
    path.write_bytes(text)
    return reload_config({"RELAY_CONFIG": str(path)}, DOCUMENT)


def test_a_document_truncated_at_any_byte_is_rejected(tmp_path: Path) -> None:
    data = json.dumps(DOCUMENT).encode()
    assert reload(tmp_path, data).settings.max_open_messages == 100
    for size in range(len(data)):
        with pytest.raises(ConfigError, match="config"):
            reload(tmp_path, data[:size])


NAMED_KEYS = [p for p in paths(SETTINGS) if isinstance(p[-1], str)]
# What a class may leave out though others have it:
OPTIONAL = [p for p in NAMED_KEYS if p[0] in ("classes", "tenants") and p[-1] in ("in_order",)]


@pytest.mark.parametrize("path", [p for p in NAMED_KEYS if p not in OPTIONAL], ids=str)
def test_settings_without_any_one_key_are_rejected(tmp_path: Path, path: tuple[Any, ...]) -> None:
    file = DOCUMENT | {"settings": changed(SETTINGS, path, KeyError)}
    with pytest.raises(ConfigError) as error:
        reload(tmp_path, json.dumps(file).encode())
    assert str(path[-1]) in str(error.value)


@pytest.mark.parametrize("key", ["name", "listen", "discovery", "limits", "settings"])
def test_a_document_without_any_one_section_is_rejected(tmp_path: Path, key: str) -> None:
    with pytest.raises(ConfigError):
        reload(tmp_path, json.dumps({k: v for k, v in DOCUMENT.items() if k != key}).encode())


@pytest.mark.parametrize("path", [p for p in paths(SETTINGS) if p[-1] != "worth"], ids=str)
def test_a_value_of_a_wrong_type_for_any_key_is_rejected(tmp_path: Path, path: tuple[Any, ...]) -> None:
    file = DOCUMENT | {"settings": changed(SETTINGS, path, {"no": ["sense"]})}
    with pytest.raises(ConfigError) as error:
        reload(tmp_path, json.dumps(file).encode())
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
def test_the_error_names_the_key_and_the_value(path: tuple[Any, ...], value: Any, problem: str) -> None:
    with pytest.raises(InvalidSettingError, match=problem):
        check_settings(changed(SETTINGS, path, value))


def test_classes_may_be_added_dropped_and_changed() -> None:
    status, order = SETTINGS["classes"]
    new = SETTINGS | {"classes": [{**status, "name": "second"}, {**order, "effect": "idempotent"}]}
    new["policy_limits"] = {**SETTINGS["policy_limits"], "most_tries": 3}
    check_settings(new)
    check_change(SETTINGS, new)


@pytest.mark.parametrize(("key", "value"), [("deadline", 0), ("effect", None)])
def test_a_start_rejects_what_a_reload_rejects(tmp_path: Path, key: str, value: Any) -> None:
    path = tmp_path / "config.json"
    bad = {**DOCUMENT, "settings": changed(SETTINGS, ("classes", 0, key), value)}
    path.write_text(json.dumps(bad))
    with pytest.raises(ConfigError, match=rf"classes\[0\].{key}"):
        load_config({"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)})


def test_nan_is_rejected(tmp_path: Path) -> None:
    text = json.dumps({**DOCUMENT, "settings": changed(SETTINGS, ("safety", "ask_every"), float("nan"))})
    with pytest.raises(ConfigError, match="ask_every"):
        reload(tmp_path, text.encode())
