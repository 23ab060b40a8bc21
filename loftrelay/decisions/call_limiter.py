"""Call limiter: all limits on calls to one destination, or to one endpoint that has its own limits.

A call limiter combines the concurrency window, the rate limiter, the circuit breaker, slow start and
Retry-After (RFC 9110, 10.2.3). `CallLimiterSnapshot` is the compact form kept for a hibernated destination.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from loftrelay.decisions.circuit_breaker import CircuitBreaker
from loftrelay.decisions.concurrency import ConcurrencyWindow
from loftrelay.decisions.estimators import CallTimes
from loftrelay.decisions.limits import Limits
from loftrelay.decisions.rate_limit import RateLimiter
from loftrelay.decisions.slow_start import SlowStart
from loftrelay.decisions.units import NEVER, SECOND_US

LEARNED_STATE_TTL_US = 600 * SECOND_US  # after the last call; an open circuit is kept without limit
MIN_RELEVANT_ERROR_RATE = 0.01
# Shared by all call limiters without a call, to save memory: most destinations are idle.
NO_CALL_TIMES = CallTimes()


@dataclass(slots=True)
class CallLimiter:
    """Limits on calls and the call times that they depend on. Times are in microseconds."""

    window: ConcurrencyWindow = field(default_factory=ConcurrencyWindow)
    rate_limiter: RateLimiter = field(default_factory=RateLimiter)
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    slow_start: SlowStart = field(default_factory=SlowStart)
    retry_after_until: int = 0  # end of the latest Retry-After
    next_attempt_at: int = 0  # end of the pause after a failure
    call_times: CallTimes = field(default_factory=lambda: NO_CALL_TIMES)
    listed_rate: float = 0.0  # calls per second from all relays; 0: not listed

    @property
    def is_degraded(self) -> bool:
        """Whether the destination is failing, paused or recovering."""
        return self.breaker.is_open or self.window.is_below_one_call or self.slow_start.is_active

    def record_call_time(self, elapsed: int) -> None:
        """Adds the duration of one successful call, in microseconds."""
        if not self.call_times.smoothed:
            self.call_times = CallTimes()  # replaces the shared NO_CALL_TIMES
        self.call_times.add(elapsed)

    def block_until(self, until: int) -> None:
        """Allows no call before a time, such as the end of a Retry-After. Never shortens an earlier block."""
        self.retry_after_until = max(self.retry_after_until, until)

    def restart(self, now: int) -> None:
        """Begins slow start after the operator has restarted the destination."""
        self.breaker.reset()
        self.window.allow_one_call()
        self.slow_start.started_at = now

    def copy_learned_state(self, source: CallLimiter) -> None:
        """Copies the learned state of another call limiter, without its calls in flight and call times."""
        self.window.size = source.window.size
        self.retry_after_until = source.retry_after_until
        self.next_attempt_at = source.next_attempt_at
        self.breaker = replace(source.breaker)
        self.rate_limiter = replace(source.rate_limiter)
        self.slow_start = SlowStart(
            source.slow_start.started_at, list(source.slow_start.recent_calls) or None
        )


@dataclass(slots=True)
class CallLimiterSnapshot:
    """Learned state of a call limiter, without its calls in flight and call times."""

    window_size: float
    retry_after_until: int
    next_attempt_at: int
    consecutive_failures: int
    failing_since: int
    has_only_rejections: bool
    error_rate: float
    failed_at: int
    last_was_rejection: bool
    is_open: bool
    slow_start_at: int | None
    connection_failures: int
    calls_per_second: float
    failure_rate_after_failure: float
    jitter: float
    last_call_at: int
    recent_calls: tuple[tuple[int, float], ...]  # of the last overload window

    @classmethod
    def capture(cls, call_limiter: CallLimiter, now: int, limits: Limits) -> CallLimiterSnapshot:
        """Returns a snapshot of the learned state of a call limiter."""
        breaker, rate_limiter = call_limiter.breaker, call_limiter.rate_limiter
        since = now - limits.overload_window
        return cls(
            window_size=call_limiter.window.size,
            retry_after_until=call_limiter.retry_after_until,
            next_attempt_at=call_limiter.next_attempt_at,
            consecutive_failures=breaker.consecutive_failures,
            failing_since=breaker.failing_since,
            has_only_rejections=breaker.has_only_rejections,
            error_rate=breaker.error_rate,
            failed_at=breaker.failed_at,
            last_was_rejection=breaker.last_was_rejection,
            is_open=breaker.is_open,
            slow_start_at=call_limiter.slow_start.started_at,
            connection_failures=breaker.connection_failures,
            calls_per_second=rate_limiter.calls_per_second,
            failure_rate_after_failure=rate_limiter.failure_rate_after_failure,
            jitter=rate_limiter.jitter,
            last_call_at=rate_limiter.last_call_at,
            recent_calls=tuple(call for call in call_limiter.slow_start.recent_calls if call[0] > since),
        )

    def restore(self, call_limiter: CallLimiter) -> None:
        """Copies the snapshot back into a call limiter."""
        call_limiter.window.size = self.window_size
        call_limiter.retry_after_until = self.retry_after_until
        call_limiter.next_attempt_at = self.next_attempt_at
        call_limiter.breaker = CircuitBreaker(
            consecutive_failures=self.consecutive_failures,
            failing_since=self.failing_since,
            has_only_rejections=self.has_only_rejections,
            error_rate=self.error_rate,
            failed_at=self.failed_at,
            last_was_rejection=self.last_was_rejection,
            is_open=self.is_open,
            connection_failures=self.connection_failures,
        )
        call_limiter.rate_limiter = RateLimiter(
            calls_per_second=self.calls_per_second,
            failure_rate_after_failure=self.failure_rate_after_failure,
            jitter=self.jitter,
            last_call_at=self.last_call_at,
        )
        call_limiter.slow_start = SlowStart(self.slow_start_at, list(self.recent_calls) or None)

    def block_until(self, until: int) -> None:
        """Allows no call before a time, such as the end of a Retry-After. Never shortens an earlier block."""
        self.retry_after_until = max(self.retry_after_until, until)

    def restart(self, now: int) -> None:
        """Begins slow start after the operator has restarted the destination."""
        self.is_open = False
        self.error_rate = 0.0
        self.consecutive_failures = 0
        self.window_size = max(1.0, self.window_size)
        self.slow_start_at = now

    def relevant_until(self, limits: Limits) -> int:
        """Returns until when the snapshot can affect a decision; NEVER while the circuit is open."""
        if self.is_open:
            return NEVER
        slow_start_end = 0 if self.slow_start_at is None else self.slow_start_at + limits.slow_start_duration
        has_failed = (
            self.consecutive_failures
            or self.connection_failures
            or self.error_rate > MIN_RELEVANT_ERROR_RATE
            or self.window_size < 1
        )
        has_learned = has_failed or self.calls_per_second < math.inf
        expires_at = self.last_call_at + (LEARNED_STATE_TTL_US if has_learned else limits.overload_window)
        return max(self.retry_after_until, self.next_attempt_at, slow_start_end, expires_at)
