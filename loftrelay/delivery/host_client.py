"""Calls to hosts over sockets: carries out what the pools decide, and tells how each message fared."""

from __future__ import annotations

import asyncio
import base64
import errno
import json
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.call_outcome import read_batch, read_single, tells_of_others, told_wait
from loftrelay.delivery.connection_pool.actions import (
    Action,
    CloseConnection,
    ConnectFailure,
    FailCall,
    LogLine,
    OpenConnection,
    PoolErrorKind,
    UseConnection,
)
from loftrelay.delivery.connection_pool.manager import PoolManager
from loftrelay.delivery.connection_pool.settings import PoolSettings
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

NO_IDLE, NO_CONNECT = 10_000_000, 1.0  # when the settings tell neither (microseconds, seconds)
BEGIN_MARGIN = 0.5  # seconds beyond a connect in which a call has begun, or does not: drains allow 2 s in all
LOOKS = 3  # passes of the loop in which all that has come is read
STALL = 0.3  # seconds from an answer's first byte to its last
IDLE_MARGIN = 500_000  # before the host closes a connection that stands idle, it is not used any more
TELLING = 0.6  # seconds without an answer that tell something of the connection
REMEMBERED = 8  # answers of a connection that a surplus one may show to be false
HOLD = 4  # times the quickest answer: so long one that came too soon may be followed by the true one
MOST_HOLD = 1.0  # seconds


class Stale(Exception):
    """What was decided holds no more: the process stood still, the host drains or is gone, or the window in
    which repeats are dropped is over. The host has not the whole of the call.
    """


class Bound(Exception):
    """Its host told to wait since the call was decided, and the host has not had the whole of it."""


class Denied(Exception):
    """No connection carries the call."""

    def __init__(self, why: PoolErrorKind) -> None:
        super().__init__(why.name)
        self.why = why


def batch_row(message: Message) -> dict[str, str]:
    """One message of a batch call. Its key is that by which repeats are dropped, else that of its order."""
    key = message.idempotency_key or message.ordering_key
    return {
        "id": message.id,
        **({"key": key} if key else {}),
        "body": base64.b64encode(message.body).decode(),
    }


@dataclass(slots=True)
class Call:
    """Messages that travel together, and fare together: the call is given up as a whole."""

    number: int
    host: str
    messages: list[Message]
    terms: CallOptions
    at: float  # when it was decided (the loop's seconds)
    asked: bool = False
    idle: int | None = None
    granted: asyncio.Future[UseConnection] | None = None
    line: Line | None = None  # that carries it, from its first byte on
    wait: int = 0  # told in the head of its answer, microseconds
    recalled: bool = False

    @property
    def begin_by(self) -> float:
        return self.at + self.terms.send_within


@dataclass(slots=True)
class Answered:
    """What was made of an answer on a connection that had carried calls before."""

    message: str
    result: AttemptStatus
    sent_at: int  # wall clock, microseconds


@dataclass(slots=True)
class Line:
    """An open connection, and what it was heard to say."""

    host: str
    connection: Connection
    asked: bool = False  # from a request until what came back was judged
    answers: deque[Answered] = field(default_factory=lambda: deque(maxlen=REMEMBERED))


class HostClient:
    """Raises nothing: each message of a call ends by one `ended`. Times given to the pools are the loop's, in
    microseconds.
    """

    def __init__(
        self,
        connect_timeout: int | None,
        idle_limit: int | None,
        most_connections: int,
        limits: PoolSettings,
        seed: int,
        tried: Callable[[Message, str], None],
        ended: Callable[[Message, str, AttemptResult], None],
        doubted: Callable[[str, str, int], None],
        forwarded: Callable[[int], None] = lambda messages: None,
        pulse: StallDetector | None = None,
        told: Callable[[str, int], None] = lambda host, wait: None,
        bound: Callable[[str], bool] = lambda host: False,
    ) -> None:
        """`told` is told of a wait (microseconds) as soon as the head of an answer that tells it is read;
        `bound` says whether one binds a host now.
        """
        most_idle = (idle_limit or NO_IDLE) - IDLE_MARGIN
        limits = replace(
            limits,
            max_idle=min(limits.max_idle or most_idle, most_idle),
            max_total=min(limits.max_total or most_connections, most_connections),
        )
        self.pools = PoolManager(limits, seed)
        self.connect_timeout = connect_timeout / 1e6 if connect_timeout else NO_CONNECT
        self.tried = tried
        self.ended = ended
        self.doubted = doubted
        self.forwarded = forwarded
        self.pulse = pulse or StallDetector()
        self.told = told
        self.bound = bound
        self.addresses: dict[str, Address] = {}
        self.draining: set[str] = set()
        self.lines: dict[int, Line] = {}
        self.opening: dict[int, asyncio.Task[None]] = {}
        self.waiting: dict[int, Call] = {}
        self.calls: dict[asyncio.Task[None], Call] = {}
        self.number = 0
        self.clock: asyncio.TimerHandle | None = None
        self.clock_due = 0
        self.closing = False

    # What the engine asks

    def add_host(self, host: str, address: Address, destination: int) -> None:
        """Connections to where it was lead to someone else from now on."""
        self.addresses[host] = address
        self.draining.discard(host)
        self._do(self.pools.set_host(host, address, destination, self._now()))

    def drain_host(self, host: str) -> None:
        """Calls of which nothing is written come back. Trouble: one that waited for its connection went out
        1.5 s after the drain was told, and some platforms allow less.
        """
        self.draining.add(host)
        for call in self.waiting.values():
            if call.host == host and call.granted is not None and not call.granted.done():
                call.granted.set_exception(Stale())
        self._do(self.pools.drain_host(host, self._now()))

    def remove_host(self, host: str) -> None:
        self._do(self.pools.remove_host(host, self._now()))
        self.addresses.pop(host, None)
        self.draining.discard(host)

    def close_idle_connections(self, host: str) -> None:
        self._do(self.pools.close_idle(host, self._now()))

    @property
    def is_busy(self) -> bool:
        return bool(self.calls)

    def send_call(self, host: str, messages: list[Message], terms: CallOptions) -> None:
        self.number += 1
        call = Call(self.number, host, messages, terms, asyncio.get_running_loop().time())
        task = asyncio.create_task(self._call(call))
        self.calls[task] = call
        task.add_done_callback(self.calls.pop)

    def withdraw_unsent_calls(self) -> list[tuple[Message, str]]:
        back = [(task, call) for task, call in self.calls.items() if not call.asked]
        for task, call in back:
            call.recalled = True
            task.cancel()  # it ends with no outcome
        return [(message, call.host) for _, call in back for message in call.messages]

    def withdraw_blocked_calls(self) -> None:
        """A wait was told: calls that it binds go back, as long as their hosts have not the whole of them."""
        for call in self.waiting.values():
            if call.granted is not None and not call.granted.done() and self.bound(call.host):
                call.granted.set_exception(Bound())
        for call in self.calls.values():
            if call.line is not None and self.bound(call.host):
                call.line.connection.withdraw(Bound())

    def close_all_idle_connections(self) -> None:
        """Nothing more will be sent: what stands idle goes."""
        for number, line in list(self.lines.items()):
            if not line.asked:
                self._forget(number)

    def close(self) -> None:
        self.closing = True
        for task in (*self.calls, *self.opening.values()):
            task.cancel()
        if self.clock is not None:
            self.clock.cancel()
        for line in self.lines.values():
            line.connection.on_unsolicited = None
            line.connection.close()

    # A call

    async def _call(self, call: Call) -> None:
        try:
            endings = await self._endings(call)
        except Exception:
            # A fault of the program: each message is owed an outcome all the same, and none that promises.
            log.exception("a call to %s was given up", call.host)
            result = AttemptStatus.CONNECTION_LOST if call.asked else AttemptStatus.NOT_SENT
            endings = {message.id: AttemptResult(result) for message in call.messages}
        if call.recalled:
            return  # it was denied, or held, in the same pass
        self.pulse.look(asyncio.get_running_loop().time())
        late = self.pulse.since(call.at)
        for message in call.messages:
            ending = endings[message.id]
            wait = max(ending.retry_after, call.wait)
            self.ended(
                message, call.host, replace(ending, retry_after=wait, connection_idle=call.idle, is_late=late)
            )

    async def _endings(self, call: Call) -> dict[str, AttemptResult]:
        """One ending for each message, by its id."""
        deadline = call.at + call.terms.timeout
        begin_by = call.at + max(self.connect_timeout, 1.0) + BEGIN_MARGIN
        number = -1
        ids = [message.id for message in call.messages]
        try:
            while True:
                # What was decided holds for a moment only: a drain or a wait may be told meanwhile.
                self._holds(call, deadline)
                async with asyncio.timeout_at(min(begin_by, call.begin_by, deadline)):
                    number = await self._connection(call)
                try:
                    answer = await self._ask(call, number, deadline)
                    break
                except ConnectionUnusableError:
                    call.asked, call.line = False, None
                    await self._find_why(number)
                    if call.idle == 0:
                        raise Denied(PoolErrorKind.NO_CONNECTION) from None
            return self._answered(call, number, answer, ids)
        except JournalFullError:
            self._do(self.pools.release_unused(number, self._now()))
            return dict.fromkeys(ids, AttemptResult(AttemptStatus.NOT_SENT))
        except (Bound, Stale) as why:
            if call.line is not None:  # a part of it is written
                self._forget(number)
                self._do(self.pools.connection_lost(number, False, self._now()))
            else:
                self._do(self.pools.release_unused(number, self._now()))
            bound = isinstance(why, Bound)
            return dict.fromkeys(
                ids, AttemptResult(AttemptStatus.NOT_SENT, is_stale=not bound, is_blocked=bound)
            )
        except Denied as denied:
            no_room = denied.why is PoolErrorKind.NO_ROOM
            return dict.fromkeys(
                ids, AttemptResult(AttemptStatus.NOT_SENT if no_room else AttemptStatus.CONNECT_FAILED)
            )
        except TimeoutError:
            now = asyncio.get_running_loop().time()
            if not call.asked and (self.pulse.since(call.at) or now >= call.begin_by):
                return dict.fromkeys(ids, AttemptResult(AttemptStatus.NOT_SENT, is_stale=True))
            if not call.asked:
                waited = call.number in self.waiting and self.pools.is_waiting_for_release(call.number)
                return dict.fromkeys(
                    ids, AttemptResult(AttemptStatus.NOT_SENT if waited else AttemptStatus.CONNECT_FAILED)
                )
            result, dead = (
                AttemptStatus.TIMEOUT,
                call.terms.timeout >= TELLING and not self.pulse.since(call.at),
            )
        except MalformedResponseError:
            result, dead = AttemptStatus.MALFORMED_RESPONSE, False
        except ConnectionBrokenError:
            result, dead = AttemptStatus.CONNECTION_LOST, True
        finally:
            if self.waiting.pop(call.number, None) is not None and not self.closing:
                self._do(self.pools.cancel(call.number, self._now()))
        return self._broken(call, number, ids, result, dead)

    async def _connection(self, call: Call) -> int:
        """The number of a sound connection that is the call's own from now on. Raises Denied."""
        while True:
            call.granted = asyncio.get_running_loop().create_future()
            self.waiting[call.number] = call
            most_idle = call.terms.max_connection_idle
            self._do(
                self.pools.acquire(call.number, call.host, call.terms.is_at_most_once, most_idle, self._now())
            )
            use: UseConnection | None = None
            try:
                use = await call.granted
                if use.delay:
                    await asyncio.sleep(use.delay / 1e6)
            except asyncio.CancelledError:
                if use is None and call.granted.done() and not call.granted.cancelled():
                    use = call.granted.result()
                if use is not None:
                    self._do(self.pools.release_unused(use.connection, self._now()))
                raise
            line = self.lines.get(use.connection)
            if line is not None and line.connection.is_usable():
                call.idle = use.idle
                return use.connection
            await self._find_why(use.connection)
            if use.idle == 0:  # it came up and ended at once: as good as refused
                raise Denied(PoolErrorKind.NO_CONNECTION)

    async def _find_why(self, number: int) -> None:
        """A kept connection turned out to be of no use: what has come there is read, to know what it was."""
        if line := self.lines.get(number):
            line.asked = False  # nothing was: what is read now counts for what it is
        try:
            for _ in range(4):  # passes of the loop: one to see that it can be read, and one to read it
                if number not in self.lines:
                    return
                await asyncio.sleep(0)
        finally:
            self._gone(number, UnsolicitedData.CLOSED)

    async def _ask(self, call: Call, number: int, deadline: float) -> HttpResponse:
        line, loop = self.lines[number], asyncio.get_running_loop()
        if self.pulse.age(loop.time()):
            for _ in range(LOOKS):  # a loop that is late reads what has come first
                await asyncio.sleep(0)
        self._holds(call, deadline)
        for message in call.messages:
            self.tried(message, call.host)
        fault_point("journal try")
        self._holds(call, deadline)  # the last step before the first byte: writing that may have taken long
        call.asked = line.asked = True
        call.line = line
        clock = None
        if call.begin_by < deadline:
            clock = loop.call_at(call.begin_by, line.connection.withdraw, Stale())
        try:
            answer = await self._request(line.connection, call, deadline)
        finally:
            if clock is not None:
                clock.cancel()
        fault_point("heard")
        took = line.connection.heard_at - line.connection.written_at
        least = (
            self.pools.min_response_time(number) if call.terms.is_at_most_once and answer.status == 200 else 0
        )
        took = line.connection.first_byte_at - line.connection.request_written_at
        least = self.pools.earliest(number) if call.terms.is_at_most_once and answer.status == 200 else 0
        if took * 1e6 < least:
            # Not believed yet: if it is a late copy, the true answer follows when the host is done. Refusals
            # come quickly by nature, their waits bind at once, and a false one can still be doubted.
            hold = min(
                HOLD * least / (self.pools.settings.early_response_fraction * 1e6),
                MOST_HOLD,
                0.9 * (deadline - loop.time()),
            )
            log.info(
                "%s: an answer after %.1f ms, sooner than ever: waits for another", call.host, took * 1e3
            )
            await asyncio.sleep(hold)
            if line.connection.surplus is UnsolicitedData.RESPONSE:
                raise MalformedResponseError
        return answer

    def _holds(self, call: Call, deadline: float) -> None:
        """Raises Stale or Bound where what was decided holds no more: a drain, a wait or the end of a
        message's time may have come meanwhile, and after a stall nobody knows.
        """
        now = asyncio.get_running_loop().time()
        self.pulse.look(now)
        if self.pulse.since(call.at) or now >= min(deadline, call.begin_by):
            raise Stale
        if call.host in self.draining or call.host not in self.addresses:
            raise Stale
        if self.bound(call.host):
            raise Bound

    def _head(self, call: Call, headers: Headers) -> None:
        """What an answer's head says binds, whatever comes of the rest."""
        if wait := told_wait(headers):
            call.wait = wait
            self.told(call.host, wait)

    async def _request(self, connection: Connection, call: Call, deadline: float) -> HttpResponse:
        messages, timeout = call.messages, deadline - asyncio.get_running_loop().time()
        headers = {"Host": "host", "Request-Timeout-Ms": str(max(1, int(timeout * 1000)))}
        if not call.terms.is_batch:
            headers["Request-Id"] = messages[0].id
            if messages[0].idempotency_key is not None:
                headers["Idempotency-Key"] = messages[0].idempotency_key
            body, path = messages[0].body, "/v1/messages"
        else:
            rows = [batch_row(message) for message in messages]
            headers["Content-Type"] = "application/json"
            body, path = json.dumps(rows, separators=(",", ":")).encode(), "/v1/messages:batch"
        headers["Content-Length"] = str(len(body))
        whole = partial(self.forwarded, len(messages))
        head = partial(self._head, call)
        return await connection.request("POST", path, headers, body, STALL, whole, deadline, head)

    def _answered(
        self, call: Call, number: int, answer: HttpResponse, ids: list[str]
    ) -> dict[str, AttemptResult]:
        """The answer is whole."""
        endings = read_batch(answer, ids) if call.terms.is_batch else {ids[0]: read_single(answer)}
        results = {ending.status for ending in endings.values()}
        well = results == {AttemptStatus.OK}
        now = self._now()
        self.pools.record_outcome(call.host, well, call.wait, now)
        line = self.lines[number]
        line.asked, connection = False, line.connection
        if not self.pools.is_first_use(number):
            sent = wall_clock() - int(
                (asyncio.get_running_loop().time() - connection.request_written_at) * 1e6
            )
            line.answers.extend(Answered(name, ending.status, sent) for name, ending in endings.items())
        others = call.terms.is_batch and tells_of_others(answer, ids)
        connection.check_surplus()
        if others:
            connection.surplus = UnsolicitedData.RESPONSE
        if connection.surplus is not None:
            self._gone(number, connection.surplus, behind=not others)
        elif AttemptStatus.MALFORMED_RESPONSE in results or not connection.is_usable():
            self._forget(number)
            self._do(self.pools.connection_lost(number, False, now))
        else:
            took = int((connection.first_byte_at - connection.request_written_at) * 1e6) if well else None
            self._do(self.pools.response_received(number, True, now, took))
        return endings

    def _broken(
        self, call: Call, number: int, ids: list[str], result: AttemptStatus, dead: bool
    ) -> dict[str, AttemptResult]:
        """No whole answer came."""
        now = self._now()
        line = self.lines[number]
        line.asked, connection = False, line.connection
        self.pools.record_outcome(call.host, False, call.wait, now)
        if connection.surplus is not None:
            self._gone(number, connection.surplus)
        else:
            self._forget(number)
            self._do(self.pools.connection_lost(number, dead and connection.written, now))
        if not call.terms.is_batch and connection.says_delivered and connection.surplus is None:
            return {ids[0]: AttemptResult(AttemptStatus.OK, is_final=True)}
        return dict.fromkeys(
            ids, AttemptResult(result if connection.is_request_written else AttemptStatus.CONNECT_FAILED)
        )

    # Connections

    def _now(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)

    def _do(self, actions: list[Action]) -> None:
        """In order. The pools are asked again only when all is done: `actions` is theirs."""
        given_back = []
        for action in actions:
            match action:
                case UseConnection(number, connection):
                    call = self.waiting.pop(number)
                    assert call.granted is not None
                    if not call.granted.done():
                        call.granted.set_result(action)
                    else:  # its time ran out a moment ago, and its task has not run since
                        given_back.append(connection)
                case FailCall(number, why):
                    call = self.waiting.pop(number)
                    assert call.granted is not None
                    if not call.granted.done():
                        call.granted.set_exception(Denied(why))
                case OpenConnection(host, number):
                    self.opening[number] = asyncio.create_task(self._open(host, number))
                case CloseConnection(number):
                    self._forget(number)
                    if task := self.opening.pop(number, None):
                        task.cancel()
                case LogLine(text):
                    log.warning("%s", text)
        for connection in given_back:
            self._do(self.pools.release_unused(connection, self._now()))
        due = self.pools.next_timer_at
        if due is not None and (self.clock is None or due < self.clock_due) and not self.closing:
            if self.clock is not None:
                self.clock.cancel()
            self.clock_due = due
            self.clock = asyncio.get_running_loop().call_at(due / 1e6, self._tick)

    def _tick(self) -> None:
        self.clock = None
        self._do(self.pools.run_timers(max(self._now(), self.clock_due)))

    async def _open(self, host: str, number: int) -> None:
        why = ConnectFailure.REFUSED
        try:
            connection = await self._connected(host)
        except TimeoutError:
            why = ConnectFailure.SILENT
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                why = ConnectFailure.DESCRIPTORS
        else:
            self.opening.pop(number, None)
            self.lines[number] = Line(host, connection)
            connection.unasked = partial(self._gone, number)
            self._do(self.pools.connected(number, self._now()))
            return
        self.opening.pop(number, None)
        self._do(self.pools.connect_failed(number, why, self._now()))

    async def _connected(self, host: str) -> Connection:
        """Raises OSError (TimeoutError among them). Time in which the process stood still tells nothing."""
        began = asyncio.get_running_loop().time()
        try:
            return await Connection.open(self.addresses[host], self.connect_timeout)
        except TimeoutError:
            self.pulse.look(asyncio.get_running_loop().time())
            if not self.pulse.since(began):
                raise
        return await Connection.open(self.addresses[host], self.connect_timeout)

    def _forget(self, number: int) -> None:
        if line := self.lines.pop(number, None):
            line.connection.on_unsolicited = None
            line.connection.close()

    def _gone(self, number: int, what: UnsolicitedData, behind: bool = False) -> None:
        """Something came on a connection that nothing was asked for: it is of no further use."""
        if (line := self.lines.get(number)) is None:
            return
        if line.asked:  # behind an answer that is not judged yet
            if what is not UnsolicitedData.CLOSED:
                line.connection.surplus = what
            return
        self._forget(number)
        if what is Unasked.END:
            self._do(self.pools.closed_by_peer(number, self._now()))
            return
        line.connection.surplus = what
        self._do(self.pools.unsolicited_data(number, what is Unasked.ANSWER, self._now(), behind))
        if what is Unasked.ANSWER and line.answers:
            names = ", ".join(f"{a.message} ({a.result.value})" for a in line.answers)
            log.error(
                "%s: a surplus answer: those before it may have been other calls': %s", line.host, names
            )
            for answered in line.answers:
                if answered.result in (AttemptStatus.REJECTED, AttemptStatus.NOT_SENT):
                    self.doubted(answered.message, line.host, answered.sent_at)
