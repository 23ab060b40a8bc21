"""python -m tests.standins.slowed SEED ARGUMENTS...: a relay whose store takes 0.1 to 5 s for some commits,
drawn by SEED, and says on standard error how long each of them took."""

from __future__ import annotations

import random
import sys
import time

from loftrelay.__main__ import main
from loftrelay.relay import fault_points

LONG, SHORT = (0.8, 2.0, 5.0), (0.1, 0.3)  # seconds: of each long one there is one
ONE_IN = 12


def delay_commits(seed: int) -> None:
    chance = random.Random(seed)
    times = [*LONG, *SHORT, *SHORT]
    chance.shuffle(times)

    def listen(reached: str) -> None:
        # In the thread of the store: its loop goes on.
        if reached.startswith("commit ") and chance.random() < 1 / ONE_IN:
            seconds = times.pop() if times else chance.choice(SHORT)
            print(f"a commit takes {seconds} s", file=sys.stderr, flush=True)
            time.sleep(seconds)

    fault_points.listener = listen


if __name__ == "__main__":
    delay_commits(int(sys.argv[1]))
    sys.exit(main(sys.argv[2:]))
