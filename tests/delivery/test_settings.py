"""Connection settings file: errors name file, key and value, and reject the whole file."""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import fields
from pathlib import Path

import pytest

from loftrelay.config.toml_file import SettingsError
from loftrelay.delivery.connection_pool.settings import MS, SECOND, DistrustScope, PoolSettings, ReuseOrder
from loftrelay.delivery.settings import FIELDS, KEYS, load_pool_settings
from tests.standins.harness import ROOT

SHIPPED_FILE = ROOT / "deploy" / "connections.toml"


def load_text(folder: Path, text: str) -> PoolSettings:
    path = folder / "connections.toml"
    path.write_text(text)
    return load_pool_settings(path)


def test_load_pool_settings_empty_file_gives_defaults(tmp_path: Path) -> None:
    assert load_text(tmp_path, "") == PoolSettings()


def test_each_key_maps_to_its_own_settings_field() -> None:
    assert list(FIELDS) == [key.name for key in KEYS]
    assert [field for field, _ in FIELDS.values()] == [field.name for field in fields(PoolSettings)]


def test_load_pool_settings_converts_units_of_keys(tmp_path: Path) -> None:
    settings = load_text(
        tmp_path,
        'strict = true\ndistrust = "server"\nrest_ms = 2.5\nage_limit_s = 60\norder = "rotate"\n'
        "early_percent = 50\ntrust_after_s = 0\nmost_per_server = 3\nopen_ahead = 2\nspread_percent = 10.0\n",
    )
    assert settings.is_strict
    assert settings.distrust_scope is DistrustScope.HOST
    assert settings.reuse_order is ReuseOrder.ROTATE
    assert settings.reuse_delay == 2_500
    assert settings.max_age == 60 * SECOND
    assert settings.trust_restored_after == 0
    assert (settings.early_response_fraction, settings.max_per_host) == (0.5, 3)
    assert (settings.max_prewarmed, settings.limit_jitter) == (2, 0.1)
    assert settings.max_reuse_delay == 500 * MS  # the default


@pytest.mark.parametrize(
    ("text", "error_text"),
    [
        ("strict = 1", "strict = 1: is not true or false"),
        ('order = "oldest"', "order = 'oldest': is not one of newest, rotate"),
        ("order = 3", "order = 3: is not one of newest, rotate"),
        ("most_per_server = -1", "most_per_server = -1: is not from 0 to 100000 connections"),
        ("most_per_server = 2.5", "most_per_server = 2.5: is not a whole number of connections"),
        ("most_per_server = true", "most_per_server = True: is not a number of connections"),
        ('rest_ms = "10"', "rest_ms = '10': is not a number of ms"),
        ("rest_ms = nan", "rest_ms = nan: is not from 0 to 10000 ms"),
        ("rest_ms = inf", "rest_ms = inf: is not from 0 to 10000 ms"),
        ("rest_ms = 600", "rest_ms = 600: exceeds most_rest_ms = 500.0"),
        ("backoff_ms = 3000", "backoff_ms = 3000: exceeds most_backoff_ms = 2000.0"),
        ("most_in_all = 5\nmost_per_server = 6", "most_per_server = 6: exceeds most_in_all = 5"),
        ("most_per_sever = 4", "most_per_sever = 4: no such key"),
        ("[pool]\nstrict = true", "pool = {'strict': True}: no such key"),
        ("strict = tru", "can't be read"),
        ("strict = true\nstrict = false", "can't be read"),
    ],
)
def test_load_pool_settings_invalid_value_error_names_file_key_and_value(
    tmp_path: Path, text: str, error_text: str
) -> None:
    with pytest.raises(SettingsError) as error:
        load_text(tmp_path, text)
    assert str(error.value).startswith(f"{tmp_path / 'connections.toml'}: ")
    assert error_text in str(error.value)


def test_load_pool_settings_unreadable_file_raises_error(tmp_path: Path) -> None:
    (tmp_path / "connections.toml").write_bytes(b"\xff\xfe")
    for path in (tmp_path / "connections.toml", tmp_path / "nowhere.toml"):
        with pytest.raises(SettingsError, match="can't be read"):
            load_pool_settings(path)


def test_shipped_file_documents_unit_default_and_bounds_of_each_key() -> None:
    load_pool_settings(SHIPPED_FILE)
    lines = dict(re.findall(r"^(\w+) = \S+\s+# (.*)$", SHIPPED_FILE.read_text(), re.M))
    assert list(lines) == [key.name for key in KEYS]
    units = {"s": "seconds", "ms": "milliseconds", "": ""}
    for key in KEYS:
        comment = lines[key.name]
        if isinstance(key.default, bool):
            assert comment.startswith(f"true or false; default {str(key.default).lower()}: ")
        elif isinstance(key.default, str):
            assert f'default "{key.default}"' in comment
            assert all(f'"{word}"' in comment for word in key.choices)
        else:
            unit, bounds = units.get(key.unit, key.unit), f"{key.minimum:.9g} to {key.maximum:.9g}"
            assert comment.startswith(f"{unit}, {bounds}; default {key.default:g}: "), (key.name, comment)


def test_relay_with_invalid_file_exits_with_one_error_line(tmp_path: Path) -> None:
    path = tmp_path / "connections.toml"
    path.write_text("most_connecting = -3\n")
    config = tmp_path / "config.json"
    config.write_text(
        '{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","known":{},"limits":{},'
        '"settings":{"classes":[{"name":"status","effect":"idempotent","deadline":1000000}]}}'
    )
    result = subprocess.run(
        [sys.executable, "-m", "loftrelay", "--connections", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"RELAY_CONFIG": str(config), "RELAY_STATE": str(tmp_path / "state")},
    )
    assert result.returncode == 2
    assert result.stderr == (
        f"loftrelay: configuration: {path}: most_connecting = -3: is not from 0 to 100000 connections\n"
    )


def test_help_lists_connections_option() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "loftrelay", "--help"], cwd=ROOT, capture_output=True, text=True
    )
    assert result.returncode == 0
    assert "--connections FILE" in result.stdout
    assert "SIGHUP" in result.stdout
