"""Fixtures for tests that run the batches of an engine themselves."""

from __future__ import annotations

import math

import pytest

from loftrelay.relay import batch_loop, context, stall_detector


@pytest.fixture(autouse=True)
def no_invalid_transitions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fails the test on a transition that the message state machine does not allow."""

    def fail(message_id: str, *stages: object) -> None:
        raise AssertionError(f"{message_id}: {stages}")

    monkeypatch.setattr(context, "_log_invalid_transition", fail)


@pytest.fixture
def no_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables stall detection, as these tests don't run the event loop all the time."""
    monkeypatch.setattr(batch_loop, "STALL_THRESHOLD_S", math.inf)
    monkeypatch.setattr(stall_detector, "STALL_THRESHOLD_S", math.inf)
