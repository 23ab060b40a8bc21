"""Forwards to the owner of the state what becomes known to a process that decides nothing any more."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from loftrelay.relay.ports import AttemptResult
from loftrelay.upgrade.channel import Channel
from loftrelay.upgrade.messages import (
    AttemptOutcome,
    ConfigurationReplaced,
    HandoverMessage,
    OutcomeDisputed,
    OverrideAnswered,
    OverrideRequested,
    RetryAfterReceived,
    write_message,
)

OnAnswer = Callable[[str | None], None]  # called with the reason why an override failed, or None


class Forwarder:
    """Takes outcomes from the engine and overrides from operators."""

    def __init__(self) -> None:
        self._channel: Channel | None = None  # to the owner; None: messages are postponed
        self._postponed: list[HandoverMessage] = []
        self._overrides: dict[int, tuple[OverrideRequested, OnAnswer]] = {}  # not answered yet, by number
        self._last_override = 0

    @property
    def has_unanswered_overrides(self) -> bool:
        """Whether an operator waits for the owner's answer."""
        return bool(self._overrides)

    def attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None:
        """Forwards the outcome of an attempt. Staleness and lateness concern this process alone."""
        self._forward(AttemptOutcome(message, host, replace(ending, is_stale=False, is_late=False)))

    def retry_after_received(self, host: str, wait: int) -> None:
        """Forwards a host's Retry-After (microseconds)."""
        self._forward(RetryAfterReceived(host, wait))

    def outcome_disputed(self, message: str, host: str, ran_at: int) -> None:
        """Forwards that a message may have run at `ran_at` (wall-clock microseconds)."""
        self._forward(OutcomeDisputed(message, host, ran_at))

    def change(self, host: str, out: bool, done: OnAnswer) -> None:
        """Forwards an operator's override; `done` gets the owner's answer."""
        self._last_override += 1
        request = OverrideRequested(self._last_override, host, out)
        self._overrides[request.number] = request, done
        self._forward(request)

    def configuration_replaced(self) -> None:
        """Forwards that the platform's configuration is to be read again."""
        self._forward(ConfigurationReplaced())

    def on_override_answered(self, answer: OverrideAnswered) -> None:
        """Passes the owner's answer on to the operator."""
        if answer.number in self._overrides:
            on_answer = self._overrides.pop(answer.number)[1]
            on_answer(answer.error)

    def connect(self, channel: Channel) -> None:
        """Sends what becomes known from now on to the owner. What was postponed waits for `flush`."""
        self._channel = channel

    def disconnect(self) -> None:
        """The owner is lost: what becomes known is postponed."""
        self._channel = None

    def flush(self, is_journal_only: bool) -> None:
        """Sends what was postponed.

        Args:
            is_journal_only: Whether the owner knows nothing of attempts in flight and counts them as broken:
                their outcomes are dropped.
        """
        for message in self.take_postponed():
            if not is_journal_only or isinstance(message, OverrideRequested | ConfigurationReplaced):
                self._forward(message)

    def take_postponed(self) -> list[HandoverMessage]:
        """Removes and returns what was postponed."""
        postponed, self._postponed = self._postponed, []
        return postponed

    def take_overrides(self) -> list[tuple[OverrideRequested, OnAnswer]]:
        """Removes and returns the overrides that are not answered."""
        overrides, self._overrides = self._overrides, {}
        return list(overrides.values())

    def _forward(self, message: HandoverMessage) -> None:
        if self._channel is None:
            self._postponed.append(message)
        else:
            self._channel.send(write_message(message))
