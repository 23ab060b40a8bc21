"""Assembles the parts of one relay. This is the only module that depends on all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loftrelay.config.platform import Config
from loftrelay.config.resource_limits import longest_list_bytes
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_client import HostClient
from loftrelay.delivery.settlement import DeliveryEvents
from loftrelay.discovery.client import DiscoveryClient
from loftrelay.discovery.endpoint_list import MAX_LIST_BYTES
from loftrelay.discovery.status_reporter import FinalStatusReporter
from loftrelay.journal.journal import Journal
from loftrelay.memory.account import MemoryUse
from loftrelay.net.address import Address
from loftrelay.relay.engine import Engine
from loftrelay.relay.handover_state import HandoverState
from loftrelay.relay.ports import EndpointDirectory, MessageStore, SubscribedDirectory
from loftrelay.state.disabled_hosts import DisabledHostsFile

if TYPE_CHECKING:
    from loftrelay.discovery.settings import SubscriptionSettings
    from loftrelay.discovery.subscriber import Subscriber

DEFAULT_POOL_SETTINGS = PoolSettings()


def build_engine(
    config: Config,
    pool_settings: PoolSettings = DEFAULT_POOL_SETTINGS,
    journal: Journal | None = None,
    store: MessageStore | None = None,
    received_state: HandoverState | None = None,
    subscription: SubscriptionSettings | None = None,
) -> tuple[Engine, Journal]:
    """Builds the engine of one relay and starts it. Call it within a running event loop.

    Args:
        config: Configuration of the platform.
        pool_settings: Limits of connections to hosts.
        journal: Journal that a predecessor has handed over; None opens the one in the state folder.
        store: Store of record; None if the operator has configured none.
        received_state: State of the predecessor; None recovers from the journal alone.
        subscription: Registries to subscribe at; None polls discovery for all destinations.

    Returns:
        The running engine with all its parts, and its journal.

    Raises:
        OSError: The state folder can't be used.
    """
    journal = journal or Journal(config.state_dir, config.journal_bytes)
    engine = Engine(config.seed, config.settings, journal, store)
    delivery = _build_host_client(config, pool_settings, journal, engine)
    engine.context.memory.add_source(MemoryUse.CALLS, lambda: delivery.memory_bytes)
    address = config.discovery if received_state is None else received_state.discovery
    discovery: EndpointDirectory
    subscribed: SubscribedDirectory | None = None
    if subscription is None:
        discovery = _build_discovery_client(config, address, engine)
    else:
        discovery = subscribed = _build_subscriber(config, subscription, address, engine)
    status_reporter = FinalStatusReporter(address, engine.final_statuses.report_acknowledged)
    if received_state is not None:
        engine.take_over(delivery, discovery, status_reporter, received_state, subscribed)
    else:
        disabled_hosts = DisabledHostsFile(config.state_dir).load()
        cached_list = config.cached_endpoint_list
        engine.connect(delivery, discovery, status_reporter, cached_list, disabled_hosts, subscribed)
    return engine, journal


def _build_host_client(
    config: Config, pool_settings: PoolSettings, journal: Journal, engine: Engine
) -> HostClient:
    return HostClient(
        config.settings.connect_timeout,
        config.settings.connection_idle_timeout,
        config.max_host_connections,
        pool_settings,
        config.seed,
        journal.record_attempt,
        engine.attempts.attempt_ended,
        engine.attempts.outcome_disputed,
        engine.context.metrics.count_forwarded,
        engine.context.stall_detector,
        engine.attempts.retry_after_received,
        engine.attempts.is_blocked,
        DeliveryEvents(
            engine.redelivery.delivery_disputed,
            engine.redelivery.delivery_unconfirmed,
            engine.redelivery.delivery_settled,
        ),
    )


def _build_discovery_client(config: Config, address: Address, engine: Engine) -> DiscoveryClient:
    return DiscoveryClient(
        address,
        config.settings.poll_interval,
        engine.endpoints.list_received,
        lambda: engine.endpoints.entries,
        engine.endpoints.list_rejected,
        longest_list_bytes(config.memory_bytes, MAX_LIST_BYTES),
    )


def _build_subscriber(
    config: Config, subscription: SubscriptionSettings, address: Address, engine: Engine
) -> Subscriber:
    from loftrelay.discovery.subscriber import Subscriber  # imported only if it is used

    return Subscriber(
        subscription,
        config.name,
        address,
        engine.endpoints.list_received,
        engine.destination_resolved,
        engine.release_destinations,
    )
