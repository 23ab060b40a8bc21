"""Estimates from resets the time after which a host, or a middlebox before it, drops connections."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.delivery.connection_pool.settings import SECOND

MIN_LIMIT_US = SECOND // 8  # a reset after a shorter time may have crossed a response
OCTAVE_COUNT = 16
NO_TIME_US = float(1 << 62)
DECAY_STEP = 1 / 16  # fraction of the memory after which counts are reduced


@dataclass(slots=True)
class OctaveCount:
    """Counts for one octave of time: all connections, those reset, and the earliest reset."""

    total: float = 0.0
    resets: float = 0.0
    min_reset_us: float = NO_TIME_US


class IdleResetEstimator:
    """Counts used and reset connections by idle time or age, in octaves whose counts decay linearly."""

    __slots__ = ("decayed_at", "memory", "octaves")

    def __init__(self, memory: int) -> None:
        self.memory = max(1, memory)
        self.decayed_at = 0
        self.octaves: list[OctaveCount] = []  # empty until the first reset

    def add(self, now: int, duration: int, is_reset: bool) -> None:
        """Counts a connection that was used or reset after `duration` microseconds."""
        self._decay(now)
        if not self.octaves:
            if not is_reset:
                return
            self.decayed_at = now
            self.octaves = [OctaveCount() for _ in range(OCTAVE_COUNT)]
        octave = self.octaves[min(OCTAVE_COUNT - 1, (duration // MIN_LIMIT_US).bit_length())]
        octave.total += 1
        if is_reset:
            octave.resets += 1
            octave.min_reset_us = min(octave.min_reset_us, duration)

    def limit(self, now: int, min_resets: int) -> int | None:
        """Returns the time in microseconds after which most connections are reset; None if none is known.

        At least `min_resets` resets are needed. If new connections (octave 0) are reset as often, the
        time is not the cause.
        """
        self._decay(now)
        if not self.octaves:
            return None
        new = self.octaves[0]
        threshold = max(0.5, 2 * new.resets / new.total if new.resets >= 1 else 0.0)
        for index, octave in enumerate(self.octaves[1:], 1):
            if octave.resets > min_resets - 0.5 and octave.resets >= threshold * octave.total:
                return int(max(MIN_LIMIT_US << index - 1, 0.9 * octave.min_reset_us))
        return None

    def _decay(self, now: int) -> None:
        elapsed = (now - self.decayed_at) / self.memory
        if not self.octaves or elapsed < DECAY_STEP:
            return
        self.decayed_at = now
        remaining = max(0.0, 1 - elapsed)
        for octave in self.octaves:
            octave.total *= remaining
            octave.resets *= remaining
        if not any(octave.resets > 0.25 for octave in self.octaves):
            self.octaves = []
