"""Owns the Brain: gathers events into turns of the told tick and carries its actions out in order."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any

from loftrelay.decisions.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailMessage,
    RejectMessage,
    SendAttempt,
    SendProbe,
    SetTimer,
    WatchEndpointList,
    WriteLog,
)
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    DestinationsReleased,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    FinalStatusReported,
    MessageCancelled,
    MessageRecovered,
    MessageSubmitted,
    OrderingKeyCooldown,
    OutcomeDisputed,
    SettingsChanged,
    TimerFired,
)
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings
from loftrelay.metrics.counters import FinalStatus, Gauges, Metrics
from loftrelay.net.address import Address
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.handover import HandoverState, write_state
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import MessageStates, Stage
from loftrelay.relay.message_terms import AcceptedClasses, is_idempotent, is_repeatable, unpack
from loftrelay.relay.pending_submissions import PendingSubmission, PendingSubmissions
from loftrelay.relay.ports import (
    AttemptGate,
    AttemptResult,
    CallOptions,
    Delivery,
    EndpointDirectory,
    Journal,
    JournalFullError,
    MessageStore,
    OutcomeForwarder,
    RelayObserver,
    ResolutionStatus,
    StatusReporter,
    StoreDecision,
    SubscribedDirectory,
)
from loftrelay.relay.stall_detector import STALL_THRESHOLD_S, StallDetector

log = logging.getLogger(__name__)

NO_TICK = 5_000
TAKEN, REFUSED, FAILED = 202, 503, 500
DELIVERED = 200  # to an id that comes again: it was taken on, and has run
# Seconds for which what was decided may wait for the store of record: whatever comes meanwhile, and while its
# destination told of nothing but success.
LONGEST_INTENT, LONGEST_CALM_INTENT = 0.1, 1.0
# Microseconds before the first of its messages has had its time at which a call is given up. Trouble: answers
# of batches that came up to 0.1 s after it, and of single calls up to 2 ms after it, were believed, and the
# platform counted none of them: messages were lost, and the next of their keys were sent too soon.
ANSWER_MARGIN = 20_000
LATE_MS = 20  # before an attempt whose intent came late is decided anew
# Passes of the loop after a stall before anything is decided: all that came meanwhile is read in the first,
# who waits for it runs in the second, and has told the engine by the third.
SETTLING = 4
LONG_WAIT = 60_000_000  # microseconds; one told that is longer is worth a line in the log
NEWS_OLD = 1.0  # seconds of a stall after which discovery is asked anew: a drain binds after 2
REFUSED_HERE_MS = 1_000  # when to come back after a refusal for want of room


class Engine:
    """The parts are given by `connect`, since they tell it what happens."""

    delivery: Delivery
    discovery: EndpointDirectory
    status_reporter: StatusReporter

    def __init__(
        self, seed: int, settings: RelaySettings, journal: Journal, record: MessageStore | None = None
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.store = record
        # Authorities besides the module, in the order in which they are asked; none by default.
        self.attempt_gates: list[AttemptGate] = [] if record is None else [record]
        self.observers: list[RelayObserver] = []
        self.message_states = MessageStates(self._fault)
        self.unsettled: dict[int, float] = {}  # destination -> when it last told of anything but success
        self.scheduler = Scheduler(seed, settings)
        self.accepted_classes = AcceptedClasses(settings)
        self.metrics = Metrics(settings.classes)
        self.disabled_hosts: set[str] = set()  # hosts that the operator leaves out
        self.batch_interval = (settings.batch_interval or NO_TICK) / 1e6
        self.batch_sizes: dict[str, int] = {}  # hosts in the list, and how many messages a call to them holds
        self.endpoint_entries: dict[str, tuple[EndpointEntry, Address]] = {}  # the list
        self.events: list[Event] = []
        self.posted: list[float] = []  # when each of them became known
        self.turn_due = False
        self.due_at = 0.0  # that turn, from when on it could run
        self.stall_detector = StallDetector()
        self.settled = 0.0  # the last stall after which all that had come was read
        self.last_turn = 0.0
        self.now = 0
        self.timer: asyncio.TimerHandle | None = None
        self.destinations: set[int] = set()  # that a list has named
        self.has_no_list = False  # one was refused, and there never was another: nobody is served
        self.is_stopping = False
        self.outcome_forwarder: OutcomeForwarder | None = (
            None  # this process decides nothing: who hears what still becomes known
        )
        self.is_handed_over = False  # another process owns all that is held here
        self.subscription: SubscribedDirectory | None = None  # None: the list names every destination
        self.pending_submissions = PendingSubmissions()
        self.recovered: list[Message] = []  # from before a restart, until the module hears of them
        self.recovering: set[int] = set()  # their destinations that are not known yet

    def connect(
        self,
        delivery: Delivery,
        discovery: EndpointDirectory,
        notices: StatusReporter,
        known: Mapping[str, Any],
        out: Iterable[str] = (),
        slices: SubscribedDirectory | None = None,
    ) -> None:
        """From here on it runs: the list as last known, then what was held before a restart, with
        `slices` by `take_up`. `out`: the hosts that operators have taken out.
        """
        self.subscription = slices
        for host in out:
            self.disabled_hosts.add(host)
            self._post(EndpointDisabled(host))
        self.delivery, self.discovery, self.status_reporter = delivery, discovery, notices
        self._recover(known)

    def _fault(self, message: str, before: Stage | None, after: Stage | None) -> None:
        names = [stage.value if stage is not None else "none" for stage in (before, after)]
        log.error("a fault of the program: %s went from %s to %s", message, *names)

    # Events

    def post_event(self, event: Event) -> None:
        """What an authority besides this relay tells the module."""
        self._post(event)

    def _post(self, event: Event) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.events.append(event)
        self.posted.append(now)
        if not self.turn_due:
            self.turn_due = True
            if 0 <= now - self.last_turn < self.batch_interval:
                self.due_at = self.last_turn + self.batch_interval
                loop.call_at(self.due_at, self._turn)
            elif self.stall_detector.age(now):
                # What is read on waking may be old: that its client has left since is read in the next pass.
                self.due_at = now + self.batch_interval
                loop.call_at(self.due_at, self._turn)
            else:
                # Not at a time: a clock that steps back would hold up every turn until it has caught up.
                self.due_at = now
                loop.call_soon(self._turn)

    @property
    def is_lagging(self) -> bool:
        """Whether the loop is late: a turn that is due has not run, or the process stood still and what came
        meanwhile is not read. What a client wrote may be as old as that.
        """
        now = asyncio.get_running_loop().time()
        self.stall_detector.look(now)
        return self.stall_detector.woke > self.settled or (
            self.turn_due and now - self.due_at >= STALL_THRESHOLD_S
        )

    @property
    def open_messages(self) -> int:
        """Messages whose end is not decided."""
        numbers = self.message_states.counts
        ending = numbers[Stage.RECORDING_DELIVERY] + numbers[Stage.RECORDING_FINAL_STATUS]
        return (
            len(self.journal.messages) - self.status_reporter.pending - ending + len(self.pending_submissions)
        )

    @property
    def has_unfinished_work(self) -> bool:
        """Whether something is out that an orderly end waits for."""
        numbers = self.message_states.counts
        return bool(
            self.delivery.is_busy
            or self.status_reporter.pending
            or numbers[Stage.RECORDING_DELIVERY]
            or numbers[Stage.RECORDING_FINAL_STATUS]
        )

    def is_client_waiting(self, message: str) -> bool:
        """Whether its client has no answer yet."""
        return (
            self.message_states.stage(message) in (Stage.STORING, Stage.UNANSWERED)
            or message in self.pending_submissions
        )

    def submit(self, held: Message, answer: Callable[[int, int], None]) -> None:
        """Takes a message in. The answer, a status and when to come back (ms), is given in this turn. While
        the loop is behind it is a refusal, at once: its client may have left, and what is owed goes first.
        """
        if self.is_lagging:
            self._refuse_late(held, answer)
            return
        ends = asyncio.get_running_loop().time() + (held.deadline - wall_clock()) / 1e6
        held.packed_terms = self.accepted_classes.terms(held.class_name, wall_clock())
        full = (
            self.settings.max_open_messages is not None
            and self.open_messages >= self.settings.max_open_messages
        )
        if full or held.destination not in self.destinations:
            if full or self.subscription is None or self.is_stopping or self.outcome_forwarder is not None:
                self._refuse_here(held, answer)
            elif self.pending_submissions.add(PendingSubmission(held, answer, ends)):
                self.subscription.resolve(held.destination)
            return
        if self.subscription is not None:
            self.subscription.mark_used(held.destination)
        self._admit(held, answer, ends)

    def destination_resolved(self, destination: int, state: ResolutionStatus) -> None:
        """What became of a destination that was asked for. Its first messages go on in the order in which
        they came, before any that comes later, or are refused.
        """
        if destination in self.recovering:
            if state is ResolutionStatus.UNAVAILABLE and self.subscription is not None:
                self.subscription.resolve(destination)
            else:
                self.recovering.discard(destination)
                if not self.recovering:
                    self.replay_recovered()
        for parked in self.pending_submissions.take(destination):
            if state is not ResolutionStatus.RESOLVED or destination not in self.destinations:
                self._refuse_here(parked.held, parked.answer)
            elif self.is_lagging:
                self._refuse_late(parked.held, parked.answer)
            else:
                self._admit(parked.held, parked.answer, parked.ends)

    def _refuse_parked(self) -> None:
        """Nothing more is asked here: their clients are to go elsewhere."""
        for parked in self.pending_submissions.take_all():
            self._refuse_here(parked.held, parked.answer)

    def _admit(self, held: Message, answer: Callable[[int, int], None], ends: float) -> None:
        try:
            self.journal.admit(held)
        except JournalFullError:
            self._refuse_here(held, answer)
            return
        fault_point("journal take")
        if self.store is not None:
            self.message_states.begin_storing(held.id, answer)
            self.store.admit(held, partial(self._recorded, held, ends))
        else:
            self._enter(held, answer, ends)

    def _refuse_late(self, held: Message, answer: Callable[[int, int], None]) -> None:
        self._refuse_here(held, answer)
        if not self.turn_due:
            self._post(TimerFired(0))  # a relay with nothing to do would never catch up

    def _refuse_here(self, held: Message, answer: Callable[[int, int], None]) -> None:
        self.metrics.count_final_status(held.class_name, FinalStatus.REJECTED)
        answer(REFUSED, REFUSED_HERE_MS)

    def _enter(self, held: Message, answer: Callable[[int, int], None], ends: float) -> None:
        """`ends`: its time, in the loop's seconds. The wall clock may have stepped since it came."""
        if self.is_stopping:
            self.message_states.enqueue(held.id)
            answer(TAKEN, 0)
            return
        self.message_states.await_answer(held.id, answer)
        left = int((ends - asyncio.get_running_loop().time()) * 1e6)
        self._post(replace(self._submission(held), time_remaining=left))

    def _recorded(self, held: Message, ends: float, taken: StoreDecision) -> None:
        """What the store of record says of a message that is to be taken on."""
        fault_point("recorded take")
        answer = self.message_states.storing_client(held.id)
        if taken.status or taken.retry_after_ms:
            self.journal.complete(held.id)
            if answer is not None:
                self.message_states.complete(held.id)
                if not taken.status:
                    self.metrics.count_final_status(held.class_name, FinalStatus.REJECTED)
                answer(taken.status or REFUSED, taken.retry_after_ms)
        elif answer is not None:
            self._enter(held, answer, ends)
        else:
            self._record_end(held.id, "refused")  # its client went meanwhile

    def known_answer(self, message: str) -> tuple[int, int] | None:
        """What an id is answered that this relay has, or had: a status, and when to come back (ms). None for
        a new one.

        One that does harm when it runs again is known until its time is up, so that a client which heard
        nothing and hands it in again under its id makes no second effect. One whose notice is out gets that
        same end: the notice may have been heard already, and nothing would follow a 202.
        """
        if (held := self.journal.messages.get(message)) is not None:
            if held.final_status is None or self.message_states.stage(message) in (
                Stage.RECORDING_DELIVERY,
                Stage.RECORDING_FINAL_STATUS,
            ):
                return TAKEN, 0
            if held.final_status["status"] == "deferred":
                return REFUSED, held.final_status.get("again_ms") or REFUSED_HERE_MS
            return FAILED, 0
        was = self.journal.completed(message)
        return (was.status, 0) if was is not None else None

    def stop_admitting(self) -> None:
        """Before the end of the process: nothing new is begun, what comes is kept for the next start."""
        self.is_stopping = True
        self._answer_taken()
        self._refuse_parked()

    def _answer_taken(self) -> None:
        if answers := self.message_states.answer_admitted():
            for answer in answers:
                answer(TAKEN, 0)
            fault_point("answered taken")

    def cancel(self, message: str) -> None:
        """The client went before its answer."""
        self.pending_submissions.cancel(message)
        stage = self.message_states.stage(message)
        if stage in (Stage.STORING, Stage.UNANSWERED):
            self.message_states.complete(message)
            self.journal.complete(message)
        if stage is Stage.UNANSWERED:
            self._record_end(message, "refused")
            self._post(MessageCancelled(message))

    def _record_end(self, message: str, answer: str) -> None:
        """An end that nobody else is to be told."""
        if self.store is not None:
            self.store.record_final_status(
                message, answer, None, partial(self.store.final_status_reported, message)
            )

    # Two processes, one after the other

    def pause(self, away: OutcomeForwarder) -> None:
        """Stands still: nothing is decided, begun, written or told until `thaw`. What its calls still tell
        goes to `away`. Calls that were decided and have not begun are to be decided anew.
        """
        self._answer_taken()
        self._refuse_parked()
        self.outcome_forwarder = away
        if self.timer is not None:
            self.timer.cancel()
        for held, host in self.delivery.withdraw_unsent_calls():
            held.attempts -= 1
            self.message_states.end_attempt(held.id)
            self.posted.append(asyncio.get_running_loop().time())
            self.events.append(
                AttemptEnded(
                    held.id,
                    held.attempts,
                    host,
                    AttemptStatus.NOT_SENT,
                    0,
                    False,
                    0,
                    None,
                    None,
                    None,
                    False,
                    1,
                )
            )
        self.discovery.pause()
        self.status_reporter.close()

    def resume(self) -> None:
        self.outcome_forwarder = None
        self.timer = None
        self.scheduler.state.timer_set_for = 0  # the timer that was set is gone
        self.discovery.watch()
        self.status_reporter.move_to(self.discovery.address)
        self._post(TimerFired(0))

    def export_state(self) -> dict[str, Any]:
        """What the next process needs beside the journal. To be asked while this one stands still."""
        return write_state(
            self.scheduler,
            self.events,
            self.endpoint_entries.values(),
            self.discovery.revision,
            self.discovery.address,
            self.destinations,
            self.message_states.attempts_in_flight(),
            self.accepted_classes.retired,
            self.subscription is not None,
        )

    def take_over(
        self,
        delivery: Delivery,
        discovery: EndpointDirectory,
        notices: StatusReporter,
        handed: HandoverState,
        slices: SubscribedDirectory | None = None,
    ) -> None:
        """In place of `connect`: goes on where another process stood still."""
        self.scheduler, self.now = handed.scheduler, max(self._clock(), handed.scheduler.state.now)
        self.disabled_hosts = set(handed.scheduler.state.disabled_endpoints)
        self.destinations = handed.destinations
        self.accepted_classes.retired = {
            n: d for n, d in handed.retired_classes.items() if n not in self.settings.classes
        }
        self.delivery, self.discovery, self.status_reporter = delivery, discovery, notices
        for entry, address in handed.entries:
            self._place(entry, address)
        self.events = [self._as_of_now(event) for event in handed.events]
        self.posted = [asyncio.get_running_loop().time()] * len(self.events)
        self._post(SettingsChanged(self.settings))
        self._reconcile(handed.sent_at)
        self.subscription = slices
        if slices is not None:
            revision = handed.subscription_revision if handed.is_subscription else handed.revision
            slices.adopt(revision, handed.destinations, handed.entries)
        self.discovery.resume(handed.revision)

    def _as_of_now(self, event: Event) -> Event:
        """What another process told of, a while ago."""
        held = self.journal.messages.get(event.message_id) if isinstance(event, MessageSubmitted) else None
        return event if held is None else self._submission(held)

    def _reconcile(self, sent_at: Mapping[str, int]) -> None:
        """Every message of the journal is known to the module, and the other way round."""
        heard = {event.message_id for event in self.events if isinstance(event, AttemptEnded)}
        coming = {event.message_id for event in self.events if isinstance(event, MessageSubmitted)}
        for message in self.scheduler.state.messages.values():
            if message.call is not None and message.name not in heard:
                self.message_states.adopt_attempt(
                    message.name, message.call.endpoint.name, sent_at.get(message.name)
                )
            if message.name not in self.journal.messages:
                self._post(MessageCancelled(message.name))
        now = wall_clock()
        for held in sorted(self.journal.messages.values(), key=lambda held: held.sequence):
            abroad = self.message_states.stage(held.id) is Stage.HELD_BY_PREDECESSOR
            if held.attempt_started_at is not None and not abroad:
                self.journal.record_attempt_result(held, AttemptStatus.NOT_SENT)
            if held.final_status is None and not abroad:
                self.message_states.enqueue(held.id)
            if held.final_status is not None:
                self._tell(held.id, held.final_status)
            elif held.id not in self.scheduler.state.messages and held.id not in coming:
                log.error("%s is in the journal and was not handed over", held.id)
                self._post(self._recovered(held, now))

    def predecessor_lost(self) -> None:
        """The process before this one is gone with the calls that it still had out: they may have run."""
        for message in self.message_states.in_stage(Stage.HELD_BY_PREDECESSOR):
            self.predecessor_attempt_ended(
                message,
                self.message_states.by_message[message].host,
                AttemptResult(AttemptStatus.CONNECTION_LOST),
            )

    def predecessor_attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None:
        """The outcome of a call of the process before this one."""
        if (held := self.journal.messages.get(message)) is not None:
            self.attempt_ended(held, host, ending)
            return
        self.message_states.complete(message)
        self._post(
            AttemptEnded(
                message,
                0,
                host,
                ending.status,
                0,
                ending.is_final,
                ending.retry_after,
                None,
                None,
                ending.connection_idle,
            )
        )

    def _submission(self, held: Message) -> MessageSubmitted:
        remaining = held.deadline - wall_clock()
        terms = unpack(held.class_name, held.packed_terms) if held.packed_terms is not None else None
        return MessageSubmitted(
            held.id, held.destination, held.class_name, held.tenant, remaining, held.ordering_key, terms
        )

    def _recover(self, known: Mapping[str, Any]) -> None:
        """What was held before a restart enters in its first order."""
        self.discovery.load_cached(known)
        now = wall_clock()
        messages = sorted(self.journal.messages.values(), key=lambda held: held.sequence)
        for held in messages:
            if held.packed_terms is None:
                held.packed_terms = self.accepted_classes.terms(held.class_name, now)
            if held.attempt_started_at is not None:
                self.journal.record_attempt_result(
                    held, AttemptStatus.CONNECTION_LOST
                )  # the restart broke its connection
        for key, doubt in self.journal.uncertain_keys.items():
            remaining = doubt + (self.settings.ordering_cooldown or 0) - now
            if remaining > 0:
                self._post(OrderingKeyCooldown(key, remaining))
        messages = [held for held in messages if self._mend(held)]
        self.recovered = messages
        if self.subscription is None:
            self.replay_recovered()
        for held in messages:
            if held.final_status is not None:
                self._tell(held.id, held.final_status)
            else:
                self.message_states.enqueue(held.id)
        for message in (
            self.store.unfinished_without_journal(self.journal.messages) if self.store is not None else ()
        ):
            self._mend_unheld(message)
        if messages:
            log.info("%d messages taken up again", len(messages))
        if self.subscription is not None:
            self.recovering = {held.destination for held in messages if held.final_status is None}
            for destination in sorted(self.recovering):
                self.subscription.resolve(destination)
            if not self.recovering:
                self.replay_recovered()

    def replay_recovered(self) -> None:
        """The module hears of what was held before a restart, if it has not: it has to know where each last
        ran, so that a slice is waited for, for a while.
        """
        self.recovering.clear()
        recovered, self.recovered = self.recovered, []
        now = wall_clock()
        for held in recovered:
            if held.id in self.journal.messages:  # its end may have been heard meanwhile
                self._post(self._recovered(held, now))

    def _recovered(self, held: Message, now: int) -> MessageRecovered:
        ran_ago = None if held.first_attempt_at is None else max(0, now - held.first_attempt_at)
        return MessageRecovered(
            self._submission(held),
            max(0, now - held.admitted_at),
            held.attempts,
            ran_ago,
            held.first_attempt_host,
            is_ended=held.final_status is not None,
        )

    def _mend(self, held: Message) -> bool:
        """Whether a message of the journal goes on, after what the store of record tells of it."""
        if self.store is None:
            return True
        answer = self.store.recorded_answer(held.id)
        mend = self.store.recover(held, held.id, not is_repeatable(held.packed_terms))
        if mend in ("AGREE", "FORGET"):
            ended = {"delivered": DELIVERED, "failed": FAILED}.get(answer or "", 0)
            self.journal.complete(held.id, ended if not is_idempotent(held.packed_terms) else 0)
            return False
        if mend == "STORE" and held.final_status is None:
            answer = "delivered"
        if (
            held.final_status is not None and held.final_status["status"] == "delivered"
        ) or answer == "delivered":
            self._close(held)
            return False
        if mend == "TELL_AGAIN" and held.final_status is None:
            self.journal.record_final_status(
                held.id, {"status": "deferred" if answer == "refused" else "undeliverable"}
            )
        if mend == "FAIL" and held.first_attempt_at is None:
            self.journal.record_dispute(held, held.attempt_host or "", wall_clock())
        return True

    def _mend_unheld(self, message: str) -> None:
        """The store has it unfinished, and the journal is lost: nobody knows whether it ran."""
        assert self.store is not None
        answer = self.store.recorded_answer(message)
        self.store.recover(None, message, True)
        if answer == "delivered":
            self.store.final_status_reported(message)
        else:
            self._tell(message, {"status": "deferred" if answer == "refused" else "undeliverable"})

    def move_discovery(self, discovery: Address) -> None:
        """Discovery is elsewhere from now on."""
        if discovery != self.discovery.address:
            log.info("discovery moves to %s:%d", *discovery)
            self.discovery.move_to(discovery)
            self.status_reporter.move_to(discovery)

    def apply_settings(self, settings: RelaySettings, discovery: Address) -> None:
        """The settings and where discovery is, from now on. What was taken on before keeps its terms."""
        self.settings = settings
        self.accepted_classes.apply_settings(settings, wall_clock())
        self.metrics.add_classes(settings.classes)
        self.batch_interval = (settings.batch_interval or NO_TICK) / 1e6
        self._post(SettingsChanged(settings))
        self.move_discovery(discovery)

    # What operators ask

    def metric_lines(self) -> list[str]:
        outstanding = (
            0
            if self.is_handed_over
            else len(self.journal.messages) - self.message_states.counts[Stage.RECORDING_DELIVERY]
        )
        return self.metrics.lines(
            Gauges(outstanding, len(self.batch_sizes), self.scheduler.avoided_endpoint_count())
        )

    def knows_host(self, host: str) -> bool:
        """Listed now, or left out by hand since it was."""
        return host in self.batch_sizes or host in self.disabled_hosts

    def disable_host(self, host: str) -> None:
        """Leaves a host out until it is brought back, whatever the list says."""
        if host not in self.disabled_hosts:
            log.info("host %s is taken out by hand", host)
            self.disabled_hosts.add(host)
            self.delivery.drain_host(host)
            self._post(EndpointDisabled(host))
            for watcher in self.observers:
                watcher.endpoint_disabled(host)

    def enable_host(self, host: str) -> None:
        if host in self.disabled_hosts:
            log.info("host %s is brought back by hand", host)
            self.disabled_hosts.discard(host)
            if host in self.endpoint_entries:
                self._place(*self.endpoint_entries[host])
            self._post(EndpointEnabled(host))
            for watcher in self.observers:
                watcher.endpoint_enabled(host)

    def list_rejected(self) -> None:
        """A list was too long to be taken. Whatever is in force stays."""
        self.metrics.lists_rejected += 1
        self.has_no_list = not self.destinations

    def endpoints_listed(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        self.has_no_list = self.has_no_list and listing.kind is EndpointListKind.FAILED
        if listing.kind is EndpointListKind.FULL:
            for host in set(self.batch_sizes) - set(addresses):
                self._forget(host)
        for entry in listing.entries:
            self.destinations.add(entry.destination)
            host = entry.endpoint
            self._unsettle(entry.destination)
            if entry.state is EndpointState.REMOVED:
                self._forget(host)
                continue
            self._place(entry, addresses[host])
        self._post(listing)

    def release_destinations(self, destinations: Iterable[int]) -> list[int]:
        """Lets go of those for which nothing is held, in flight or in line, and gives them. What binds of
        them (a told wait, an outage) stays with the module.
        """
        if self.is_stopping or self.outcome_forwarder is not None or self.recovered:
            return []
        now = self._clock()
        idle = {
            d
            for d in destinations
            if d not in self.pending_submissions.by_destination and self.scheduler.is_idle(now, d)
        }
        for event in self.events:
            if isinstance(event, MessageSubmitted):
                idle.discard(event.destination)
            elif isinstance(event, MessageRecovered):
                idle.discard(event.submission.destination)
        if idle:
            idle.difference_update(held.destination for held in self.journal.messages.values())
        if not idle:
            return []
        for host in [host for host, (entry, _) in self.endpoint_entries.items() if entry.destination in idle]:
            self._forget(host)
        self.destinations -= idle
        for destination in idle:
            self.unsettled.pop(destination, None)
        gone = sorted(idle)
        self._post(DestinationsReleased(tuple(gone)))
        return gone

    def _place(self, entry: EndpointEntry, address: Address) -> None:
        host = entry.endpoint
        self.endpoint_entries[host] = entry, address
        self.delivery.add_host(host, address, entry.destination)
        if entry.state is EndpointState.DRAINING or host in self.disabled_hosts:
            self.delivery.drain_host(host)
        kind = self.settings.endpoint_kinds.get(entry.kind or "")
        self.batch_sizes[host] = (kind and kind.max_batch_size) or 1

    def _unsettle(self, destination: int) -> None:
        """What was decided for it before may hold no more: a wait, a drain, a failure."""
        if self.attempt_gates:
            self.unsettled[destination] = asyncio.get_running_loop().time()

    def _forget(self, host: str) -> None:
        self.delivery.remove_host(host)
        self.batch_sizes.pop(host, None)
        self.endpoint_entries.pop(host, None)

    def retry_after_received(self, host: str, wait: int) -> None:
        """An answer of a host tells to wait (microseconds from now). It binds from here on, before the next
        turn and whatever becomes of the answer's rest and of its call: what was decided for whom it binds and
        is not written whole comes back.
        """
        if self.outcome_forwarder is not None:
            self.outcome_forwarder.retry_after_received(host, wait)
            return
        if wait >= LONG_WAIT:
            log.warning("%s tells to wait for %.0f s; a restart ends that", host, wait / 1e6)
        self.scheduler.apply_retry_after(self._clock(), host, wait)
        self.delivery.withdraw_blocked_calls()

    def is_blocked(self, host: str) -> bool:
        """Whether a told wait forbids a call to a host now."""
        return self.scheduler.is_blocked(self._clock(), host)

    def attempt_ended(self, held: Message, host: str, ending: AttemptResult) -> None:
        """An attempt's outcome."""
        if self.outcome_forwarder is not None:
            self.outcome_forwarder.attempt_ended(held.id, host, ending)
            return
        now = self._clock()
        known = self.scheduler.state.messages.get(held.id)
        if ending.is_final and not ending.is_late and known is not None and now >= known.deadline:
            # A loop that is a little late reads an answer when its message has had its time. Nobody knows
            # whether the platform counts it; a notice does no harm if it does. After a stall the answer has
            # come long since, and is believed.
            log.info("%s was answered too late to be sure that it counts", held.id)
            ending = replace(ending, is_final=False, is_expired=True)
        sent_at = self.message_states.end_attempt(held.id)
        attempt = held.attempts - 1
        unsent = ending.is_stale or ending.is_blocked
        if unsent:
            why = (
                "its host told to wait"
                if ending.is_blocked
                else "a stall, a drain or the end of a window came"
            )
            log.info("%s was not sent: %s since that was decided", held.id, why)
            held.attempts -= 1  # it costs no try
        if ending.is_final:
            self._close(held)
        else:
            self.journal.record_attempt_result(held, ending.status)
            for permit in self.attempt_gates:
                permit.attempt_ended(held.id, ending.status.value)
        for watcher in self.observers:
            watcher.attempt_ended(held, host, ending)
        if not ending.is_final or ending.retry_after:
            self._unsettle(held.destination)
        elapsed = now - sent_at if sent_at is not None else 0
        self._post(
            AttemptEnded(
                held.id,
                attempt,
                host,
                ending.status,
                elapsed,
                ending.is_final,
                ending.retry_after,
                None,
                None,
                ending.connection_idle,
                ending.is_expired,
                int(unsent),
                ending.is_late,
            )
        )

    def _close(self, held: Message) -> None:
        """Delivered: nothing more is owed. The journal keeps it until the store of record has that."""
        remembered = DELIVERED if not is_idempotent(held.packed_terms) else 0
        self.metrics.count_final_status(held.class_name, FinalStatus.SUCCEEDED)
        if self.store is None:
            self.journal.complete(held.id, remembered)
            self.message_states.complete(held.id)
            return
        if held.final_status is None:
            self.journal.record_final_status(held.id, {"status": "delivered"})
        fault_point("journal end")
        self.message_states.begin_recording_delivery(held.id)
        self.store.record_final_status(held.id, "delivered", "OK", partial(self._closed, held.id, remembered))

    def _closed(self, message: str, remembered: int) -> None:
        assert self.store is not None
        self.message_states.complete(message)
        self.journal.complete(message, remembered)
        fault_point("journal over")
        self.store.final_status_reported(message)

    def outcome_disputed(self, message: str, host: str, ran_at: int) -> None:
        """A refusal that was heard for it was another call's answer, or may have been: it may have run."""
        if self.outcome_forwarder is not None:
            self.outcome_forwarder.outcome_disputed(message, host, ran_at)
            return
        held = self.journal.messages.get(message)
        if held is not None and held.final_status is None:
            self.journal.record_dispute(held, host, ran_at)
            self._post(OutcomeDisputed(message, host, max(0, wall_clock() - ran_at)))

    def final_status_reported(self, message: str) -> None:
        fault_point("told")
        held = self.journal.messages.get(message)
        failed = (
            held is not None
            and held.final_status is not None
            and held.final_status["status"] == "undeliverable"
        )
        # A refusal promised that coming again does no harm: the id of one that was deferred is free again.
        remembered = failed and held is not None and not is_idempotent(held.packed_terms)
        if held is not None:
            self.metrics.count_final_status(
                held.class_name, FinalStatus.ABORTED if failed else FinalStatus.REJECTED
            )
        self.message_states.complete(message)
        self.journal.complete(message, FAILED if remembered else 0)
        if self.store is not None:
            self.store.final_status_reported(message)
        self._post(FinalStatusReported(message))

    def _ring(self, due: int) -> None:
        self.now = max(self.now, due)  # never a little early
        self._post(TimerFired(0))

    # Turns

    def _clock(self) -> int:
        return max(self.now, int(asyncio.get_running_loop().time() * 1e6))

    def _turn(self) -> None:
        loop = asyncio.get_running_loop()
        self.stall_detector.ran(self.due_at, loop.time())
        if self.stall_detector.woke > self.settled:
            stood = self.stall_detector.stood
            log.warning("the process stood still for %.2f s: what came meanwhile is read first", stood)
            self._settle(SETTLING)
            return
        self.turn_due = False
        if self.is_stopping or self.outcome_forwarder is not None:
            return
        self.now = self._clock()
        self.last_turn = loop.time()
        events, self.events = self._aged(self.events), []
        self.posted.clear()
        calls: dict[str, list[SendAttempt]] = {}
        for action in self.scheduler.handle_batch(self.now, events):
            match action:
                case SendAttempt():
                    calls.setdefault(action.endpoint, []).append(action)
                case RejectMessage(message, retry_in):
                    self._end(message, REFUSED, retry_in // 1000)
                case FailMessage(message):
                    self._end(message, FAILED, 0)
                case SetTimer(delay, _):
                    if self.timer is not None:
                        self.timer.cancel()  # the module asks for another only when it wants to wake earlier
                    due = self.now + delay
                    self.timer = asyncio.get_running_loop().call_at(due / 1e6, self._ring, due)
                case CloseIdleConnections(endpoint):
                    self.delivery.close_idle_connections(endpoint)
                case WatchEndpointList():
                    self.discovery.watch()
                case WriteLog(text):
                    log.info("%s", text)
                case CancelAttempt() | SendProbe():
                    log.error("the settings of a real relay allow no %s", action)
        self._answer_taken()  # before the first byte of a first attempt
        for host, sends in calls.items():
            size = self.batch_sizes.get(host, 1)
            for first in range(0, len(sends), size):
                self._call(host, sends[first : first + size], batch=size > 1)

    def _settle(self, passes: int) -> None:
        """After a stall nothing is decided before all that came meanwhile is known: answers, a list, clients
        that have left.
        """
        if passes:
            asyncio.get_running_loop().call_soon(self._settle, passes - 1)
            return
        # Also what was noticed while it settled: on a machine that is starved all along, turns go on.
        self.settled, self.due_at = self.stall_detector.woke, asyncio.get_running_loop().time()
        if self.is_stopping or self.outcome_forwarder is not None:
            self.turn_due = False
            return
        if self.stall_detector.stood >= NEWS_OLD and self.discovery.revision is not None:
            self.discovery.pause()
            self.discovery.watch()
        self._turn()

    def _aged(self, events: list[Event]) -> list[Event]:
        """With the time that messages have left as of now: a turn may come late."""
        now, aged = asyncio.get_running_loop().time(), list[Event]()
        for event, at in zip(events, self.posted, strict=True):
            spent = int((now - at) * 1e6)
            if isinstance(event, MessageSubmitted):
                event = replace(event, time_remaining=event.time_remaining - spent)
            elif isinstance(event, MessageRecovered):
                event = replace(
                    event,
                    submission=replace(
                        event.submission, time_remaining=event.submission.time_remaining - spent
                    ),
                )
            aged.append(event)
        return aged

    def _call(self, host: str, sends: list[SendAttempt], batch: bool) -> None:
        """One call waits as long as its most patient message, and as all of its messages live: it is given up
        as a whole. Trouble: one whose time ran out was told of while the call stayed out for the rest; the
        platform counted none of what its whole answer then called delivered (19 lost, incident r1ecba7).
        """
        messages = [self.journal.messages[send.message_id] for send in sends]
        for held in messages:
            held.attempts += 1
            self.message_states.begin_attempt(held.id, self.now)
        # By the module's clock, which does not step, and as of now: a turn may have taken long.
        ends = min(self.scheduler.state.messages[held.id].deadline for held in messages)
        left = ends - self._clock() - ANSWER_MARGIN
        timeout = max(0, min(left, max(send.timeout for send in sends)))
        limits = [send.max_connection_idle for send in sends if send.max_connection_idle is not None]
        unsafe = any(not is_repeatable(held.packed_terms) for held in messages)
        within = (send.send_within / 1e6 for send in sends if send.send_within is not None)
        terms = CallOptions(
            timeout / 1e6, batch, unsafe, min(limits, default=None), min(within, default=math.inf)
        )
        self._ask(0, host, messages, terms)

    def _ask(self, place: int, host: str, messages: list[Message], terms: CallOptions) -> None:
        """Each authority in turn; then the call begins."""
        if place == len(self.attempt_gates):
            self.delivery.send_call(host, messages, terms)
            return
        began = asyncio.get_running_loop().time()
        done = partial(self._asked, place, host, messages, terms, began)
        self.attempt_gates[place].request_attempt(messages, host, done)

    def _asked(
        self, place: int, host: str, messages: list[Message], terms: CallOptions, began: float, granted: bool
    ) -> None:
        """An authority lets an attempt begin (the store of record has its intent), or not. What was decided
        holds no longer than a moment where a drain or a wait may have been told since.
        """
        took = asyncio.get_running_loop().time() - began
        calm = self.unsettled.get(messages[0].destination, 0.0) < began
        if granted and took < (LONGEST_CALM_INTENT if calm else LONGEST_INTENT) and not self.is_stopping:
            left = max(0.0, terms.timeout - took)
            terms = replace(terms, timeout=left, send_within=terms.send_within - took)
            self._ask(place + 1, host, messages, terms)
            return
        for permit in self.attempt_gates[: place + 1]:
            for held in messages:
                permit.attempt_ended(held.id, AttemptStatus.NOT_SENT.value)
        again = max(LATE_MS, self.attempt_gates[place].retry_after_ms)
        for held in messages:
            self._put_off(held, host, again)

    def _put_off(self, held: Message, host: str, again_ms: int) -> None:
        """An attempt was not begun for want of an authority's word. It costs no try: a store that is away for
        a moment would use up all of them.
        """
        held.attempts -= 1
        self.message_states.end_attempt(held.id)
        self._post(
            AttemptEnded(
                held.id,
                held.attempts,
                host,
                AttemptStatus.NOT_SENT,
                0,
                False,
                0,
                None,
                None,
                None,
                False,
                again_ms * 1000,
            )
        )

    def _end(self, message: str, status: int, again_ms: int) -> None:
        if self.store is not None:
            again_ms = again_ms or (self.store.retry_after_ms if status == REFUSED else 0)
        if answer := self.message_states.begin_rejecting(message):
            if self.store is None:
                self._answer_end(message, answer, status, again_ms)
            else:
                done = partial(self._answer_end, message, answer, status, again_ms)
                self.store.record_final_status(
                    message, "failed" if status == FAILED else "refused", None, done
                )
            return
        notice: dict[str, Any] = {"status": "undeliverable" if status == FAILED else "deferred"}
        if again_ms:
            notice["again_ms"] = again_ms
        self.journal.record_final_status(message, notice)
        fault_point("journal notice")
        self._tell(message, notice)

    def _answer_end(
        self, message: str, answer: Callable[[int, int], None], status: int, again_ms: int
    ) -> None:
        if (held := self.journal.messages.get(message)) is not None:
            self.metrics.count_final_status(
                held.class_name, FinalStatus.ABORTED if status == FAILED else FinalStatus.REJECTED
            )
        self.journal.complete(message)
        self.message_states.complete(message)
        answer(status, again_ms)
        self._post(FinalStatusReported(message))
        if self.store is not None:
            self.store.final_status_reported(message)

    def _tell(self, message: str, notice: dict[str, Any]) -> None:
        """Gives the platform the final answer, once the store of record has it."""
        if self.store is None:
            self.message_states.report_without_store(message)
            self.status_reporter.report(message, notice)
            return
        self.message_states.begin_recording_final_status(message, notice)
        answer = "failed" if notice["status"] == "undeliverable" else "refused"
        self.store.record_final_status(message, answer, None, partial(self._tell_now, message))

    def _tell_now(self, message: str) -> None:
        fault_point("tell")
        if (notice := self.message_states.begin_reporting(message)) is not None:
            self.status_reporter.report(message, notice)
