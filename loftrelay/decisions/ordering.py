"""Ordering: messages of one ordering key are delivered one after the other.

A message may be sent once all earlier ones of its key have ended, their final status is reported, and the
cooldown of the key is over. The cooldown follows an attempt with an unknown outcome, which may still run.
"""

from __future__ import annotations

from loftrelay.decisions.entities import Call, Destination, OpenMessage, OrderingKey
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER


def get_or_create_key(state: DecisionState, name: str) -> OrderingKey:
    """Returns the ordering key of a name; creates it if it does not exist."""
    return state.ordering_keys.setdefault(name, OrderingKey(name))


def join_queue(state: DecisionState, message: OpenMessage, name: str) -> None:
    """Appends a message to the queue of its ordering key."""
    message.ordering_key = get_or_create_key(state, name)
    message.ordering_key.pending.append(message)


def leave_queue(state: DecisionState, message: OpenMessage) -> None:
    """Removes a message from the queue of its ordering key, which releases the next one."""
    message.destination.unfinished -= 1
    key = message.ordering_key
    if key is None:
        return
    key.pending.remove(message)
    if key.cooldown_until < NEVER:
        state.set_timer(key.cooldown_until, key)


def is_first(message: OpenMessage) -> bool:
    """Returns whether a message has no ordering key or is at the head of its queue."""
    key = message.ordering_key
    return key is None or key.pending[0] is message


def is_next(state: DecisionState, message: OpenMessage) -> bool:
    """Returns whether ordering allows a message to be sent now."""
    key = message.ordering_key
    if key is None:
        return True
    has_cooled_down = message.attempts > 0 or key.cooldown_until <= state.now
    return key.pending[0] is message and has_cooled_down


def start_cooldown(state: DecisionState, key: OrderingKey, destination: Destination) -> None:
    """Blocks an ordering key for the cooldown after an attempt with an unknown outcome."""
    key.cooldown_until = state.now + (state.settings.ordering_cooldown or 0)
    destination.cooldown_until = max(destination.cooldown_until, key.cooldown_until)
    state.set_timer(key.cooldown_until, key)


def hold_until_call_ends(key: OrderingKey, call: Call) -> None:
    """Blocks an ordering key until its call ends: other messages of the call have no outcome yet."""
    key.cooldown_until = NEVER
    call.uncertain_keys.append(key)


def extend_cooldown(state: DecisionState, name: str, remaining: int) -> None:
    """Blocks an ordering key for an attempt from before a restart; `remaining` is in microseconds."""
    key = get_or_create_key(state, name)
    key.cooldown_until = max(key.cooldown_until, state.now + remaining)
    state.set_timer(key.cooldown_until, key)


def drop_unused_key(state: DecisionState, key: OrderingKey) -> None:
    """Deletes an ordering key that has no message; called at the end of each of its cooldowns."""
    if not key.pending and state.ordering_keys.get(key.name) is key:
        del state.ordering_keys[key.name]
