"""For tests that run an engine's batches themselves."""

from __future__ import annotations

import math

import pytest

from loftrelay.relay import batch_loop, context, stall_detector


@pytest.fixture(autouse=True)
def no_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    """No message makes a transition that the table does not have."""

    def fault(message: str, *stages: object) -> None:
        raise AssertionError(f"{message}: {stages}")

    monkeypatch.setattr(context, "_log_invalid_transition", fault)


@pytest.fixture
def no_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    """That the loop does not run meanwhile is no sign of a stall of the process."""
    monkeypatch.setattr(batch_loop, "STALL_THRESHOLD_S", math.inf)
    monkeypatch.setattr(stall_detector, "STALL_THRESHOLD_S", math.inf)
