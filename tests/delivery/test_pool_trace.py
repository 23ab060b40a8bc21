"""The pool decides as before its split into modules: the same actions for the same events."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from loftrelay.delivery.connection_pool.actions import (
    CloseConnection,
    ConnectFailure,
    FailCall,
    LogLine,
    OpenConnection,
    PoolErrorKind,
    UseConnection,
)
from loftrelay.delivery.connection_pool.manager import PoolManager
from loftrelay.delivery.connection_pool.settings import DistrustScope, PoolSettings, ReuseOrder
from tests.delivery.pool_trace import Trace, settings_of

GOLDEN: dict[str, str] = json.loads((Path(__file__).parent / "golden" / "pool_traces.json").read_text())
API: dict[str, Any] = {
    "connected": "connected",
    "answered": "response_received",
    "request": "acquire",
    "failed": "connect_failed",
    "lost": "connection_lost",
    "closed": "closed_by_peer",
    "unsolicited": "unsolicited_data_received",
    "unused": "release_unused",
    "cancel": "cancel",
    "address": "set_host",
    "drain": "drain_host",
    "remove": "remove_host",
    "close_idle": "close_idle",
    "due": "next_timer_at",
    "tick": "run_timers",
    "outcome": "record_outcome",
    "needs_new": "requires_unused",
    "earliest": "min_response_time",
    "first_use": "is_first_use",
    "waits_for_room": "is_waiting_for_release",
    "refused": ConnectFailure.REFUSED,
    "timed_out": ConnectFailure.TIMED_OUT,
    "no_descriptors": ConnectFailure.NO_DESCRIPTORS,
    "error_names": {
        PoolErrorKind.NO_CONNECTION: "NO_CONNECTION",
        PoolErrorKind.NO_DESCRIPTORS: "NO_ROOM",
        PoolErrorKind.HOST_REMOVED: "GONE",
    },
}
KINDS = {
    UseConnection: "use",
    OpenConnection: "open",
    CloseConnection: "close",
    FailCall: "deny",
    LogLine: "log",
}


def play(seed: int) -> tuple[str, dict[str, int]]:
    settings = settings_of(seed)
    settings["distrust_scope"] = DistrustScope(settings["distrust_scope"])
    settings["reuse_order"] = ReuseOrder(settings["reuse_order"])
    trace = Trace(seed, PoolManager(PoolSettings(**settings), seed), API, KINDS)
    return trace.run(), trace.actions


@pytest.mark.parametrize("seed", GOLDEN)
def test_actions_are_those_of_the_pool_before_its_split(seed: str) -> None:
    """The digests were made by the module at 32c0038."""
    assert play(int(seed))[0] == GOLDEN[seed]


def test_the_traces_cover_every_kind_of_action() -> None:
    totals = Counter[str]()
    for seed in GOLDEN:
        totals.update(play(int(seed))[1])
    assert set(totals) == set(KINDS.values())
    assert min(totals.values()) > 100
