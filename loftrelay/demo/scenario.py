"""Configuration and messages of the demo: two message classes and two destinations."""

from __future__ import annotations

import random
from typing import Any

from loftrelay.demo.clients import Message

CLIENT_COUNT = 16
ORDERED_FRACTION = 1 / 3
KEYS_PER_CLIENT = 4
DESTINATIONS = (1, 2)
LIMITS: dict[str, Any] = {"sockets": 256, "disk_mb": 50, "memory_mb": 128}
# In the format of the platform's configuration file.
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "status", "effect": "idempotent", "deadline": 24_000_000, "on_time": 3_000_000, "worth": 1},
        {
            "name": "order",
            "effect": "at_most_once",
            "in_order": True,
            "deadline": 24_000_000,
            "on_time": 3_000_000,
            "worth": 3,
        },
    ],
    "extra": {"bundle_max": [1], "call_slots": 32, "own_limits": [False]},
    "flavors": ["plain"],
    "policy_limits": {
        "conn_idle": 15_000_000,
        "connect_timeout": 1_000_000,
        "most_held": 2000,
        "most_tries": 12,
    },
    "safety": {"ask_every": 10_000_000, "settle_after_doubt": 300_000},
    "tenants": [{"name": "acme", "allowance_per_s": 1000.0, "fraction": 1.0}],
    "tick": 5000,
}
AT_MOST_ONCE_CLASSES = frozenset(
    row["name"] for row in SETTINGS["classes"] if row["effect"] == "at_most_once"
)


def create_messages(count: int, seed: int) -> list[list[Message]]:
    """Returns each client's messages; only one client uses an ordering key, and it submits one at a time."""
    rng = random.Random(seed)
    by_client: list[list[Message]] = [[] for _ in range(CLIENT_COUNT)]
    for number in range(count):
        client = number % CLIENT_COUNT
        class_name = "order" if rng.random() < ORDERED_FRACTION else "status"
        destination = rng.choice(DESTINATIONS)
        ordering_key = f"turbine-{client}-{rng.randrange(KEYS_PER_CLIENT)}"
        message_id = f"{class_name}-{number:06}"
        by_client[client].append(Message(message_id, class_name, destination, ordering_key, b'{"demo":true}'))
    return by_client
