"""Ordering: messages of one ordering key are delivered in turn.

A message may go once all before it are over and their final status is reported, and once the key's cooldown
after an attempt with an unknown outcome has passed: that attempt may still be running.
"""

from __future__ import annotations

from loftrelay.decisions.entities import Call, Destination, OpenMessage, OrderingKey
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER


def key_named(state: DecisionState, name: str) -> OrderingKey:
    """Returns the ordering key of a name, a new one if need be."""
    return state.ordering_keys.setdefault(name, OrderingKey(name))


def join_queue(state: DecisionState, message: OpenMessage, name: str) -> None:
    """Puts a message behind all others of its ordering key."""
    message.ordering_key = key_named(state, name)
    message.ordering_key.pending.append(message)


def leave_queue(state: DecisionState, message: OpenMessage) -> None:
    """Lets the next message of the ordering key go."""
    message.destination.unfinished -= 1
    key = message.ordering_key
    if key is None:
        return
    key.pending.remove(message)
    if key.cooldown_until < NEVER:
        state.set_timer(key.cooldown_until, key)


def is_first(message: OpenMessage) -> bool:
    """Returns whether no other message of its ordering key goes before it."""
    key = message.ordering_key
    return key is None or key.pending[0] is message


def is_next(state: DecisionState, message: OpenMessage) -> bool:
    """Returns whether a message may go now, as far as order is concerned."""
    key = message.ordering_key
    if key is None:
        return True
    has_cooled_down = message.attempts > 0 or key.cooldown_until <= state.now
    return key.pending[0] is message and has_cooled_down


def start_cooldown(state: DecisionState, key: OrderingKey, destination: Destination) -> None:
    """Holds an ordering key back after an attempt with an unknown outcome."""
    key.cooldown_until = state.now + (state.settings.ordering_cooldown or 0)
    destination.cooldown_until = max(destination.cooldown_until, key.cooldown_until)
    state.set_timer(key.cooldown_until, key)


def hold_until_call_ends(key: OrderingKey, call: Call) -> None:
    """Holds an ordering key back while another message of the same call has no outcome yet."""
    key.cooldown_until = NEVER
    call.uncertain_keys.append(key)


def extend_cooldown(state: DecisionState, name: str, remaining: int) -> None:
    """Holds an ordering key back for an attempt from before a restart."""
    key = key_named(state, name)
    key.cooldown_until = max(key.cooldown_until, state.now + remaining)
    state.set_timer(key.cooldown_until, key)


def drop_unused_key(state: DecisionState, key: OrderingKey) -> None:
    """Forgets an ordering key that has no message and no cooldown."""
    if not key.pending and state.ordering_keys.get(key.name) is key:
        del state.ordering_keys[key.name]
