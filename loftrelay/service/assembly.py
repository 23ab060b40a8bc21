"""Puts the parts of one relay together: the only place that knows them all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loftrelay.config.platform import Config
from loftrelay.delivery.connection_pool import Limits
from loftrelay.delivery.host_client import HostClient
from loftrelay.discovery.client import DiscoveryClient
from loftrelay.discovery.status_reporter import FinalStatusReporter
from loftrelay.journal.journal import Journal
from loftrelay.relay.engine import Engine
from loftrelay.relay.handover import HandoverState
from loftrelay.relay.ports import EndpointDirectory, MessageStore, SubscribedDirectory
from loftrelay.state.hosts_out import HostsOut

if TYPE_CHECKING:
    from loftrelay.discovery.settings import SubscriptionSettings

DEFAULT_LIMITS = Limits()


def build(
    config: Config,
    connections: Limits = DEFAULT_LIMITS,
    journal: Journal | None = None,
    record: MessageStore | None = None,
    handed: HandoverState | None = None,
    subscription: SubscriptionSettings | None = None,
) -> tuple[Engine, Journal]:
    """`connections`: what the operator's file on connections sets. `handed`: what another process told that
    has handed the journal over. `subscription`: the registries, where the list is a slice.

    Returns the engine with all its parts, running, and its journal. To be called within a running loop.

    Raises OSError where the folder of the journal can't be used.
    """
    journal = journal or Journal(config.state_dir, config.journal_bytes)
    engine = Engine(config.seed, config.settings, journal, record)
    delivery = HostClient(
        config.settings.connect_timeout,
        config.settings.connection_idle_timeout,
        config.max_host_connections,
        connections,
        config.seed,
        journal.record_attempt,
        engine.attempts.ended,
        engine.attempts.outcome_disputed,
        engine.context.metrics.count_forwarded,
        engine.context.stall_detector,
        engine.attempts.retry_after_received,
        engine.attempts.is_blocked,
    )
    where = config.discovery if handed is None else handed.discovery
    discovery: EndpointDirectory
    slices: SubscribedDirectory | None = None
    if subscription is None:
        discovery = DiscoveryClient(
            where,
            config.settings.poll_interval,
            engine.endpoints.listed,
            lambda: engine.endpoints.entries,
            engine.endpoints.list_rejected,
        )
    else:
        from loftrelay.discovery.subscriber import Subscriber  # only where it is used

        discovery = slices = Subscriber(
            subscription,
            config.name,
            where,
            engine.endpoints.listed,
            engine.destination_resolved,
            engine.release_destinations,
        )
    notices = FinalStatusReporter(where, engine.final_statuses.reported)
    if handed is not None:
        engine.take_over(delivery, discovery, notices, handed, slices)
    else:
        engine.connect(
            delivery,
            discovery,
            notices,
            config.cached_endpoint_list,
            HostsOut(config.state_dir).load(),
            slices,
        )
    return engine, journal
