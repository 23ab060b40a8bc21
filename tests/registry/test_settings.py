"""The registry's settings file, and one line for an invalid value."""

from __future__ import annotations

from pathlib import Path

import pytest

from loftrelay.config.toml_file import SettingsError, read_toml
from loftrelay.registry.settings import KEYS, RegistrySettings, load_registry_settings

ROOT = Path(__file__).parents[2]
GOOD = {"listen": '"127.0.0.1:7500"', "discovery": '"disco.example:8500"'}


def written(folder: Path, **keys: str) -> Path:
    file = folder / "registry.toml"
    lines = ["[registry]", *(f"{name} = {value}" for name, value in {**GOOD, **keys}.items())]
    file.write_text("\n".join(lines))
    return file


def test_omitted_keys_have_defaults(tmp_path: Path) -> None:
    assert load_registry_settings(written(tmp_path)) == RegistrySettings(
        "fleet", ("127.0.0.1", 7500), ("disco.example", 8500), 20_000, 30.0, 60.0, 1 << 30
    )


def test_shipped_file_is_valid_and_names_every_key() -> None:
    file = ROOT / "deploy/registry.toml"
    assert load_registry_settings(file).fleet == "windwacht"
    told = read_toml(file, KEYS, "registry")
    lines = file.read_text().splitlines()
    for key in KEYS:
        assert any(line.startswith(f"{key.name} = ") for line in lines)
        if isinstance(key.default, int | float):
            assert told[key.name] == key.default


@pytest.mark.parametrize(
    "keys, says",
    [
        ({"fleet": '""'}, "fleet = ''"),
        ({"fleet": f'"{"f" * 65}"'}, "fleet = 'f"),
        ({"fleet": "7"}, "fleet = 7"),
        ({"listen": '"nowhere"'}, "listen = 'nowhere'"),
        ({"discovery": '"127.0.0.1:0"'}, "discovery = '127.0.0.1:0'"),
        ({"discovery": '""'}, "discovery = ''"),
        ({"keep_gone": "1.5"}, "keep_gone = 1.5"),
        ({"keep_gone": "-1"}, "keep_gone = -1"),
        ({"forget_s": "0"}, "forget_s = 0"),
        ({"idle_s": "true"}, "idle_s = True"),
        ({"most_list_mb": "0"}, "most_list_mb = 0"),
        ({"colour": '"red"'}, "colour = 'red'"),
        ({"fleet": '"'}, "can't be read"),
    ],
)
def test_invalid_value_is_reported_with_file_key_and_value(
    tmp_path: Path, keys: dict[str, str], says: str
) -> None:
    file = written(tmp_path, **keys)
    with pytest.raises(SettingsError) as caught:
        load_registry_settings(file)
    assert str(caught.value).startswith(f"{file}: {says}")
    assert "\n" not in str(caught.value)
