"""Messages of the demo."""

from __future__ import annotations

from loftrelay.demo.scenario import CLIENT_COUNT, create_messages


def test_create_messages_gives_unique_ids_and_one_client_per_ordering_key() -> None:
    by_client = create_messages(400, seed=3)
    assert len(by_client) == CLIENT_COUNT
    owners: dict[str, set[int]] = {}
    for client, messages in enumerate(by_client):
        for message in messages:
            owners.setdefault(message.ordering_key, set()).add(client)
    assert all(len(clients) == 1 for clients in owners.values())
    ids = [message.message_id for messages in by_client for message in messages]
    assert len(set(ids)) == len(ids) == 400


def test_create_messages_with_same_seed_gives_same_messages() -> None:
    assert create_messages(50, seed=5) == create_messages(50, seed=5)
    assert create_messages(50, seed=5) != create_messages(50, seed=6)
