"""Random sequences of pool events: limits hold, and no connection is shared, leaked or withheld."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from loftrelay.delivery.connection_pool.actions import ConnectFailure, PoolErrorKind
from loftrelay.delivery.connection_pool.connection import ConnectionState
from loftrelay.delivery.connection_pool.settings import MS, SECOND, ReuseOrder
from tests.delivery.pool_fixture import PoolHarness

HOSTS = st.sampled_from(["a", "b", "c"])
DURATIONS = st.sampled_from([0, MS, 8 * MS, 30 * MS, 200 * MS, SECOND, 5 * SECOND, 40 * SECOND])
INDEXES = st.integers(0, 1 << 16)


class PoolStateMachine(RuleBasedStateMachine):
    harness: PoolHarness

    @initialize(
        max_per_host=st.integers(0, 3),
        max_total=st.integers(0, 5),
        max_connecting=st.integers(0, 2),
        connect_backoff=st.sampled_from([0, 100 * MS]),
        is_capacity_learned=st.booleans(),
        max_prewarmed=st.integers(0, 3),
        is_strict=st.booleans(),
        reuse_order=st.sampled_from(ReuseOrder),
        max_age=st.sampled_from([0, 3 * SECOND]),
        seed=st.integers(0, 9),
    )
    def start(
        self,
        max_per_host: int,
        max_total: int,
        max_connecting: int,
        connect_backoff: int,
        is_capacity_learned: bool,
        max_prewarmed: int,
        is_strict: bool,
        reuse_order: ReuseOrder,
        max_age: int,
        seed: int,
    ) -> None:
        self.harness = PoolHarness(
            seed,
            max_per_host=max_per_host,
            max_total=max_total,
            max_connecting=max_connecting,
            connect_backoff=connect_backoff,
            is_capacity_learned=is_capacity_learned,
            max_prewarmed=max_prewarmed,
            warm_up_after=SECOND,
            is_strict=is_strict,
            reuse_order=reuse_order,
            max_age=max_age,
            max_idle=10 * SECOND,
        )
        self.used_connections: set[int] = set()
        self.at_most_once_calls: set[int] = set()
        for host in "abc":
            self.harness.set_host(host, host)

    def _pick(self, numbers: object, index: int) -> int:
        items = sorted(numbers)  # type: ignore[call-overload]
        return int(items[index % len(items)])

    @rule(host=HOSTS, is_at_most_once=st.booleans(), max_idle=st.sampled_from([None, 50 * MS, SECOND]))
    def acquire(self, host: str, is_at_most_once: bool, max_idle: int | None) -> None:
        if is_at_most_once:
            self.at_most_once_calls.add(self.harness.call_count + 1)
        self.harness.acquire(host, is_at_most_once, max_idle)

    @precondition(lambda self: self.harness.opening)
    @rule(index=INDEXES)
    def connect_succeeds(self, index: int) -> None:
        connection = self._pick(self.harness.opening, index)
        self.harness.established[connection] = self.harness.opening.pop(connection)
        self.harness.execute(self.harness.manager.connected(connection, self.harness.now))

    @precondition(lambda self: self.harness.opening)
    @rule(index=INDEXES, failure=st.sampled_from(ConnectFailure))
    def connect_fails(self, index: int, failure: ConnectFailure) -> None:
        connection = self._pick(self.harness.opening, index)
        del self.harness.opening[connection]
        self.harness.execute(self.harness.manager.connect_failed(connection, failure, self.harness.now))

    @precondition(lambda self: self.harness.leases)
    @rule(index=INDEXES, is_reusable=st.booleans())
    def response_is_received(self, index: int, is_reusable: bool) -> None:
        call = self._pick(self.harness.leases, index)
        self.used_connections.add(self.harness.leases[call])
        self.harness.respond(call, is_reusable, 20 * MS)

    @precondition(lambda self: self.harness.leases)
    @rule(index=INDEXES, is_reset=st.booleans())
    def connection_is_lost(self, index: int, is_reset: bool) -> None:
        self.harness.lose_connection(self._pick(self.harness.leases, index), is_reset)

    @precondition(lambda self: self.harness.leases)
    @rule(index=INDEXES)
    def call_is_abandoned_before_first_byte(self, index: int) -> None:
        connection = self.harness.leases.pop(self._pick(self.harness.leases, index))
        self.harness.execute(self.harness.manager.release_unused(connection, self.harness.now))

    @precondition(lambda self: self.harness.waiting)
    @rule(index=INDEXES)
    def waiting_call_is_cancelled(self, index: int) -> None:
        call = self._pick(self.harness.waiting, index)
        self.harness.waiting.remove(call)
        self.harness.execute(self.harness.manager.cancel(call, self.harness.now))

    @precondition(lambda self: bool(set(self.harness.established) - set(self.harness.leases.values())))
    @rule(index=INDEXES, data=st.sampled_from(["closed", "response", "noise"]))
    def idle_connection_receives_data_or_is_closed(self, index: int, data: str) -> None:
        connection = self._pick(set(self.harness.established) - set(self.harness.leases.values()), index)
        if data == "closed":
            self.harness.close_by_peer(connection)
        else:
            self.harness.execute(
                self.harness.manager.unsolicited_data_received(
                    connection, data == "response", self.harness.now
                )
            )

    @rule(host=HOSTS, address=st.integers(0, 1))
    def host_is_set(self, host: str, address: int) -> None:
        self.harness.set_host(host, address)

    @rule(host=HOSTS, method=st.sampled_from(["drain_host", "remove_host", "close_idle"]))
    def host_closes_connections(self, host: str, method: str) -> None:
        self.harness.execute(getattr(self.harness.manager, method)(host, self.harness.now))

    @rule(host=HOSTS, is_success=st.booleans(), retry_after=DURATIONS)
    def outcome_is_recorded(self, host: str, is_success: bool, retry_after: int) -> None:
        self.harness.manager.record_outcome(host, is_success, retry_after, self.harness.now)

    @rule(duration=DURATIONS)
    def time_passes(self, duration: int) -> None:
        self.harness.advance_clock(duration)

    # Invariants

    @invariant()
    def limits_are_kept(self) -> None:
        if not hasattr(self, "harness"):
            return
        settings, manager = self.harness.manager.settings, self.harness.manager
        if settings.max_total:
            assert len(self.harness.established) + len(self.harness.opening) <= settings.max_total
        for name, host in manager.hosts.items():
            connections = [c for c in manager.table.connections.values() if c.host is host]
            assert host.total == len(connections)
            if settings.max_per_host:
                assert host.total <= settings.max_per_host
            if settings.max_connecting:
                assert len(host.opening) <= settings.max_connecting
            assert all(
                name == self.harness.established.get(c.number, self.harness.opening.get(c.number))
                for c in connections
            )

    @invariant()
    def no_connection_or_call_is_leaked(self) -> None:
        if not hasattr(self, "harness"):
            return
        manager = self.harness.manager
        assert set(manager.table.connections) == set(self.harness.established) | set(self.harness.opening)
        idle = {n for n, c in manager.table.connections.items() if c.state is ConnectionState.IDLE}
        assert (
            set(manager.table.idle)
            == idle
            == set(self.harness.established) - set(self.harness.leases.values())
        )
        assert set(manager.allocator.calls) == self.harness.waiting
        assert len(manager.table.timers) <= 400

    @invariant()
    def strict_pool_gives_at_most_once_calls_unused_connections(self) -> None:
        if not hasattr(self, "harness"):
            return
        if self.harness.manager.settings.is_strict:
            for call in self.at_most_once_calls & set(self.harness.leases):
                assert self.harness.leases[call] not in self.used_connections

    @invariant()
    def no_call_waits_for_a_connection_that_is_available(self) -> None:
        """A call waits only during a connect for it, at a limit, or during the backoff after failures."""
        if not hasattr(self, "harness"):
            return
        manager, settings = self.harness.manager, self.harness.manager.settings
        for host in manager.hosts.values():
            if len(host.waiting) <= len(host.opening):
                continue
            is_limited = (
                (settings.max_per_host and host.total >= settings.max_per_host)
                or (settings.max_connecting and len(host.opening) >= settings.max_connecting)
                or len(manager.table.connections) >= manager.allocator.total_limit.limit
                or (host.capacity.limit and host.total >= host.capacity.limit)
                or manager.table.now < host.backoff.next_connect_at
            )
            assert is_limited
            if not manager.table.now < host.backoff.next_connect_at and not host.opening:
                assert not host.idle
                assert not host.unused

    def teardown(self) -> None:
        """Checks that all calls end once connects succeed and responses arrive."""
        if not hasattr(self, "harness"):
            return
        for _ in range(200):
            if not self.harness.waiting and not self.harness.leases:
                break
            for call in list(self.harness.leases):
                self.harness.respond(call)
            self.harness.complete_connects()
            self.harness.advance_clock(SECOND)
        assert not self.harness.waiting
        assert not self.harness.leases
        assert all(isinstance(kind, PoolErrorKind) for kind in self.harness.errors.values())
        self.harness.advance_clock(60 * SECOND)
        assert not self.harness.established  # all were closed at their idle limit


PoolStateMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestPools = PoolStateMachine.TestCase
