"""Membership of one relay in its fleet, which replicates operators' overrides of hosts to all relays."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable, Iterable
from pathlib import Path

from loftrelay.gossip.messages import MemberState
from loftrelay.gossip.operator_overrides import OperatorOverride, Overrides
from loftrelay.gossip.settings import GossipSettings
from loftrelay.gossip.transport import GossipTransport
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult
from loftrelay.service.override_file import OverrideFile

log = logging.getLogger(__name__)

APPLY_RETRY_S = 1.0  # between attempts to apply an override of another relay
OPEN_RETRY_S = 0.1  # between attempts to open a socket that the predecessor still uses
TRANSPORT_COUNTERS = (
    "sent",
    "sent_bytes",
    "received",
    "unreadable",
    "of_another_version",
    "of_another_fleet",
    "not_sent",
    "stalls",
)

# Applies an override, given a host and whether it is disabled; returns the reason if it failed, else None.
ApplyOverride = Callable[[str, bool], str | None]


class GossipMember:
    """Gossip of one relay; observes the engine for overrides given at this relay.

    Args:
        settings: Settings of the fleet.
        name: Name of this relay.
        folder: State folder, in which overrides are stored.
        engine: Engine whose hosts are disabled and enabled.
        apply_override: Applies an override of another relay to this one.
    """

    def __init__(
        self,
        settings: GossipSettings,
        name: str,
        folder: Path,
        engine: Engine,
        apply_override: ApplyOverride,
    ) -> None:
        self.engine = engine
        self.apply_override = apply_override
        self.file = OverrideFile(folder)
        self.overrides = Overrides(name, secrets.randbits(32))
        self.transport = GossipTransport(settings, name, self.overrides, self._on_remote_overrides)
        self._retry_timer: asyncio.TimerHandle | None = None

    async def start(self, wait: bool) -> None:
        """Restores the stored overrides and joins the fleet.

        Args:
            wait: Whether to retry while the predecessor still uses the address.

        Raises:
            OSError: The socket can't be opened, and `wait` is False.
        """
        self.overrides.restore(self.file.load(), self.engine.endpoints.disabled)
        self._apply_all()
        self.engine.context.observers.append(self)
        while True:
            try:
                host, port = await self.transport.open(wall_clock() // 1000)
            except OSError:
                if not wait:
                    raise
                await asyncio.sleep(OPEN_RETRY_S)
            else:
                log.info("gossip: socket of fleet %s open on %s:%d", self.transport.settings.name, host, port)
                return

    def close(self) -> None:
        """Leaves the fleet without notifying it."""
        if self in self.engine.context.observers:
            self.engine.context.observers.remove(self)
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self.transport.close()

    def metric_lines(self) -> list[str]:
        """Returns the lines for the statistics of the admin endpoint."""
        states = [peer.state for peer in self.transport.live_peers]
        metrics = {
            "fleet_alive": states.count(MemberState.ALIVE),
            "fleet_suspected": states.count(MemberState.SUSPECT),
            "fleet_calls": len(self.overrides.by_host),
            **{f"fleet_{name}": self.transport.counters[name] for name in TRANSPORT_COUNTERS},
        }
        return [f"app.{name}={value}" for name, value in metrics.items()]

    # Local overrides, observed at the engine

    def attempt_ended(self, message: Message, host: str, result: AttemptResult) -> None:
        """Does nothing: attempts are not replicated."""

    def endpoint_disabled(self, host: str) -> None:
        """Replicates that the host was disabled, unless an override of another relay caused that."""
        self._set_local(host, is_disabled=True)

    def endpoint_enabled(self, host: str) -> None:
        """Replicates that the host was enabled, unless an override of another relay caused that."""
        self._set_local(host, is_disabled=False)

    def _set_local(self, host: str, is_disabled: bool) -> None:
        if self.overrides.set_local(host, is_disabled, wall_clock() // 1000) is not None:
            self._save()
            self.transport.broadcast_now()

    def _save(self) -> None:
        self.file.save(self.overrides.by_host.values())

    # Overrides of other relays

    def _on_remote_overrides(self, overrides: list[OperatorOverride]) -> None:
        for override in overrides:
            state = "disabled" if override.is_disabled else "enabled"
            log.info(
                "gossip: host %s was %s by an operator at relay %s", override.host, state, override.origin
            )
        self._save()
        self._apply(overrides)
        self.transport.broadcast_now()

    def _apply(self, overrides: Iterable[OperatorOverride]) -> None:
        """Applies overrides; retries those that can't be applied now, as during a handover."""
        for override in overrides:
            if (override.host in self.engine.endpoints.disabled) == override.is_disabled:
                continue
            reason = self.apply_override(override.host, override.is_disabled)
            if reason is None:
                continue
            log.error(
                "gossip: override of host %s from relay %s not applied: %s; retrying in %g s",
                override.host,
                override.origin,
                reason,
                APPLY_RETRY_S,
            )
            if self._retry_timer is None:
                self._retry_timer = asyncio.get_running_loop().call_later(APPLY_RETRY_S, self._apply_all)

    def _apply_all(self) -> None:
        self._retry_timer = None
        self._apply(list(self.overrides.by_host.values()))
