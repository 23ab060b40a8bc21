"""Judges how recent a registry's data is, and which other registries to compare it with."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

MAX_CHECK_INTERVAL_FACTOR = 8  # times `stale_after`, between two rounds of checks
MIN_FRESHNESS_GAIN_S = 1.0  # by which another registry's data has to be newer, for a move


@dataclass(slots=True)
class Freshness:
    """Staleness of the data in use, checks of other registries, and revisions that went backwards.

    Attributes:
        stale_after: Age in seconds from which on other registries are checked.
        rng: Source of jitter.
        pending_checks: Positions of registries still to check in this round.
        fruitless_rounds: Consecutive rounds of checks that found no fresher registry.
        next_round_at: When the next round may begin.
        outdated_since: Since when registries answer with older revisions than the relay has.
        outdated: Positions of registries that failed or were outdated since then.
    """

    stale_after: float
    rng: random.Random
    pending_checks: list[int] = field(default_factory=list)
    fruitless_rounds: int = 0
    next_round_at: float = -math.inf
    outdated_since: float | None = None
    outdated: set[int] = field(default_factory=set)

    def is_stale(self, age: float) -> bool:
        """Whether data of that age, in seconds, calls for a check of others."""
        return age > self.stale_after

    def is_round_due(self, now: float) -> bool:
        """Whether a round of checks may begin."""
        return not self.pending_checks and now >= self.next_round_at

    def begin_round(self, now: float, positions: list[int]) -> None:
        """Begins a round of checks. Rounds grow rarer while none finds a fresher registry."""
        self.fruitless_rounds += 1
        factor = min(2 ** (min(self.fruitless_rounds, 10) - 1), MAX_CHECK_INTERVAL_FACTOR)
        self.next_round_at = now + self.stale_after * factor * self.rng.uniform(0.5, 1)
        self.pending_checks = positions

    def end_rounds(self) -> None:
        """Ends the checks: the data in use is recent."""
        self.fruitless_rounds = 0
        self.pending_checks.clear()

    def is_move_worthwhile(
        self, age: float, synced_at: float, current_synced_at: float, is_first: bool
    ) -> bool:
        """Whether to move to a checked registry.

        Args:
            age: Age of its data, in seconds.
            synced_at: When it last heard from discovery.
            current_synced_at: When the registry in use last did.
            is_first: It is the first in order of preference.
        """
        if is_first and not self.is_stale(age):
            return True
        return synced_at > current_synced_at + MIN_FRESHNESS_GAIN_S and self.fruitless_rounds > 0

    def revision_accepted(self) -> None:
        """The registry in use is not behind the relay."""
        self.outdated_since = None
        self.outdated.clear()

    def registry_failed(self, position: int) -> None:
        """Counts a registry that failed while others were outdated."""
        if self.outdated_since is not None:
            self.outdated.add(position)

    def registry_outdated(self, now: float, position: int, registries: int) -> bool:
        """Counts an outdated registry.

        Returns:
            Whether all have been outdated for long enough to conclude that discovery restarted its revisions.
        """
        if self.outdated_since is None:
            self.outdated_since = now
            self.outdated.clear()
        self.outdated.add(position)
        return now - self.outdated_since >= self.stale_after and len(self.outdated) >= registries
