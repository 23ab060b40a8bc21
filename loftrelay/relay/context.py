"""State shared by the parts of a relay's engine: settings, stores, scheduler, and ports to other packages."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from loftrelay.decisions.events import Event
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings
from loftrelay.memory.account import MemoryAccount, MemoryUse
from loftrelay.metrics.counters import Metrics
from loftrelay.relay.batch_loop import BatchLoop
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import MessageStates, Stage
from loftrelay.relay.message_terms import AcceptedClasses
from loftrelay.relay.ports import (
    AttemptApprover,
    Delivery,
    EndpointDirectory,
    Journal,
    MessageStore,
    OutcomeForwarder,
    RelayObserver,
    StatusReporter,
    SubscribedDirectory,
)
from loftrelay.relay.stall_detector import StallDetector

log = logging.getLogger(__name__)


class RelayContext:
    """Shared state of one relay. `Engine.connect` or `Engine.take_over` sets the ports."""

    delivery: Delivery
    discovery: EndpointDirectory
    status_reporter: StatusReporter
    subscription: SubscribedDirectory | None = None  # None: the endpoint list covers every destination

    def __init__(
        self, seed: int, settings: RelaySettings, journal: Journal, store: MessageStore | None
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.store = store
        self.scheduler = Scheduler(seed, settings)
        self.accepted_classes = AcceptedClasses(settings)
        self.metrics = Metrics(settings.classes)
        self.message_states = MessageStates(_log_invalid_transition)
        self.stall_detector = StallDetector()
        self.memory = MemoryAccount()
        self.memory.add_source(MemoryUse.MESSAGES, lambda: journal.memory_bytes)
        # Besides the scheduler, each of these has to approve an attempt; they are asked in this order.
        self.attempt_approvers: list[AttemptApprover] = [] if store is None else [store]
        self.observers: list[RelayObserver] = []
        # Destination -> time of the last change (see note_change), in seconds of the event loop's clock.
        self.changed_at: dict[int, float] = {}
        self.batch_loop = BatchLoop(self.stall_detector, settings.batch_interval)
        # The process is ending, paused for a handover or not: no batches run; new messages are kept in the
        # journal for the next start.
        self.is_stopping = False
        # Set while another process makes the decisions, or is about to; see is_paused_for_handover.
        self.outcome_forwarder: OutcomeForwarder | None = None
        # Another process owns all messages, for good. Implies is_paused_for_handover, which begins earlier.
        self.is_handed_over = False

    @property
    def is_paused_for_handover(self) -> bool:
        """Whether another process makes the decisions, or is about to.

        Ends if the handover is cancelled; stays true once is_handed_over is set.
        """
        return self.outcome_forwarder is not None

    @property
    def is_deciding(self) -> bool:
        """Whether this process makes the decisions and runs batches: neither stopping nor paused."""
        return not self.is_stopping and not self.is_paused_for_handover

    def post(self, event: Event) -> None:
        """Adds an event to the next batch, and schedules the batch."""
        self.batch_loop.post(event)

    def note_change(self, destination: int) -> None:
        """Notes a list entry, failure or Retry-After, which may invalidate decisions for a destination."""
        if self.attempt_approvers:
            self.changed_at[destination] = asyncio.get_running_loop().time()

    def messages_in_order(self) -> Sequence[Message]:
        """Returns the messages of the journal in the order in which they were admitted."""
        return sorted(self.journal.messages.values(), key=lambda message: message.sequence)


def _log_invalid_transition(message_id: str, before: Stage | None, after: Stage | None) -> None:
    names = [stage.value if stage is not None else "none" for stage in (before, after)]
    log.error(
        "internal error: message %s made the invalid transition from stage %s to %s", message_id, *names
    )
