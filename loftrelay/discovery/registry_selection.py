"""Chooses the registry that a relay uses: preference, failover, backoff and failback.

References: Thaler, Ravishankar, "Using name-based mappings to increase hit rates" (IEEE/ACM ToN 1998), for
the order of registries; Brooker, "Exponential backoff and jitter" (2015), for the backoff.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from loftrelay.net.address import Address

BACKOFF_BASE_S = 0.1  # upper bound of the wait after one failed round of all registries
BACKOFF_MAX_S = 2.0
FAILBACK_DELAY_S = 30.0
FAILBACK_DELAY_MAX_S = 600.0
MAX_RESETS = 3  # consecutive ones at one registry without a successful watch in between


@dataclass(slots=True)
class Registry:
    """One registry.

    Attributes:
        address: Address that it listens on.
        synced_at: When it last received a response from discovery, as reported by itself.
        logged_state: State that was last logged.
    """

    address: Address
    synced_at: float = -math.inf
    logged_state: str = ""

    def __str__(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"


def preference_order(name: str, registries: Iterable[Address]) -> list[Address]:
    """Sorts registries by rendezvous hashing with a relay's name.

    When a registry is removed, its relays spread over all others; a new one takes an equal share from each.
    """

    def weight(address: Address) -> bytes:
        return blake2b(f"{name}\0{address[0]}:{address[1]}".encode(), digest_size=8).digest()

    return sorted(registries, key=weight, reverse=True)


@dataclass(slots=True)
class RegistrySelection:
    """The registries in the relay's order of preference, and the one in use.

    Attributes:
        registries: In order of preference.
        rng: Source of jitter.
        counts: The subscription's counters.
        position: Position of the registry in use.
        failures: Consecutive failures of registries.
        resets: Consecutive full synchronizations at one registry.
        departures: Consecutive moves away from the preferred registry.
        failback_at: When the preferred registry is checked next.
    """

    registries: list[Registry]
    rng: random.Random
    counts: Counter[str]
    position: int = 0
    failures: int = 0
    resets: int = 0
    departures: int = 0
    failback_at: float = math.inf

    @property
    def current(self) -> Registry:
        """The registry in use."""
        return self.registries[self.position]

    @property
    def is_preferred(self) -> bool:
        """Whether the registry in use is the first in order of preference."""
        return self.position == 0

    def others(self) -> list[int]:
        """Returns the positions of all other registries, starting after the one in use."""
        count = len(self.registries)
        return [(self.position + step) % count for step in range(1, count)]

    def move_to(self, position: int) -> None:
        """Makes another registry the one in use."""
        if self.is_preferred and position:
            self.departures += 1
        if position == 0:
            self.failback_at = math.inf
        if position != self.position:
            self.counts["moved"] += 1
            self.position = position

    def fail_over(self) -> bool:
        """Moves to the next registry. Returns whether all have failed in this round."""
        self.failures += 1
        self.move_to((self.position + 1) % len(self.registries))
        return self.failures % len(self.registries) == 0

    def backoff(self) -> float:
        """Returns seconds until the next round of all registries, with full jitter."""
        rounds = self.failures // len(self.registries)
        return self.rng.uniform(0, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(20, rounds - 1)))

    def count_reset(self) -> bool:
        """Counts a full synchronization. Returns whether there were too many in a row at this registry."""
        self.resets += 1
        if self.resets <= MAX_RESETS:
            return False
        self.resets = 0
        return True

    def watch_succeeded(self, used_for: float) -> None:
        """Resets the failure counts. `used_for`: seconds for which the registry has been in use."""
        self.failures = self.resets = 0
        if self.is_preferred and used_for >= FAILBACK_DELAY_S:
            self.departures = 0

    def ensure_failback(self, now: float) -> None:
        """Schedules a check of the preferred registry if another is in use and no check is scheduled."""
        if not self.is_preferred and self.failback_at == math.inf:
            self.schedule_failback(now)

    def failback_check_failed(self, now: float) -> None:
        """Schedules the next check after a longer wait."""
        if not self.is_preferred and self.failback_at == math.inf:
            self.departures += 1
            self.schedule_failback(now)

    def schedule_failback(self, now: float) -> None:
        """Schedules a check, with jitter so that relays do not return to a registry all at once."""
        exponent = min(10, max(0, self.departures - 1))
        wait = min(FAILBACK_DELAY_MAX_S, FAILBACK_DELAY_S * 2**exponent)
        self.failback_at = now + wait * self.rng.uniform(0.5, 1.5)
