"""Endpoint directory of a relay that subscribes to its destinations at registries.

Carries out the actions of `SubscriptionState` and reports the outcomes of calls to it.
"""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from loftrelay.decisions.events import EndpointListKind, EndpointListReceived
from loftrelay.discovery.client import CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S
from loftrelay.discovery.endpoint_list import MAX_PARSED_BYTES, decode_rows
from loftrelay.discovery.http_client import DiscoveryHttpClient
from loftrelay.discovery.settings import SubscriptionSettings
from loftrelay.discovery.subscription import SubscriptionState
from loftrelay.discovery.subscription_actions import (
    Action,
    CancelCalls,
    Channel,
    DestinationResolved,
    EntriesChanged,
    LogLine,
    ReleaseDestinations,
    Row,
    StartCall,
)
from loftrelay.net.address import Address
from loftrelay.net.response_parser import ConnectionBrokenError, HttpResponse, ResponseTooLongError
from loftrelay.registry.protocol import decode_response
from loftrelay.relay.ports import ResolutionStatus
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

MAX_LOGGED_ERROR_BYTES = 200
REQUEST_HEAD_BYTES = len("GET  HTTP/1.1\r\nHost: discovery\r\nContent-Length: 0\r\n\r\n")
STATUS_LINE_BYTES = len("HTTP/1.1 200 OK\r\n\r\n")
COUNTER_NAMES = (
    "changes",
    "watches",
    "failures",
    "older",
    "overtaken",
    "moved",
    "bytes_in",
    "bytes_out",
    "cells",
    "let_go",
)


class Subscriber:
    """Implements EndpointDirectory and SubscribedDirectory (relay/ports.py).

    It schedules its watches and retries itself; their failures are not reported to the decisions.
    """

    def __init__(
        self,
        settings: SubscriptionSettings,
        name: str,
        reports_address: Address,
        on_update: Callable[[EndpointListReceived, Mapping[str, Address]], None],
        on_resolved: Callable[[int, ResolutionStatus], None],
        release_destinations: Callable[[Sequence[int]], list[int]],
    ) -> None:
        """Initializes a subscriber that makes no calls before `watch`.

        Args:
            settings: Operator settings of the subscription.
            name: Name of the relay.
            reports_address: Address of the platform's discovery, to which only final statuses are sent.
            on_update: Receives each change of the list, with the addresses of its endpoints.
            on_resolved: Receives the result of each lookup.
            release_destinations: Called with idle destinations; returns those that the relay released.
        """
        self.address = reports_address
        self.revision: int | None = None
        self.on_update = on_update
        self.on_resolved = on_resolved
        self.release_destinations = release_destinations
        self.subscription = SubscriptionState(
            settings.registries,
            settings.fleet,
            name,
            secrets.token_hex(8),
            settings.timing,
            secrets.randbits(64),
        )
        self.counts: Counter[str] = self.subscription.counts
        self.first_response = asyncio.Event()  # set after the first usable response of a registry
        self.clients: dict[Channel, DiscoveryHttpClient] = {}
        self.tasks: dict[Channel, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_at = math.inf
        self.is_processing = False

    # EndpointDirectory

    def load_cached(self, cached_list: Mapping[str, Any]) -> None:
        """Publishes an empty list, as the registries provide the endpoints of this relay."""
        if cached_list:
            log.info("known list ignored: the registries name the destinations of this relay")
        self.on_update(EndpointListReceived(EndpointListKind.CACHED, ()), {})

    def watch(self) -> None:
        """Starts the subscription, unless it is running."""
        self.subscription.start(self._now())
        self._process_actions()

    def pause(self) -> None:
        """Stops all calls until `watch`."""
        self.subscription.pause()
        self._process_actions()

    def resume(self, revision: int | None) -> None:  # noqa: ARG002 - `adopt` received it
        """Starts the subscription from the state given to `adopt`."""
        self.watch()

    def move_to(self, address: Address) -> None:
        """Sends final statuses to another address."""
        self.address = address

    def close(self) -> None:
        """Stops all calls and timers."""
        self.pause()
        if self.timer is not None:
            self.timer.cancel()

    # SubscribedDirectory

    def resolve(self, destination: int) -> None:
        """Looks up a destination. `on_resolved` is called within the lookup timeout, also after a failure."""
        self.subscription.resolve(self._now(), destination)
        self._process_actions()

    def mark_used(self, destination: int) -> None:
        """Records a message for a destination that is held."""
        self.subscription.mark_used(self._now(), destination)

    def adopt(self, revision: int | None, destinations: Iterable[int], rows: Iterable[Row]) -> None:
        """Adds the destinations of a predecessor. To be called before `resume`."""
        self.subscription.adopt(self._now(), revision, destinations, rows)
        self.revision = revision

    def metric_lines(self) -> list[str]:
        """Returns the subscription's metrics as lines of the admin endpoint."""
        subscription = self.subscription
        values = {
            "held": sum(entry.is_resolved for entry in subscription.table.destinations.values()),
            "wanted": len(subscription.lookups.deadlines),
            "hosts": len(subscription.table.destination_of),
            "registry": subscription.session.selection.position,
            **{name: self.counts[name] for name in COUNTER_NAMES},
        }
        return [f"app.slices_{name}={value}" for name, value in values.items()]

    # Actions of the subscription

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _process_actions(self) -> None:
        if self.is_processing:
            return  # reentrant call from an action: the running loop processes the added actions
        self.is_processing = True
        try:
            while actions := self.subscription.drain_actions():
                for action in actions:
                    try:
                        self._process_action(action)
                    except Exception:
                        # A bug; pending lookups still have to end.
                        log.exception(
                            "subscription: %s failed by an internal error, synchronizing again",
                            type(action).__name__,
                        )
                        self.subscription.processing_failed(self._now())
        finally:
            self.is_processing = False
            self._set_timer()
        self.revision = self.subscription.revision or None
        if self.subscription.has_response:
            self.first_response.set()

    def _process_action(self, action: Action) -> None:
        match action:
            case StartCall():
                self.tasks[action.channel] = start_watched(self._call_registry(action), "call to a registry")
            case CancelCalls():
                self._cancel_calls()
            case EntriesChanged(rows):
                entries = tuple(entry for entry, _ in rows)
                addresses = {entry.endpoint: address for entry, address in rows}
                self.on_update(EndpointListReceived(EndpointListKind.DELTA, entries), addresses)
            case DestinationResolved(destination, status):
                self.on_resolved(destination, status)
            case ReleaseDestinations(destinations):
                released = self.release_destinations(destinations)
                self.subscription.release(self._now(), destinations, released)
            case LogLine(text):
                log.info("%s", text)

    def _set_timer(self) -> None:
        due_at = self.subscription.due_at
        if due_at != self.timer_due_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer, self.timer_due_at = None, due_at
            if due_at < math.inf:
                self.timer = asyncio.get_running_loop().call_at(due_at, self._tick, due_at)

    def _tick(self, due_at: float) -> None:
        self.timer, self.timer_due_at = None, math.inf
        self.subscription.tick(max(due_at, self._now()))
        self._process_actions()

    # Calls

    def _cancel_calls(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()
        for client in self.clients.values():
            client.close()
        self.clients.clear()

    async def _call_registry(self, call: StartCall) -> None:
        client = self._client_for(call)
        self.counts["bytes_out"] += len(call.target) + REQUEST_HEAD_BYTES
        try:
            response = await client.request(
                "GET", call.target, call.wait + RESPONSE_TIMEOUT_S, connect_timeout=CONNECT_TIMEOUT_S
            )
            self._handle_response(call, response)
        except ResponseTooLongError as error:
            reason = f"response exceeds {error.limit} bytes"
            self.subscription.call_failed(self._now(), call.call_id, reason, is_too_long=True)
        except (OSError, ConnectionBrokenError) as error:
            self.subscription.call_failed(self._now(), call.call_id, f"does not answer: {error!r}")
        except (ValueError, RecursionError) as error:
            self.subscription.call_failed(self._now(), call.call_id, f"sent a malformed response: {error}")
        except Exception:
            # A bug: without a further call the relay would never receive a drain again.
            log.exception(
                "subscription: processing a response failed by an internal error, synchronizing again"
            )
            self.subscription.processing_failed(self._now())
        self._process_actions()

    def _client_for(self, call: StartCall) -> DiscoveryHttpClient:
        client = self.clients.get(call.channel)
        if client is None or client.address != call.registry:
            if client is not None:
                client.close()
            client = self.clients[call.channel] = DiscoveryHttpClient(call.registry, MAX_PARSED_BYTES)
        return client

    def _handle_response(self, call: StartCall, response: HttpResponse) -> None:
        self.counts["bytes_in"] += _response_bytes(response)
        if response.status != 200:
            text = response.body[:MAX_LOGGED_ERROR_BYTES].decode(errors="replace").strip()
            self.subscription.call_rejected(self._now(), call.call_id, response.status, text)
        else:
            decoded = decode_response(response.body)
            rows = decode_rows(decoded.rows)
            self.subscription.response_received(self._now(), call.call_id, decoded, rows)
        self._process_actions()


def _response_bytes(response: HttpResponse) -> int:
    """Returns the approximate size of a response on the wire."""
    headers = sum(len(name) + len(value) + 4 for name, value in response.headers.items())
    return STATUS_LINE_BYTES + headers + len(response.body)
