"""Feedback: how the outcome of a call changes the limits of its destination."""

from __future__ import annotations

from loftrelay.decisions import idle_connections
from loftrelay.decisions.actions import WriteLog
from loftrelay.decisions.call_limiter import CallLimiter
from loftrelay.decisions.demand import demand_rate
from loftrelay.decisions.entities import Call, Endpoint
from loftrelay.decisions.events import AttemptEnded, AttemptStatus
from loftrelay.decisions.retry import BACKOFF_BASE_US, MAX_PROBE_INTERVAL_US, backoff, with_jitter
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

CALL_TIME_GAIN = 1 / 8  # of the smoothed call time of an endpoint
SUCCESS_RATE_GAIN = 1 / 8  # of the success rate after a failure
STRETCH_AFTER_REJECTIONS = 3  # more consecutive rejections than this lengthen a Retry-After ...
MAX_STRETCH_EXPONENT = 3  # ... by a factor of at most two to this power


def evaluate(state: DecisionState, call: Call, event: AttemptEnded) -> None:
    """Updates the limits from the outcome of a call, once for all messages in it."""
    endpoint, limiter = call.endpoint, call.endpoint.call_limiter
    endpoint.last_used_at = state.now
    if event.is_late or _was_cut_short(call, event.status):
        return
    idle_connections.close_if_limited(state, endpoint, event.status)
    if event.connection_idle is not None:
        call.connection_idle = event.connection_idle
    if event.status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
        idle_connections.record_reset(state, call.connection_idle, event.status)
    is_connection_failure = _is_connection_failure(call, event)
    if limiter.breaker.record_connection_outcome(is_connection_failure=is_connection_failure):
        return
    if limiter.breaker.consecutive_failures and call.sent_at > limiter.breaker.failed_at:
        _update_success_rate(endpoint, limiter, event.status)
    if event.status is AttemptStatus.OK:
        _record_success(state, endpoint, event.elapsed)
    elif event.status is not AttemptStatus.NOT_SENT:
        _record_failure(state, call, event)


def _was_cut_short(call: Call, status: AttemptStatus) -> bool:
    """Returns whether a call failed only because its deadline was too close to judge the endpoint by it."""
    return call.is_cut_short and status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED)


def _is_connection_failure(call: Call, event: AttemptEnded) -> bool:
    """Returns whether an outcome points to the connection or the network rather than the destination."""
    if event.status is AttemptStatus.MALFORMED_RESPONSE:
        return True
    min_idle = 0 if event.connection_idle is not None else idle_connections.MIN_IDLE_US
    return event.status is AttemptStatus.CONNECTION_LOST and call.connection_idle > min_idle


def _update_success_rate(endpoint: Endpoint, limiter: CallLimiter, status: AttemptStatus) -> None:
    rates, index = endpoint.kind_stats.success_rate_after_failure, limiter.breaker.last_was_rejection
    rates[index] += ((status is AttemptStatus.OK) - rates[index]) * SUCCESS_RATE_GAIN


def _record_success(state: DecisionState, endpoint: Endpoint, elapsed: int) -> None:
    limiter, limits = endpoint.call_limiter, state.limits
    endpoint.consecutive_failures, endpoint.avoid_until = 0, 0
    gain = CALL_TIME_GAIN if endpoint.usual_call_time else 1
    endpoint.usual_call_time += (elapsed - endpoint.usual_call_time) * gain
    limiter.record_call_time(elapsed)
    endpoint.kind_stats.call_times.add(elapsed)
    limiter.breaker.record_success()
    limiter.rate_limiter.increase(limits, len(endpoint.destination.waiting))
    if limiter.breaker.is_open:
        _close_circuit(state, endpoint)
    limiter.window.widen(limits.max_concurrent_calls)
    limiter.window.narrow_if_slow(state.now, limiter.call_times)


def _record_failure(state: DecisionState, call: Call, event: AttemptEnded) -> None:
    endpoint, limiter = call.endpoint, call.endpoint.call_limiter
    is_rejection = event.status is AttemptStatus.REJECTED
    limiter.breaker.record_failure(state.now, call.sent_at, is_rejection=is_rejection)
    if not is_rejection:
        endpoint.consecutive_failures += 1
        delay = backoff(state, endpoint.consecutive_failures - 1)
        endpoint.avoid_until = state.now + min(delay, MAX_PROBE_INTERVAL_US)
    if call.sent_at < limiter.window.narrowed_at:
        return  # sent before the window was last narrowed: no evidence about its present size
    limiter.window.narrow(state.now)
    demand = demand_rate(state, limiter, endpoint.destination)
    recovery_rate = demand * state.limits.overload_multiple * state.limits.slow_start_initial_fraction
    if is_rejection:
        _lower_rate_limit(state, endpoint, demand)
        limiter.window.limit_below_one_call()
    elif _has_healthy_sibling(state, endpoint, event.status):
        limiter.window.allow_one_call()
    if limiter.window.is_below_one_call:
        _pause(state, endpoint, event, recovery_rate)
    has_opened = limiter.breaker.open_if_failing(
        state.now,
        state.limits,
        recovery_rate,
        is_rejection=is_rejection,
        is_paused=limiter.window.is_below_one_call,
    )
    if has_opened:
        _start_probing(state, endpoint)


def _lower_rate_limit(state: DecisionState, endpoint: Endpoint, demand: float) -> None:
    """Lowers the learned rate below that of the calls sent or of the demand in full batches, if higher."""
    limiter = endpoint.call_limiter
    observed = (len(limiter.slow_start.recent_calls) - 1) * SECOND_US / state.limits.overload_window
    limiter.rate_limiter.decrease(observed, demand / endpoint.max_batch_size)


def _has_healthy_sibling(state: DecisionState, endpoint: Endpoint, status: AttemptStatus) -> bool:
    """Returns whether another endpoint with the same call limiter is healthy.

    In a large fleet an endpoint that this relay has never called successfully does not show that the others
    are healthy: all of them may hang.
    """
    never_ran = status is AttemptStatus.CONNECT_FAILED
    return any(
        sibling.consecutive_failures == 0
        and (sibling.usual_call_time or never_ran or not state.limits.is_large_fleet)
        for sibling in endpoint.available_peers
        if sibling.call_limiter is endpoint.call_limiter
    )


def _pause(state: DecisionState, endpoint: Endpoint, event: AttemptEnded, recovery_rate: float) -> None:
    """Sets the pause before the next call from the consecutive failures, the Retry-After and the rate."""
    limiter, kind = endpoint.call_limiter, endpoint.kind_stats
    is_rejection = event.status is AttemptStatus.REJECTED
    # A call without a connection puts no load on the endpoint, so it is probed sooner.
    longest = (
        MAX_PROBE_INTERVAL_US // 2 if event.status is AttemptStatus.CONNECT_FAILED else MAX_PROBE_INTERVAL_US
    )
    pause = min(int(BACKOFF_BASE_US * 0.5 / limiter.window.size), longest)
    if is_rejection:
        pause = max(pause, _stretched_retry_after(state, limiter, event.retry_after))
    rate = limiter.rate_limiter.calls_per_second if is_rejection else recovery_rate
    limiter.rate_limiter.failure_rate_after_failure = 1 - kind.success_rate_after_failure[is_rejection]
    pause = max(pause, event.retry_after + limiter.rate_limiter.interval(rate, state.limits))
    limiter.next_attempt_at = state.now + with_jitter(state, pause)


def _stretched_retry_after(state: DecisionState, limiter: CallLimiter, retry_after: int) -> int:
    """Lengthens a Retry-After after consecutive rejections, so that not all relays return when it ends."""
    extra = limiter.breaker.consecutive_failures - STRETCH_AFTER_REJECTIONS
    stretched = retry_after * 2 ** min(max(0, extra), MAX_STRETCH_EXPONENT)
    return int(min(stretched, retry_after + MAX_PROBE_INTERVAL_US * state.limits.relay_count // 2))


def _start_probing(state: DecisionState, endpoint: Endpoint) -> None:
    endpoint.call_limiter.slow_start.started_at = None
    number = endpoint.destination.number
    state.actions.append(WriteLog(f"destination {number}: circuit open, one probe at a time"))


def _close_circuit(state: DecisionState, endpoint: Endpoint) -> None:
    endpoint.call_limiter.breaker.is_open = False
    endpoint.call_limiter.slow_start.started_at = state.now
    number = endpoint.destination.number
    state.actions.append(WriteLog(f"destination {number}: circuit closed, slow start"))
