"""Tests of the small files in the state folder, which are replaced atomically."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loftrelay.state.atomic_file import write_atomically
from loftrelay.state.disabled_hosts import DisabledHostsFile
from loftrelay.state.last_config import MAX_BYTES, LastConfigFile


def test_write_atomically_on_failure_leaves_file_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "file.json"
    write_atomically(path, b"first", 10)
    with pytest.raises(OSError, match="11 bytes"):
        write_atomically(path, b"x" * 11, 10)
    assert path.read_bytes() == b"first"
    (tmp_path / "folder.json").mkdir()
    with pytest.raises(OSError, match=r"folder\.json"):
        write_atomically(tmp_path / "folder.json", b"x", 10)
    assert sorted(p.name for p in tmp_path.iterdir()) == ["file.json", "folder.json"]


@pytest.mark.parametrize("text", ["", "{", "{}", "[1]", '["a"', "[" * 100_000])
def test_disabled_hosts_file_that_is_unreadable_loads_as_empty_set(tmp_path: Path, text: str) -> None:
    disabled_hosts = DisabledHostsFile(tmp_path)
    assert disabled_hosts.load() == set()
    disabled_hosts.save({"b", "a"})
    assert DisabledHostsFile(tmp_path).load() == {"a", "b"}
    disabled_hosts.path.write_text(text)
    assert disabled_hosts.load() == set()


def test_disabled_hosts_file_with_too_many_hosts_raises_and_keeps_old_set(tmp_path: Path) -> None:
    disabled_hosts = DisabledHostsFile(tmp_path)
    host_ids = {f"{n:05}{'host-' * 10}" for n in range(1_024)}
    disabled_hosts.save(host_ids)
    with pytest.raises(OSError):
        disabled_hosts.save({f"host-{n:05}" for n in range(8_000)})
    assert disabled_hosts.load() == host_ids


def test_last_config_file_omits_endpoint_list_and_skips_too_long_config(tmp_path: Path) -> None:
    last_config = LastConfigFile(tmp_path / "missing folder")
    assert last_config.load() is None
    last_config.save({"name": "n", "known": {"members": ["long"] * 50_000}})
    assert last_config.load() == {"name": "n"}
    last_config.save({"name": "m", "settings": "x" * MAX_BYTES})
    assert last_config.load() == {"name": "n"}
    last_config.path.write_text(json.dumps(["n"]))
    assert last_config.load() is None
