"""For tests that run an engine's turns themselves."""

from __future__ import annotations

import math

import pytest

from loftrelay.relay import engine, stall_detector


@pytest.fixture(autouse=True)
def no_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    """No message takes a step that its life does not know."""

    def fault(self: engine.Engine, message: str, *steps: object) -> None:
        raise AssertionError(f"{message}: {steps}")

    monkeypatch.setattr(engine.Engine, "_fault", fault)


@pytest.fixture
def no_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    """That the loop does not run meanwhile is no sign that the process stood still."""
    monkeypatch.setattr(engine, "STALL_THRESHOLD_S", math.inf)
    monkeypatch.setattr(stall_detector, "STALL_THRESHOLD_S", math.inf)
