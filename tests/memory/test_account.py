"""What peers may use of the memory that the limit of the process leaves."""

from __future__ import annotations

import pytest

from loftrelay.memory.account import MIN_FREE_BYTES, MemoryAccount, MemoryUse, reserve_bytes

MIB = 1 << 20
LIMIT, IDLE = 32 * MIB, 24 * MIB


def make_account(held: int = 0, other_processes: int = 0) -> MemoryAccount:
    account = MemoryAccount()
    account.add_source(MemoryUse.MESSAGES, lambda: held)
    account.calibrate(LIMIT, IDLE + held, other_processes)
    return account


def test_capacity_is_what_the_idle_process_leaves() -> None:
    account = make_account()
    assert account.capacity_bytes == LIMIT - reserve_bytes(LIMIT) - IDLE


def test_what_is_held_at_the_start_counts_as_used_and_not_as_the_process() -> None:
    account = make_account(held=MIB)
    assert account.capacity_bytes == make_account().capacity_bytes
    assert account.used_bytes == MIB


def test_process_that_leaves_too_little_still_serves_short_messages() -> None:
    account = make_account(held=MIB, other_processes=20 * MIB)
    assert account.free_bytes == MIN_FREE_BYTES
    assert account.has_room_for_message(10_000)


def test_unfinished_requests_leave_room_for_messages() -> None:
    account = make_account()
    while account.reserve_request(64_000):
        pass
    assert account.has_room_for_message(10_000)
    assert account.has_room_for_message(64_000)
    account.release(64_000)
    assert account.reserve_request(64_000)


def test_long_messages_leave_room_for_short_ones() -> None:
    account = make_account()
    free = account.free_bytes
    account.add_source(MemoryUse.CALLS, lambda: free - 100_000)
    assert not account.has_room_for_message(64_000)
    assert account.has_room_for_message(10_000)


def test_account_without_a_limit_has_room_for_everything() -> None:
    account = MemoryAccount()
    account.observe(1 << 40)
    assert account.reserve_request(1 << 40) and account.has_room_for_message(1 << 40)
    assert not account.is_exceeded


def test_growth_near_the_limit_reduces_the_capacity_below_what_is_in_use() -> None:
    account = make_account()
    assert account.reserve_request(3 * MIB)
    account.observe(LIMIT - MIB // 2)
    assert account.is_short and account.is_exceeded
    reduced = account.capacity_bytes
    account.observe(LIMIT - MIB // 2)  # memory that was freed stays resident: no growth
    assert account.capacity_bytes == reduced


@pytest.mark.parametrize("observations", [1, 200])
def test_capacity_returns_slowly_once_memory_is_there(observations: int) -> None:
    account = make_account()
    calibrated = account.capacity_bytes
    assert calibrated is not None and account.reserve_request(3 * MIB)
    account.observe(LIMIT - MIB // 2)
    account.release(3 * MIB)
    for _ in range(observations):
        account.observe(IDLE)
    assert account.capacity_bytes is not None and not account.is_short
    assert (account.capacity_bytes == calibrated) == (observations == 200)
