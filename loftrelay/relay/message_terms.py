"""Delivery terms of messages in the form that the journal stores, and the classes that are accepted.

Does no input or output.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Any

from loftrelay.decisions.settings import DeliverySemantics, MessageClass, MessageTerms, RelaySettings

# As in the journal: semantics, dedup scope, dedup window, latency objective, deadline, priority weight, late
# priority weight, whether ordered, most attempts.
PackedTerms = tuple[Any, ...]

REPEATABLE_SEMANTICS = (DeliverySemantics.IDEMPOTENT.value, DeliverySemantics.DEDUPLICATED.value)
# Shortest time for which a removed class is accepted: clients use it until they learn of its removal, and
# submit rejected messages again.
MIN_RETIREMENT_US = 5_000_000


def pack(message_class: MessageClass, max_attempts: int | None) -> PackedTerms:
    """Returns the terms of a class as the journal stores them."""
    return (
        message_class.semantics.value,
        message_class.dedup_scope,
        message_class.dedup_window,
        message_class.latency_objective,
        message_class.deadline,
        message_class.priority_weight,
        message_class.late_priority_weight,
        message_class.is_ordered,
        max_attempts,
    )


def unpack(class_name: str, packed: Sequence[Any]) -> MessageTerms:
    """Returns the terms that `pack` has packed."""
    return _unpack(class_name, tuple(packed))


@lru_cache(maxsize=256)
def _unpack(class_name: str, packed: PackedTerms) -> MessageTerms:
    semantics, *rest, max_attempts = packed
    return MessageTerms(MessageClass(class_name, DeliverySemantics(semantics), *rest), max_attempts)


def is_repeatable(packed: Sequence[Any] | None) -> bool:
    """Returns whether a message with these terms may run twice; False for unknown terms."""
    return packed is not None and packed[0] in REPEATABLE_SEMANTICS


def is_idempotent(packed: Sequence[Any] | None) -> bool:
    """Returns whether a message with these terms may run again at any time.

    A destination that drops duplicates does so only for its dedup window, so the id of such a message has to
    stay known for as long as a client may submit it again.
    """
    return packed is not None and packed[0] == DeliverySemantics.IDEMPOTENT.value


def dedup_window(packed: Sequence[Any] | None) -> int | None:
    """Returns for how long a destination drops duplicates of a message, in microseconds; None if unknown."""
    return None if packed is None else packed[2]


class AcceptedClasses:
    """The classes under which messages are admitted: configured ones, and for some time removed ones."""

    def __init__(self, settings: RelaySettings) -> None:
        self.settings = settings
        # Class name -> terms, and until when it is accepted (wall-clock microseconds).
        self.retired: dict[str, tuple[PackedTerms, int]] = {}

    def apply_settings(self, settings: RelaySettings, now: int) -> None:
        """Uses the classes of new settings, and retires the classes that they no longer contain.

        Args:
            settings: the new settings.
            now: the time in wall-clock microseconds.
        """
        previous = self.settings
        self.settings = settings
        for name, message_class in previous.classes.items():
            if name not in settings.classes:
                accepted_for = max(MIN_RETIREMENT_US, message_class.deadline or 0)
                self.retired[name] = pack(message_class, previous.max_attempts), now + accepted_for
        for name in settings.classes:
            self.retired.pop(name, None)

    def restore_retired(self, retired: Mapping[str, tuple[PackedTerms, int]]) -> None:
        """Restores the retired classes of a predecessor, except those that are configured here."""
        self.retired = {name: entry for name, entry in retired.items() if name not in self.settings.classes}

    def terms(self, class_name: str, now: int) -> PackedTerms | None:
        """Returns the terms of a class; None if it is not accepted. `now` is in wall-clock microseconds."""
        message_class = self.settings.classes.get(class_name)
        if message_class is not None:
            return pack(message_class, self.settings.max_attempts)
        packed, until = self.retired.get(class_name, ((), 0))
        if until <= now:
            self.retired.pop(class_name, None)
            return None
        return packed

    def message_class(self, class_name: str, now: int) -> MessageClass | None:
        """Returns a class by name; None if it is not accepted. `now` is in wall-clock microseconds."""
        message_class = self.settings.classes.get(class_name)
        if message_class is not None:
            return message_class
        packed = self.terms(class_name, now)
        return unpack(class_name, packed).message_class if packed is not None else None
