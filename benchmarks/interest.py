"""How many destinations a relay has in use, and how often a message comes for one that it has not.

It does no input or output. A destination is in use from a message for it until none has come for an idle time
T; a message for another one is a miss. Messages come as a Poisson stream, each for a destination drawn on its
own (the independent reference model). Then one with a rate of r a second is in use with the chance
1 - exp(-rT), and misses come at r exp(-rT): exact for an idle time that each message starts anew, and Che's
approximation for a cache that drops the least recently used, with T its characteristic time (Che, Tung, Wang,
"Hierarchical Web Caching Systems", 2002; Fricker, Robert, Roberts, "A versatile and accurate approximation
for LRU cache performance", 2012). What is not in it: messages for one destination that come together, and
changes of what is asked for.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

EXACT = 1_000  # ranks that are taken one by one; beyond, blocks of nearly the same weight
BLOCK = 1.01  # last rank of a block over its first

Rates = list[tuple[int, float]]  # how many destinations, messages a second for each


@dataclass(frozen=True, slots=True)
class Share:
    """What one relay is given. `own`: destinations that are its own; `affinity`: the part of its messages
    that goes to them, the rest is drawn from all. Both by Zipf's law with the exponent `skew`; 0: uniform."""

    rate: float  # messages a second
    own: int
    all: int
    skew: float
    affinity: float


@dataclass(frozen=True, slots=True)
class Use:
    in_use: float  # destinations, at a moment
    misses: float  # a second


def zipf(count: int, skew: float) -> Rates:
    """Chances of destinations by rank, most wanted first: rank ** -skew, adding up to one."""
    blocks: Rates = [(1, rank**-skew) for rank in range(1, min(count, EXACT) + 1)]
    first = EXACT + 1
    while first <= count:
        last = min(count, max(first, int(first * BLOCK)))
        blocks.append((last - first + 1, _mean(first - 0.5, last + 0.5, skew)))
        first = last + 1
    whole = math.fsum(number * weight for number, weight in blocks)
    return [(number, weight / whole) for number, weight in blocks]


def _mean(low: float, high: float, skew: float) -> float:
    """Of x ** -skew between the two."""
    if skew == 1:
        return math.log(high / low) / (high - low)
    return float((high ** (1 - skew) - low ** (1 - skew)) / ((1 - skew) * (high - low)))


def rates(share: Share) -> Rates:
    """Its own ones, and all: that the own are also among all is left out (363 of 870,000)."""
    parts = (share.own, share.affinity), (share.all, 1 - share.affinity)
    return [
        (number, share.rate * part * chance)
        for count, part in parts
        if part > 0
        for number, chance in zipf(count, share.skew)
    ]


def use(given: Iterable[tuple[int, float]], idle: float) -> Use:
    """`idle`: seconds."""
    in_use, misses = [], []
    for number, rate in given:
        gone = math.exp(-rate * idle)
        in_use.append(number * -math.expm1(-rate * idle))
        misses.append(number * rate * gone)
    return Use(math.fsum(in_use), math.fsum(misses))
