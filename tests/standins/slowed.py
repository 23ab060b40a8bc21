"""python -m tests.standins.slowed SEED ARGUMENTS...: a relay whose store takes 0.1 to 5 s for some commits,
chosen by SEED, and prints each of these delays on standard error."""

from __future__ import annotations

import random
import sys
import time

from loftrelay.__main__ import main
from loftrelay.relay import fault_points

LONG_DELAYS_S, SHORT_DELAYS_S = (0.8, 2.0, 5.0), (0.1, 0.3)  # each long delay occurs once
COMMITS_PER_DELAY = 12  # on average


def delay_commits(seed: int) -> None:
    rng = random.Random(seed)
    delays_s = [*LONG_DELAYS_S, *SHORT_DELAYS_S, *SHORT_DELAYS_S]
    rng.shuffle(delays_s)

    def on_fault_point(fault_point: str) -> None:
        # Runs in the store's thread: the event loop is not blocked.
        if fault_point.startswith("commit ") and rng.random() < 1 / COMMITS_PER_DELAY:
            delay_s = delays_s.pop() if delays_s else rng.choice(SHORT_DELAYS_S)
            print(f"a commit takes {delay_s} s", file=sys.stderr, flush=True)
            time.sleep(delay_s)

    fault_points.listener = on_fault_point


if __name__ == "__main__":
    delay_commits(int(sys.argv[1]))
    sys.exit(main(sys.argv[2:]))
