"""Attempts: begins the calls that the scheduler decided, once they are approved; handles their results.

A call is one request to a host; it carries one attempt of each message in it.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import partial

from loftrelay.decisions.actions import SendAttempt
from loftrelay.decisions.events import AttemptEnded, AttemptStatus, OutcomeDisputed
from loftrelay.relay.batch_loop import US_PER_S
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.events import RESCHEDULE_DELAY_US, not_sent_event
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import is_repeatable
from loftrelay.relay.ports import AttemptResult, CallOptions
from loftrelay.relay.unsettled_deliveries import UnsettledDeliveries

log = logging.getLogger(__name__)

# Longest wait for approval: the state of the destination may change meanwhile and invalidate the decision.
MAX_APPROVAL_WAIT_S = 0.1
MAX_APPROVAL_WAIT_UNCHANGED_S = 1.0  # if no list entry, failure or Retry-After of the destination came since
# A call times out this long before the earliest deadline in it, because later responses don't count.
RESPONSE_MARGIN_US = 20_000
MIN_APPROVAL_RETRY_MS = 20  # shortest delay before a call that was not approved is scheduled again
LONG_RETRY_AFTER_US = 60_000_000  # from here on a Retry-After is logged, as a restart loses it


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call that waits for the approval of each attempt approver."""

    host: str
    messages: list[Message]
    options: CallOptions


@dataclass(slots=True)
class ApprovalRequest:
    """A request to one approver.

    Attributes:
        position: Position of the approver.
        call: The call to approve.
        requested_at: Time of the request, in seconds of the event loop's clock.
        is_over: Whether it was decided or given up.
        timer: Gives it up; None if it was decided at once.
    """

    position: int
    call: PendingCall
    requested_at: float
    is_over: bool = False
    timer: asyncio.TimerHandle | None = None

    def end(self) -> None:
        """Notes that it was decided."""
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()


class Attempts:
    """Begins the calls of one relay and handles their results."""

    def __init__(
        self, context: RelayContext, final_statuses: FinalStatuses, unsettled: UnsettledDeliveries
    ) -> None:
        self.context = context
        self.final_statuses = final_statuses
        self.unsettled = unsettled

    def begin(self, host: str, sends: Sequence[SendAttempt], *, is_batch: bool) -> None:
        """Begins one call that carries the given attempts.

        Its timeout is the longest of its messages, cut off before the earliest deadline among them.
        """
        messages = [self.context.journal.messages[send.message_id] for send in sends]
        for message in messages:
            message.attempts += 1
            self.context.message_states.begin_attempt(message.id, self.context.batch_loop.now)
        options = self._options(sends, messages, is_batch=is_batch)
        self._request_approval(0, PendingCall(host, messages, options))

    def _options(
        self, sends: Sequence[SendAttempt], messages: Sequence[Message], *, is_batch: bool
    ) -> CallOptions:
        open_messages = self.context.scheduler.state.messages
        deadline = min(open_messages[message.id].deadline for message in messages)
        # Uses the scheduler's clock, which never steps, and reads it now: the batch may have taken long.
        remaining = deadline - self.context.batch_loop.clock() - RESPONSE_MARGIN_US
        timeout = max(0, min(remaining, max(send.timeout for send in sends)))
        idle_limits = [send.max_connection_idle for send in sends if send.max_connection_idle is not None]
        send_limits = [send.send_within / US_PER_S for send in sends if send.send_within is not None]
        return CallOptions(
            timeout=timeout / US_PER_S,
            is_batch=is_batch,
            is_at_most_once=any(not is_repeatable(message.packed_terms) for message in messages),
            max_connection_idle=min(idle_limits, default=None),
            send_within=min(send_limits, default=math.inf),
        )

    def _request_approval(self, position: int, call: PendingCall) -> None:
        """Asks the approver at a position, then the next ones; sends the call when all have approved it."""
        approvers = self.context.attempt_approvers
        if position == len(approvers):
            self.context.delivery.send_call(call.host, call.messages, call.options)
            return
        request = ApprovalRequest(position, call, asyncio.get_running_loop().time())
        done = partial(self._approval_decided, request)
        approvers[position].request_attempt(call.messages, call.host, done)
        if not request.is_over:
            max_wait_s = min(MAX_APPROVAL_WAIT_UNCHANGED_S, call.options.timeout, call.options.send_within)
            loop = asyncio.get_running_loop()
            request.timer = loop.call_later(max_wait_s, self._approval_timed_out, request)

    def _approval_timed_out(self, request: ApprovalRequest) -> None:
        """Gives up a request, whose approver may take longer than the messages have time."""
        request.is_over = True
        self._reschedule(request.position, request.call)

    def _approval_decided(self, request: ApprovalRequest, is_approved: bool) -> None:
        if request.is_over:
            return  # it was given up, and its messages may have been sent or ended since
        request.end()
        position, call = request.position, request.call
        waited = asyncio.get_running_loop().time() - request.requested_at
        is_valid = self._is_still_valid(call, request.requested_at, waited)
        if is_approved and not self.context.is_stopping and is_valid:
            options = replace(
                call.options,
                timeout=max(0.0, call.options.timeout - waited),
                send_within=call.options.send_within - waited,
            )
            self._request_approval(position + 1, replace(call, options=options))
        else:
            self._reschedule(position, call)

    def _is_still_valid(self, call: PendingCall, requested_at: float, waited: float) -> bool:
        changed_at = self.context.changed_at.get(call.messages[0].destination, 0.0)
        return waited < (MAX_APPROVAL_WAIT_UNCHANGED_S if changed_at < requested_at else MAX_APPROVAL_WAIT_S)

    def _reschedule(self, position: int, call: PendingCall) -> None:
        """Reschedules a call that was refused, approved too late or given up; no attempt is counted."""
        approvers = self.context.attempt_approvers
        for approver in approvers[: position + 1]:
            for message in call.messages:
                approver.attempt_ended(message.id, AttemptStatus.NOT_SENT.value)
        retry_ms = max(MIN_APPROVAL_RETRY_MS, approvers[position].retry_after_ms)
        for message in call.messages:
            message.attempts -= 1
            self.context.message_states.end_attempt(message.id)
            self.context.post(not_sent_event(message, call.host, retry_ms * 1000))

    def attempt_ended(self, message: Message, host: str, result: AttemptResult) -> None:
        """Handles the result of one message's attempt."""
        context = self.context
        if context.outcome_forwarder is not None:
            context.outcome_forwarder.attempt_ended(message.id, host, result)
            return
        now = context.batch_loop.clock()
        result = self._expire_late_delivery(message, result, now)
        sent_at = context.message_states.end_attempt(message.id)
        attempt = message.attempts - 1
        was_sent = not (result.is_stale or result.is_blocked)
        if not was_sent:
            reason = "a Retry-After" if result.is_blocked else "a stall, a drain or the end of a dedup window"
            log.info(
                "message %s not sent to host %s, rescheduling: %s came after the decision",
                message.id,
                host,
                reason,
            )
            message.attempts -= 1  # a call that was not sent does not count as an attempt
        if result.is_final:
            if not (result.is_disputable and self.unsettled.hold(message)):
                self.final_statuses.message_delivered(message)
        else:
            context.journal.record_attempt_result(message, result.status)
            for approver in context.attempt_approvers:
                approver.attempt_ended(message.id, result.status.value)
        for observer in context.observers:
            observer.attempt_ended(message, host, result)
        if not result.is_final or result.retry_after:
            context.note_change(message.destination)
        elapsed = now - sent_at if sent_at is not None else 0
        context.post(
            AttemptEnded(
                message_id=message.id,
                attempt=attempt,
                endpoint=host,
                status=result.status,
                elapsed=elapsed,
                is_final=result.is_final,
                retry_after=result.retry_after,
                rate_limit=None,
                rate_limit_remaining=None,
                connection_idle=result.connection_idle,
                is_expired=result.is_expired,
                postponed_for=0 if was_sent else RESCHEDULE_DELAY_US,
                is_late=result.is_late,
            )
        )

    def _expire_late_delivery(self, message: Message, result: AttemptResult, now: int) -> AttemptResult:
        """Turns a delivery read after the deadline into an expiry, as the platform may not count it.

        If the platform does count it, the extra final status does no harm. After a stall the response arrived
        long before it was read, and counts as a delivery.
        """
        open_message = self.context.scheduler.state.messages.get(message.id)
        if not result.is_final or result.is_late or open_message is None or now < open_message.deadline:
            return result
        log.info("message %s: response was read after the deadline; treating it as expired", message.id)
        return replace(result, is_final=False, is_expired=True)

    def retry_after_received(self, host: str, retry_after: int) -> None:
        """Applies a Retry-After as soon as it is read, even if the rest of the response fails.

        Withdraws the calls that it forbids and that are not completely written.

        Args:
            host: the host that sent it.
            retry_after: delay from now, in microseconds.
        """
        if self.context.outcome_forwarder is not None:
            self.context.outcome_forwarder.retry_after_received(host, retry_after)
            return
        if retry_after >= LONG_RETRY_AFTER_US:
            seconds = retry_after / US_PER_S
            log.warning("host %s sent Retry-After of %.0f s; a restart of the relay loses it", host, seconds)
        self.context.scheduler.apply_retry_after(self.context.batch_loop.clock(), host, retry_after)
        self.context.delivery.withdraw_blocked_calls()

    def is_blocked(self, host: str) -> bool:
        """Returns whether a Retry-After forbids a call to a host now."""
        return self.context.scheduler.is_blocked(self.context.batch_loop.clock(), host)

    def outcome_disputed(self, message_id: str, host: str, sent_at: int) -> None:
        """Revokes a rejection that may have been the response to another call: the message may have run.

        Args:
            message_id: id of the message; an unknown or completed one is ignored.
            host: the host that rejected it.
            sent_at: when that attempt was sent, in wall-clock microseconds.
        """
        if self.context.outcome_forwarder is not None:
            self.context.outcome_forwarder.outcome_disputed(message_id, host, sent_at)
            return
        message = self.context.journal.messages.get(message_id)
        if message is not None and message.final_status is None:
            self.context.journal.record_dispute(message, host, sent_at)
            self.context.post(OutcomeDisputed(message_id, host, max(0, wall_clock() - sent_at)))
