"""Small files that are replaced whole, or stay as they were."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loftrelay.state.atomic_file import write_atomically
from loftrelay.state.disabled_hosts import DisabledHostsFile
from loftrelay.state.last_config import MAX_BYTES, LastConfigFile


def test_a_failed_write_leaves_the_file_as_it_was(tmp_path: Path) -> None:
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
def test_an_unreadable_file_disables_no_host(tmp_path: Path, text: str) -> None:
    out = DisabledHostsFile(tmp_path)
    assert out.load() == set()
    out.save({"b", "a"})
    assert DisabledHostsFile(tmp_path).load() == {"a", "b"}
    out.path.write_text(text)
    assert out.load() == set()


def test_too_many_hosts_are_refused_and_the_old_set_stays(tmp_path: Path) -> None:
    out = DisabledHostsFile(tmp_path)
    all_of_a_fleet = {f"{n:05}{'host-' * 10}" for n in range(1_024)}
    out.save(all_of_a_fleet)
    with pytest.raises(OSError):
        out.save({f"host-{n:05}" for n in range(8_000)})
    assert out.load() == all_of_a_fleet


def test_the_last_config_omits_the_endpoint_list_and_a_huge_one_is_not_saved(tmp_path: Path) -> None:
    last = LastConfigFile(tmp_path / "not there yet")
    assert last.load() is None
    last.save({"name": "n", "known": {"members": ["long"] * 50_000}})
    assert last.load() == {"name": "n"}
    last.save({"name": "m", "settings": "x" * MAX_BYTES})
    assert last.load() == {"name": "n"}
    last.path.write_text(json.dumps(["n"]))
    assert last.load() is None
