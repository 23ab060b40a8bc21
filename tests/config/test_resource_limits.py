"""How descriptors, memory and disk are divided."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import pytest

from loftrelay.config.resource_limits import ResourceLimits, compute_limits


def limits(granted: Mapping[str, Any], calls: int | None = None, **options: bool) -> ResourceLimits:
    flags = {"has_admin_endpoint": False, "is_gossiping": False, **options}
    return compute_limits(granted, max_descriptors=4096, max_concurrent_calls=calls, **flags)


def test_without_a_limit_of_calls_hosts_get_half_of_the_descriptors() -> None:
    assert limits({"sockets": 1040, "memory_mb": 1000}) == ResourceLimits(500, 500, 2_900_000)


def test_hosts_get_two_connections_a_call_and_some_that_are_idle() -> None:
    found = limits({"sockets": 1040, "memory_mb": 1000}, calls=10)
    assert (found.max_host_connections, found.max_client_connections) == (84, 916)


def test_the_operating_system_limits_descriptors_too() -> None:
    granted = {"sockets": 100_000, "memory_mb": 10_000}
    assert limits(granted).max_host_connections == (4096 - 40) // 2


def test_memory_limits_client_connections() -> None:
    assert limits({"memory_mb": 10}, calls=10).max_client_connections == 50


@pytest.mark.parametrize("option", ["has_admin_endpoint", "is_gossiping"])
def test_files_of_operator_calls_take_disk_from_the_journal(option: str) -> None:
    assert limits({"disk_mb": 3}).journal_bytes == 2_900_000
    assert limits({"disk_mb": 3}, **{option: True}).journal_bytes == 2_640_000
    assert limits({"disk_mb": 0.1}).journal_bytes == 90_000
    assert limits({"disk_mb": 0.1}, **{option: True}).journal_bytes == 80_000


def test_the_admin_endpoint_has_descriptors_of_its_own() -> None:
    granted = {"sockets": 1040, "memory_mb": 1000}
    without, with_admin = limits(granted), limits(granted, has_admin_endpoint=True)
    assert without.max_client_connections - with_admin.max_client_connections == 32


@pytest.mark.parametrize("granted", [{"sockets": "x"}, {"disk_mb": None}, {"memory_mb": []}])
def test_a_limit_that_is_no_number_is_rejected(granted: Mapping[str, Any]) -> None:
    with pytest.raises((TypeError, ValueError)):
        limits(granted)
