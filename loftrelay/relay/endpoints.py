"""Endpoints: the current host list, hosts disabled by operators, and the release of idle destinations."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from loftrelay.decisions.events import (
    DestinationsReleased,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    MessageRecovered,
    MessageSubmitted,
)
from loftrelay.net.address import Address
from loftrelay.relay.context import RelayContext

log = logging.getLogger(__name__)

LIST_STALE_AFTER_S = 1.0  # stall after which the list is requested anew; a drain becomes binding after 2 s


class Endpoints:
    """The hosts known to one relay."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.entries: dict[str, tuple[EndpointEntry, Address]] = {}  # by host, as listed
        # Most messages in one call, by host. Its keys are the known hosts, the same as in `entries`.
        self.max_batch_size_by_host: dict[str, int] = {}
        self.destinations: set[int] = set()  # destinations with an entry in the list
        self.disabled: set[str] = set()  # hosts disabled by the operator
        # The first list was rejected as too long and no earlier one exists, so no client is served.
        self.lacks_usable_list = False

    def list_received(self, update: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        """Applies an endpoint list or a change of it.

        Args:
            update: the list or the change.
            addresses: address of each host in it that is not removed.
        """
        self.lacks_usable_list = self.lacks_usable_list and update.kind is EndpointListKind.FAILED
        if update.kind is EndpointListKind.FULL:
            for host in set(self.max_batch_size_by_host) - set(addresses):
                self.remove(host)
        for entry in update.entries:
            self.destinations.add(entry.destination)
            self.context.note_change(entry.destination)
            if entry.state is EndpointState.REMOVED:
                self.remove(entry.endpoint)
            else:
                self.add(entry, addresses[entry.endpoint])
        self.context.post(update)

    def list_rejected(self) -> None:
        """Counts a list that was rejected as too long. The current list stays in use."""
        self.context.metrics.lists_rejected += 1
        self.lacks_usable_list = not self.destinations

    def add(self, entry: EndpointEntry, address: Address) -> None:
        """Adds a host, or updates its entry and address."""
        host = entry.endpoint
        self.entries[host] = entry, address
        self.context.delivery.add_host(host, address, entry.destination)
        if entry.state is EndpointState.DRAINING or host in self.disabled:
            self.context.delivery.drain_host(host)
        kind = self.context.settings.endpoint_kinds.get(entry.kind or "")
        self.max_batch_size_by_host[host] = (kind and kind.max_batch_size) or 1

    def remove(self, host: str) -> None:
        """Removes a host that the list no longer contains."""
        self.context.delivery.remove_host(host)
        self.max_batch_size_by_host.pop(host, None)
        self.entries.pop(host, None)

    def is_known(self, host: str) -> bool:
        """Returns whether a host is listed or disabled."""
        return host in self.max_batch_size_by_host or host in self.disabled

    def disable(self, host: str) -> None:
        """Takes a host out of service at the operator's request, whatever the list says, until `enable`."""
        if host in self.disabled:
            return
        log.info("host %s disabled by the operator; no new calls begin", host)
        self.disabled.add(host)
        self.context.delivery.drain_host(host)
        self.context.post(EndpointDisabled(host))
        for observer in self.context.observers:
            observer.endpoint_disabled(host)

    def enable(self, host: str) -> None:
        """Puts a host back into service at the operator's request."""
        if host not in self.disabled:
            return
        log.info("host %s enabled by the operator", host)
        self.disabled.discard(host)
        if host in self.entries:
            self.add(*self.entries[host])
        self.context.post(EndpointEnabled(host))
        for observer in self.context.observers:
            observer.endpoint_enabled(host)

    def restore_disabled(self, hosts: Iterable[str]) -> None:
        """Disables again the hosts that the operator had disabled before a restart."""
        for host in hosts:
            self.disabled.add(host)
            self.context.post(EndpointDisabled(host))

    def release(self, candidates: Iterable[int]) -> list[int]:
        """Removes the idle destinations among the candidates, those without an open message; returns them.

        The scheduler keeps what it has learned about them, such as a Retry-After or an open circuit.
        """
        idle = self._idle_destinations(candidates)
        if not idle:
            return []
        hosts = [host for host, (entry, _) in self.entries.items() if entry.destination in idle]
        for host in hosts:
            self.remove(host)
        self.destinations -= idle
        for destination in idle:
            self.context.changed_at.pop(destination, None)
        released = sorted(idle)
        self.context.post(DestinationsReleased(tuple(released)))
        return released

    def _idle_destinations(self, candidates: Iterable[int]) -> set[int]:
        scheduler, now = self.context.scheduler, self.context.batch_loop.clock()
        idle = {destination for destination in candidates if scheduler.is_idle(now, destination)}
        for event in self.context.batch_loop.events:
            if isinstance(event, MessageSubmitted):
                idle.discard(event.destination)
            elif isinstance(event, MessageRecovered):
                idle.discard(event.submission.destination)
        if idle:
            idle.difference_update(message.destination for message in self.context.journal.messages.values())
        return idle

    def refresh_after_stall(self, stalled_for: float) -> None:
        """Requests the list again after a stall during which changes may have become binding.

        Args:
            stalled_for: duration of the stall in seconds.
        """
        discovery = self.context.discovery
        if stalled_for >= LIST_STALE_AFTER_S and discovery.revision is not None:
            discovery.pause()
            discovery.watch()
