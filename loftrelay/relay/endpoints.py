"""Endpoints: the list of hosts in force, those that operators disable, and destinations that are released."""

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

LIST_STALE_AFTER_S = 1.0  # of a stall; a drain binds after 2 s


class Endpoints:
    """The hosts that one relay knows."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.entries: dict[str, tuple[EndpointEntry, Address]] = {}  # by host, as listed
        self.batch_sizes: dict[str, int] = {}  # by host: messages that one call may hold
        self.destinations: set[int] = set()  # that a list has named
        self.disabled: set[str] = set()  # by the operator
        self.has_no_list = False  # one was too long, and there was none before: nobody is served

    def list_received(self, update: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        """Takes in a list or its changes.

        Args:
            update: the list.
            addresses: of each host in it that is not removed.
        """
        self.has_no_list = self.has_no_list and update.kind is EndpointListKind.FAILED
        if update.kind is EndpointListKind.FULL:
            for host in set(self.batch_sizes) - set(addresses):
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
        """A list was too long to be taken in. What is in force stays."""
        self.context.metrics.lists_rejected += 1
        self.has_no_list = not self.destinations

    def add(self, entry: EndpointEntry, address: Address) -> None:
        """Adds a host, or changes what is known of it."""
        host = entry.endpoint
        self.entries[host] = entry, address
        self.context.delivery.add_host(host, address, entry.destination)
        if entry.state is EndpointState.DRAINING or host in self.disabled:
            self.context.delivery.drain_host(host)
        kind = self.context.settings.endpoint_kinds.get(entry.kind or "")
        self.batch_sizes[host] = (kind and kind.max_batch_size) or 1

    def remove(self, host: str) -> None:
        """Removes a host that no list names any more."""
        self.context.delivery.remove_host(host)
        self.batch_sizes.pop(host, None)
        self.entries.pop(host, None)

    def is_known(self, host: str) -> bool:
        """Returns whether a host is listed, or is disabled since it was."""
        return host in self.batch_sizes or host in self.disabled

    def disable(self, host: str) -> None:
        """The operator takes a host out of service, whatever the list says, until `enable`."""
        if host in self.disabled:
            return
        log.info("host %s disabled by the operator", host)
        self.disabled.add(host)
        self.context.delivery.drain_host(host)
        self.context.post(EndpointDisabled(host))
        for observer in self.context.observers:
            observer.endpoint_disabled(host)

    def enable(self, host: str) -> None:
        """The operator puts a host back into service."""
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
        """Disables the hosts that were disabled before a restart."""
        for host in hosts:
            self.disabled.add(host)
            self.context.post(EndpointDisabled(host))

    def release(self, candidates: Iterable[int]) -> list[int]:
        """Forgets the destinations among the candidates for which no message is open; returns them.

        What the decisions have learned of them (a Retry-After, an open circuit) stays there.
        """
        idle = self._idle(candidates)
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

    def _idle(self, candidates: Iterable[int]) -> set[int]:
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
        """Asks discovery anew after a stall in which changes may have become binding."""
        discovery = self.context.discovery
        if stalled_for >= LIST_STALE_AFTER_S and discovery.revision is not None:
            discovery.pause()
            discovery.watch()
