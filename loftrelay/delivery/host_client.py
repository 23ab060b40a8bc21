"""Makes calls to hosts, single or batch, from the decision to the result of each message."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.call_outcome import (
    has_foreign_messages,
    parse_batch_response,
    parse_response,
    parse_retry_after,
)
from loftrelay.delivery.connection_pool.actions import PoolErrorKind
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_call import (
    BlockedCallError,
    HostCall,
    PoolError,
    RunningCalls,
    StaleCallError,
    encode_request,
)
from loftrelay.delivery.pool_driver import PoolDriver
from loftrelay.delivery.response_memory import remember_response
from loftrelay.delivery.settlement import DeliveryEvents
from loftrelay.net.address import Address
from loftrelay.net.http import Connection
from loftrelay.net.response_parser import (
    ConnectionBrokenError,
    ConnectionUnusableError,
    Headers,
    HttpResponse,
    MalformedResponseError,
)
from loftrelay.net.unsolicited import UnsolicitedData
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions, JournalFullError
from loftrelay.relay.stall_detector import StallDetector
from loftrelay.tasks.supervision import run_isolated, start_watched

log = logging.getLogger(__name__)

DEFAULT_MAX_IDLE_US = 10_000_000
DEFAULT_CONNECT_TIMEOUT_S = 1.0
IDLE_MARGIN_US = 500_000  # an idle connection is closed this long before the host would close it
# A call waits for its connection for the connect timeout, at least MIN_CONNECT_TIME_S, plus
# CONNECT_MARGIN_S: a drain allows 2 s in all.
MIN_CONNECT_TIME_S = 1.0
CONNECT_MARGIN_S = 0.5
LATE_LOOP_ITERATIONS = 3  # iterations in which a late event loop reads all data that has arrived
RESPONSE_TIMEOUT_S = 0.3  # from the first byte of a response to the last
# Limit on the body of a batch response, by its messages. Bodies of other responses are dropped.
MAX_BATCH_RESPONSE_BASE_BYTES = 4 << 10
MAX_BATCH_RESPONSE_ROW_BYTES = 1 << 10
MIN_CONCLUSIVE_TIMEOUT_S = 0.6  # a shorter call without a response is no evidence of a dead connection
# An early response is held for HOLD_FACTOR times the shortest response time, within both maximums.
HOLD_FACTOR = 4
MAX_HOLD_S = 1.0
CONNECTION_BYTES = 6 << 10  # memory of a connection to a host
MAX_HOLD_FRACTION = 0.9  # of the time left to the deadline of the call


class HostClient:
    """Sends calls to hosts. Nothing is raised: `on_result` is called once for each message of a call.

    Args:
        connect_timeout: Limit on a connect, in microseconds; None: DEFAULT_CONNECT_TIMEOUT_S.
        max_idle: Microseconds after which hosts close an idle connection; None: DEFAULT_MAX_IDLE_US.
        max_connections: Limit on connections, set by the file descriptors available.
        pool_settings: The settings of the operator.
        seed: Seed of the random numbers of the pool.
        on_attempt: Called with a message and its host before the first byte is sent; may raise
            JournalFullError.
        on_result: Called with a message, its host and the result of the attempt.
        on_disputed: Called with the id of a message, its host and the wall clock time (microseconds) of
            an attempt whose rejection may have been the response to another message.
        on_forwarded: Called with the number of messages of a request once the request is written.
        stall_detector: Tells whether the process was suspended.
        on_retry_after: Called with a host and a delay (microseconds) once response headers are read.
        is_blocked: Tells whether a Retry-After applies to a host now.
        delivery_events: What becomes of deliveries after their responses.
    """

    def __init__(
        self,
        connect_timeout: int | None,
        max_idle: int | None,
        max_connections: int,
        pool_settings: PoolSettings,
        seed: int,
        on_attempt: Callable[[Message, str], None],
        on_result: Callable[[Message, str, AttemptResult], None],
        on_disputed: Callable[[str, str, int], None],
        on_forwarded: Callable[[int], None] = lambda _messages: None,
        stall_detector: StallDetector | None = None,
        on_retry_after: Callable[[str, int], None] = lambda _host, _delay: None,
        is_blocked: Callable[[str], bool] = lambda _host: False,
        delivery_events: DeliveryEvents | None = None,
    ) -> None:
        max_idle = (max_idle or DEFAULT_MAX_IDLE_US) - IDLE_MARGIN_US
        pool_settings = replace(
            pool_settings,
            max_idle=min(pool_settings.max_idle or max_idle, max_idle),
            max_total=min(pool_settings.max_total or max_connections, max_connections),
        )
        self.stall_detector = stall_detector or StallDetector()
        self.connect_timeout = connect_timeout / 1e6 if connect_timeout else DEFAULT_CONNECT_TIMEOUT_S
        self.driver = PoolDriver(
            pool_settings,
            seed,
            self.connect_timeout,
            self.stall_detector,
            on_disputed,
            delivery_events or DeliveryEvents(),
        )
        self.on_attempt = on_attempt
        self.on_result = on_result
        self.on_forwarded = on_forwarded
        self.on_retry_after = on_retry_after
        self.is_blocked = is_blocked
        self.draining: set[str] = set()
        self._running = RunningCalls()
        self.calls = self._running.calls
        self.call_count = 0

    # Methods of ports.Delivery, called by the engine

    def add_host(self, host: str, address: Address, destination: int) -> None:
        """Adds a host, activates it again or changes its address."""
        driver = self.driver
        driver.addresses[host] = address
        self.draining.discard(host)
        driver.execute(driver.pool.set_host(host, address, destination, driver.now_us()))

    def drain_host(self, host: str) -> None:
        """Drains a host: calls of which no byte is written end as stale."""
        driver = self.driver
        self.draining.add(host)
        for call in driver.waiting.values():
            if call.host == host:
                call.fail_lease(StaleCallError())
        driver.execute(driver.pool.drain_host(host, driver.now_us()))

    def remove_host(self, host: str) -> None:
        """Removes a host: calls that wait for a connection fail, calls in progress continue."""
        driver = self.driver
        driver.execute(driver.pool.remove_host(host, driver.now_us()))
        driver.addresses.pop(host, None)
        driver.settlement.remove_host(host)
        self.draining.discard(host)

    def close_idle_connections(self, host: str) -> None:
        """Closes the idle connections of a host."""
        self.driver.execute(self.driver.pool.close_idle(host, self.driver.now_us()))

    @property
    def is_busy(self) -> bool:
        """Whether a call is in progress."""
        return bool(self.calls)

    @property
    def is_settled(self) -> bool:
        """Whether no recent delivery is likely to be disputed any more."""
        return not self.driver.unsettled_connections()

    def send_call(self, host: str, messages: list[Message], options: CallOptions) -> None:
        """Starts a call that carries all of `messages`."""
        self.call_count += 1
        call = HostCall(self.call_count, host, messages, options, asyncio.get_running_loop().time())
        task = start_watched(self._run_call(call), f"{host}: call")
        self._running.add(task, call)

    @property
    def memory_bytes(self) -> int:
        """Memory of the calls, and of the connections to hosts."""
        connections = len(self.driver.connections) + len(self.driver.retired.connections)
        return self._running.memory_bytes + connections * CONNECTION_BYTES

    def withdraw_unsent_calls(self) -> list[tuple[Message, str]]:
        """Cancels calls that are not started.

        Returns:
            Their messages with their hosts. These messages get no result.
        """
        unsent = [(task, call) for task, call in self.calls.items() if not call.is_started]
        for task, call in unsent:
            call.is_withdrawn = True
            task.cancel()
        return [(message, call.host) for _, call in unsent for message in call.messages]

    def withdraw_blocked_calls(self) -> None:
        """Ends calls to hosts to which a Retry-After applies, unless the last byte is written."""
        for call in self.driver.waiting.values():
            if self.is_blocked(call.host):
                call.fail_lease(BlockedCallError())
        for call in self.calls.values():
            if call.sent_on is not None and self.is_blocked(call.host):
                call.sent_on.connection.withdraw(BlockedCallError())

    def close_all_idle_connections(self) -> None:
        """Closes every connection that is in no call and settled, because nothing more will be sent."""
        self.driver.close_unused()

    def close(self) -> None:
        """Cancels all calls and closes all connections."""
        self.driver.is_closing = True
        for task in self.calls:
            task.cancel()
        self.driver.close()

    # Calls

    async def _run_call(self, call: HostCall) -> None:
        """Makes the call and passes on the result of each message."""
        try:
            results = await self._attempt(call)
        except Exception:
            # A bug: the result claims no delivery, nor that a started call did not run.
            log.exception(
                "%s: call of %d messages failed with an internal error", call.host, len(call.messages)
            )
            status = AttemptStatus.CONNECTION_LOST if call.is_started else AttemptStatus.NOT_SENT
            results = call.all_results(AttemptResult(status))
        if call.is_withdrawn:
            return  # its lease failed in the same loop iteration
        self.stall_detector.check(asyncio.get_running_loop().time())
        is_late = self.stall_detector.has_stalled_since(call.decided_at)
        for message in call.messages:
            result = results[message.id]
            retry_after = max(result.retry_after, call.retry_after)
            result = replace(
                result, retry_after=retry_after, connection_idle=call.connection_idle, is_late=is_late
            )
            deliver_result = partial(self.on_result, message, call.host, result)
            run_isolated(deliver_result, f"message {message.id}: processing of a result")

    async def _attempt(self, call: HostCall) -> dict[str, AttemptResult]:
        """Makes the call once and returns the result of each message, by its id."""
        try:
            return self._handle_response(call, await self._exchange(call))
        except JournalFullError:
            self.driver.release_unused(call.connection_number)
            return call.all_results(AttemptResult(AttemptStatus.NOT_SENT))
        except (BlockedCallError, StaleCallError) as error:
            return self._handle_withdrawal(call, isinstance(error, BlockedCallError))
        except PoolError as error:
            is_local = error.kind is PoolErrorKind.NO_DESCRIPTORS
            status = AttemptStatus.NOT_SENT if is_local else AttemptStatus.CONNECT_FAILED
            return call.all_results(AttemptResult(status))
        except TimeoutError:
            if not call.is_started:
                return call.all_results(self._unsent_timeout(call))
            is_conclusive = call.options.timeout >= MIN_CONCLUSIVE_TIMEOUT_S
            may_be_dead = is_conclusive and not self.stall_detector.has_stalled_since(call.decided_at)
            return self._handle_loss(call, AttemptStatus.TIMEOUT, may_be_dead)
        except MalformedResponseError:
            return self._handle_loss(call, AttemptStatus.MALFORMED_RESPONSE, False)
        except ConnectionBrokenError:
            return self._handle_loss(call, AttemptStatus.CONNECTION_LOST, True)
        finally:
            self.driver.cancel(call)

    async def _exchange(self, call: HostCall) -> HttpResponse:
        """Sends the request; takes another connection if one proves unusable before the first byte.

        Raises:
            CallError: The call was not sent, or not completely.
            ConnectionBrokenError: No complete, valid response was received.
            TimeoutError: No connection or no response was available in time.
        """
        connect_by = call.decided_at + max(self.connect_timeout, MIN_CONNECT_TIME_S) + CONNECT_MARGIN_S
        while True:
            self._check_decision(call)
            async with asyncio.timeout_at(min(connect_by, call.send_by, call.deadline)):
                call.connection_number = await self.driver.acquire(call)
            try:
                return await self._request(call)
            except ConnectionUnusableError:
                call.is_started, call.sent_on = False, None
                await self.driver.close_unusable_connection(call.connection_number)
                if call.connection_idle == 0:
                    raise PoolError(PoolErrorKind.NO_CONNECTION) from None

    async def _request(self, call: HostCall) -> HttpResponse:
        """Records the attempt and sends the request on the connection of the call."""
        loop, opened = asyncio.get_running_loop(), self.driver.connections[call.connection_number]
        if self.stall_detector.input_age(loop.time()):
            for _ in range(LATE_LOOP_ITERATIONS):
                await asyncio.sleep(0)
        self._check_decision(call)
        for message in call.messages:
            self.on_attempt(message, call.host)
        fault_point("journal try")
        self._check_decision(call)  # again, because recording may have taken long
        call.is_started = opened.is_in_call = True
        call.sent_on = opened
        timer: asyncio.TimerHandle | None = None
        if call.send_by < call.deadline:
            timer = loop.call_at(call.send_by, opened.connection.withdraw, StaleCallError())
        try:
            response = await self._send(call, opened.connection)
        finally:
            if timer is not None:
                timer.cancel()
        fault_point("heard")
        await self._hold_if_early(call, opened.connection, response)
        return response

    async def _send(self, call: HostCall, connection: Connection) -> HttpResponse:
        request = encode_request(call, call.deadline - asyncio.get_running_loop().time())
        on_written = partial(self.on_forwarded, len(call.messages))
        on_head = partial(self._handle_head, call)
        connection.max_retained_bytes = _max_retained_bytes(call)
        return await connection.request(
            "POST",
            request.path,
            request.headers,
            request.body,
            RESPONSE_TIMEOUT_S,
            on_written,
            call.deadline,
            on_head,
        )

    async def _hold_if_early(self, call: HostCall, connection: Connection, response: HttpResponse) -> None:
        """Holds a suspiciously early response: it may be a late duplicate, with the real one still to come.

        Applies to successful responses to at-most-once calls only: rejections are fast by nature, their
        Retry-After applies at once, and a wrong one can still be disputed.

        Raises:
            MalformedResponseError: Another response followed, so this one belongs to another request.
        """
        pool = self.driver.pool
        response_time = connection.first_byte_at - connection.request_written_at
        is_checked = call.options.is_at_most_once and response.status == 200
        min_time = pool.min_response_time(call.connection_number) if is_checked else 0
        if response_time * 1e6 >= min_time:
            return
        time_left = call.deadline - asyncio.get_running_loop().time()
        hold = min(
            HOLD_FACTOR * min_time / (pool.settings.early_response_fraction * 1e6),
            MAX_HOLD_S,
            MAX_HOLD_FRACTION * time_left,
        )
        log.info(
            "%s: response after %.1f ms may be a duplicate, held for %.1f ms in case another follows",
            call.host,
            response_time * 1e3,
            hold * 1e3,
        )
        await asyncio.sleep(hold)
        if connection.unsolicited_data is UnsolicitedData.RESPONSE:
            raise MalformedResponseError

    def _check_decision(self, call: HostCall) -> None:
        """Checks that the decision to make the call is still valid.

        Raises:
            StaleCallError: The process was suspended, a deadline has passed, or the host is draining or was
                removed.
            BlockedCallError: A Retry-After applies to the host.
        """
        now = asyncio.get_running_loop().time()
        self.stall_detector.check(now)
        if self.stall_detector.has_stalled_since(call.decided_at) or now >= min(call.deadline, call.send_by):
            raise StaleCallError
        if call.host in self.draining or call.host not in self.driver.addresses:
            raise StaleCallError
        if self.is_blocked(call.host):
            raise BlockedCallError

    # Results

    def _handle_head(self, call: HostCall, headers: Headers) -> None:
        """Applies a Retry-After as soon as the headers are read, even if the body turns out invalid."""
        if retry_after := parse_retry_after(headers):
            call.retry_after = retry_after
            self.on_retry_after(call.host, retry_after)

    def _handle_response(self, call: HostCall, response: HttpResponse) -> dict[str, AttemptResult]:
        """Returns the results that a complete response gives, and releases or closes the connection."""
        ids, driver = call.ids, self.driver
        is_batch = call.options.is_batch
        results = parse_batch_response(response, ids) if is_batch else {ids[0]: parse_response(response)}
        statuses = {result.status for result in results.values()}
        is_success = statuses == {AttemptStatus.OK}
        now = driver.now_us()
        driver.pool.record_outcome(call.host, is_success, call.retry_after, now)
        is_malformed = AttemptStatus.MALFORMED_RESPONSE in statuses
        is_identified = is_batch and response.status == 200 and not is_malformed
        results = remember_response(driver, call, results, is_identified=is_identified)
        connection = driver.connections[call.connection_number].connection
        is_foreign = is_batch and has_foreign_messages(response, ids)
        connection.check_unsolicited_data()
        if is_foreign:
            connection.unsolicited_data = UnsolicitedData.RESPONSE
        if connection.unsolicited_data is not None:
            driver.handle_unsolicited(
                call.connection_number, connection.unsolicited_data, is_trailing=not is_foreign
            )
        elif is_malformed:
            driver.discard(call.connection_number, False, now)
        elif not connection.is_usable():
            driver.close_answered(call.connection_number, now)
        else:
            response_time = (
                int((connection.first_byte_at - connection.request_written_at) * 1e6) if is_success else None
            )
            driver.execute(driver.pool.response_received(call.connection_number, True, now, response_time))
        return results

    def _handle_withdrawal(self, call: HostCall, is_blocked: bool) -> dict[str, AttemptResult]:
        """Returns the results of a call that was ended before its last byte was written."""
        if call.sent_on is not None:  # part of the request is written
            self.driver.discard(call.connection_number, False, self.driver.now_us())
        else:
            self.driver.release_unused(call.connection_number)
        result = AttemptResult(AttemptStatus.NOT_SENT, is_stale=not is_blocked, is_blocked=is_blocked)
        return call.all_results(result)

    def _unsent_timeout(self, call: HostCall) -> AttemptResult:
        """Returns the result of a call that got no connection in time."""
        is_overdue = asyncio.get_running_loop().time() >= call.send_by
        if self.stall_detector.has_stalled_since(call.decided_at) or is_overdue:
            return AttemptResult(AttemptStatus.NOT_SENT, is_stale=True)
        is_local = self.driver.is_waiting_for_release(call)
        return AttemptResult(AttemptStatus.NOT_SENT if is_local else AttemptStatus.CONNECT_FAILED)

    def _handle_loss(
        self, call: HostCall, status: AttemptStatus, may_be_dead: bool
    ) -> dict[str, AttemptResult]:
        """Returns the results of a call without a complete response, and closes its connection.

        Args:
            call: The call.
            status: The status of its messages if the request was written completely.
            may_be_dead: The connection may have been dead before the call.
        """
        driver, now = self.driver, self.driver.now_us()
        opened = driver.connections[call.connection_number]
        opened.is_in_call, connection = False, opened.connection
        driver.pool.record_outcome(call.host, False, call.retry_after, now)
        if connection.unsolicited_data is not None:
            driver.handle_unsolicited(call.connection_number, connection.unsolicited_data)
        else:
            driver.discard(call.connection_number, may_be_dead and connection.is_request_written, now)
        is_single = not call.options.is_batch
        if is_single and connection.is_status_ok and connection.unsolicited_data is None:
            return call.all_results(AttemptResult(AttemptStatus.OK, is_final=True))
        is_written = connection.is_request_written
        return call.all_results(AttemptResult(status if is_written else AttemptStatus.CONNECT_FAILED))


def _max_retained_bytes(call: HostCall) -> int:
    if not call.options.is_batch:
        return 0
    return MAX_BATCH_RESPONSE_BASE_BYTES + MAX_BATCH_RESPONSE_ROW_BYTES * len(call.messages)
