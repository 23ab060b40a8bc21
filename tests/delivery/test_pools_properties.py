"""Arbitrary orders of events on the pure pools: bounds hold, nothing is used twice, leaked or starved."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from loftrelay.delivery.connection_pool.actions import ConnectFailure, PoolErrorKind
from loftrelay.delivery.connection_pool.connection import ConnectionState
from loftrelay.delivery.connection_pool.settings import MS, SECOND, ReuseOrder
from tests.delivery.driver import Driver

SERVERS = st.sampled_from(["a", "b", "c"])
TIMES = st.sampled_from([0, MS, 8 * MS, 30 * MS, 200 * MS, SECOND, 5 * SECOND, 40 * SECOND])
PICK = st.integers(0, 1 << 16)


class Machine(RuleBasedStateMachine):
    d: Driver

    @initialize(
        per_server=st.integers(0, 3),
        in_all=st.integers(0, 5),
        connecting=st.integers(0, 2),
        backoff=st.sampled_from([0, 100 * MS]),
        learn=st.booleans(),
        ahead=st.integers(0, 3),
        strict=st.booleans(),
        order=st.sampled_from(ReuseOrder),
        age=st.sampled_from([0, 3 * SECOND]),
        seed=st.integers(0, 9),
    )
    def begin(
        self,
        per_server: int,
        in_all: int,
        connecting: int,
        backoff: int,
        learn: bool,
        ahead: int,
        strict: bool,
        order: ReuseOrder,
        age: int,
        seed: int,
    ) -> None:
        self.d = Driver(
            seed,
            max_per_host=per_server,
            max_total=in_all,
            max_connecting=connecting,
            connect_backoff=backoff,
            is_capacity_learned=learn,
            max_prewarmed=ahead,
            warm_up_after=SECOND,
            is_strict=strict,
            reuse_order=order,
            max_age=age,
            max_idle=10 * SECOND,
        )
        self.carried: set[int] = set()
        self.unsafe: set[int] = set()
        for server in "abc":
            self.d.place(server, server)

    def pick(self, of: object, n: int) -> int:
        items = sorted(of)  # type: ignore[call-overload]
        return int(items[n % len(items)])

    @rule(server=SERVERS, unsafe=st.booleans(), most_idle=st.sampled_from([None, 50 * MS, SECOND]))
    def want(self, server: str, unsafe: bool, most_idle: int | None) -> None:
        if unsafe:
            self.unsafe.add(self.d.number + 1)
        self.d.want(server, unsafe, most_idle)

    @precondition(lambda self: self.d.opening)
    @rule(n=PICK)
    def comes_up(self, n: int) -> None:
        connection = self.pick(self.d.opening, n)
        self.d.up[connection] = self.d.opening.pop(connection)
        self.d.do(self.d.pools.connected(connection, self.d.now))

    @precondition(lambda self: self.d.opening)
    @rule(n=PICK, why=st.sampled_from(ConnectFailure))
    def fails(self, n: int, why: ConnectFailure) -> None:
        connection = self.pick(self.d.opening, n)
        del self.d.opening[connection]
        self.d.do(self.d.pools.connect_failed(connection, why, self.d.now))

    @precondition(lambda self: self.d.calls)
    @rule(n=PICK, reusable=st.booleans())
    def answered(self, n: int, reusable: bool) -> None:
        call = self.pick(self.d.calls, n)
        self.carried.add(self.d.calls[call])
        self.d.answer(call, reusable, 20 * MS)

    @precondition(lambda self: self.d.calls)
    @rule(n=PICK, dead=st.booleans())
    def breaks(self, n: int, dead: bool) -> None:
        self.d.break_off(self.pick(self.d.calls, n), dead)

    @precondition(lambda self: self.d.calls)
    @rule(n=PICK)
    def given_up_before_a_byte(self, n: int) -> None:
        connection = self.d.calls.pop(self.pick(self.d.calls, n))
        self.d.do(self.d.pools.release_unused(connection, self.d.now))

    @precondition(lambda self: self.d.waiting)
    @rule(n=PICK)
    def withdrawn(self, n: int) -> None:
        call = self.pick(self.d.waiting, n)
        self.d.waiting.remove(call)
        self.d.do(self.d.pools.cancel(call, self.d.now))

    @precondition(lambda self: bool(set(self.d.up) - set(self.d.calls.values())))
    @rule(n=PICK, how=st.sampled_from(["closed", "answer", "noise"]))
    def something_comes_while_idle(self, n: int, how: str) -> None:
        connection = self.pick(set(self.d.up) - set(self.d.calls.values()), n)
        if how == "closed":
            self.d.peer_closes(connection)
        else:
            self.d.do(self.d.pools.unsolicited_data_received(connection, how == "answer", self.d.now))

    @rule(server=SERVERS, where=st.integers(0, 1))
    def place(self, server: str, where: int) -> None:
        self.d.place(server, where)

    @rule(server=SERVERS, how=st.sampled_from(["drain_host", "remove_host", "close_idle"]))
    def leaves(self, server: str, how: str) -> None:
        self.d.do(getattr(self.d.pools, how)(server, self.d.now))

    @rule(server=SERVERS, well=st.booleans(), wait=TIMES)
    def fared(self, server: str, well: bool, wait: int) -> None:
        self.d.pools.record_outcome(server, well, wait, self.d.now)

    @rule(time=TIMES)
    def passes(self, time: int) -> None:
        self.d.pass_time(time)

    # What must hold at every moment

    @invariant()
    def the_bounds_hold(self) -> None:
        if not hasattr(self, "d"):
            return
        limits, pools = self.d.pools.settings, self.d.pools
        if limits.max_total:
            assert len(self.d.up) + len(self.d.opening) <= limits.max_total
        for name, server in pools.hosts.items():
            mine = [c for c in pools.table.connections.values() if c.host is server]
            assert server.total == len(mine)
            if limits.max_per_host:
                assert server.total <= limits.max_per_host
            if limits.max_connecting:
                assert len(server.opening) <= limits.max_connecting
            assert all(name == self.d.up.get(c.number, self.d.opening.get(c.number)) for c in mine)

    @invariant()
    def nothing_is_leaked(self) -> None:
        if not hasattr(self, "d"):
            return
        pools = self.d.pools
        assert set(pools.table.connections) == set(self.d.up) | set(self.d.opening)
        idle = {n for n, c in pools.table.connections.items() if c.state is ConnectionState.IDLE}
        assert set(pools.table.idle) == idle == set(self.d.up) - set(self.d.calls.values())
        assert set(pools.allocator.calls) == self.d.waiting
        assert len(pools.table.timers) <= 400

    @invariant()
    def no_unsafe_call_travels_where_a_copy_may_come(self) -> None:
        if not hasattr(self, "d"):
            return
        if self.d.pools.settings.is_strict:
            for call in self.unsafe & set(self.d.calls):
                assert self.d.calls[call] not in self.carried

    @invariant()
    def no_call_waits_beside_what_could_carry_it(self) -> None:
        """A call waits only while something opens for it, a bound binds, or a pause after failures runs."""
        if not hasattr(self, "d"):
            return
        pools, limits = self.d.pools, self.d.pools.settings
        for server in pools.hosts.values():
            if len(server.waiting) <= len(server.opening):
                continue
            at_bound = (
                (limits.max_per_host and server.total >= limits.max_per_host)
                or (limits.max_connecting and len(server.opening) >= limits.max_connecting)
                or len(pools.table.connections) >= pools.allocator.total_limit.limit
                or (server.capacity.limit and server.total >= server.capacity.limit)
                or pools.table.now < server.backoff.next_connect_at
            )
            assert at_bound
            if not pools.table.now < server.backoff.next_connect_at and not server.opening:
                assert not server.idle
                assert not server.unused

    def teardown(self) -> None:
        """All that was wanted ends once connections come up and calls are answered."""
        if not hasattr(self, "d"):
            return
        for _ in range(200):
            if not self.d.waiting and not self.d.calls:
                break
            for call in list(self.d.calls):
                self.d.answer(call)
            self.d.come_up()
            self.d.pass_time(SECOND)
        assert not self.d.waiting
        assert not self.d.calls
        assert all(isinstance(why, PoolErrorKind) for why in self.d.denied.values())
        self.d.pass_time(60 * SECOND)
        assert not self.d.up  # all went by their idle limit


Machine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestPools = Machine.TestCase
