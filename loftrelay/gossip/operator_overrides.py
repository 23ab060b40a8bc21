"""Operators' overrides of hosts: which host is disabled, replicated to all relays. No input or output.

A last-writer-wins register per host. The stamp of an override is Unix time in milliseconds, or one more than
the stamp of the override that it replaces, whichever is higher: an override always replaces those that its
operator could see, whatever the clock of the relay. Of two concurrent overrides the one with the higher stamp
wins, at equal stamps the one from the relay whose name sorts last. Relays that have received the same
overrides hold the same ones.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from loftrelay.gossip.broadcast_queue import BroadcastQueue

MAX_HOSTS = 2_048
MAX_STAMP_MS = 1 << 53  # a later one is no valid time
MAX_UPDATES_PER_DATAGRAM = 5
MAX_RANDOM_UPDATES = 2  # known overrides added to each datagram, in case an earlier one was lost


@dataclass(frozen=True, slots=True)
class OperatorOverride:
    """An operator's command for one host.

    Attributes:
        host: Id of the host.
        is_disabled: Whether the host is disabled; otherwise an earlier override is lifted.
        stamp: Milliseconds of Unix time, see the module.
        origin: Name of the relay that received the command.
    """

    host: str
    is_disabled: bool
    stamp: int
    origin: str

    @property
    def precedence(self) -> tuple[int, str, bool]:
        """Of two overrides of one host, the one with the higher precedence holds."""
        return self.stamp, self.origin, self.is_disabled


class Overrides:
    """The overrides that hold, by host, and those that are to be disseminated.

    Args:
        name: Name of this relay.
        random_seed: Of the pseudo-random generator.
    """

    def __init__(self, name: str, random_seed: int) -> None:
        self.name = name
        self.by_host: dict[str, OperatorOverride] = {}
        self.broadcasts: BroadcastQueue[OperatorOverride] = BroadcastQueue()
        self._random = random.Random(random_seed)

    def restore(self, overrides: Iterable[OperatorOverride], disabled_hosts: Iterable[str]) -> None:
        """Restores stored state.

        Args:
            overrides: Stored overrides.
            disabled_hosts: Hosts that are disabled on this relay. One without a stored override gets stamp 0,
                so that any other override replaces it.
        """
        for override in overrides:
            self._set(override)
        for host in disabled_hosts:
            if host not in self.by_host:
                self._set(OperatorOverride(host, True, 0, self.name))

    def set_local(self, host: str, is_disabled: bool, wall_clock_ms: int) -> OperatorOverride | None:
        """Records a command given at this relay; returns None if it changes nothing."""
        before = self.by_host.get(host)
        if before is not None and before.is_disabled == is_disabled:
            return None
        min_stamp = 0 if before is None else before.stamp + 1
        override = OperatorOverride(host, is_disabled, max(wall_clock_ms, min_stamp), self.name)
        self._set(override)
        return override

    def merge(self, overrides: Iterable[OperatorOverride]) -> list[OperatorOverride]:
        """Merges overrides from another relay; returns those that hold from now on."""
        applied = []
        for override in overrides:
            before = self.by_host.get(override.host)
            is_superseded = before is not None and before.precedence >= override.precedence
            if is_superseded or not 0 <= override.stamp <= MAX_STAMP_MS:
                continue
            self._set(override)
            applied.append(override)
        return applied

    def next_broadcasts(self, cluster_size: int) -> list[OperatorOverride]:
        """Overrides for the next datagram: pending ones, then some others at random.

        Args:
            cluster_size: Number of other relays.
        """
        pending = self.broadcasts.next_batch(MAX_UPDATES_PER_DATAGRAM, cluster_size)
        others = [host for host in self.by_host if host not in pending]
        chosen = self._random.sample(others, min(len(others), MAX_RANDOM_UPDATES))
        return [*pending.values(), *(self.by_host[host] for host in chosen)]

    def rebroadcast_all(self) -> None:
        """Queues all overrides, for a relay that has joined and may know none."""
        self.broadcasts.add_missing(self.by_host)

    def _set(self, override: OperatorOverride) -> None:
        self.by_host[override.host] = override
        self.broadcasts.add(override.host, override)
        if len(self.by_host) > MAX_HOSTS:
            self._evict()

    def _evict(self) -> None:
        """Drops the oldest override, an enabled host first: enabled is the state without an override."""
        oldest = min(self.by_host.values(), key=lambda override: (override.is_disabled, override.stamp))
        del self.by_host[oldest.host]
        self.broadcasts.remove(oldest.host)
