"""Arbitrary orders of events on the pure pools: bounds hold, nothing is used twice, leaked or starved."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from loftrelay.delivery.connection_pool import MS, SECOND, Denied, Lost, Order, Phase
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
        order=st.sampled_from(Order),
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
        order: Order,
        age: int,
        seed: int,
    ) -> None:
        self.d = Driver(
            seed,
            most_per_server=per_server,
            most_in_all=in_all,
            most_connecting=connecting,
            backoff=backoff,
            learn_bound=learn,
            ahead=ahead,
            calm=SECOND,
            strict=strict,
            order=order,
            age_limit=age,
            idle_limit=10 * SECOND,
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
        self.d.do(self.d.pools.up(connection, self.d.now))

    @precondition(lambda self: self.d.opening)
    @rule(n=PICK, why=st.sampled_from(Lost))
    def fails(self, n: int, why: Lost) -> None:
        connection = self.pick(self.d.opening, n)
        del self.d.opening[connection]
        self.d.do(self.d.pools.failed(connection, why, self.d.now))

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
        self.d.do(self.d.pools.unused(connection, self.d.now))

    @precondition(lambda self: self.d.waiting)
    @rule(n=PICK)
    def withdrawn(self, n: int) -> None:
        call = self.pick(self.d.waiting, n)
        self.d.waiting.remove(call)
        self.d.do(self.d.pools.withdraw(call, self.d.now))

    @precondition(lambda self: bool(set(self.d.up) - set(self.d.calls.values())))
    @rule(n=PICK, how=st.sampled_from(["closed", "answer", "noise"]))
    def something_comes_while_idle(self, n: int, how: str) -> None:
        connection = self.pick(set(self.d.up) - set(self.d.calls.values()), n)
        if how == "closed":
            self.d.peer_closes(connection)
        else:
            self.d.do(self.d.pools.surplus(connection, how == "answer", self.d.now))

    @rule(server=SERVERS, where=st.integers(0, 1))
    def place(self, server: str, where: int) -> None:
        self.d.place(server, where)

    @rule(server=SERVERS, how=st.sampled_from(["drain", "forget", "close_idle"]))
    def leaves(self, server: str, how: str) -> None:
        self.d.do(getattr(self.d.pools, how)(server, self.d.now))

    @rule(server=SERVERS, well=st.booleans(), wait=TIMES)
    def fared(self, server: str, well: bool, wait: int) -> None:
        self.d.pools.fared(server, well, wait, self.d.now)

    @rule(time=TIMES)
    def passes(self, time: int) -> None:
        self.d.pass_time(time)

    # What must hold at every moment

    @invariant()
    def the_bounds_hold(self) -> None:
        if not hasattr(self, "d"):
            return
        limits, pools = self.d.pools.limits, self.d.pools
        if limits.most_in_all:
            assert len(self.d.up) + len(self.d.opening) <= limits.most_in_all
        for name, server in pools.servers.items():
            mine = [c for c in pools.connections.values() if c.server is server]
            assert server.all == len(mine)
            if limits.most_per_server:
                assert server.all <= limits.most_per_server
            if limits.most_connecting:
                assert len(server.opening) <= limits.most_connecting
            assert all(name == self.d.up.get(c.number, self.d.opening.get(c.number)) for c in mine)

    @invariant()
    def nothing_is_leaked(self) -> None:
        if not hasattr(self, "d"):
            return
        pools = self.d.pools
        assert set(pools.connections) == set(self.d.up) | set(self.d.opening)
        idle = {n for n, c in pools.connections.items() if c.phase is Phase.IDLE}
        assert set(pools.resting) == idle == set(self.d.up) - set(self.d.calls.values())
        assert set(pools.calls) == self.d.waiting
        assert len(pools.clocks) <= 400

    @invariant()
    def no_unsafe_call_travels_where_a_copy_may_come(self) -> None:
        if not hasattr(self, "d"):
            return
        if self.d.pools.limits.strict:
            for call in self.unsafe & set(self.d.calls):
                assert self.d.calls[call] not in self.carried

    @invariant()
    def no_call_waits_beside_what_could_carry_it(self) -> None:
        """A call waits only while something opens for it, a bound binds, or a pause after failures runs."""
        if not hasattr(self, "d"):
            return
        pools, limits = self.d.pools, self.d.pools.limits
        for server in pools.servers.values():
            if len(server.waiting) <= len(server.opening):
                continue
            at_bound = (
                (limits.most_per_server and server.all >= limits.most_per_server)
                or (limits.most_connecting and len(server.opening) >= limits.most_connecting)
                or len(pools.connections) >= pools.most
                or (server.bound and server.all >= server.bound)
                or pools.now < server.open_after
            )
            assert at_bound
            if not pools.now < server.open_after and not server.opening:
                assert not server.idle
                assert not server.fresh

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
        assert all(isinstance(why, Denied) for why in self.d.denied.values())
        self.d.pass_time(60 * SECOND)
        assert not self.d.up  # all went by their idle limit


Machine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestPools = Machine.TestCase
