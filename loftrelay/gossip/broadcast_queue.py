"""What to tell next: each new piece a number of times that grows with the logarithm of the fleet, the one
told least first, and a few others by chance, so that what was lost on the way is made good.

It does no input or output. Who joins late hears of all by chance, or at once where `again` is called.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

RETELL = 3  # times log2 of the fleet that one piece of news is told by each relay


class Spread:
    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.told: dict[str, int] = {}  # of what is news: the times that it was told

    def put(self, key: str) -> None:
        """It is news from now on."""
        self.told[key] = 0

    def forget(self, key: str) -> None:
        self.told.pop(key, None)

    def again(self, keys: Iterable[str]) -> None:
        """Somebody came who may know nothing."""
        for key in keys:
            self.told.setdefault(key, 0)

    def pick(self, fleet: int, news: int, spare: int, known: Iterable[str]) -> list[str]:
        """What goes with one datagram: up to `news` pieces of news, and up to `spare` others of `known`."""
        most = RETELL * math.ceil(math.log2(fleet + 2))
        keys = sorted(self.told, key=lambda key: self.told[key])[:news]
        for key in keys:
            self.told[key] += 1
            if self.told[key] >= most:
                del self.told[key]
        others = [key for key in known if key not in keys]
        return keys + self.random.sample(others, min(len(others), spare))
