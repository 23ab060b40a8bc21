"""Effective limits: the settings, with defaults for those that the operator did not set."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.decisions.settings import RelaySettings
from loftrelay.decisions.units import SECOND_US

LARGE_FLEET_RELAYS = 20  # in a fleet of this size or more, each relay sees too few calls to learn alone
DEFAULT_CONCURRENT_CALLS = 1
DEFAULT_OPEN_MESSAGES = 1 << 30
DEFAULT_MAX_ATTEMPTS = 8
DEFAULT_LATENCY_OBJECTIVE_US = SECOND_US
DEFAULT_POLL_INTERVAL_US = 10 * SECOND_US
DEFAULT_CONNECTION_IDLE_TIMEOUT_US = 10 * SECOND_US
DEFAULT_SLOW_START_DURATION_US = 10 * SECOND_US
DEFAULT_SLOW_START_INITIAL_FRACTION = 0.2
DEFAULT_OVERLOAD_MULTIPLE = 2.0
DEFAULT_OVERLOAD_WINDOW_US = 2 * SECOND_US


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits derived from the settings. Durations are in microseconds."""

    max_concurrent_calls: int
    max_open_messages: int
    relay_count: int
    slow_start_duration: int
    slow_start_initial_fraction: float
    overload_multiple: float
    overload_window: int
    connection_idle_timeout: int

    @classmethod
    def from_settings(cls, settings: RelaySettings) -> Limits:
        """Returns the limits of the settings, with defaults for missing values."""
        return cls(
            max_concurrent_calls=max(1, settings.max_concurrent_calls or DEFAULT_CONCURRENT_CALLS),
            max_open_messages=settings.max_open_messages or DEFAULT_OPEN_MESSAGES,
            relay_count=max(1, settings.relay_count or 1),
            slow_start_duration=settings.slow_start_duration or DEFAULT_SLOW_START_DURATION_US,
            slow_start_initial_fraction=(
                settings.slow_start_initial_fraction or DEFAULT_SLOW_START_INITIAL_FRACTION
            ),
            overload_multiple=settings.overload_multiple or DEFAULT_OVERLOAD_MULTIPLE,
            overload_window=settings.overload_window or DEFAULT_OVERLOAD_WINDOW_US,
            connection_idle_timeout=settings.connection_idle_timeout or DEFAULT_CONNECTION_IDLE_TIMEOUT_US,
        )

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is so large that each relay sees only a small part of the traffic."""
        return self.relay_count >= LARGE_FLEET_RELAYS
