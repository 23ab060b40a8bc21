"""Divides a relay's resources (`limits` of the platform's file) among its parts. This module does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from loftrelay.state.atomic_file import RESERVED_BYTES, RESERVED_WITH_OVERRIDES_BYTES

# For the journal, discovery, the event loop, and connections accepted before others are closed.
RESERVED_DESCRIPTORS = 40
# For the admin endpoint, so that clients can't use them up.
ADMIN_DESCRIPTORS = 32
# Idle connections to hosts, in addition to those of calls in flight.
IDLE_HOST_CONNECTIONS = 64
CLIENT_CONNECTIONS_PER_MB = (
    5  # at most; once it is ready, a relay counts their memory (server/http/server.py)
)
# A list is not read where it could take more memory than the process leaves: a byte of it costs so much while
# it is parsed and as entries. A thousand endpoints are always read.
LIST_MEMORY_BYTES_PER_BYTE = 20
IDLE_PROCESS_BYTES = 26 << 20
MIN_LIST_BYTES = 256 << 10
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_DISK_MB = 3
# Minimum share of the disk for the journal, in tenths; it applies to small disks.
MIN_JOURNAL_TENTHS = 9
MIN_JOURNAL_TENTHS_WITH_OVERRIDES = 8


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resource limits of the parts of a relay.

    Attributes:
        max_client_connections: Limit until the relay has measured its memory.
        max_host_connections: Limit on connections to hosts.
        journal_bytes: Disk space of the journal.
        memory_bytes: Limit of the relay's processes; None: not given.
        client_descriptors: Descriptors left for clients.
    """

    max_client_connections: int
    max_host_connections: int
    journal_bytes: int
    memory_bytes: int | None
    client_descriptors: int


def compute_limits(
    limits: Mapping[str, Any],
    max_descriptors: int,
    max_concurrent_calls: int | None,
    has_admin_endpoint: bool,
    is_gossiping: bool,
) -> ResourceLimits:
    """Divides file descriptors, memory and disk space.

    Args:
        limits: `limits` of the platform's file: `sockets`, `memory_mb`, `disk_mb`.
        max_descriptors: Limit of the operating system for this process.
        max_concurrent_calls: Limit of calls in flight; None: unlimited.
        has_admin_endpoint: Whether this relay has an admin endpoint.
        is_gossiping: Whether overrides of operators at other relays reach this one.

    Raises:
        ValueError, TypeError: A limit is not a number.
    """
    descriptors = min(int(limits.get("sockets", DEFAULT_DESCRIPTORS)), max_descriptors)
    available = descriptors - RESERVED_DESCRIPTORS
    # A call may use two connections; connections to hosts get at most half of the descriptors.
    host_connections = min(available // 2, 2 * (max_concurrent_calls or descriptors) + IDLE_HOST_CONNECTIONS)
    client_connections = available - host_connections - (ADMIN_DESCRIPTORS if has_admin_endpoint else 0)
    memory_mb = int(limits.get("memory_mb", DEFAULT_MEMORY_MB))
    return ResourceLimits(
        max_client_connections=min(client_connections, memory_mb * CLIENT_CONNECTIONS_PER_MB),
        max_host_connections=host_connections,
        journal_bytes=_compute_journal_bytes(
            float(limits.get("disk_mb", DEFAULT_DISK_MB)), has_admin_endpoint or is_gossiping
        ),
        memory_bytes=memory_mb << 20 if "memory_mb" in limits else None,
        client_descriptors=client_connections,
    )


def longest_list_bytes(memory_bytes: int | None, longest_parsed_bytes: int) -> int:
    """Returns the longest list of endpoints that a relay may read.

    Args:
        memory_bytes: Limit of the relay's processes; None: not given.
        longest_parsed_bytes: Longest list that can be parsed without a long pause.
    """
    if memory_bytes is None:
        return longest_parsed_bytes
    affordable = (memory_bytes - IDLE_PROCESS_BYTES) // LIST_MEMORY_BYTES_PER_BYTE
    return min(longest_parsed_bytes, max(MIN_LIST_BYTES, affordable))


def _compute_journal_bytes(disk_mb: float, has_overrides: bool) -> int:
    """Reserves disk space for the other state files, which are larger if operators can disable hosts."""
    disk_bytes = int(disk_mb * 1_000_000)
    reserved = RESERVED_WITH_OVERRIDES_BYTES if has_overrides else RESERVED_BYTES
    min_tenths = MIN_JOURNAL_TENTHS_WITH_OVERRIDES if has_overrides else MIN_JOURNAL_TENTHS
    return max(disk_bytes - reserved, disk_bytes * min_tenths // 10)
