"""Predict how many destinations a relay has in use, and the rate of messages for others (misses).

The module does no input or output. A destination is in use from a message for it until none has arrived for
an idle time T; a message for any other destination is a miss. Messages arrive as a Poisson process, each for
a destination drawn independently (the independent reference model). A destination with r messages a second is
then in use with probability 1 - exp(-rT) and has r exp(-rT) misses a second. This is exact for an idle time
that each message restarts, and Che's approximation for a cache that evicts the least recently used entry,
with T its characteristic time (Che, Tung, Wang, "Hierarchical Web Caching Systems", 2002; Fricker, Robert,
Roberts, "A versatile and accurate approximation for LRU cache performance", 2012). The model leaves out
bursts of messages for one destination, and changes in the popularity of destinations.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

SINGLE_RANKS = 1_000  # higher ranks are grouped in blocks of nearly the same weight
BLOCK_RATIO = 1.01  # last rank of a block over its first

Rates = list[tuple[int, float]]  # number of destinations, messages a second for each of them


@dataclass(frozen=True, slots=True)
class Demand:
    """Traffic of one relay. Own and other destinations are drawn by Zipf's law."""

    rate: float  # messages a second
    own_destinations: int  # assigned to this relay
    all_destinations: int
    skew: float  # exponent of Zipf's law; 0: uniform
    affinity: float  # part of the messages for own destinations; the rest is drawn from all


@dataclass(frozen=True, slots=True)
class CacheLoad:
    in_use: float  # mean number of destinations
    misses: float  # a second


def zipf(count: int, skew: float) -> Rates:
    """Returns probabilities by rank, most popular first: proportional to rank ** -skew, with the sum 1."""
    blocks: Rates = [(1, rank**-skew) for rank in range(1, min(count, SINGLE_RANKS) + 1)]
    first = SINGLE_RANKS + 1
    while first <= count:
        last = min(count, max(first, int(first * BLOCK_RATIO)))
        blocks.append((last - first + 1, _mean_weight(first - 0.5, last + 0.5, skew)))
        first = last + 1
    total = math.fsum(number * weight for number, weight in blocks)
    return [(number, weight / total) for number, weight in blocks]


def _mean_weight(low: float, high: float, skew: float) -> float:
    """Returns the mean of x ** -skew between the two bounds."""
    if skew == 1:
        return math.log(high / low) / (high - low)
    return float((high ** (1 - skew) - low ** (1 - skew)) / ((1 - skew) * (high - low)))


def message_rates(demand: Demand) -> Rates:
    """Returns the rates of own destinations and of all.

    That the own destinations are also among all is neglected (363 of 870,000).
    """
    parts = (
        (demand.own_destinations, demand.affinity),
        (demand.all_destinations, 1 - demand.affinity),
    )
    return [
        (number, demand.rate * part * probability)
        for count, part in parts
        if part > 0
        for number, probability in zipf(count, demand.skew)
    ]


def cache_load(rates: Iterable[tuple[int, float]], idle_s: float) -> CacheLoad:
    """Returns the destinations in use and the misses a second for an idle time."""
    in_use, misses = [], []
    for number, rate in rates:
        idle_probability = math.exp(-rate * idle_s)
        in_use.append(number * -math.expm1(-rate * idle_s))
        misses.append(number * rate * idle_probability)
    return CacheLoad(math.fsum(in_use), math.fsum(misses))
