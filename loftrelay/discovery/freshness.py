"""Decides whether a registry's data is stale and which other registries to check for fresher data."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

MAX_CHECK_INTERVAL_FACTOR = 8  # longest time between two rounds of checks, in multiples of `stale_after`
MIN_FRESHNESS_GAIN_S = 1.0  # another registry's data has to be newer by this for a move


@dataclass(slots=True)
class Freshness:
    """Staleness of the data in use, checks of other registries, and registries with outdated revisions.

    Attributes:
        stale_after: Age of the data, in seconds, above which other registries are checked.
        rng: Source of jitter.
        pending_checks: Positions of registries still to check in this round.
        stale_rounds: Rounds of checks begun since the data was last fresh.
        next_round_at: Earliest time of the next round.
        outdated_since: Time since which registries have responded with older revisions than the relay has.
        outdated: Positions of registries that failed or were outdated since then.
        accepted_synced_at: When the registries whose revisions were accepted last heard from discovery.
    """

    stale_after: float
    rng: random.Random
    pending_checks: list[int] = field(default_factory=list)
    stale_rounds: int = 0
    next_round_at: float = -math.inf
    outdated_since: float | None = None
    outdated: set[int] = field(default_factory=set)
    accepted_synced_at: float = -math.inf

    def is_stale(self, age: float) -> bool:
        """Returns whether data of this age, in seconds, is stale."""
        return age > self.stale_after

    def is_round_due(self, now: float) -> bool:
        """Returns whether a round of checks may begin."""
        return not self.pending_checks and now >= self.next_round_at

    def begin_round(self, now: float, positions: list[int]) -> None:
        """Begins a round of checks. The interval between rounds doubles while the data stays stale."""
        self.stale_rounds += 1
        factor = min(2 ** (min(self.stale_rounds, 10) - 1), MAX_CHECK_INTERVAL_FACTOR)
        self.next_round_at = now + self.stale_after * factor * self.rng.uniform(0.5, 1)
        self.pending_checks = positions

    def end_rounds(self) -> None:
        """Cancels pending checks, as the data in use is fresh."""
        self.stale_rounds = 0
        self.pending_checks.clear()

    def should_move_to(
        self, age: float, synced_at: float, current_synced_at: float, is_preferred: bool
    ) -> bool:
        """Returns whether to move to a checked registry.

        Args:
            age: Age of its data, in seconds.
            synced_at: When it last received a response from discovery.
            current_synced_at: When the registry in use last received one.
            is_preferred: Whether it is the first in order of preference.
        """
        if is_preferred and not self.is_stale(age):
            return True
        return synced_at > current_synced_at + MIN_FRESHNESS_GAIN_S and self.stale_rounds > 0

    def revision_accepted(self, synced_at: float) -> None:
        """Resets the outdated registries: the one in use is not behind the relay.

        Args:
            synced_at: When it last received a response from discovery.
        """
        self.accepted_synced_at = max(self.accepted_synced_at, synced_at)
        self.outdated_since = None
        self.outdated.clear()

    def registry_failed(self, position: int) -> None:
        """Counts a registry that failed, or is behind, as outdated while others are."""
        if self.outdated_since is not None:
            self.outdated.add(position)

    def registry_outdated(self, now: float, position: int, registry_count: int, synced_at: float) -> bool:
        """Counts an outdated registry, unless it has heard nothing since the relay's own revision.

        Args:
            now: The time in seconds.
            position: Position of the registry.
            registry_count: Number of registries.
            synced_at: When it last received a response from discovery.

        Returns:
            Whether all registries have been outdated for so long that discovery must have restarted its
            revisions.
        """
        if synced_at <= self.accepted_synced_at:
            self.registry_failed(position)  # it is behind, which tells nothing about discovery
            return False
        if self.outdated_since is None:
            self.outdated_since = now
            self.outdated.clear()
        self.outdated.add(position)
        return now - self.outdated_since >= self.stale_after and len(self.outdated) >= registry_count
