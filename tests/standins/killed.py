"""python -m tests.standins.killed POINT ARGUMENTS...: a relay that kills itself by SIGKILL when it first
reaches the named fault point (loftrelay.relay.fault_points)."""

from __future__ import annotations

import os
import signal
import sys

from loftrelay.__main__ import main
from loftrelay.relay import fault_points


def kill_at_fault_point(fault_point: str) -> None:
    """Installs the kill. Raises SystemExit for an unknown fault point, which would never be reached."""
    if fault_point not in fault_points.ALL_POINTS:
        raise SystemExit(f"unknown fault point {fault_point!r}: see loftrelay.relay.fault_points")

    def on_fault_point(reached: str) -> None:
        if reached == fault_point:
            os.kill(os.getpid(), signal.SIGKILL)

    fault_points.listener = on_fault_point


if __name__ == "__main__":
    kill_at_fault_point(sys.argv[1])
    sys.exit(main(sys.argv[2:]))
