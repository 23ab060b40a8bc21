"""The engine of one relay: runs the scheduler in batches and carries out its actions in order.

intake            admits messages and responds to their clients
attempts          begins calls and handles their results
final_statuses    records and reports how messages end
redelivery        opens messages again whose delivery turns out to be doubtful
endpoints         the hosts, as listed and as disabled by operators
recovery          restores the messages of the journal after a restart
handover          pauses for a successor, or continues for a predecessor
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any

from loftrelay.decisions.actions import (
    Action,
    CloseIdleConnections,
    FailMessage,
    RejectMessage,
    SendAttempt,
    SetTimer,
    WatchEndpointList,
    WriteLog,
)
from loftrelay.decisions.events import Event, SettingsChanged
from loftrelay.decisions.settings import RelaySettings
from loftrelay.metrics.counters import Gauges
from loftrelay.net.address import Address
from loftrelay.relay.attempts import Attempts
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.endpoints import Endpoints
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.handover_control import HandoverControl
from loftrelay.relay.handover_state import HandoverState
from loftrelay.relay.intake import Intake
from loftrelay.relay.message_state import RECORDING_STAGES, Stage
from loftrelay.relay.ports import (
    Delivery,
    EndpointDirectory,
    Journal,
    MessageStore,
    ResolutionStatus,
    StatusReporter,
    SubscribedDirectory,
)
from loftrelay.relay.recovery import Recovery
from loftrelay.relay.redelivery import Redelivery
from loftrelay.relay.statuses import FAILED, REJECTED
from loftrelay.relay.unsettled_deliveries import UnsettledDeliveries

log = logging.getLogger(__name__)

US_PER_MS = 1000


class Engine:
    """One relay.

    The ports call the engine back, so they are passed later, to `connect` or `take_over`, which start it.

    Args:
        seed: seed of the scheduler's random generator.
        settings: used until `apply_settings`.
        journal: holds the open messages.
        store: the store of record, if the operator has configured one.
    """

    def __init__(
        self, seed: int, settings: RelaySettings, journal: Journal, store: MessageStore | None = None
    ) -> None:
        self.context = RelayContext(seed, settings, journal, store)
        self.final_statuses = FinalStatuses(self.context)
        self.endpoints = Endpoints(self.context)
        self.intake = Intake(self.context, self.endpoints, self.final_statuses)
        self.unsettled = UnsettledDeliveries(self.context, self.final_statuses)
        self.attempts = Attempts(self.context, self.final_statuses, self.unsettled)
        self.redelivery = Redelivery(self.context, self.final_statuses, self.unsettled)
        self.recovery = Recovery(self.context, self.final_statuses)
        self.handover = HandoverControl(
            self.context, self.intake, self.endpoints, self.attempts, self.final_statuses, self.unsettled
        )
        self.context.batch_loop.run_batch = self._run_batch
        self.context.batch_loop.after_stall = self.endpoints.refresh_after_stall
        self.context.batch_loop.is_enabled = lambda: self.context.is_deciding

    def connect(
        self,
        delivery: Delivery,
        discovery: EndpointDirectory,
        status_reporter: StatusReporter,
        cached_list: Mapping[str, Any],
        disabled_hosts: Iterable[str] = (),
        subscription: SubscribedDirectory | None = None,
    ) -> None:
        """Starts from the journal.

        Args:
            delivery: sends calls.
            discovery: source of the endpoint list.
            status_reporter: reports final statuses to the platform.
            cached_list: the last known endpoint list.
            disabled_hosts: hosts that the operator disabled before a restart.
            subscription: `discovery`, if the relay subscribes to destinations; recovered messages then wait
                until their destinations are resolved, or for `recovery.replay`.
        """
        self.context.subscription = subscription
        self.endpoints.restore_disabled(disabled_hosts)
        self._set_ports(delivery, discovery, status_reporter)
        self.recovery.run(cached_list)

    def take_over(
        self,
        delivery: Delivery,
        discovery: EndpointDirectory,
        status_reporter: StatusReporter,
        state: HandoverState,
        subscription: SubscribedDirectory | None = None,
    ) -> None:
        """Starts from the state of a predecessor, in place of `connect`."""
        self._set_ports(delivery, discovery, status_reporter)
        self.context.subscription = subscription
        self.handover.take_over(state)

    def _set_ports(
        self, delivery: Delivery, discovery: EndpointDirectory, status_reporter: StatusReporter
    ) -> None:
        self.context.delivery = delivery
        self.context.discovery = discovery
        self.context.status_reporter = status_reporter

    @property
    def has_unfinished_work(self) -> bool:
        """Whether a graceful shutdown still has to wait for a call, a report or a store that is there."""
        counts, store = self.context.message_states.counts, self.context.store
        is_recording = any(counts[stage] for stage in RECORDING_STAGES)
        return bool(
            self.context.delivery.is_busy
            or self.context.status_reporter.pending
            or (is_recording and store is not None and not store.retry_after_ms)
        )

    @property
    def has_unsettled_deliveries(self) -> bool:
        """Whether a delivery may still be disputed; the next process would make it again."""
        return bool(self.context.message_states.counts[Stage.SETTLING])

    def destination_resolved(self, destination: int, status: ResolutionStatus) -> None:
        """Continues with the messages that waited for a destination to be resolved."""
        self.recovery.destination_resolved(destination, status)
        self.intake.destination_resolved(destination, status)

    def release_destinations(self, candidates: Iterable[int]) -> list[int]:
        """Removes the idle destinations among the candidates; returns them."""
        if not self.context.is_deciding or self.recovery.messages:
            return []
        pending = self.intake.pending.by_destination
        return self.endpoints.release(destination for destination in candidates if destination not in pending)

    def apply_settings(self, settings: RelaySettings, discovery: Address) -> None:
        """Applies new settings and a new address of discovery. Open messages keep their terms."""
        context = self.context
        context.settings = settings
        context.accepted_classes.apply_settings(settings, wall_clock())
        context.metrics.add_classes(settings.classes)
        context.batch_loop.set_interval(settings.batch_interval)
        context.post(SettingsChanged(settings))
        self.move_discovery(discovery)

    def move_discovery(self, address: Address) -> None:
        """Uses another address of discovery from now on."""
        context = self.context
        if address != context.discovery.address:
            log.info("discovery moves to %s:%d", *address)
            context.discovery.move_to(address)
            context.status_reporter.move_to(address)

    def metric_lines(self) -> list[str]:
        """Returns the lines of all metrics for operators."""
        context = self.context
        counts = context.message_states.counts
        ended = sum(
            counts[stage] for stage in (Stage.SETTLING, Stage.RECORDING_DELIVERY, Stage.RECORDING_REPORTED)
        )
        outstanding = 0 if context.is_handed_over else len(context.journal.messages) - ended
        gauges = Gauges(
            outstanding,
            len(self.endpoints.max_batch_size_by_host),
            context.scheduler.avoided_endpoint_count(),
        )
        return context.metrics.lines(gauges)

    # Batches

    def _run_batch(self, events: list[Event]) -> None:
        calls: dict[str, list[SendAttempt]] = {}
        for action in self.context.scheduler.handle_batch(self.context.batch_loop.now, events):
            if isinstance(action, SendAttempt):
                calls.setdefault(action.endpoint, []).append(action)
            else:
                self._carry_out(action)
        self.intake.respond_to_admitted()  # before the first byte of any attempt is sent
        for host, sends in calls.items():
            self._begin_calls(host, sends)

    def _carry_out(self, action: Action) -> None:
        match action:
            case RejectMessage(message_id, retry_after):
                self.final_statuses.end(message_id, REJECTED, retry_after // US_PER_MS)
            case FailMessage(message_id):
                self.final_statuses.end(message_id, FAILED, 0)
            case SetTimer(delay, _):
                self.context.batch_loop.set_timer(delay)
            case CloseIdleConnections(endpoint):
                self.context.delivery.close_idle_connections(endpoint)
            case WatchEndpointList():
                self.context.discovery.watch()
            case WriteLog(text):
                log.info("%s", text)
            case _:
                log.error("internal error: the engine does not support the scheduler's action %s", action)

    def _begin_calls(self, host: str, sends: list[SendAttempt]) -> None:
        size = self.endpoints.max_batch_size_by_host.get(host, 1)
        for first in range(0, len(sends), size):
            self.attempts.begin(host, sends[first : first + size], is_batch=size > 1)
