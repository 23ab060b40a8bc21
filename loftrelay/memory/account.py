"""Account of the memory that peers can make the process use. Does no input or output.

What the process takes by itself (interpreter, modules, configuration, endpoint list) is not counted: it is
measured once the process is ready, and the account's capacity is what the limit then leaves. Parts of the
program either reserve bytes ahead, or are sources that tell how much they hold.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# Kept free for what is not counted: copies made by one step of the event loop, unused parts of the heap.
BASE_RESERVE_BYTES = 2 << 20
RESERVE_FRACTION = 1 / 64  # of the limit, in addition
MIN_FREE_BYTES = 1 << 20  # at the start; with less, not even small requests of regular clients are served
# Part of the capacity that unfinished requests leave to connections, messages and calls, and that long
# messages leave to short ones.
REQUESTS_LEAVE_FRACTION = 1 / 4
LONG_MESSAGES_LEAVE_FRACTION = 1 / 8
SHORT_MESSAGE_BYTES = 16 << 10
SHRINK_FRACTION = 0.9  # of what is in use, if that took the process too close to its limit
GROWTH_BYTES = 64 << 10  # of a reduced capacity at each observation with enough memory


class MemoryUse(Enum):
    """What memory is counted for. Values are names of metrics."""

    CONNECTIONS = "connections"
    REQUESTS = "requests"
    MESSAGES = "messages"
    CALLS = "calls"


class MemoryAccount:
    """Counts memory in use against a capacity.

    Attributes:
        capacity_bytes: What may be in use; None: unlimited, as before `calibrate`.
        resident_bytes: Resident memory of the process when it was last observed.
        limit_bytes: The limit of the process; None if it is unknown.
        is_short: Whether the process was too close to its limit when it was last observed.
    """

    def __init__(self) -> None:
        self.capacity_bytes: int | None = None
        self.limit_bytes: int | None = None
        self.resident_bytes = 0
        self.is_short = False
        self._reserved_bytes = 0
        self._sources: dict[MemoryUse, Callable[[], int]] = {}
        self._calibrated_bytes = 0
        self._min_capacity_bytes = 0
        self._peak_bytes = 0

    def add_source(self, use: MemoryUse, held_bytes: Callable[[], int]) -> None:
        """Adds a part of the program that tells how many bytes it holds."""
        self._sources[use] = held_bytes

    def calibrate(self, limit_bytes: int, resident_bytes: int, other_processes_bytes: int = 0) -> None:
        """Sets the capacity from the resident memory of the process, which is ready now.

        Args:
            limit_bytes: Limit of the process, or of all processes of the relay together.
            resident_bytes: Resident memory of this process.
            other_processes_bytes: To be left to another process of the relay during an upgrade.
        """
        left = limit_bytes - reserve_bytes(limit_bytes) - other_processes_bytes - resident_bytes
        self.limit_bytes = limit_bytes - other_processes_bytes
        self.capacity_bytes = self._calibrated_bytes = self.used_bytes + max(left, MIN_FREE_BYTES)
        self._min_capacity_bytes = self.used_bytes + MIN_FREE_BYTES
        self._peak_bytes = self.resident_bytes = resident_bytes

    def observe(self, resident_bytes: int) -> None:
        """Adapts the capacity to the resident memory of the process, where that differs from the count.

        Memory that was freed may stay resident and is used again, so that only growth near the limit reduces
        the capacity: to less than what was in use when it grew.
        """
        self.resident_bytes = resident_bytes
        if self.limit_bytes is None or self.capacity_bytes is None:
            return
        self.is_short = resident_bytes > self.limit_bytes - reserve_bytes(self.limit_bytes) // 2
        if self.is_short and resident_bytes > self._peak_bytes:
            reduced = int(min(self.capacity_bytes, self.used_bytes) * SHRINK_FRACTION)
            self.capacity_bytes = max(reduced, self._min_capacity_bytes)
        elif not self.is_short:
            self.capacity_bytes = min(self.capacity_bytes + GROWTH_BYTES, self._calibrated_bytes)
        self._peak_bytes = max(self._peak_bytes, resident_bytes)

    @property
    def used_bytes(self) -> int:
        """Bytes in use: reserved, or held by a source."""
        return self._reserved_bytes + sum(held_bytes() for held_bytes in self._sources.values())

    @property
    def free_bytes(self) -> int:
        """Bytes that are not in use; only after `calibrate`."""
        assert self.capacity_bytes is not None
        return max(0, self.capacity_bytes - self.used_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is in use than the capacity, which has been reduced."""
        return self.capacity_bytes is not None and self.used_bytes > self.capacity_bytes

    def has_room_for_message(self, size_bytes: int) -> bool:
        """Returns whether a message may be admitted; a long one, so that enough is left for short ones."""
        left_fraction = LONG_MESSAGES_LEAVE_FRACTION if size_bytes > SHORT_MESSAGE_BYTES else 0.0
        return self._has_room(size_bytes, left_fraction)

    def has_room_for_request(self, size_bytes: int) -> bool:
        """Returns whether an unfinished request may take so much, so that enough is left for other uses."""
        return self._has_room(size_bytes, REQUESTS_LEAVE_FRACTION)

    def reserve_request(self, size_bytes: int) -> bool:
        """Reserves bytes for an unfinished request, if there is room."""
        if not self.has_room_for_request(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Releases reserved bytes."""
        self._reserved_bytes -= size_bytes

    def bytes_by_use(self) -> dict[MemoryUse, int]:
        """Returns the bytes in use, for metrics and logs."""
        held = {use: held_bytes() for use, held_bytes in self._sources.items()}
        return {MemoryUse.REQUESTS: self._reserved_bytes, **held}

    def _has_room(self, size_bytes: int, left_fraction: float) -> bool:
        if self.capacity_bytes is None:
            return True
        return self.used_bytes + size_bytes <= self.capacity_bytes * (1 - left_fraction)


def reserve_bytes(limit_bytes: int) -> int:
    """Returns the memory to keep free for what is not counted."""
    return BASE_RESERVE_BYTES + int(limit_bytes * RESERVE_FRACTION)
