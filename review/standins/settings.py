"""Settings of a small deployment, in the platform's form (WIRE, "The settings")."""

from __future__ import annotations

from typing import Any

SECOND_US = 1_000_000


def small_deployment(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a deployment with two relays; `changes` replace top-level keys."""
    settings: dict[str, Any] = {
        "classes": [
            {
                "name": "status-update",
                "effect": "idempotent",
                "key_scope": "all",
                "deadline": 24 * SECOND_US,
                "on_time": 3 * SECOND_US,
                "worth": 1.0,
                "late_worth": 0.4,
                "streamed": False,
                "window": 5 * SECOND_US,
            },
            {
                "name": "work-order",
                "effect": "at_most_once",
                "in_order": True,
                "key_scope": "all",
                "deadline": 24 * SECOND_US,
                "on_time": 2_500_000,
                "worth": 3.0,
                "late_worth": 0.5,
                "streamed": False,
                "window": 5 * SECOND_US,
            },
        ],
        "client_habits": {"marks_retry": True},
        "counted_by": "request",
        "discovery": "on_request",
        "extra": {
            "bundle_max": [20, 1, 1],
            "call_slots": 6,
            "fades": "line",
            "fee_by_zone": [0.0, 0.0],
            "own_limits": [True, False, False],
            "refused_price": 0.05,
        },
        "family": "deliver",
        "feedback": {"fields": [], "source": "silent"},
        "flavors": ["grid-operators", "farm-owners", "service-firms"],
        "localities": ["server-room", "back-room"],
        "me": 0,
        "over_share_worth": 0.1,
        "peers_total": 2,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 15 * SECOND_US,
            "connect_timeout": SECOND_US,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 80_000,
            "max_retry_after": 2 * SECOND_US,
            "max_streams": 1,
            "may_tell": False,
            "most_held": 136,
            "most_tries": 12,
            "probes": False,
            "retry_after": False,
            "second_copies": False,
        },
        "safety": {
            "ask_every": 10 * SECOND_US,
            "cold": 12 * SECOND_US,
            "cold_from": 0.23,
            "fall_multiple": 2.0,
            "grace_to_answer": 20_000,
            "settle_after_doubt": 300_000,
            "stop_sending_within": 2 * SECOND_US,
            "tip_after": 2 * SECOND_US,
        },
        "tenants": [
            {"name": "noordzee-wind", "allowance_per_s": 16.0, "fraction": 0.5},
            {"name": "polder-energie", "allowance_per_s": 5.0, "fraction": 0.5},
        ],
        "tick": 5000,
        "tier": 0,
        "tiers": ["partner-systems"],
        "weight_kind": "silent",
        "zone": "server-room",
    }
    return {**settings, **changes}
