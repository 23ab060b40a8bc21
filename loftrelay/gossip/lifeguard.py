"""Lifeguard's extensions of SWIM: local health and the suspicion timeout. Does no input or output.

Reference: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017).
"""

from __future__ import annotations

import math

MAX_HEALTH_SCORE = 7
MAX_CONFIRMATIONS = 3  # accusers after the first one that shorten the suspicion timeout
MAX_SUSPICION_TIMEOUT_MULT = 3  # multiple of the base timeout while nobody confirms the suspicion


class LocalHealth:
    """Health score of this relay, from 0 (healthy) to MAX_HEALTH_SCORE (least healthy).

    The probe interval is multiplied by one plus the score, so that a relay that may itself be delayed probes
    more slowly.
    """

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Raises the score: a probe timed out, a suspicion was refuted, or this process was paused."""
        self.score = min(MAX_HEALTH_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lowers the score: a probe was acknowledged."""
        self.score = max(0, self.score - 1)


def suspicion_timeout(base_us: int, accusers: int, health_score: int) -> int:
    """Returns the time until a suspected member is declared dead, in microseconds.

    It decreases with the logarithm of the number of accusers, from MAX_SUSPICION_TIMEOUT_MULT times the base
    for one accuser to the base for MAX_CONFIRMATIONS more.

    Args:
        base_us: Shortest timeout, microseconds.
        accusers: Number of distinct members that suspect the member, at least 1.
        health_score: Health score of this relay; a less healthy relay waits longer.
    """
    fraction = math.log(accusers) / math.log(MAX_CONFIRMATIONS + 1)
    factor = MAX_SUSPICION_TIMEOUT_MULT - (MAX_SUSPICION_TIMEOUT_MULT - 1) * min(1.0, fraction)
    return int(base_us * factor) * (1 + health_score // 2)
