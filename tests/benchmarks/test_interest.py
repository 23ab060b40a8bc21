"""Destinations in use and misses, against draws of chance and against sums written out."""

from __future__ import annotations

import itertools
import math
import random

import pytest

from benchmarks.interest import Share, rates, use, zipf


def played(share: Share, idle: float, seconds: float, seed: int) -> tuple[float, float]:
    """Destinations in use (the mean over all messages) and misses a second, by drawing each message."""
    chance = random.Random(seed)
    heights = {
        count: list(itertools.accumulate(rank**-share.skew for rank in range(1, count + 1)))
        for count in (share.own, share.all)
    }
    last: dict[tuple[int, int], float] = {}  # in the order of the last message
    now, misses, in_use, looks = 0.0, 0, 0, 0
    warm = 2 * idle
    while now < warm + seconds:
        now += chance.expovariate(share.rate)
        while last and now - next(iter(last.values())) > idle:
            del last[next(iter(last))]
        if now >= warm:
            in_use, looks = in_use + len(last), looks + 1
        count = share.own if chance.random() < share.affinity else share.all
        rank = chance.choices(range(count), cum_weights=heights[count])[0]
        if last.pop((count, rank), None) is None and now >= warm:
            misses += 1
        last[count, rank] = now
    return in_use / looks, misses / seconds


@pytest.mark.parametrize("skew", [0.0, 0.8, 1.0])
@pytest.mark.parametrize("affinity", [0.0, 0.9, 1.0])
def test_the_closed_form_agrees_with_messages_drawn_one_by_one(skew: float, affinity: float) -> None:
    share = Share(rate=100, own=60, all=3_000, skew=skew, affinity=affinity)
    expected = use(rates(share), 8.0)
    in_use, misses = played(share, 8.0, 150.0, seed=11)
    assert in_use == pytest.approx(expected.in_use, rel=0.05)
    # Some thousands of misses, or next to none: four deviations of a count, and a twentieth.
    slack = 4 * math.sqrt(expected.misses * 150 + 1) / 150
    assert misses == pytest.approx(expected.misses, rel=0.05, abs=slack)


@pytest.mark.parametrize("skew", [0.0, 0.66, 0.88, 1.0])
def test_blocks_of_ranks_stand_for_each_rank(skew: float) -> None:
    """Trouble: 870,000 terms for each of a hundred cases take a minute."""
    whole = math.fsum(rank**-skew for rank in range(1, 50_001))
    one_by_one = [(1, 190 * rank**-skew / whole) for rank in range(1, 50_001)]
    in_blocks = [(number, 190 * chance) for number, chance in zipf(50_000, skew)]
    assert sum(number for number, _ in in_blocks) == 50_000
    assert len(in_blocks) < 2_000
    for idle in (10, 900):
        exact, quick = use(one_by_one, idle), use(in_blocks, idle)
        assert quick.in_use == pytest.approx(exact.in_use, rel=1e-4)
        assert quick.misses == pytest.approx(exact.misses, rel=1e-3)


def test_uniform_demand_worked_by_hand() -> None:
    """Ten destinations with one message a second each, forgotten after one second."""
    seen = use(rates(Share(rate=10, own=1, all=10, skew=0, affinity=0)), 1.0)
    assert seen.in_use == pytest.approx(10 * (1 - 1 / math.e))
    assert seen.misses == pytest.approx(10 / math.e)


def test_with_full_affinity_nothing_beyond_its_own_is_in_use() -> None:
    seen = use(rates(Share(rate=192, own=363, all=870_000, skew=0.8, affinity=1.0)), 900.0)
    assert 362 < seen.in_use <= 363
    assert seen.misses < 0.01
