"""Whose unfinished request is read on when memory is scarce, and whose gives way."""

from __future__ import annotations

from typing import cast
from unittest.mock import MagicMock

from loftrelay.memory.account import MemoryAccount
from loftrelay.server.http.connection import ClientConnection
from loftrelay.server.http.connection_state import ClientKind
from loftrelay.server.http.connection_table import REQUEST_GRACE_S, STALLED_AFTER_S, ConnectionTable
from loftrelay.server.http.request_memory import RequestMemory

KIB = 1 << 10
ROOM = 100 * KIB  # for unfinished requests


class Setting:
    """Requests of clients that have begun at given times, and never go on."""

    def __init__(self) -> None:
        account = MemoryAccount()
        account.capacity_bytes = ROOM * 4 // 3
        self.table = ConnectionTable(limit=100)
        self.memory = RequestMemory(account, self.table)

    def client(self, kind: ClientKind, receiving_since: float = 0.0) -> ClientConnection:
        client = cast(ClientConnection, MagicMock(receiving_since=receiving_since, transport=None))
        client.is_closing = False
        self.table.add(client, kind, 0.0)
        return client


def test_request_without_memory_waits_and_gets_what_another_releases() -> None:
    setting = Setting()
    first, second = setting.client(ClientKind.NEW), setting.client(ClientKind.NEW)
    assert setting.memory.reserve(first, 80 * KIB)
    assert not setting.memory.reserve(second, 80 * KIB)
    assert second.awaits_memory
    assert setting.memory.grant_waiting() == []
    setting.memory.release(first)
    assert setting.memory.grant_waiting() == [second]
    assert not second.awaits_memory


def test_reservation_grows_by_what_is_missing() -> None:
    setting = Setting()
    client = setting.client(ClientKind.NEW)
    assert setting.memory.reserve(client, 30 * KIB) and setting.memory.reserve(client, 90 * KIB)
    assert setting.memory.account.used_bytes == 90 * KIB
    setting.memory.release(client)
    assert setting.memory.account.used_bytes == 0


def test_regular_client_precedes_new_ones_and_short_requests_precede_long_ones() -> None:
    setting = Setting()
    holder = setting.client(ClientKind.NEW)
    long, short = setting.client(ClientKind.NEW), setting.client(ClientKind.NEW)
    regular = setting.client(ClientKind.REGULAR)
    assert setting.memory.reserve(holder, 95 * KIB)
    for client, size in ((long, 60 * KIB), (short, 20 * KIB), (regular, 60 * KIB)):
        assert not setting.memory.reserve(client, size)
    setting.memory.release(holder)
    assert setting.memory.grant_waiting() == [regular, short]


def test_new_client_that_waits_takes_the_place_of_a_stalled_one_alone() -> None:
    setting = Setting()
    holder, waiting = setting.client(ClientKind.NEW), setting.client(ClientKind.NEW)
    assert setting.memory.reserve(holder, 90 * KIB)
    assert setting.memory.choose_eviction(10.0) is None  # nobody waits
    assert not setting.memory.reserve(waiting, 90 * KIB)
    assert setting.memory.choose_eviction(REQUEST_GRACE_S / 2) is None
    assert setting.memory.choose_eviction(REQUEST_GRACE_S) is holder


def test_regular_client_that_waits_takes_the_place_of_any_new_one() -> None:
    setting = Setting()
    holder, waiting = setting.client(ClientKind.NEW), setting.client(ClientKind.REGULAR)
    assert setting.memory.reserve(holder, 90 * KIB)
    assert not setting.memory.reserve(waiting, 90 * KIB)
    assert setting.memory.choose_eviction(0.001) is holder


def test_request_of_a_regular_client_gives_way_once_its_client_has_given_it_up() -> None:
    setting = Setting()
    holder, waiting = setting.client(ClientKind.REGULAR), setting.client(ClientKind.REGULAR)
    assert setting.memory.reserve(holder, 90 * KIB)
    assert not setting.memory.reserve(waiting, 90 * KIB)
    assert setting.memory.choose_eviction(STALLED_AFTER_S / 2) is None
    assert setting.memory.choose_eviction(STALLED_AFTER_S) is holder


def test_too_many_clients_that_wait_lose_the_oldest_new_one() -> None:
    setting = Setting()
    setting.memory.max_waiting = 2
    assert setting.memory.reserve(setting.client(ClientKind.NEW), 95 * KIB)
    waiting = [setting.client(kind) for kind in (ClientKind.REGULAR, ClientKind.NEW, ClientKind.NEW)]
    for client in waiting[:2]:
        assert not setting.memory.reserve(client, 50 * KIB)
    assert setting.memory.choose_surplus_waiting() is None
    assert not setting.memory.reserve(waiting[2], 50 * KIB)
    assert setting.memory.choose_surplus_waiting() is waiting[1]
