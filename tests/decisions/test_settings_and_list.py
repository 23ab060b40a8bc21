"""Absent or contradictory settings, the list, and the size of the module."""

from __future__ import annotations

import re
from pathlib import Path

from loftrelay.decisions import interface as api
from loftrelay.decisions.scheduler import Brain
from loftrelay.decisions.simulator import read_settings
from tests.decisions.world import MS, Driver, S, ends, entry, sends

ROOT = Path(__file__).parents[2]


def test_no_settings_at_all() -> None:
    brain = Brain(1, read_settings({}))
    brain.handle(0, [api.Listing(api.Form.FULL, (entry("a"),))])
    actions = brain.handle(1, [api.Submit("m", 1, "x", "t", S, "k"), api.Submit("n", 1, "x", None, S, None)])
    assert sends(actions) == ["m"]  # one slot
    doubt = api.Outcome("m", 0, "a", api.Result.ERROR, 5, False, 0, None, None)
    assert ends(brain.handle(9, [doubt])) == [(api.Fail, "m")]  # an unknown class counts as unsafe


def test_one_slot_and_one_attempt() -> None:
    d = Driver(entry("a"), slots=1, max_attempts=1)
    assert sends(d.submit("m")) == ["m"] and sends(d.submit("n")) == []
    assert ends(d.outcome("m", api.Result.NO_CONNECTION)) == [(api.Refuse, "m")]


def test_unknown_words_are_read_cautiously() -> None:
    config = {"classes": [{"name": "c", "effect": "perhaps"}], "discovery": "osmosis", "weight_kind": "live"}
    told = read_settings(config)
    assert told.classes["c"].effect is api.Effect.UNKNOWN and not told.list_on_request


def test_watches_the_list_and_asks_again_ever_more_slowly() -> None:
    d = Driver(entry("a"), list_on_request=True)
    assert any(isinstance(a, api.WatchList) for a in d.log)
    gaps = []
    for _ in range(12):
        d.feed(api.Listing(api.Form.FAILED, ()))
        failed = d.now
        while not any(isinstance(a, api.WatchList) for a in d.run(20 * S)):
            assert d.now < failed + 20 * S
        gaps.append(d.now - failed)
    assert gaps[:3] == sorted(gaps[:3]) and gaps[0] >= 400 * MS
    # Neither too late for the 6 s in which a change counts as told, nor in step with other relays.
    assert all(S <= gap <= 2 * S for gap in gaps[2:]) and max(gaps[2:]) - min(gaps[2:]) > 200 * MS
    assert sends(d.submit("m")) == ["m"]  # the old list stands


def test_a_message_for_an_unlisted_destination_waits_for_it() -> None:
    d = Driver()
    assert not d.submit("m", destination=4)[:-1]
    assert sends(d.feed(api.Listing(api.Form.CHANGES, (entry("x", 4),)), after=S)) == ["m"]


def test_a_long_backlog_is_pushed_out_before_it_fills_the_relay() -> None:
    d = Driver(entry("a"), max_held=64)
    d.feed(*[api.Submit(f"m{i}", 1, "safe", None, 20 * S, None) for i in range(64)])
    assert len(ends(d.log)) == 8 and {kind for kind, _ in ends(d.log)} == {api.Refuse}


def test_a_relay_full_of_many_small_backlogs_keeps_places_free() -> None:
    """Trouble: messages behind many shut gates filled the relay, and clients were turned away before it."""
    d = Driver(*[entry(f"e{i}", i) for i in range(16)], max_held=16)
    for i in range(16):
        d.submit(f"m{i}", destination=i)
        d.outcome(f"m{i}", api.Result.FULL, wait=9 * S)
    assert len(d.brain.messages) <= 14 and len(ends(d.log)) >= 2


def test_size_of_the_module() -> None:
    lines = (ROOT / "loftrelay" / "decisions" / "scheduler.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110
    assert "decisions/interface.py" in lines[0]


def test_readme_example_runs(capsys: object) -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    space: dict[str, object] = {}
    exec(compile(blocks[0], "README.md", "exec"), space)
    assert space["delivered"] == ["order-1"]
