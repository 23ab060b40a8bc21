"""python -m tests.standins.killed STEP ARGUMENTS...: a relay that ends by SIGKILL where it first reaches the
named step (loftrelay.relay.fault_points)."""

from __future__ import annotations

import os
import signal
import sys

from loftrelay.__main__ import main
from loftrelay.relay import fault_points


def kill_at_fault_point(step: str) -> None:
    """Raises SystemExit for a step that isn't there: nothing would ever be killed."""
    if step not in fault_points.ALL_POINTS:
        raise SystemExit(f"there is no step {step!r}")

    def listen(reached: str) -> None:
        if reached == step:
            os.kill(os.getpid(), signal.SIGKILL)

    fault_points.listener = listen


if __name__ == "__main__":
    kill_at_fault_point(sys.argv[1])
    sys.exit(main(sys.argv[2:]))
