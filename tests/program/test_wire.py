"""Relay and registry write the same bytes as the program of commit 32c0038 (the baseline)."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.standins.wire import SCENES, play

FIXTURES = Path(__file__).parents[1] / "fixtures" / "wire_32c0038"


@pytest.mark.parametrize("scene", SCENES)
def test_scene_writes_same_bytes_as_baseline(tmp_path: Path, scene: str) -> None:
    actual = asyncio.run(play(scene, tmp_path))
    assert actual.splitlines() == (FIXTURES / f"{scene}.txt").read_text().splitlines()


def test_every_recorded_scene_is_played() -> None:
    assert {path.stem for path in FIXTURES.glob("*.txt")} == set(SCENES)
