"""Whoever applies a registry's responses has the rows of its destinations, whatever was lost or repeated.

The model is naive: the list as discovery has it, and relays that keep what answers tell them.
"""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from loftrelay.registry import catalog as catalog_module
from loftrelay.registry.catalog import Catalog, StagedList
from loftrelay.registry.listing import ListEntry, decode_entry
from loftrelay.registry.protocol import SubscriptionChange, SubscriptionWatch, checksum
from loftrelay.registry.subscriptions import (
    RequestRejectedError,
    RevisionEpoch,
    Subscriptions,
    SubscriptionUpdate,
    WaitingWatch,
)
from tests.standins.discovery import row

Rows = dict[str, dict[str, Any]]


def entries(*rows: dict[str, Any]) -> list[ListEntry]:
    return [decode_entry(told) for told in rows]


def told(rows: list[bytes]) -> list[tuple[str, int, str]]:
    return [(r["id"], r["cell"], r["phase"]) for r in map(json.loads, rows)]


def holding(*rows: dict[str, Any], revision: int = 1, keep_gone: int = 100) -> Catalog:
    catalog = Catalog(keep_gone)
    assert catalog.load(revision, entries(*rows)) == set()
    return catalog


# One step at a time


def test_repeated_list_changes_nothing() -> None:
    catalog = holding(row("a", 1), row("b", 2))
    assert catalog.load(5, entries(row("b", 2), row("a", 1))) == set()
    assert (catalog.revision, catalog.last_change(1), catalog.last_change(2), catalog.changes) == (5, 1, 1, 0)


def test_only_actual_changes_get_the_new_revision() -> None:
    catalog = holding(row("a", 1), row("b", 2), row("c", 3))
    assert catalog.load(2, entries(row("a", 1), row("b", 2, "Terminating"))) == {2, 3}
    assert [catalog.last_change(cell) for cell in (1, 2, 3)] == [1, 2, 2]
    rows = catalog.changes_since(3, 1)
    assert rows is not None
    assert told(rows.removed) == [("c", 3, "Gone")]
    assert not rows.listed
    assert catalog.full_rows(3) == []
    assert told(catalog.full_rows(2)) == [("b", 2, "Terminating")]
    assert catalog.apply(3, entries(row("a", 1))) == set()
    assert catalog.last_change(1) == 1


def test_endpoint_that_moves_is_removed_from_its_old_destination() -> None:
    catalog = holding(row("a", 1), row("b", 1))
    assert catalog.apply(2, entries(row("a", 7))) == {1, 7}
    was, now = catalog.changes_since(1, 1), catalog.changes_since(7, 1)
    assert was is not None
    assert (told(was.removed), told(was.listed)) == ([("a", 1, "Gone")], [])
    assert now is not None
    assert (told(now.removed), told(now.listed)) == ([], [("a", 7, "Ready")])
    assert catalog.apply(3, entries(row("a", 1))) == {1, 7}  # and back
    assert sorted(told(catalog.full_rows(1))) == [("a", 1, "Ready"), ("b", 1, "Ready")]
    back = catalog.changes_since(1, 2)
    assert back is not None
    assert (told(back.removed), told(back.listed)) == ([], [("a", 1, "Ready")])
    assert catalog.tombstone_count == 1


def test_destination_is_full_below_the_oldest_revision() -> None:
    catalog = holding(row("a", 1), row("b", 1), row("c", 2), row("d", 3), keep_gone=1)
    catalog.apply(2, entries(row("a", 1, "Gone")))
    assert catalog.oldest_revision == 1
    catalog.apply(3, entries(row("c", 2, "Gone")))
    assert (catalog.oldest_revision, catalog.tombstone_count) == (2, 1)
    assert catalog.changes_since(1, 1) is None
    assert catalog.last_change(1) == 2
    assert catalog.changes_since(1, 2) == ([], [])
    assert catalog.changes_since(3, 1) == ([], [])  # nothing changed in it, however much was forgotten
    assert catalog.changes_since(9, 1) is None  # nobody serves it: since when is not known
    assert catalog.changes_since(9, 2) == ([], [])


def test_restarted_revisions_make_a_new_list() -> None:
    catalog = holding(row("a", 1), row("b", 2), revision=5000)
    catalog.apply(5001, entries(row("b", 2, "Gone")))
    assert catalog.load(3, entries(row("a", 1), row("c", 3))) == {3}
    assert (catalog.revision, catalog.oldest_revision, catalog.tombstone_count) == (3, 3, 0)
    assert [catalog.last_change(cell) for cell in (1, 2, 3)] == [3, 3, 3]
    assert catalog.changes_since(1, 5001) is None
    assert catalog.changes_since(1, 2) is None
    assert catalog.changes_since(1, 3) == ([], [])


def test_delta_that_does_not_follow_the_list_is_rejected() -> None:
    catalog = holding(row("a", 1), revision=7)
    with pytest.raises(ValueError):
        catalog.apply(6, entries(row("a", 1, "Gone")))
    with pytest.raises(ValueError):
        Catalog(5).apply(6, entries(row("a", 1)))
    assert told(catalog.full_rows(1)) == [("a", 1, "Ready")]
    assert catalog.revision == 7


def test_last_row_of_a_duplicate_endpoint_counts() -> None:
    for first in (row("a", 1), row("a", 1, "Terminating"), row("a", 2)):
        catalog = holding(row("a", 1))
        catalog.load(2, entries(first, row("a", 1)))
        assert told(catalog.full_rows(1)) == [("a", 1, "Ready")]
        assert catalog.full_rows(2) == []


def test_partial_list_is_never_in_force() -> None:
    """What is staged does not hold; what is being settled is told as of the revision held, or newer."""
    catalog = holding(*(row(f"h{i}", i) for i in range(10)))
    staged = StagedList(catalog)
    staged.add(entries(*(row(f"h{i}", i, "Terminating") for i in range(5))))
    assert told(catalog.full_rows(0)) == [("h0", 0, "Ready")]
    steps = catalog.commit(staged, 2, True)
    assert next(steps) == 0
    assert catalog.revision == 1
    assert told(catalog.full_rows(0)) == [("h0", 0, "Terminating")]
    rows = catalog.changes_since(0, 1)
    assert rows is not None
    assert told(rows.listed) == [("h0", 0, "Terminating")]
    assert set(steps) == set(range(1, 10))
    assert catalog.revision == 2
    assert catalog.endpoint_count == 5


def test_interrupted_first_list_leaves_nothing() -> None:
    catalog = Catalog(5)
    StagedList(catalog).add(entries(row("a", 1)))
    assert not catalog.is_loaded
    catalog.load(4, entries(row("b", 2)))
    assert catalog.is_loaded
    assert catalog.endpoint_count == 1
    assert catalog.full_rows(1) == []


def test_changes_of_a_large_destination_are_found_without_a_scan() -> None:
    catalog = holding(*(row(f"h{i}", 1) for i in range(2000)))
    catalog.apply(2, entries(row("h5", 1, "Terminating"), row("x", 2), row("h6", 1, "Gone")))
    rows = catalog.changes_since(1, 1)
    assert rows is not None
    assert (told(rows.removed), told(rows.listed)) == ([("h6", 1, "Gone")], [("h5", 1, "Terminating")])


def test_endpoint_costs_the_same_in_a_large_destination() -> None:
    """Processor time; were a cell walked through for each of its hosts, it would be 16 times as much."""

    def each(count: int) -> float:
        rows = entries(*(row(f"h{i}", 1) for i in range(count)))
        later = entries(*(row(f"g{i}", 1) for i in range(count)))
        costs = []
        for _ in range(5):
            began = time.process_time()
            holding_them = Catalog(100)
            holding_them.load(1, rows)
            holding_them.apply(2, later)
            costs.append((time.process_time() - began) / count)
        return min(costs)

    assert each(16_000) < 6 * each(1000)


def test_all_changes_are_known_while_they_are_recent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(catalog_module, "MAX_RECENT_CHANGES", 3)
    catalog = holding(*(row(f"h{i}", i) for i in range(6)))
    for i in range(3):
        catalog.apply(2 + i, entries(row(f"h{i}", i, "Terminating")))
    rows = catalog.all_changes_since(2)
    assert rows is not None
    assert sorted(told(rows.listed)) == [("h1", 1, "Terminating"), ("h2", 2, "Terminating")]
    assert catalog.all_changes_since(1) is not None
    catalog.apply(5, entries(row("h3", 3, "Gone")))
    assert catalog.all_changes_since(1) is None
    assert catalog.all_changes_since(2) is not None
    assert catalog.all_changes_since(6) is None
    assert sorted(told(list(catalog.all_rows()))) == [
        ("h0", 0, "Terminating"),
        ("h1", 1, "Terminating"),
        ("h2", 2, "Terminating"),
        ("h4", 4, "Ready"),
        ("h5", 5, "Ready"),
    ]
    assert catalog.size_bytes == sum(map(len, catalog.all_rows()))


# Any steps

HOSTS, CELLS = 6, 4


@dataclass
class Relay:
    """Keeps what it is told, as docs/slices.md says, and believes no older revision."""

    name: str
    wanted: set[int] = field(default_factory=set)
    held: dict[int, int] = field(default_factory=dict)  # cell -> revision up to which it has all
    hosts: dict[tuple[str, int], dict[str, Any]] = field(default_factory=dict)
    revision: int = 0
    seq: int = 0
    reset: bool = True

    def take(self, revision: int, answer: SubscriptionUpdate) -> None:
        if revision < self.revision:  # a new count: all of it is taken anew
            self.forget()
            return
        for cell in answer.full_destinations:
            self.hosts = {key: r for key, r in self.hosts.items() if key[1] != cell}
            if cell in self.wanted:  # the registry may not have heard yet of one that was let go
                self.held[cell] = revision
        for data in answer.rows:
            r = json.loads(data)
            if r["cell"] not in self.held:
                continue
            if r["phase"] == "Gone":
                self.hosts.pop((r["id"], r["cell"]), None)
            else:
                self.hosts[r["id"], r["cell"]] = r
        same = (answer.size, answer.checksum) == (len(self.wanted), checksum(self.wanted))
        if answer.sequence == self.seq and not same:
            self.reset = True

    def forget(self) -> None:
        self.revision, self.reset = 0, True
        self.held.clear()
        self.hosts.clear()

    def ask(self, of: Subscriptions, lost: bool = False) -> None:
        """Tells what is wanted; the whole set where the registry knows none."""
        for _ in range(3):
            self.seq += 1
            add = tuple(sorted(self.wanted - set(self.held)))
            have = tuple(sorted(self.wanted & set(self.held)))
            call = SubscriptionChange("f", self.name, self.seq, self.revision, add, have, (), self.reset)
            if not self.reset:
                drop = tuple(sorted(set(range(CELLS)) - self.wanted))
                call = SubscriptionChange("f", self.name, self.seq, self.revision, add, (), drop)
            try:
                answer = of.change(call, 0.0)
            except RequestRejectedError:
                self.reset = True
                continue
            if lost:
                return
            was, self.reset = self.reset, False
            self.take(of.catalog.revision, answer)
            if not (self.reset and not was) and not self.reset:
                self.revision = max(self.revision, min(self.held.values(), default=self.revision))
                return

    def let_go(self, cell: int) -> None:
        self.wanted.discard(cell)
        self.held.pop(cell, None)
        self.hosts = {key: r for key, r in self.hosts.items() if key[1] != cell}

    def watch(self, of: Subscriptions, lost: bool = False) -> None:
        try:
            answer, older = of.watch(SubscriptionWatch("f", self.name, self.revision, 0), None, 0.0)
            assert older is None
            parked = of.by_subscriber[self.name].watch
            if answer is None:
                assert parked is not None
                answer = of.end(parked, 0.0)
        except RequestRejectedError:
            self.reset = True
            return
        if not lost:
            self.take(of.catalog.revision, answer)
            if not self.reset:
                self.revision = of.catalog.revision


ROW = st.builds(
    row,
    st.integers(0, HOSTS - 1).map(lambda i: f"h{i}"),
    st.integers(0, CELLS - 1),
    st.sampled_from(["Ready", "Ready", "Terminating"]),
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), ROW),
        st.tuples(st.just("gone"), st.integers(0, HOSTS - 1)),
        st.tuples(st.just("list"), st.lists(ROW, max_size=HOSTS)),
        st.tuples(st.just("anew"), st.lists(ROW, max_size=HOSTS)),
        st.tuples(st.just("want"), st.integers(0, CELLS - 1)),
        st.tuples(st.just("let go"), st.integers(0, CELLS - 1)),
        st.tuples(st.just("ask"), st.booleans()),
        st.tuples(st.just("watch"), st.booleans()),
        st.tuples(st.just("repeat"), st.none()),
        st.tuples(st.just("forgotten"), st.none()),
    ),
    max_size=40,
)


@settings(max_examples=1000, deadline=None, derandomize=True)
@example([("want", 0), ("ask", False), ("anew", []), *[("gone", 0)] * 75], 0)  # up to the old number
@example([("want", 0), ("ask", False), ("watch", False), ("anew", []), *[("gone", 0)] * 80], 3)
@given(STEPS, st.integers(0, 3))
def test_subscriber_has_the_rows_of_its_destinations_after_any_sequence(
    steps: list[tuple[str, Any]], keep_gone: int
) -> None:
    revision, listed = 100, {"h0": row("h0", 0)}
    catalog = Catalog(keep_gone)
    catalog.load(revision, entries(*listed.values()))
    of, relay = Subscriptions("f", catalog, 30.0), Relay("a.1")

    def changed(cells: set[int]) -> None:
        for cell in cells:
            of.destination_changed(cell, catalog.revision)
        of.pop_affected_watches()

    for step, what in steps:
        match step:
            case "change":
                revision += 1
                listed[what["id"]] = what
                changed(catalog.apply(revision, entries(what)))
            case "gone":
                revision += 1
                host = f"h{what}"
                last = listed.pop(host, row(host, 0))
                changed(catalog.apply(revision, entries({**last, "phase": "Gone"})))
            case "list":
                revision += 1
                listed = {r["id"]: r for r in what}
                changed(catalog.load(revision, entries(*what)))
            case "anew":
                revision = 1 + revision // 4
                listed = {r["id"]: r for r in what}
                catalog.load(revision, entries(*what))
                of.pop_affected_watches(is_restarted=True)
                if relay.name not in of.by_subscriber and revision <= relay.revision:
                    # Nobody remembers that this relay's numbers are of the old count: while they are above
                    # those of the new one it sees that for itself, later it can't be seen.
                    relay.forget()
            case "want":
                relay.wanted.add(what)
            case "let go":
                relay.let_go(what)
            case "ask":
                relay.ask(of, what)
            case "watch":
                relay.watch(of, what)
            case "repeat":
                relay.ask(of, lost=True)
                relay.ask(of)
            case "forgotten":
                if (
                    relay.name in of.by_subscriber
                    and of.by_subscriber[relay.name].epoch is not RevisionEpoch.CURRENT
                ):
                    relay.forget()
                of.expire(1e9)
                assert not of.by_subscriber
                assert not of.destination_count
    for _ in range(4):  # nothing more happens: a few calls, and all agree
        relay.ask(of)
        relay.watch(of)
    model = {(host, r["cell"]): r for host, r in listed.items() if r["cell"] in relay.wanted}
    assert relay.hosts == model
    assert {
        cell: sorted(map(json.dumps, map(json.loads, catalog.full_rows(cell)))) for cell in range(CELLS)
    } == {
        cell: sorted(json.dumps(dict(sorted(r.items()))) for r in listed.values() if r["cell"] == cell)
        for cell in range(CELLS)
    }
    assert catalog.tombstone_count <= keep_gone
    assert catalog.size_bytes == sum(map(len, catalog.all_rows()))


def test_watch_without_changes_waits() -> None:
    of = Subscriptions("f", holding(row("a", 1)), 30.0)
    of.change(SubscriptionChange("f", "a.1", 1, 0, (1,), is_reset=True), 0.0)
    answer, older = of.watch(SubscriptionWatch("f", "a.1", 1, 0), "token", 0.0)
    parked = of.by_subscriber["a.1"].watch
    assert answer is None
    assert older is None
    assert isinstance(parked, WaitingWatch)
    assert parked.token == "token"
