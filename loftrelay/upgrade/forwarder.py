"""Forwards outcomes and operators' commands from a predecessor, which makes no decisions, to the owner."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from loftrelay.relay.ports import AttemptResult, DisputedDelivery
from loftrelay.upgrade.channel import Channel
from loftrelay.upgrade.messages import (
    AttemptOutcome,
    ConfigurationReplaced,
    DeliveryDisputed,
    HandoverMessage,
    OutcomeDisputed,
    OverrideAnswered,
    OverrideRequested,
    RetryAfterReceived,
    write_message,
)

OnAnswer = Callable[[str | None], None]  # called with the reason if an override failed, else with None


# Messages that concern no attempt in flight.
_INDEPENDENT_MESSAGES = (OverrideRequested, ConfigurationReplaced, DeliveryDisputed)


class Forwarder:
    """Forwards outcomes from the engine and overrides from operators; queues them while there is no owner."""

    def __init__(self) -> None:
        self._channel: Channel | None = None  # to the owner; None: messages are queued
        self._queue: list[HandoverMessage] = []
        self._overrides: dict[int, tuple[OverrideRequested, OnAnswer]] = {}  # unanswered, by number
        self._last_override_number = 0

    @property
    def has_unanswered_overrides(self) -> bool:
        """Whether the owner has not yet answered an override."""
        return bool(self._overrides)

    def attempt_ended(self, message_id: str, host: str, result: AttemptResult) -> None:
        """Forwards the result of an attempt, except `is_stale` and `is_late`, which concern this process."""
        self._forward(AttemptOutcome(message_id, host, replace(result, is_stale=False, is_late=False)))

    def retry_after_received(self, host: str, retry_after: int) -> None:
        """Forwards a Retry-After of a host, in microseconds."""
        self._forward(RetryAfterReceived(host, retry_after))

    def outcome_disputed(self, message_id: str, host: str, sent_at: int) -> None:
        """Forwards that a rejected attempt may have run; `sent_at` is in wall-clock microseconds."""
        self._forward(OutcomeDisputed(message_id, host, sent_at))

    def delivery_disputed(self, delivery: DisputedDelivery) -> None:
        """Forwards that a delivered message may not have run."""
        self._forward(DeliveryDisputed(delivery))

    def request_override(self, host: str, is_disabled: bool, on_answer: OnAnswer) -> None:
        """Forwards an operator's override; `on_answer` is called with the owner's answer."""
        self._last_override_number += 1
        request = OverrideRequested(self._last_override_number, host, is_disabled)
        self._overrides[request.number] = request, on_answer
        self._forward(request)

    def configuration_replaced(self) -> None:
        """Forwards that the platform's configuration is to be reloaded."""
        self._forward(ConfigurationReplaced())

    def on_override_answered(self, answer: OverrideAnswered) -> None:
        """Reports the owner's answer to the operator; an unknown number is ignored."""
        if answer.number in self._overrides:
            on_answer = self._overrides.pop(answer.number)[1]
            on_answer(answer.error)

    def connect(self, channel: Channel) -> None:
        """Forwards to the owner from now on. Messages queued earlier wait for `flush`."""
        self._channel = channel

    def disconnect(self) -> None:
        """Queues messages from now on, since the owner is lost."""
        self._channel = None

    def flush(self, is_journal_only: bool) -> None:
        """Forwards the queued messages.

        Args:
            is_journal_only: Whether the owner has loaded only the journal. It counts attempts in flight as
                broken then, so their outcomes are dropped.
        """
        for message in self.drain_queue():
            if not is_journal_only or isinstance(message, _INDEPENDENT_MESSAGES):
                self._forward(message)

    def drain_queue(self) -> list[HandoverMessage]:
        """Removes and returns the queued messages."""
        queue, self._queue = self._queue, []
        return queue

    def drain_overrides(self) -> list[tuple[OverrideRequested, OnAnswer]]:
        """Removes and returns the unanswered overrides."""
        overrides, self._overrides = self._overrides, {}
        return list(overrides.values())

    def _forward(self, message: HandoverMessage) -> None:
        if self._channel is None:
            self._queue.append(message)
        else:
            self._channel.send(write_message(message))
