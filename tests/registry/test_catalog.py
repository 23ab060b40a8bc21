"""Catalog: a relay that applies responses has the rows of its destinations despite lost or repeated calls.

The property test compares with a simple model: discovery's list, and a relay that stores received rows.
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
from tests.standins.fake_discovery import make_endpoint

Rows = dict[str, dict[str, Any]]


def make_entries(*rows: dict[str, Any]) -> list[ListEntry]:
    return [decode_entry(fields) for fields in rows]


def decode_rows(rows: list[bytes]) -> list[tuple[str, int, str]]:
    return [(fields["id"], fields["cell"], fields["phase"]) for fields in map(json.loads, rows)]


def make_catalog(*rows: dict[str, Any], revision: int = 1, max_tombstones: int = 100) -> Catalog:
    catalog = Catalog(max_tombstones)
    assert catalog.load(revision, make_entries(*rows)) == set()
    return catalog


# Single operations


def test_catalog_with_the_same_list_again_changes_nothing() -> None:
    catalog = make_catalog(make_endpoint("a", 1), make_endpoint("b", 2))
    assert catalog.load(5, make_entries(make_endpoint("b", 2), make_endpoint("a", 1))) == set()
    assert (catalog.revision, catalog.last_change(1), catalog.last_change(2), catalog.changes) == (5, 1, 1, 0)


def test_catalog_with_a_new_list_records_the_revision_only_for_changed_destinations() -> None:
    catalog = make_catalog(make_endpoint("a", 1), make_endpoint("b", 2), make_endpoint("c", 3))
    assert catalog.load(2, make_entries(make_endpoint("a", 1), make_endpoint("b", 2, "Terminating"))) == {
        2,
        3,
    }
    assert [catalog.last_change(destination) for destination in (1, 2, 3)] == [1, 2, 2]
    rows = catalog.changes_since(3, 1)
    assert rows is not None
    assert decode_rows(rows.removed) == [("c", 3, "Gone")]
    assert not rows.listed
    assert catalog.full_rows(3) == []
    assert decode_rows(catalog.full_rows(2)) == [("b", 2, "Terminating")]
    assert catalog.apply(3, make_entries(make_endpoint("a", 1))) == set()
    assert catalog.last_change(1) == 1


def test_catalog_with_a_moved_endpoint_returns_its_removal_from_the_old_destination() -> None:
    catalog = make_catalog(make_endpoint("a", 1), make_endpoint("b", 1))
    assert catalog.apply(2, make_entries(make_endpoint("a", 7))) == {1, 7}
    old, new = catalog.changes_since(1, 1), catalog.changes_since(7, 1)
    assert old is not None
    assert (decode_rows(old.removed), decode_rows(old.listed)) == ([("a", 1, "Gone")], [])
    assert new is not None
    assert (decode_rows(new.removed), decode_rows(new.listed)) == ([], [("a", 7, "Ready")])
    assert catalog.apply(3, make_entries(make_endpoint("a", 1))) == {1, 7}  # moves back
    assert sorted(decode_rows(catalog.full_rows(1))) == [("a", 1, "Ready"), ("b", 1, "Ready")]
    returned = catalog.changes_since(1, 2)
    assert returned is not None
    assert (decode_rows(returned.removed), decode_rows(returned.listed)) == ([], [("a", 1, "Ready")])
    assert catalog.tombstone_count == 1


def test_catalog_does_not_know_changes_since_before_the_oldest_revision() -> None:
    catalog = make_catalog(
        make_endpoint("a", 1),
        make_endpoint("b", 1),
        make_endpoint("c", 2),
        make_endpoint("d", 3),
        max_tombstones=1,
    )
    catalog.apply(2, make_entries(make_endpoint("a", 1, "Gone")))
    assert catalog.oldest_revision == 1
    catalog.apply(3, make_entries(make_endpoint("c", 2, "Gone")))
    assert (catalog.oldest_revision, catalog.tombstone_count) == (2, 1)
    assert catalog.changes_since(1, 1) is None
    assert catalog.last_change(1) == 2
    assert catalog.changes_since(1, 2) == ([], [])
    assert catalog.changes_since(3, 1) == ([], [])  # it did not change, although tombstones were discarded
    assert catalog.changes_since(9, 1) is None  # no endpoints, and their removal may be later than 1
    assert catalog.changes_since(9, 2) == ([], [])


def test_catalog_with_restarted_revisions_does_not_know_older_changes() -> None:
    catalog = make_catalog(make_endpoint("a", 1), make_endpoint("b", 2), revision=5000)
    catalog.apply(5001, make_entries(make_endpoint("b", 2, "Gone")))
    assert catalog.load(3, make_entries(make_endpoint("a", 1), make_endpoint("c", 3))) == {3}
    assert (catalog.revision, catalog.oldest_revision, catalog.tombstone_count) == (3, 3, 0)
    assert [catalog.last_change(destination) for destination in (1, 2, 3)] == [3, 3, 3]
    assert catalog.changes_since(1, 5001) is None
    assert catalog.changes_since(1, 2) is None
    assert catalog.changes_since(1, 3) == ([], [])


def test_catalog_rejects_a_delta_that_does_not_follow_its_list() -> None:
    catalog = make_catalog(make_endpoint("a", 1), revision=7)
    with pytest.raises(ValueError):
        catalog.apply(6, make_entries(make_endpoint("a", 1, "Gone")))
    with pytest.raises(ValueError):
        Catalog(5).apply(6, make_entries(make_endpoint("a", 1)))
    assert decode_rows(catalog.full_rows(1)) == [("a", 1, "Ready")]
    assert catalog.revision == 7


def test_catalog_with_a_duplicate_endpoint_uses_its_last_row() -> None:
    for first in (make_endpoint("a", 1), make_endpoint("a", 1, "Terminating"), make_endpoint("a", 2)):
        catalog = make_catalog(make_endpoint("a", 1))
        catalog.load(2, make_entries(first, make_endpoint("a", 1)))
        assert decode_rows(catalog.full_rows(1)) == [("a", 1, "Ready")]
        assert catalog.full_rows(2) == []


def test_catalog_keeps_its_revision_until_a_staged_list_is_committed() -> None:
    """Staged entries are not returned; during a commit, rows are of the current revision or newer."""
    catalog = make_catalog(*(make_endpoint(f"h{i}", i) for i in range(10)))
    staged = StagedList(catalog)
    staged.add(make_entries(*(make_endpoint(f"h{i}", i, "Terminating") for i in range(5))))
    assert decode_rows(catalog.full_rows(0)) == [("h0", 0, "Ready")]
    commit = catalog.commit(staged, 2, True)
    assert next(commit) == 0
    assert catalog.revision == 1
    assert decode_rows(catalog.full_rows(0)) == [("h0", 0, "Terminating")]
    rows = catalog.changes_since(0, 1)
    assert rows is not None
    assert decode_rows(rows.listed) == [("h0", 0, "Terminating")]
    assert set(commit) == set(range(1, 10))
    assert catalog.revision == 2
    assert catalog.endpoint_count == 5


def test_catalog_discards_an_interrupted_first_list() -> None:
    catalog = Catalog(5)
    StagedList(catalog).add(make_entries(make_endpoint("a", 1)))
    assert not catalog.is_loaded
    catalog.load(4, make_entries(make_endpoint("b", 2)))
    assert catalog.is_loaded
    assert catalog.endpoint_count == 1
    assert catalog.full_rows(1) == []


def test_catalog_returns_recent_changes_of_a_large_destination() -> None:
    catalog = make_catalog(*(make_endpoint(f"h{i}", 1) for i in range(2000)))
    catalog.apply(
        2,
        make_entries(
            make_endpoint("h5", 1, "Terminating"), make_endpoint("x", 2), make_endpoint("h6", 1, "Gone")
        ),
    )
    rows = catalog.changes_since(1, 1)
    assert rows is not None
    assert (decode_rows(rows.removed), decode_rows(rows.listed)) == (
        [("h6", 1, "Gone")],
        [("h5", 1, "Terminating")],
    )


def test_catalog_updates_cost_the_same_per_endpoint_in_a_large_destination() -> None:
    """Compares processor time; a scan of the destination for each endpoint would take 16 times as much."""

    def cost_per_endpoint(count: int) -> float:
        rows = make_entries(*(make_endpoint(f"h{i}", 1) for i in range(count)))
        added = make_entries(*(make_endpoint(f"g{i}", 1) for i in range(count)))
        costs = []
        for _ in range(5):
            started_at = time.process_time()
            catalog = Catalog(100)
            catalog.load(1, rows)
            catalog.apply(2, added)
            costs.append((time.process_time() - started_at) / count)
        return min(costs)

    assert cost_per_endpoint(16_000) < 6 * cost_per_endpoint(1000)


def test_catalog_returns_all_changes_only_since_recent_revisions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(catalog_module, "MAX_RECENT_CHANGES", 3)
    catalog = make_catalog(*(make_endpoint(f"h{i}", i) for i in range(6)))
    for i in range(3):
        catalog.apply(2 + i, make_entries(make_endpoint(f"h{i}", i, "Terminating")))
    rows = catalog.all_changes_since(2)
    assert rows is not None
    assert sorted(decode_rows(rows.listed)) == [("h1", 1, "Terminating"), ("h2", 2, "Terminating")]
    assert catalog.all_changes_since(1) is not None
    catalog.apply(5, make_entries(make_endpoint("h3", 3, "Gone")))
    assert catalog.all_changes_since(1) is None
    assert catalog.all_changes_since(2) is not None
    assert catalog.all_changes_since(6) is None
    assert sorted(decode_rows(list(catalog.all_rows()))) == [
        ("h0", 0, "Terminating"),
        ("h1", 1, "Terminating"),
        ("h2", 2, "Terminating"),
        ("h4", 4, "Ready"),
        ("h5", 5, "Ready"),
    ]
    assert catalog.size_bytes == sum(map(len, catalog.all_rows()))


# Random sequences of operations

ENDPOINT_COUNT, DESTINATION_COUNT = 6, 4


@dataclass
class FakeRelay:
    """Applies responses by the rules of docs/slices.md, and starts over after an older revision."""

    name: str
    destinations: set[int] = field(default_factory=set)
    known: dict[int, int] = field(default_factory=dict)  # destination -> revision of its rows
    rows: dict[tuple[str, int], dict[str, Any]] = field(default_factory=dict)
    revision: int = 0
    sequence: int = 0
    is_reset_due: bool = True

    def apply(self, revision: int, update: SubscriptionUpdate) -> None:
        if revision < self.revision:  # discovery restarted its revisions: everything is requested again
            self.start_over()
            return
        for destination in update.full_destinations:
            self.rows = {key: fields for key, fields in self.rows.items() if key[1] != destination}
            if destination in self.destinations:  # a released one may still be in the registry's set
                self.known[destination] = revision
        for data in update.rows:
            fields = json.loads(data)
            if fields["cell"] not in self.known:
                continue
            if fields["phase"] == "Gone":
                self.rows.pop((fields["id"], fields["cell"]), None)
            else:
                self.rows[fields["id"], fields["cell"]] = fields
        is_same_set = (update.size, update.checksum) == (len(self.destinations), checksum(self.destinations))
        if update.sequence == self.sequence and not is_same_set:
            self.is_reset_due = True

    def start_over(self) -> None:
        self.revision, self.is_reset_due = 0, True
        self.known.clear()
        self.rows.clear()

    def send_change(self, subscriptions: Subscriptions, is_response_lost: bool = False) -> None:
        """Sends changes of the set, or the whole set if the registry does not have it."""
        for _ in range(3):
            self.sequence += 1
            added = tuple(sorted(self.destinations - set(self.known)))
            confirmed = tuple(sorted(self.destinations & set(self.known)))
            call = SubscriptionChange(
                "f", self.name, self.sequence, self.revision, added, confirmed, (), self.is_reset_due
            )
            if not self.is_reset_due:
                dropped = tuple(sorted(set(range(DESTINATION_COUNT)) - self.destinations))
                call = SubscriptionChange("f", self.name, self.sequence, self.revision, added, (), dropped)
            try:
                update = subscriptions.change(call, 0.0)
            except RequestRejectedError:
                self.is_reset_due = True
                continue
            if is_response_lost:
                return
            was_reset, self.is_reset_due = self.is_reset_due, False
            self.apply(subscriptions.catalog.revision, update)
            if not (self.is_reset_due and not was_reset) and not self.is_reset_due:
                self.revision = max(self.revision, min(self.known.values(), default=self.revision))
                return

    def release(self, destination: int) -> None:
        self.destinations.discard(destination)
        self.known.pop(destination, None)
        self.rows = {key: fields for key, fields in self.rows.items() if key[1] != destination}

    def watch(self, subscriptions: Subscriptions, is_response_lost: bool = False) -> None:
        try:
            update, older = subscriptions.watch(
                SubscriptionWatch("f", self.name, self.revision, 0), None, 0.0
            )
            assert older is None
            waiting = subscriptions.by_subscriber[self.name].watch
            if update is None:
                assert waiting is not None
                update = subscriptions.end_watch(waiting, 0.0)
        except RequestRejectedError:
            self.is_reset_due = True
            return
        if not is_response_lost:
            self.apply(subscriptions.catalog.revision, update)
            if not self.is_reset_due:
                self.revision = subscriptions.catalog.revision


ROW = st.builds(
    make_endpoint,
    st.integers(0, ENDPOINT_COUNT - 1).map(lambda i: f"h{i}"),
    st.integers(0, DESTINATION_COUNT - 1),
    st.sampled_from(["Ready", "Ready", "Terminating"]),
)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("change row"), ROW),
        st.tuples(st.just("remove row"), st.integers(0, ENDPOINT_COUNT - 1)),
        st.tuples(st.just("replace list"), st.lists(ROW, max_size=ENDPOINT_COUNT)),
        st.tuples(st.just("restart revisions"), st.lists(ROW, max_size=ENDPOINT_COUNT)),
        st.tuples(st.just("subscribe"), st.integers(0, DESTINATION_COUNT - 1)),
        st.tuples(st.just("release"), st.integers(0, DESTINATION_COUNT - 1)),
        st.tuples(st.just("send change"), st.booleans()),
        st.tuples(st.just("watch"), st.booleans()),
        st.tuples(st.just("repeat change"), st.none()),
        st.tuples(st.just("expire"), st.none()),
    ),
    max_size=40,
)


@settings(max_examples=1000, deadline=None, derandomize=True)
@example(
    [("subscribe", 0), ("send change", False), ("restart revisions", []), *[("remove row", 0)] * 75], 0
)  # until the old revision is reached
@example(
    [
        ("subscribe", 0),
        ("send change", False),
        ("watch", False),
        ("restart revisions", []),
        *[("remove row", 0)] * 80,
    ],
    3,
)
@given(OPERATIONS, st.integers(0, 3))
def test_relay_has_the_rows_of_its_destinations_after_any_sequence_of_operations(
    operations: list[tuple[str, Any]], max_tombstones: int
) -> None:
    revision, listed = 100, {"h0": make_endpoint("h0", 0)}
    catalog = Catalog(max_tombstones)
    catalog.load(revision, make_entries(*listed.values()))
    subscriptions, relay = Subscriptions("f", catalog, 30.0), FakeRelay("a.1")

    def record_changes(destinations: set[int]) -> None:
        for destination in destinations:
            subscriptions.destination_changed(destination, catalog.revision)
        subscriptions.pop_affected_watches()

    for operation, argument in operations:
        match operation:
            case "change row":
                revision += 1
                listed[argument["id"]] = argument
                record_changes(catalog.apply(revision, make_entries(argument)))
            case "remove row":
                revision += 1
                endpoint = f"h{argument}"
                last = listed.pop(endpoint, make_endpoint(endpoint, 0))
                record_changes(catalog.apply(revision, make_entries({**last, "phase": "Gone"})))
            case "replace list":
                revision += 1
                listed = {fields["id"]: fields for fields in argument}
                record_changes(catalog.load(revision, make_entries(*argument)))
            case "restart revisions":
                revision = 1 + revision // 4
                listed = {fields["id"]: fields for fields in argument}
                catalog.load(revision, make_entries(*argument))
                subscriptions.pop_affected_watches(is_restarted=True)
                if relay.name not in subscriptions.by_subscriber and revision <= relay.revision:
                    # The registry has dropped the subscription and does not know that the relay's revision is
                    # from before the restart. The relay detects that only while its own revision is higher.
                    relay.start_over()
            case "subscribe":
                relay.destinations.add(argument)
            case "release":
                relay.release(argument)
            case "send change":
                relay.send_change(subscriptions, argument)
            case "watch":
                relay.watch(subscriptions, argument)
            case "repeat change":
                relay.send_change(subscriptions, is_response_lost=True)
                relay.send_change(subscriptions)
            case "expire":
                if (
                    relay.name in subscriptions.by_subscriber
                    and subscriptions.by_subscriber[relay.name].epoch is not RevisionEpoch.CURRENT
                ):
                    relay.start_over()
                subscriptions.expire(1e9)
                assert not subscriptions.by_subscriber
                assert not subscriptions.destination_count
    for _ in range(4):  # after a few calls without further changes both agree
        relay.send_change(subscriptions)
        relay.watch(subscriptions)
    model = {
        (endpoint, fields["cell"]): fields
        for endpoint, fields in listed.items()
        if fields["cell"] in relay.destinations
    }
    assert relay.rows == model
    assert {
        destination: sorted(map(json.dumps, map(json.loads, catalog.full_rows(destination))))
        for destination in range(DESTINATION_COUNT)
    } == {
        destination: sorted(
            json.dumps(dict(sorted(fields.items())))
            for fields in listed.values()
            if fields["cell"] == destination
        )
        for destination in range(DESTINATION_COUNT)
    }
    assert catalog.tombstone_count <= max_tombstones
    assert catalog.size_bytes == sum(map(len, catalog.all_rows()))


def test_watch_without_changes_is_waiting() -> None:
    subscriptions = Subscriptions("f", make_catalog(make_endpoint("a", 1)), 30.0)
    subscriptions.change(SubscriptionChange("f", "a.1", 1, 0, (1,), is_reset=True), 0.0)
    update, older = subscriptions.watch(SubscriptionWatch("f", "a.1", 1, 0), "token", 0.0)
    waiting = subscriptions.by_subscriber["a.1"].watch
    assert update is None
    assert older is None
    assert isinstance(waiting, WaitingWatch)
    assert waiting.token == "token"
