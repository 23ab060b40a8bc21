"""An operator's TOML file: each type of key, and invalid files."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from loftrelay.config.toml_file import Key, SettingsError, read_toml

KEYS = (
    Key("flag", False, "", "a switch"),
    Key("count", 3, "calls", "a whole number", minimum=1, maximum=10),
    Key("pause", 0.5, "s", "any number"),
    Key("mode", "a", "", "a choice", choices=("a", "b")),
    Key("label", "", "", "any string"),
    Key("peers", (), "", "a list of strings"),
)


def read_text(folder: Path, text: str, table: str = "") -> dict[str, Any]:
    path = folder / "file.toml"
    path.write_text(text)
    return dict(read_toml(path, KEYS, table))


def test_read_toml_returns_defaults_of_missing_keys(tmp_path: Path) -> None:
    assert read_text(tmp_path, "count = 10\n") == {
        "flag": False,
        "count": 10,
        "pause": 0.5,
        "mode": "a",
        "label": "",
        "peers": (),
    }


def test_read_toml_returns_list_as_tuple_and_accepts_int_for_float(tmp_path: Path) -> None:
    values = read_text(tmp_path, 'peers = ["x", "y"]\npause = 2\n')
    assert values["peers"] == ("x", "y")
    assert values["pause"] == 2


def test_read_toml_with_table_reads_keys_of_table(tmp_path: Path) -> None:
    assert read_text(tmp_path, "[part]\nflag = true\n", table="part")["flag"] is True
    with pytest.raises(SettingsError, match=r"all keys stand in the table \[part\]"):
        read_text(tmp_path, "flag = true\n", table="part")


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("flag = 1", "flag = 1: is not true or false"),
        ("count = 1.5", "count = 1.5: is not a whole number of calls"),
        ("count = true", "count = True: is not a number of calls"),
        ("count = 0", "count = 0: is not from 1 to 10 calls"),
        ("count = 11", "count = 11: is not from 1 to 10 calls"),
        ('pause = "1"', "pause = '1': is not a number of s"),
        ("pause = nan", "pause = nan: is not from 0 to 1e"),
        ('mode = "c"', "mode = 'c': is not one of a, b"),
        ("label = 3", "label = 3: is not a string"),
        ('label = "\\u0000"', "is not a string"),
        ('peers = "x"', "peers = 'x': is not a list of strings"),
        ("peers = [1]", "is not a list of strings"),
        ("other = 1", "other = 1: no such key"),
        ("count = ", "can't be read"),
    ],
)
def test_read_toml_error_names_file_key_and_value(tmp_path: Path, line: str, problem: str) -> None:
    with pytest.raises(SettingsError) as error:
        read_text(tmp_path, line)
    assert "file.toml: " in str(error.value)
    assert problem in str(error.value)
