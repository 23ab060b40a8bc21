"""Estimators: event rates with exponential decay, and smoothed call times."""

from __future__ import annotations

import math
from dataclasses import dataclass

from loftrelay.decisions.units import SECOND_US

RATE_SPAN_US = 10 * SECOND_US
DEMAND_SPAN_US = 60 * SECOND_US
CALL_TIME_GAIN = 1 / 8  # RFC 6298, alpha
DEVIATION_GAIN = 1 / 4  # RFC 6298, beta
LONG_TERM_GAIN = 1 / 64


@dataclass(slots=True)
class DecayingRate:
    """Events per second, with exponential decay over `span_us` microseconds."""

    span_us: int = RATE_SPAN_US
    value: float = 0.0
    updated_at: int = 0

    def read(self, now: int) -> float:
        """Returns the rate at a time, in events per second."""
        return self.value * math.exp((self.updated_at - now) / self.span_us)

    def add(self, now: int, weight: float = 1.0) -> None:
        """Adds one event, or a fraction of one."""
        self.value = self.read(now) + weight * SECOND_US / self.span_us
        self.updated_at = now


@dataclass(slots=True)
class CallTimes:
    """Smoothed call time and mean deviation in microseconds (RFC 6298), with a long-term mean."""

    smoothed: float = 0.0
    deviation: float = 0.0
    long_term: float = 0.0

    def add(self, elapsed: int) -> None:
        """Adds the duration of one successful call, in microseconds."""
        if not self.smoothed:
            self.smoothed = float(elapsed)
            self.deviation = elapsed / 2
            self.long_term = float(elapsed)
            return
        self.deviation += (abs(elapsed - self.smoothed) - self.deviation) * DEVIATION_GAIN
        self.smoothed += (elapsed - self.smoothed) * CALL_TIME_GAIN
        self.long_term += (elapsed - self.long_term) * LONG_TERM_GAIN
