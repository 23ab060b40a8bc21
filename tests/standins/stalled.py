"""python -m tests.standins.stalled STEP SECONDS ARGUMENTS...: a relay that stops by SIGSTOP where it first
reaches the named step (loftrelay.relay.fault_points). Its wall clock stands SECONDS off from then on."""

from __future__ import annotations

import os
import signal
import sys
import time

from loftrelay.__main__ import main
from loftrelay.relay import fault_points


def stop_at_fault_point(step: str, shift: float) -> None:
    """Raises SystemExit for a step that isn't there: nothing would ever stop."""
    if step not in fault_points.ALL_POINTS:
        raise SystemExit(f"there is no step {step!r}")
    true = time.time_ns

    def listen(reached: str) -> None:
        if reached == step:
            fault_points.listener = None
            if shift:
                time.time_ns = lambda: true() + int(shift * 1e9)
            os.kill(os.getpid(), signal.SIGSTOP)

    fault_points.listener = listen


if __name__ == "__main__":
    stop_at_fault_point(sys.argv[1], float(sys.argv[2]))
    sys.exit(main(sys.argv[3:]))
