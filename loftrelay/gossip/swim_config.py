"""Timing of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Intervals in microseconds.

    Attributes:
        probe_interval_us: Time between two probes.
        suspicion_timeout_us: Shortest time between the suspicion of a member and its declaration as dead.
    """

    probe_interval_us: int
    suspicion_timeout_us: int
