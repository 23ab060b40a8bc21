"""Durability mode of a message, by the delivery terms under which it was admitted."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import is_repeatable
from loftrelay.store.state_machine import DurabilityMode


@dataclass(frozen=True, slots=True)
class DurabilityPolicy:
    """Durability modes that the operator has configured.

    A message keeps the terms of its admission, so its mode does not depend on whether its class is still
    configured.

    Attributes:
        at_most_once: Mode of messages that must not run twice.
        repeatable: Mode of all other messages.
    """

    at_most_once: DurabilityMode = DurabilityMode.WRITE_AHEAD
    repeatable: DurabilityMode = DurabilityMode.WRITE_BEHIND

    def mode_of(self, message: Message | None) -> DurabilityMode:
        """Returns the mode of a message; that of at-most-once messages if its terms are unknown."""
        if message is not None and is_repeatable(message.packed_terms):
            return self.repeatable
        return self.at_most_once
