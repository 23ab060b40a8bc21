"""Calls to hosts: one call, single or batch, from its decision to the result of each message."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.call_outcome import (
    names_other_messages,
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
    RecentResponse,
    StaleCallError,
    encode_request,
)
from loftrelay.delivery.pool_driver import PoolDriver
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
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions, JournalFullError
from loftrelay.relay.stall_detector import StallDetector

log = logging.getLogger(__name__)

DEFAULT_MAX_IDLE_US = 10_000_000
DEFAULT_CONNECT_TIMEOUT_S = 1.0
IDLE_MARGIN_US = 500_000  # not used any more so long before the host closes it
MIN_CONNECT_TIME_S = 1.0  # a call has this time, or the connect timeout if longer, ...
CONNECT_MARGIN_S = 0.5  # ... and this to get its connection: drains allow 2 s in all
PASSES_WHEN_LATE = 3  # of the event loop, in which all that has come is read
RESPONSE_TIMEOUT_S = 0.3  # from a response's first byte to its last
MIN_CONCLUSIVE_TIMEOUT_S = 0.6  # a shorter call without a response says nothing of its connection
HOLD_FACTOR = 4  # an early response is held for so many times the quickest response time, ...
MAX_HOLD_S = 1.0  # ... at most so long, ...
MAX_HOLD_FRACTION = 0.9  # ... and no longer than this part of the time left


class HostClient:
    """Sends calls to hosts. Raises nothing: each message of a call ends with one `on_result`.

    Args:
        connect_timeout: Microseconds; None: DEFAULT_CONNECT_TIMEOUT_S.
        max_idle: Microseconds after which hosts close an idle connection; None: DEFAULT_MAX_IDLE_US.
        max_connections: Connections that descriptors allow.
        pool_settings: The operators' settings.
        seed: Of the pool's random numbers.
        on_attempt: Called with a message and its host before its first byte; may raise JournalFullError.
        on_result: Called with a message, its host and the result.
        on_disputed: Called with the id of a message, its host and the wall clock time (microseconds) of
            an attempt whose response may have been another message's.
        on_forwarded: Called with the number of messages of a request once it is written.
        stall_detector: Whether the process was suspended.
        on_retry_after: Called with a host and a delay (microseconds) once the head of a response is read.
        is_blocked: Whether a Retry-After applies to a host now.
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
    ) -> None:
        max_idle = (max_idle or DEFAULT_MAX_IDLE_US) - IDLE_MARGIN_US
        pool_settings = replace(
            pool_settings,
            max_idle=min(pool_settings.max_idle or max_idle, max_idle),
            max_total=min(pool_settings.max_total or max_connections, max_connections),
        )
        self.stall_detector = stall_detector or StallDetector()
        self.connect_timeout = connect_timeout / 1e6 if connect_timeout else DEFAULT_CONNECT_TIMEOUT_S
        self.driver = PoolDriver(pool_settings, seed, self.connect_timeout, self.stall_detector, on_disputed)
        self.on_attempt = on_attempt
        self.on_result = on_result
        self.on_forwarded = on_forwarded
        self.on_retry_after = on_retry_after
        self.is_blocked = is_blocked
        self.draining: set[str] = set()
        self.calls: dict[asyncio.Task[None], HostCall] = {}
        self.call_count = 0

    # The engine's calls (ports.Delivery)

    def add_host(self, host: str, address: Address, destination: int) -> None:
        """The host is active at this address."""
        driver = self.driver
        driver.addresses[host] = address
        self.draining.discard(host)
        driver.run(driver.pools.set_host(host, address, destination, driver.now_us()))

    def drain_host(self, host: str) -> None:
        """Calls of which nothing is written come back as stale."""
        driver = self.driver
        self.draining.add(host)
        for call in driver.waiting.values():
            if call.host == host:
                call.fail_lease(StaleCallError())
        driver.run(driver.pools.drain_host(host, driver.now_us()))

    def remove_host(self, host: str) -> None:
        """Calls that wait for a connection fail; those under way go on."""
        driver = self.driver
        driver.run(driver.pools.remove_host(host, driver.now_us()))
        driver.addresses.pop(host, None)
        self.draining.discard(host)

    def close_idle_connections(self, host: str) -> None:
        """Closes the connections of the host that are idle now."""
        self.driver.run(self.driver.pools.close_idle(host, self.driver.now_us()))

    @property
    def is_busy(self) -> bool:
        """Whether a call is under way."""
        return bool(self.calls)

    def send_call(self, host: str, messages: list[Message], options: CallOptions) -> None:
        """Starts a call."""
        self.call_count += 1
        call = HostCall(self.call_count, host, messages, options, asyncio.get_running_loop().time())
        task = asyncio.create_task(self._run_call(call))
        self.calls[task] = call
        task.add_done_callback(self.calls.pop)

    def withdraw_unsent_calls(self) -> list[tuple[Message, str]]:
        """Cancels the calls that are not started; their messages and hosts, which get no result."""
        unsent = [(task, call) for task, call in self.calls.items() if not call.is_started]
        for task, call in unsent:
            call.is_withdrawn = True
            task.cancel()
        return [(message, call.host) for _, call in unsent for message in call.messages]

    def withdraw_blocked_calls(self) -> None:
        """Ends calls to hosts to which a Retry-After applies, unless their last byte is written."""
        for call in self.driver.waiting.values():
            if self.is_blocked(call.host):
                call.fail_lease(BlockedCallError())
        for call in self.calls.values():
            if call.sent_on is not None and self.is_blocked(call.host):
                call.sent_on.connection.withdraw(BlockedCallError())

    def close_all_idle_connections(self) -> None:
        """Nothing more will be sent."""
        self.driver.close_unused()

    def close(self) -> None:
        """Cancels all calls and closes all connections."""
        self.driver.is_closing = True
        for task in self.calls:
            task.cancel()
        self.driver.close()

    # A call

    async def _run_call(self, call: HostCall) -> None:
        """Makes the call and hands on the result of each message."""
        try:
            results = await self._attempt(call)
        except Exception:
            # A fault of the program: the result must promise nothing.
            log.exception("%s: call failed by an internal error", call.host)
            status = AttemptStatus.CONNECTION_LOST if call.is_started else AttemptStatus.NOT_SENT
            results = call.all_results(AttemptResult(status))
        if call.is_withdrawn:
            return  # in the pass in which its lease failed
        self.stall_detector.check(asyncio.get_running_loop().time())
        is_late = self.stall_detector.has_stalled_since(call.decided_at)
        for message in call.messages:
            result = results[message.id]
            retry_after = max(result.retry_after, call.retry_after)
            result = replace(
                result, retry_after=retry_after, connection_idle=call.connection_idle, is_late=is_late
            )
            self.on_result(message, call.host, result)

    async def _attempt(self, call: HostCall) -> dict[str, AttemptResult]:
        """The result of each message, by its id."""
        try:
            return self._handle_response(call, await self._exchange(call))
        except JournalFullError:
            self.driver.release_unused(call.connection)
            return call.all_results(AttemptResult(AttemptStatus.NOT_SENT))
        except (BlockedCallError, StaleCallError) as error:
            return self._handle_withdrawal(call, isinstance(error, BlockedCallError))
        except PoolError as error:
            is_local = error.kind is PoolErrorKind.NO_ROOM
            status = AttemptStatus.NOT_SENT if is_local else AttemptStatus.CONNECT_FAILED
            return call.all_results(AttemptResult(status))
        except TimeoutError:
            if not call.is_started:
                return call.all_results(self._unsent_timeout(call))
            is_telling = call.options.timeout >= MIN_CONCLUSIVE_TIMEOUT_S
            is_dead = is_telling and not self.stall_detector.has_stalled_since(call.decided_at)
            return self._handle_loss(call, AttemptStatus.TIMEOUT, is_dead)
        except MalformedResponseError:
            return self._handle_loss(call, AttemptStatus.MALFORMED_RESPONSE, False)
        except ConnectionBrokenError:
            return self._handle_loss(call, AttemptStatus.CONNECTION_LOST, True)
        finally:
            self.driver.cancel(call)

    async def _exchange(self, call: HostCall) -> HttpResponse:
        """Sends the request, on another connection where one proves unusable before the first byte."""
        connect_by = call.decided_at + max(self.connect_timeout, MIN_CONNECT_TIME_S) + CONNECT_MARGIN_S
        while True:
            self._check_decision(call)
            async with asyncio.timeout_at(min(connect_by, call.send_by, call.deadline)):
                call.connection = await self.driver.acquire(call)
            try:
                return await self._request(call)
            except ConnectionUnusableError:
                call.is_started, call.sent_on = False, None
                await self.driver.drain_unusable(call.connection)
                if call.connection_idle == 0:
                    raise PoolError(PoolErrorKind.NO_CONNECTION) from None

    async def _request(self, call: HostCall) -> HttpResponse:
        """Records the attempt and makes the request on the call's connection."""
        loop, opened = asyncio.get_running_loop(), self.driver.connections[call.connection]
        if self.stall_detector.input_age(loop.time()):
            for _ in range(PASSES_WHEN_LATE):
                await asyncio.sleep(0)
        self._check_decision(call)
        for message in call.messages:
            self.on_attempt(message, call.host)
        fault_point("journal try")
        self._check_decision(call)  # recording may have taken long
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
        """Holds a response that came sooner than any: after a late duplicate, the true one follows.

        Only deliveries of at-most-once messages: rejections come quickly by nature and their Retry-After
        applies at once, and a false one can still be disputed.

        Raises:
            MalformedResponseError: Another response followed.
        """
        pools = self.driver.pools
        response_time = connection.first_byte_at - connection.request_written_at
        is_checked = call.options.is_at_most_once and response.status == 200
        min_time = pools.min_response_time(call.connection) if is_checked else 0
        if response_time * 1e6 >= min_time:
            return
        time_left = call.deadline - asyncio.get_running_loop().time()
        hold = min(
            HOLD_FACTOR * min_time / (pools.settings.early_response_fraction * 1e6),
            MAX_HOLD_S,
            MAX_HOLD_FRACTION * time_left,
        )
        log.info("%s: response after %.1f ms is early, held for another", call.host, response_time * 1e3)
        await asyncio.sleep(hold)
        if connection.surplus is UnsolicitedData.RESPONSE:
            raise MalformedResponseError

    def _check_decision(self, call: HostCall) -> None:
        """Checks that the decision for the call still holds.

        Raises:
            StaleCallError: The process was suspended, a deadline has passed, or the host drains or is gone.
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
        """A Retry-After applies from the response's head on, whatever comes of the rest."""
        if retry_after := parse_retry_after(headers):
            call.retry_after = retry_after
            self.on_retry_after(call.host, retry_after)

    def _handle_response(self, call: HostCall, response: HttpResponse) -> dict[str, AttemptResult]:
        """The response is complete."""
        ids, driver = call.ids, self.driver
        is_batch = call.options.is_batch
        results = parse_batch_response(response, ids) if is_batch else {ids[0]: parse_response(response)}
        statuses = {result.status for result in results.values()}
        is_success = statuses == {AttemptStatus.OK}
        now = driver.now_us()
        driver.pools.record_outcome(call.host, is_success, call.retry_after, now)
        self._remember_response(call, results)
        connection = driver.connections[call.connection].connection
        is_foreign = is_batch and names_other_messages(response, ids)
        connection.check_surplus()
        if is_foreign:
            connection.surplus = UnsolicitedData.RESPONSE
        if connection.surplus is not None:
            driver.handle_unsolicited(call.connection, connection.surplus, is_behind=not is_foreign)
        elif AttemptStatus.MALFORMED_RESPONSE in statuses or not connection.is_usable():
            driver.discard(call.connection, False, now)
        else:
            response_time = (
                int((connection.first_byte_at - connection.request_written_at) * 1e6) if is_success else None
            )
            driver.run(driver.pools.response_received(call.connection, True, now, response_time))
        return results

    def _remember_response(self, call: HostCall, results: dict[str, AttemptResult]) -> None:
        """Keeps what may be disputed later: on its first use a connection can carry no duplicate."""
        opened = self.driver.connections[call.connection]
        opened.is_in_call = False
        if self.driver.pools.is_first_use(call.connection):
            return
        age = asyncio.get_running_loop().time() - opened.connection.request_written_at
        sent_at = wall_clock() - int(age * 1e6)
        opened.recent_responses.extend(
            RecentResponse(name, result.status, sent_at) for name, result in results.items()
        )

    def _handle_withdrawal(self, call: HostCall, is_blocked: bool) -> dict[str, AttemptResult]:
        """The call was ended before its last byte."""
        if call.sent_on is not None:  # a part of it is written
            self.driver.discard(call.connection, False, self.driver.now_us())
        else:
            self.driver.release_unused(call.connection)
        result = AttemptResult(AttemptStatus.NOT_SENT, is_stale=not is_blocked, is_blocked=is_blocked)
        return call.all_results(result)

    def _unsent_timeout(self, call: HostCall) -> AttemptResult:
        """The result of a call that got no connection in time."""
        is_overdue = asyncio.get_running_loop().time() >= call.send_by
        if self.stall_detector.has_stalled_since(call.decided_at) or is_overdue:
            return AttemptResult(AttemptStatus.NOT_SENT, is_stale=True)
        is_local = self.driver.is_waiting_for_release(call)
        return AttemptResult(AttemptStatus.NOT_SENT if is_local else AttemptStatus.CONNECT_FAILED)

    def _handle_loss(self, call: HostCall, status: AttemptStatus, is_dead: bool) -> dict[str, AttemptResult]:
        """No complete response came. `is_dead`: the connection may have been dead before the call."""
        driver, now = self.driver, self.driver.now_us()
        opened = driver.connections[call.connection]
        opened.is_in_call, connection = False, opened.connection
        driver.pools.record_outcome(call.host, False, call.retry_after, now)
        if connection.surplus is not None:
            driver.handle_unsolicited(call.connection, connection.surplus)
        else:
            driver.discard(call.connection, is_dead and connection.is_request_written, now)
        is_single = not call.options.is_batch
        if is_single and connection.is_status_ok and connection.surplus is None:
            return call.all_results(AttemptResult(AttemptStatus.OK, is_final=True))
        is_written = connection.is_request_written
        return call.all_results(AttemptResult(status if is_written else AttemptStatus.CONNECT_FAILED))
