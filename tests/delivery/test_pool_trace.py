"""Regression test: the pool returns the same actions for the same events as before its split into modules."""

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
from tests.delivery.pool_trace import PoolTrace, draw_settings

GOLDEN_DIGESTS: dict[str, str] = json.loads(
    (Path(__file__).parent / "golden" / "pool_traces.json").read_text()
)
METHOD_NAMES: dict[str, Any] = {
    "connected": "connected",
    "response": "response_received",
    "acquire": "acquire",
    "connect_failed": "connect_failed",
    "connection_lost": "connection_lost",
    "closed_by_peer": "closed_by_peer",
    "unsolicited": "unsolicited_data_received",
    "release_unused": "release_unused",
    "cancel": "cancel",
    "set_host": "set_host",
    "drain": "drain_host",
    "remove": "remove_host",
    "close_idle": "close_idle",
    "next_timer_at": "next_timer_at",
    "run_timers": "run_timers",
    "record_outcome": "record_outcome",
    "requires_unused": "requires_unused",
    "min_response_time": "min_response_time",
    "is_first_use": "is_first_use",
    "is_waiting_for_release": "is_waiting_for_release",
    "refused": ConnectFailure.REFUSED,
    "timed_out": ConnectFailure.TIMED_OUT,
    "no_descriptors": ConnectFailure.NO_DESCRIPTORS,
    "error_names": {
        PoolErrorKind.NO_CONNECTION: "NO_CONNECTION",
        PoolErrorKind.NO_DESCRIPTORS: "NO_ROOM",
        PoolErrorKind.HOST_REMOVED: "GONE",
    },
}
ACTION_NAMES = {
    UseConnection: "use",
    OpenConnection: "open",
    CloseConnection: "close",
    FailCall: "deny",
    LogLine: "log",
}


def run_trace(seed: int) -> tuple[str, dict[str, int]]:
    settings = draw_settings(seed)
    settings["distrust_scope"] = DistrustScope(settings["distrust_scope"])
    settings["reuse_order"] = ReuseOrder(settings["reuse_order"])
    trace = PoolTrace(seed, PoolManager(PoolSettings(**settings), seed), METHOD_NAMES, ACTION_NAMES)
    return trace.run(), trace.action_counts


@pytest.mark.parametrize("seed", GOLDEN_DIGESTS)
def test_pool_actions_match_digest_of_earlier_version(seed: str) -> None:
    """The digests were made with the single module at commit 32c0038."""
    assert run_trace(int(seed))[0] == GOLDEN_DIGESTS[seed]


def test_traces_contain_every_type_of_action() -> None:
    totals = Counter[str]()
    for seed in GOLDEN_DIGESTS:
        totals.update(run_trace(int(seed))[1])
    assert set(totals) == set(ACTION_NAMES.values())
    assert min(totals.values()) > 100
