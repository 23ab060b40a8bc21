"""What the parts of one relay share: settings, stores, the decisions, and the ports to other packages."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from loftrelay.decisions.events import Event
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings
from loftrelay.metrics.counters import Metrics
from loftrelay.relay.batch_loop import BatchLoop
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import MessageStates, Stage
from loftrelay.relay.message_terms import AcceptedClasses
from loftrelay.relay.ports import (
    AttemptGate,
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
    """The shared state of one relay. The ports are set by `Engine.connect` or `Engine.take_over`."""

    delivery: Delivery
    discovery: EndpointDirectory
    status_reporter: StatusReporter
    subscription: SubscribedDirectory | None = None  # None: the endpoint list names every destination

    def __init__(
        self, seed: int, settings: RelaySettings, journal: Journal, store: MessageStore | None
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.store = store
        self.scheduler = Scheduler(seed, settings)
        self.accepted_classes = AcceptedClasses(settings)
        self.metrics = Metrics(settings.classes)
        self.message_states = MessageStates(_log_fault)
        self.stall_detector = StallDetector()
        # Who has to allow an attempt besides the decisions, in the order in which they are asked.
        self.attempt_gates: list[AttemptGate] = [] if store is None else [store]
        self.observers: list[RelayObserver] = []
        self.changed_at: dict[int, float] = {}  # destination -> see note_change, seconds of the loop's clock
        self.batch_loop = BatchLoop(self.stall_detector, settings.batch_interval)
        self.is_stopping = False  # what comes is kept for the next start
        self.outcome_forwarder: OutcomeForwarder | None = None  # set while another process decides
        self.is_handed_over = False  # another process owns all messages

    @property
    def is_paused(self) -> bool:
        """Whether another process decides, or is about to."""
        return self.outcome_forwarder is not None

    @property
    def is_deciding(self) -> bool:
        """Whether batches are run."""
        return not self.is_stopping and not self.is_paused

    def post(self, event: Event) -> None:
        """Has the next batch take in an event."""
        self.batch_loop.post(event)

    def note_change(self, destination: int) -> None:
        """Notes that what was decided for a destination before may hold no more: a list entry, a failure."""
        if self.attempt_gates:
            self.changed_at[destination] = asyncio.get_running_loop().time()

    def messages_in_order(self) -> Sequence[Message]:
        """Returns the messages of the journal in the order in which they were admitted."""
        return sorted(self.journal.messages.values(), key=lambda message: message.sequence)


def _log_fault(message: str, before: Stage | None, after: Stage | None) -> None:
    names = [stage.value if stage is not None else "none" for stage in (before, after)]
    log.error("fault of the program: message %s went from stage %s to %s", message, *names)
