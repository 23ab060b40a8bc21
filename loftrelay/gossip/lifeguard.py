"""Lifeguard's extensions of SWIM: local health and the suspicion timeout. No input or output.

Reference: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017).
"""

from __future__ import annotations

import math

MAX_HEALTH_SCORE = 7
MAX_CONFIRMATIONS = 3  # further accusers that shorten a suspicion
MAX_SUSPICION_TIMEOUT_MULT = 3  # of a suspicion that nobody confirms


class LocalHealth:
    """Score of this relay's own health: 0 is healthy, MAX_HEALTH_SCORE the least healthy.

    The probe interval is multiplied by one more than the score, so that a relay that may itself be late
    probes more slowly.
    """

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """A probe went unanswered, a suspicion had to be refuted, or this process was paused."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def improve(self) -> None:
        """A probe was acknowledged."""
        self.score = max(0, self.score - 1)


def suspicion_timeout(base_us: int, accusers: int, health_score: int) -> int:
    """Time until a suspected member is declared dead, in microseconds.

    It falls from MAX_SUSPICION_TIMEOUT_MULT times the base with one accuser to the base with
    MAX_CONFIRMATIONS more, by the logarithm of their number.

    Args:
        base_us: Shortest timeout, microseconds.
        accusers: Number of distinct members that suspect it, at least 1.
        health_score: Of this relay; a less healthy one waits longer.
    """
    fraction = math.log(accusers) / math.log(MAX_CONFIRMATIONS + 1)
    factor = MAX_SUSPICION_TIMEOUT_MULT - (MAX_SUSPICION_TIMEOUT_MULT - 1) * min(1.0, fraction)
    return int(base_us * factor) * (1 + health_score // 2)
