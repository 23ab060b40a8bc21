"""Queue of updates that are disseminated by piggybacking on other datagrams.

Each update is sent RETRANSMIT_MULT * log2(n) times by each relay, the least transmitted first (SWIM,
section 4.1). Does no input or output.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Generic, TypeVar

RETRANSMIT_MULT = 3

Payload = TypeVar("Payload")


def retransmit_limit(cluster_size: int) -> int:
    """Returns how often one relay transmits an update.

    Args:
        cluster_size: Number of other relays.
    """
    return RETRANSMIT_MULT * math.ceil(math.log2(cluster_size + 2))


class BroadcastQueue(Generic[Payload]):
    """Pending updates by key; a later update of a key replaces the earlier one."""

    def __init__(self) -> None:
        self._payloads: dict[str, Payload] = {}
        self._transmissions: dict[str, int] = {}

    @property
    def keys(self) -> set[str]:
        """Keys with a pending update."""
        return set(self._payloads)

    def add(self, key: str, payload: Payload) -> None:
        """Queues an update and resets its number of transmissions."""
        self._payloads[key] = payload
        self._transmissions[key] = 0

    def add_missing(self, payloads: Mapping[str, Payload]) -> None:
        """Queues the updates whose keys have no pending update."""
        for key, payload in payloads.items():
            if key not in self._payloads:
                self.add(key, payload)

    def remove(self, key: str) -> None:
        """Drops the pending update of a key, if there is one."""
        self._payloads.pop(key, None)
        self._transmissions.pop(key, None)

    def clear(self) -> None:
        """Drops all pending updates."""
        self._payloads.clear()
        self._transmissions.clear()

    def next_batch(self, limit: int, cluster_size: int, first: str | None = None) -> dict[str, Payload]:
        """Selects updates for one datagram and counts the transmission.

        Args:
            limit: Maximum number of updates.
            cluster_size: Number of other relays.
            first: Key whose update precedes all others, regardless of its number of transmissions.

        Returns:
            Updates by key.
        """
        if not self._payloads:
            return {}
        keys = sorted(self._payloads, key=lambda key: (key != first, self._transmissions[key]))[:limit]
        batch = {key: self._payloads[key] for key in keys}
        max_transmissions = retransmit_limit(cluster_size)
        for key in keys:
            self._transmissions[key] += 1
            if self._transmissions[key] >= max_transmissions:
                self.remove(key)
        return batch
