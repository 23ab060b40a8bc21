"""What operators may ask, carried out on one relay's engine."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from loftrelay.metrics.counters import Gauges, Metrics
from loftrelay.relay.engine import Engine
from loftrelay.server.admin.server import Done

log = logging.getLogger(__name__)


class Store(Protocol):
    """Keeps the hosts that are out over restarts. Raises OSError."""

    def load(self) -> set[str]: ...
    def save(self, hosts: Iterable[str]) -> None: ...


class Elsewhere(Protocol):
    """Has a change made by the process that owns the relay now, or will in a moment."""

    def change(self, host: str, out: bool, done: Done) -> None: ...


class Relay:
    def __init__(self, store: Store) -> None:
        self.store = store
        self.engine: Engine | None = None  # none before it is loaded
        self.elsewhere: Elsewhere | None = None
        self.serving = False
        self.more: list[Callable[[], list[str]]] = []  # figures of parts that not every relay has

    @property
    def ready(self) -> bool:
        return self.serving

    def figures(self) -> list[str]:
        if self.engine is None:
            return Metrics().lines(Gauges(0, 0, 0))
        return [*self.engine.metric_lines(), *(line for lines in self.more for line in lines())]

    def take_out(self, host: str, done: Done) -> None:
        self.change(host, True, done)

    def bring_back(self, host: str, done: Done) -> None:
        self.change(host, False, done)

    def change(self, host: str, out: bool, done: Done) -> None:
        """Stands on disk before it is told, so that no restart lifts it."""
        if self.elsewhere is not None:
            self.elsewhere.change(host, out, done)
            return
        done(self._change(host, out))

    def change_for_fleet(self, host: str, out: bool) -> str | None:
        """An operator said so at another relay. This one's list may not name the host, or not yet. Gives the
        reason why it can't hold here.
        """
        if self.elsewhere is not None:
            return "another process of this relay is about to decide"  # and hears of it for itself
        return self._change(host, out, listed=False)

    def _change(self, host: str, out: bool, listed: bool = True) -> str | None:
        engine = self.engine
        if engine is None:
            return "not ready"
        if listed and not engine.endpoints.is_known(host):
            return f"no host has the id {host}"
        if (host in engine.endpoints.disabled) == out:
            return None
        try:
            self.store.save(engine.endpoints.disabled | {host} if out else engine.endpoints.disabled - {host})
        except OSError as error:
            log.error("which hosts are out can't be written: %s", error)
            return f"it can't be written down: {error}"
        if out:
            engine.endpoints.disable(host)
        else:
            engine.endpoints.enable(host)
        return None
