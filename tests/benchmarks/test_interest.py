"""Destinations in use and misses of the closed form, compared with simulated messages and exact sums."""

from __future__ import annotations

import itertools
import math
import random

import pytest

from benchmarks.interest import Demand, cache_load, message_rates, zipf


def simulate_messages(demand: Demand, idle_s: float, seconds: float, seed: int) -> tuple[float, float]:
    """Draws each message; returns the destinations in use (mean over all messages) and misses a second."""
    rng = random.Random(seed)
    cumulative_weights = {
        count: list(itertools.accumulate(rank**-demand.skew for rank in range(1, count + 1)))
        for count in (demand.own_destinations, demand.all_destinations)
    }
    last_message_at: dict[tuple[int, int], float] = {}  # least recent first
    now, misses, in_use, samples = 0.0, 0, 0, 0
    warm_up = 2 * idle_s
    while now < warm_up + seconds:
        now += rng.expovariate(demand.rate)
        while last_message_at and now - next(iter(last_message_at.values())) > idle_s:
            del last_message_at[next(iter(last_message_at))]
        if now >= warm_up:
            in_use, samples = in_use + len(last_message_at), samples + 1
        count = demand.own_destinations if rng.random() < demand.affinity else demand.all_destinations
        rank = rng.choices(range(count), cum_weights=cumulative_weights[count])[0]
        if last_message_at.pop((count, rank), None) is None and now >= warm_up:
            misses += 1
        last_message_at[count, rank] = now
    return in_use / samples, misses / seconds


@pytest.mark.parametrize("skew", [0.0, 0.8, 1.0])
@pytest.mark.parametrize("affinity", [0.0, 0.9, 1.0])
def test_cache_load_agrees_with_simulated_messages(skew: float, affinity: float) -> None:
    demand = Demand(rate=100, own_destinations=60, all_destinations=3_000, skew=skew, affinity=affinity)
    expected = cache_load(message_rates(demand), 8.0)
    in_use, misses = simulate_messages(demand, 8.0, 150.0, seed=11)
    assert in_use == pytest.approx(expected.in_use, rel=0.05)
    # There are thousands of misses or almost none: allow four standard deviations of the count, and 5%.
    tolerance = 4 * math.sqrt(expected.misses * 150 + 1) / 150
    assert misses == pytest.approx(expected.misses, rel=0.05, abs=tolerance)


@pytest.mark.parametrize("skew", [0.0, 0.66, 0.88, 1.0])
def test_zipf_with_blocks_of_ranks_agrees_with_single_ranks(skew: float) -> None:
    """Blocks are needed because 870,000 terms for each of a hundred cases take a minute."""
    total = math.fsum(rank**-skew for rank in range(1, 50_001))
    single_ranks = [(1, 190 * rank**-skew / total) for rank in range(1, 50_001)]
    blocks = [(number, 190 * probability) for number, probability in zipf(50_000, skew)]
    assert sum(number for number, _ in blocks) == 50_000
    assert len(blocks) < 2_000
    for idle_s in (10, 900):
        exact, approximate = cache_load(single_ranks, idle_s), cache_load(blocks, idle_s)
        assert approximate.in_use == pytest.approx(exact.in_use, rel=1e-4)
        assert approximate.misses == pytest.approx(exact.misses, rel=1e-3)


def test_cache_load_of_uniform_demand_is_the_exact_value() -> None:
    """Ten destinations with one message a second each, and an idle time of one second."""
    demand = Demand(rate=10, own_destinations=1, all_destinations=10, skew=0, affinity=0)
    load = cache_load(message_rates(demand), 1.0)
    assert load.in_use == pytest.approx(10 * (1 - 1 / math.e))
    assert load.misses == pytest.approx(10 / math.e)


def test_cache_load_with_full_affinity_has_only_own_destinations_in_use() -> None:
    demand = Demand(rate=192, own_destinations=363, all_destinations=870_000, skew=0.8, affinity=1.0)
    load = cache_load(message_rates(demand), 900.0)
    assert 362 < load.in_use <= 363
    assert load.misses < 0.01
