"""Operators' overrides of hosts: which hosts are disabled, replicated to all relays. Does no input or output.

Each host has a last-writer-wins register. The stamp of an override is Unix time in milliseconds, or one more
than the stamp of the override that it replaces, whichever is higher. An override therefore always replaces
those that its operator could see, regardless of the relay's clock. Of two concurrent overrides, the one with
the higher stamp wins; if the stamps are equal, the one from the relay whose name sorts last. Relays that have
received the same overrides have the same state.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from loftrelay.gossip.broadcast_queue import BroadcastQueue

MAX_HOSTS = 2_048
MAX_STAMP_MS = 1 << 53  # later stamps are rejected as invalid
MAX_UPDATES_PER_DATAGRAM = 5
MAX_RANDOM_UPDATES = 2  # further overrides in each datagram, in case an earlier datagram was lost


@dataclass(frozen=True, slots=True)
class OperatorOverride:
    """An operator's command for one host.

    Attributes:
        host: Id of the host.
        is_disabled: Whether the host is disabled; False lifts an earlier override.
        stamp: Unix time in milliseconds, see the docstring of the module.
        origin: Name of the relay that received the command.
    """

    host: str
    is_disabled: bool
    stamp: int
    origin: str

    @property
    def precedence(self) -> tuple[int, str, bool]:
        """Sort key of overrides of one host: the override with the higher precedence is in force."""
        return self.stamp, self.origin, self.is_disabled


class Overrides:
    """Overrides in force, and those that are to be disseminated.

    Args:
        name: Name of this relay.
        random_seed: Seed of the pseudo-random generator.

    Attributes:
        by_host: Overrides in force.
        broadcasts: Overrides that are to be disseminated.
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
            disabled_hosts: Hosts that are disabled on this relay. A host without a stored override gets one
                with stamp 0, so that any other override replaces it.
        """
        for override in overrides:
            self._store(override)
        for host in disabled_hosts:
            if host not in self.by_host:
                self._store(OperatorOverride(host, True, 0, self.name))

    def set_local(self, host: str, is_disabled: bool, wall_clock_ms: int) -> OperatorOverride | None:
        """Records a command given at this relay.

        Returns:
            The new override; None if the command changes nothing.
        """
        previous = self.by_host.get(host)
        if previous is not None and previous.is_disabled == is_disabled:
            return None
        min_stamp = 0 if previous is None else previous.stamp + 1
        override = OperatorOverride(host, is_disabled, max(wall_clock_ms, min_stamp), self.name)
        self._store(override)
        return override

    def merge(self, overrides: Iterable[OperatorOverride]) -> list[OperatorOverride]:
        """Merges overrides from another relay; returns those that were put in force."""
        applied = []
        for override in overrides:
            previous = self.by_host.get(override.host)
            is_superseded = previous is not None and previous.precedence >= override.precedence
            if is_superseded or not 0 <= override.stamp <= MAX_STAMP_MS:
                continue
            self._store(override)
            applied.append(override)
        return applied

    def next_broadcasts(self, cluster_size: int) -> list[OperatorOverride]:
        """Returns overrides for the next datagram: pending ones, then random others.

        Args:
            cluster_size: Number of other relays.
        """
        pending = self.broadcasts.next_batch(MAX_UPDATES_PER_DATAGRAM, cluster_size)
        others = [host for host in self.by_host if host not in pending]
        chosen = self._random.sample(others, min(len(others), MAX_RANDOM_UPDATES))
        return [*pending.values(), *(self.by_host[host] for host in chosen)]

    def rebroadcast_all(self) -> None:
        """Queues all overrides, for a relay that has joined and may have none."""
        self.broadcasts.add_missing(self.by_host)

    def _store(self, override: OperatorOverride) -> None:
        self.by_host[override.host] = override
        self.broadcasts.add(override.host, override)
        if len(self.by_host) > MAX_HOSTS:
            self._evict()

    def _evict(self) -> None:
        """Drops the oldest override, of enabled hosts first: enabled is the state without an override."""
        oldest = min(self.by_host.values(), key=lambda override: (override.is_disabled, override.stamp))
        del self.by_host[oldest.host]
        self.broadcasts.remove(oldest.host)
