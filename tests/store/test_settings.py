"""The settings file of the store of record."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from loftrelay.config.toml_file import SettingsError
from loftrelay.store.settings import KEYS, load_store_settings
from loftrelay.store.state_machine import DurabilityMode
from tests.standins.harness import ROOT

SHIPPED = ROOT / "deploy" / "record.toml"


def test_load_store_settings_without_optional_keys_returns_safe_defaults(tmp_path: Path) -> None:
    path = tmp_path / "record.toml"
    path.write_text('file = "r.sqlite"\n')
    settings = load_store_settings(path)
    assert (settings.durability.at_most_once, settings.durability.repeatable, settings.synchronous) == (
        DurabilityMode.WRITE_AHEAD,
        DurabilityMode.WRITE_BEHIND,
        "FULL",
    )
    assert settings.file == Path("r.sqlite")
    assert settings.id_retention_us == 3_600_000_000
    assert settings.record_retention_us is None


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("", "file = '', dsn is not set: exactly one of file and dsn must be set"),
        ('file = "r"\ndsn = "host=x"', "file = 'r', dsn is set: exactly one of file and dsn must be set"),
        ("file = 3", "file = 3: is not a string"),
        ('file = "r"\nunsafe = "never"', "unsafe = 'never': is not one of required, follows"),
        ('file = "r"\nsynchronous = "OFF"', "synchronous = 'OFF': is not one of NORMAL, FULL, EXTRA"),
        ('file = "r"\nmost_queued = 0', "most_queued = 0: is not from 1 to 1e+06 changes"),
        ('file = "r"\nkeep_days = -1', "keep_days = -1: is not from 0 to 36500 days"),
        ('file = "r"\ndns = "x"', "dns = 'x': no such key"),
    ],
)
def test_load_store_settings_error_names_file_key_and_value(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "record.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load_store_settings(path)
    assert str(error.value) == f"{path}: {problem}"


def test_shipped_file_documents_each_key() -> None:
    load_store_settings(SHIPPED)
    lines = dict(re.findall(r'^#? ?(\w+) = (?:"[^"]*"|\S+)\s+# (.*)$', SHIPPED.read_text(), re.M))
    assert list(lines) == [key.name for key in KEYS]
    for key in KEYS:
        if not isinstance(key.default, str):
            assert f"{key.minimum:.9g} to {key.maximum:.9g}; default {key.default:g}: " in lines[key.name]
        elif key.choices:
            assert f'default "{key.default}"' in lines[key.name]
