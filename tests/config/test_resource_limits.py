"""Division of descriptors, memory and disk space."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import pytest

from loftrelay.config.resource_limits import ResourceLimits, compute_limits, longest_list_bytes


def make_limits(granted: Mapping[str, Any], calls: int | None = None, **options: bool) -> ResourceLimits:
    flags = {"has_admin_endpoint": False, "is_gossiping": False, **options}
    return compute_limits(granted, max_descriptors=4096, max_concurrent_calls=calls, **flags)


def test_compute_limits_without_call_limit_gives_hosts_half_of_descriptors() -> None:
    assert make_limits({"sockets": 1040, "memory_mb": 1000}) == ResourceLimits(
        500, 500, 2_900_000, 1000 << 20, 500
    )


def test_compute_limits_with_call_limit_gives_two_connections_per_call_and_idle_ones() -> None:
    computed = make_limits({"sockets": 1040, "memory_mb": 1000}, calls=10)
    assert (computed.max_host_connections, computed.max_client_connections) == (84, 916)


def test_compute_limits_respects_limit_of_operating_system() -> None:
    granted = {"sockets": 100_000, "memory_mb": 10_000}
    assert make_limits(granted).max_host_connections == (4096 - 40) // 2


def test_compute_limits_without_memory_limit_gives_none() -> None:
    assert make_limits({"sockets": 1040}).memory_bytes is None


def test_compute_limits_with_little_memory_limits_client_connections() -> None:
    assert make_limits({"memory_mb": 10}, calls=10).max_client_connections == 50


@pytest.mark.parametrize("option", ["has_admin_endpoint", "is_gossiping"])
def test_compute_limits_with_overrides_reserves_disk_space(option: str) -> None:
    assert make_limits({"disk_mb": 3}).journal_bytes == 2_900_000
    assert make_limits({"disk_mb": 3}, **{option: True}).journal_bytes == 2_640_000
    assert make_limits({"disk_mb": 0.1}).journal_bytes == 90_000
    assert make_limits({"disk_mb": 0.1}, **{option: True}).journal_bytes == 80_000


def test_compute_limits_with_admin_endpoint_reserves_descriptors() -> None:
    granted = {"sockets": 1040, "memory_mb": 1000}
    without, with_admin = make_limits(granted), make_limits(granted, has_admin_endpoint=True)
    assert without.max_client_connections - with_admin.max_client_connections == 32


@pytest.mark.parametrize("granted", [{"sockets": "x"}, {"disk_mb": None}, {"memory_mb": []}])
def test_compute_limits_with_invalid_number_raises(granted: Mapping[str, Any]) -> None:
    with pytest.raises((TypeError, ValueError)):
        make_limits(granted)


@pytest.mark.parametrize(
    ("memory_mb", "expected"),
    [(None, 2 << 20), (32, 314_572), (16, 256 << 10), (48, 1_153_433), (192, 2 << 20)],
)
def test_longest_list_follows_from_memory_and_has_a_thousand_endpoints(
    memory_mb: int | None, expected: int
) -> None:
    """Issue 67: a list of 2 MiB, read whole, takes more than 32 MB."""
    memory_bytes = None if memory_mb is None else memory_mb << 20
    assert longest_list_bytes(memory_bytes, 2 << 20) == expected
