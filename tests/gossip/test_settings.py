"""Settings of the fleet: error texts, and the environment variable that overrides one."""

from __future__ import annotations

from pathlib import Path

import pytest

from loftrelay.config.toml_file import SettingsError
from loftrelay.gossip.settings import load_gossip_settings


@pytest.mark.parametrize(
    ("text", "error_start"),
    [
        ('listen = "127.0.0.1:0"', "listen = '127.0.0.1:0': all keys stand in the table [fleet]"),
        ('[fleet]\nlisten = "relay.example:7"', "listen = 'relay.example:7': is not an IP address"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nseeds = "127.0.0.1:7"', "seeds = '127.0.0.1:7': is not a list"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nseeds = ["127.0.0.1:0"]', "seeds = '127.0.0.1:0': is not an IP"),
        ('[fleet]\nlisten = "127.0.0.1:0"\nbeat_ms = 1.5', "beat_ms = 1.5: is not a whole number"),
        (
            '[fleet]\nlisten = "127.0.0.1:0"\nbeat_ms = 900',
            "suspect_ms = 1000: is less than 2 probe intervals",
        ),
        ('[fleet]\nlisten = "127.0.0.1:0"\nbeats = 1', "beats = 1: no such key"),
    ],
)
def test_load_gossip_settings_invalid_value_raises_with_file_key_and_value(
    tmp_path: Path, text: str, error_start: str
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load_gossip_settings(path, {})
    assert str(error.value).startswith(f"{path}: {error_start}")


def test_load_gossip_settings_deployed_file_is_valid_and_environment_overrides_it() -> None:
    path = Path(__file__).parents[2] / "deploy" / "fleet.toml"
    assert load_gossip_settings(path, {}).listen == ("10.0.0.4", 7400)
    assert load_gossip_settings(path, {"RELAY_FLEET_LISTEN": "[::1]:0"}).listen == ("::1", 0)
    with pytest.raises(SettingsError, match="RELAY_FLEET_LISTEN = 'x'"):
        load_gossip_settings(path, {"RELAY_FLEET_LISTEN": "x"})
