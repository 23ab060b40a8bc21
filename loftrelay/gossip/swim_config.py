"""Timing of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Intervals in microseconds.

    Attributes:
        probe_interval_us: Between two probes.
        suspicion_timeout_us: Shortest time for which a member is suspected before it is declared dead.
    """

    probe_interval_us: int
    suspicion_timeout_us: int
