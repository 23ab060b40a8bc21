"""Executes operators' commands on one relay."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from loftrelay.metrics.counters import Gauges, Metrics
from loftrelay.relay.engine import Engine
from loftrelay.server.admin.server import OnDone

log = logging.getLogger(__name__)


class DisabledHostStore(Protocol):
    """Stores the hosts that operators have disabled, for a restart of the relay."""

    def save(self, hosts: Iterable[str]) -> None:
        """Replaces the stored hosts.

        Raises:
            OSError: They can't be written.
        """


class OwnerProcess(Protocol):
    """Forwards commands to the process that owns the relay's state during a handover."""

    def request_override(self, host: str, is_disabled: bool, done: OnDone, /) -> None:
        """Disables or enables a host at the owner, now or once the owner is known; then calls `done`."""


class RelayAdmin:
    """Operators' commands for one relay; see AdminHandler.

    Args:
        store: Store of the hosts that operators have disabled.

    Attributes:
        engine: Engine of the relay; None until it is loaded.
        owner: Process that commands are forwarded to; None while this process owns the relay's state.
        is_serving: Whether this process serves clients.
        metric_sources: Functions that return the statistics of optional parts of the relay.
    """

    def __init__(self, store: DisabledHostStore) -> None:
        self.store = store
        self.engine: Engine | None = None
        self.owner: OwnerProcess | None = None
        self.is_serving = False
        self.metric_sources: list[Callable[[], list[str]]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the relay serves clients."""
        return self.is_serving

    def metric_lines(self) -> list[str]:
        """Returns the statistics, one per line; all zero until the engine is loaded."""
        if self.engine is None:
            return Metrics().lines(Gauges(0, 0, 0))
        lines = self.engine.metric_lines()
        return [*lines, *(line for source in self.metric_sources for line in source())]

    def disable_host(self, host: str, done: OnDone) -> None:
        """Stops sending messages to a host until `enable_host`; `done` is called once that is stored."""
        self.set_disabled(host, True, done)

    def enable_host(self, host: str, done: OnDone) -> None:
        """Reverts `disable_host`; `done` is called once that is stored."""
        self.set_disabled(host, False, done)

    def set_disabled(self, host: str, is_disabled: bool, done: OnDone) -> None:
        """Disables or enables a host; `done` is called once that is stored."""
        if self.owner is not None:
            self.owner.request_override(host, is_disabled, done)
            return
        done(self._set_disabled(host, is_disabled, must_exist=True))

    def apply_fleet_override(self, host: str, is_disabled: bool) -> str | None:
        """Applies an override from another relay; its host may not be in this relay's endpoint list yet.

        Returns:
            The reason if it can't be applied now; otherwise None.
        """
        if self.owner is not None:
            return "another process of this relay is taking over"  # it receives the override itself
        return self._set_disabled(host, is_disabled, must_exist=False)

    def _set_disabled(self, host: str, is_disabled: bool, must_exist: bool) -> str | None:
        """Stores a change and then applies it, so that no restart reverts a command that succeeded.

        Returns:
            The reason if the change failed; otherwise None.
        """
        engine = self.engine
        if engine is None:
            return "not ready"
        if must_exist and not engine.endpoints.is_known(host):
            return f"no host has the id {host}"
        if (host in engine.endpoints.disabled) == is_disabled:
            return None
        disabled = engine.endpoints.disabled
        try:
            self.store.save(disabled | {host} if is_disabled else disabled - {host})
        except OSError as error:
            state = "disabled" if is_disabled else "enabled"
            log.error("admin: host %s not %s, the change can't be stored: %s", host, state, error)
            return f"it can't be written down: {error}"
        if is_disabled:
            engine.endpoints.disable(host)
        else:
            engine.endpoints.enable(host)
        return None
