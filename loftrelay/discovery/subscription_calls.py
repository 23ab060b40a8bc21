"""Builds the subscription's calls to a registry and tracks which of them are outstanding."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.discovery.subscription_actions import Action, CancelCalls, Channel, StartCall
from loftrelay.net.address import Address
from loftrelay.registry.protocol import SubscriptionChange, SubscriptionWatch, encode_request

WATCH_WAIT_S = 2.0  # for which a registry may delay its response to a watch


@dataclass(frozen=True, slots=True)
class OutstandingChange:
    """Change that was sent and has no response yet."""

    request: SubscriptionChange
    call_id: int


@dataclass(slots=True)
class OutstandingCalls:
    """Outstanding calls: at most one change, one watch and one check of another registry at a time.

    Attributes:
        fleet: Name of the fleet, sent with each call.
        subscriber: Name of the subscription.
        actions: List to which calls are appended.
        change: The outstanding change.
        watch: Id of the outstanding watch.
        watch_revision: Revision after which the last watch requested changes.
        check: Id of the outstanding check.
        check_position: Position of the registry that the last check was sent to.
        last_call_id: Id of the last call.
    """

    fleet: str
    subscriber: str
    actions: list[Action]
    change: OutstandingChange | None = None
    watch: int | None = None
    watch_revision: int = 0
    check: int | None = None
    check_position: int = 0
    last_call_id: int = 0

    def send_change(self, registry: Address, change: SubscriptionChange) -> None:
        """Sends a change of the subscription."""
        self.change = OutstandingChange(
            change, self._start(Channel.CHANGES, registry, encode_request(change), 0.0)
        )

    def send_watch(self, registry: Address, revision: int) -> None:
        """Sends a watch for changes after `revision`."""
        self.watch_revision = revision
        watch = SubscriptionWatch(self.fleet, self.subscriber, revision, int(WATCH_WAIT_S * 1000))
        self.watch = self._start(Channel.WATCH, registry, encode_request(watch), WATCH_WAIT_S)

    def send_check(self, registry: Address, position: int) -> None:
        """Checks another registry with an empty subscription, while the watch continues."""
        self.check_position = position
        check = SubscriptionChange(self.fleet, f"{self.subscriber}.look", self.last_call_id, is_reset=True)
        self.check = self._start(Channel.FAILBACK_CHECK, registry, encode_request(check), 0.0)

    def cancel_all(self) -> None:
        """Cancels all calls."""
        self.actions.append(CancelCalls())
        self.change = self.watch = self.check = None

    def is_change(self, call_id: int) -> bool:
        """Returns whether the call is the outstanding change."""
        return self.change is not None and call_id == self.change.call_id

    def is_subscription_call(self, call_id: int) -> bool:
        """Returns whether the call is the outstanding change or watch."""
        return call_id == self.watch or self.is_change(call_id)

    def _start(self, channel: Channel, registry: Address, request_target: str, wait: float) -> int:
        self.last_call_id += 1
        self.actions.append(StartCall(channel, self.last_call_id, registry, request_target, wait))
        return self.last_call_id
