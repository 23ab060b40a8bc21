"""Divides what the platform grants a relay (`limits` of its file) among its parts. No input or output."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from loftrelay.state.atomic_file import RESERVED_BYTES, RESERVED_WITH_OVERRIDES_BYTES

# Descriptors for the journal, discovery, the event loop, and connections accepted before others are closed.
RESERVED_DESCRIPTORS = 40
# Descriptors of the admin endpoint, which clients can't use up.
ADMIN_DESCRIPTORS = 32
# Connections to hosts that may stay open beside those of calls in flight.
IDLE_HOST_CONNECTIONS = 64
# A connection's buffers hold up to 80 KB, so clients use 0.4 of the memory at the most.
CLIENT_CONNECTIONS_PER_MB = 5
DEFAULT_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_DISK_MB = 3
# The journal's share of the disk is never less than this, however small the disk.
MIN_JOURNAL_TENTHS = 9
MIN_JOURNAL_TENTHS_WITH_OVERRIDES = 8


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What each part of a relay may use."""

    max_client_connections: int
    max_host_connections: int
    journal_bytes: int


def compute_limits(
    granted: Mapping[str, Any],
    max_descriptors: int,
    max_concurrent_calls: int | None,
    has_admin_endpoint: bool,
    is_gossiping: bool,
) -> ResourceLimits:
    """Divides descriptors, memory and disk.

    Args:
        granted: `limits` of the platform's file: `sockets`, `memory_mb`, `disk_mb`.
        max_descriptors: What the operating system lets this process open.
        max_concurrent_calls: The limit of calls in flight, or None without one.
        has_admin_endpoint: Whether operators can call this relay.
        is_gossiping: Whether operators' calls at other relays reach this one.

    Raises:
        ValueError, TypeError: A limit is not a number.
    """
    descriptors = min(int(granted.get("sockets", DEFAULT_DESCRIPTORS)), max_descriptors)
    available = descriptors - RESERVED_DESCRIPTORS
    # Each call may have two connections; hosts get half of all descriptors at the most.
    to_hosts = min(available // 2, 2 * (max_concurrent_calls or descriptors) + IDLE_HOST_CONNECTIONS)
    from_clients = available - to_hosts - (ADMIN_DESCRIPTORS if has_admin_endpoint else 0)
    memory_mb = int(granted.get("memory_mb", DEFAULT_MEMORY_MB))
    return ResourceLimits(
        max_client_connections=min(from_clients, memory_mb * CLIENT_CONNECTIONS_PER_MB),
        max_host_connections=to_hosts,
        journal_bytes=_journal_bytes(
            float(granted.get("disk_mb", DEFAULT_DISK_MB)), has_admin_endpoint or is_gossiping
        ),
    )


def _journal_bytes(disk_mb: float, has_overrides: bool) -> int:
    """Leaves space to the files beside the journal, which are larger where operators can disable hosts."""
    disk_bytes = int(disk_mb * 1_000_000)
    reserved = RESERVED_WITH_OVERRIDES_BYTES if has_overrides else RESERVED_BYTES
    tenths = MIN_JOURNAL_TENTHS_WITH_OVERRIDES if has_overrides else MIN_JOURNAL_TENTHS
    return max(disk_bytes - reserved, disk_bytes * tenths // 10)
