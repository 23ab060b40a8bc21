"""Settings file of a registry: defaults, the deployed file, and one-line errors for invalid values."""

from __future__ import annotations

from pathlib import Path

import pytest

from loftrelay.config.toml_file import SettingsError, read_toml
from loftrelay.registry.settings import KEYS, RegistrySettings, load_registry_settings

ROOT = Path(__file__).parents[2]
REQUIRED_KEYS = {"listen": '"127.0.0.1:7500"', "discovery": '"disco.example:8500"'}


def write_settings(folder: Path, **keys: str) -> Path:
    file = folder / "registry.toml"
    lines = ["[registry]", *(f"{name} = {value}" for name, value in {**REQUIRED_KEYS, **keys}.items())]
    file.write_text("\n".join(lines))
    return file


def test_load_registry_settings_without_optional_keys_returns_defaults(tmp_path: Path) -> None:
    assert load_registry_settings(write_settings(tmp_path)) == RegistrySettings(
        "fleet", ("127.0.0.1", 7500), ("disco.example", 8500), 20_000, 30.0, 60.0, 1 << 30
    )


def test_load_registry_settings_of_the_deployed_file_has_every_key_and_default() -> None:
    file = ROOT / "deploy/registry.toml"
    assert load_registry_settings(file).fleet == "windwacht"
    values = read_toml(file, KEYS, "registry")
    lines = file.read_text().splitlines()
    for key in KEYS:
        assert any(line.startswith(f"{key.name} = ") for line in lines)
        if isinstance(key.default, int | float):
            assert values[key.name] == key.default


@pytest.mark.parametrize(
    "keys, error",
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
def test_load_registry_settings_with_an_invalid_value_names_file_key_and_value(
    tmp_path: Path, keys: dict[str, str], error: str
) -> None:
    file = write_settings(tmp_path, **keys)
    with pytest.raises(SettingsError) as caught:
        load_registry_settings(file)
    assert str(caught.value).startswith(f"{file}: {error}")
    assert "\n" not in str(caught.value)
