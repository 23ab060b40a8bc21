"""python -m tests.standins.stalled POINT SECONDS ARGUMENTS...: a relay that suspends itself by SIGSTOP when
it first reaches the named fault point (loftrelay.relay.fault_points). From then on its wall clock is shifted
by SECONDS."""

from __future__ import annotations

import os
import signal
import sys
import time

from loftrelay.__main__ import main
from loftrelay.relay import fault_points


def stop_at_fault_point(fault_point: str, shift_s: float) -> None:
    """Installs the suspension. Raises SystemExit for an unknown fault point, which would never be reached."""
    if fault_point not in fault_points.ALL_POINTS:
        raise SystemExit(f"unknown fault point {fault_point!r}: see loftrelay.relay.fault_points")
    real_time_ns = time.time_ns

    def on_fault_point(reached: str) -> None:
        if reached == fault_point:
            fault_points.listener = None
            if shift_s:
                time.time_ns = lambda: real_time_ns() + int(shift_s * 1e9)
            os.kill(os.getpid(), signal.SIGSTOP)

    fault_points.listener = on_fault_point


if __name__ == "__main__":
    stop_at_fault_point(sys.argv[1], float(sys.argv[2]))
    sys.exit(main(sys.argv[3:]))
