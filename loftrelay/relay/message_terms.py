"""The terms that a message is taken on under, as the journal tells them, and the classes that are accepted.

It does no input or output.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from typing import Any

from loftrelay.decisions.settings import DeliverySemantics, MessageClass, MessageTerms, RelaySettings

HARMLESS = (DeliverySemantics.IDEMPOTENT.value, DeliverySemantics.DEDUPLICATED.value)
# Clients go on using a class that was dropped until they have heard of it, and then hand in once more what
# was refused: it is taken under its old terms for so long (microseconds).
LEAST_GRACE = 5_000_000


def pack(about: MessageClass, max_attempts: int | None) -> tuple[Any, ...]:
    return (
        about.semantics.value,
        about.dedup_scope,
        about.dedup_window,
        about.latency_objective,
        about.deadline,
        about.priority_weight,
        about.late_priority_weight,
        about.is_ordered,
        max_attempts,
    )


def unpack(class_name: str, packed: Sequence[Any]) -> MessageTerms:
    return _unpack(class_name, tuple(packed))


@lru_cache(maxsize=256)
def _unpack(class_name: str, packed: tuple[Any, ...]) -> MessageTerms:
    effect, *rest, max_attempts = packed
    return MessageTerms(MessageClass(class_name, DeliverySemantics(effect), *rest), max_attempts)


def is_repeatable(packed: Sequence[Any] | None) -> bool:
    """Whether a message of these terms may run twice. Without terms nobody knows."""
    return packed is not None and packed[0] in HARMLESS


def is_idempotent(packed: Sequence[Any] | None) -> bool:
    """Whether a message of these terms may run again at any time. Where a destination drops repeats, it does
    so for a while alone: its id has to be known for as long as a client may hand it in again.
    """
    return packed is not None and packed[0] == DeliverySemantics.IDEMPOTENT.value


class AcceptedClasses:
    """The classes that messages may be handed in under: those in force, and for a while those dropped."""

    def __init__(self, settings: RelaySettings) -> None:
        self.in_force = settings
        self.retired: dict[str, tuple[tuple[Any, ...], int]] = {}  # with when it is turned away

    def apply_settings(self, settings: RelaySettings, now: int) -> None:
        old = self.in_force
        self.in_force = settings
        for name, about in old.classes.items():
            if name not in settings.classes:
                grace = max(LEAST_GRACE, about.deadline or 0)
                self.retired[name] = pack(about, old.max_attempts), now + grace
        for name in settings.classes:
            self.retired.pop(name, None)

    def terms(self, class_name: str, now: int) -> tuple[Any, ...] | None:
        """None for a class that is not taken."""
        if (about := self.in_force.classes.get(class_name)) is not None:
            return pack(about, self.in_force.max_attempts)
        packed, until = self.retired.get(class_name, ((), 0))
        if until <= now:
            self.retired.pop(class_name, None)
            return None
        return packed

    def message_class(self, class_name: str, now: int) -> MessageClass | None:
        if (about := self.in_force.classes.get(class_name)) is not None:
            return about
        packed = self.terms(class_name, now)
        return unpack(class_name, packed).message_class if packed is not None else None
