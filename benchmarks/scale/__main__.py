"""python -m benchmarks.scale [--quick] [--plots DIR]; the last line is JSON. docs/CAPACITY.md says of what.

relays, destinations    the largest sizes of this run: hollow relays, destinations at each registry
prediction_error        worst of all slopes: fitted on the smaller sizes, compared at the largest;
                        `model_failed` names those over 0.25
in_force_s              from the time that discovery has a change until each running hollow relay has applied
                        it, with faults but not across a cut; `real`: at the real relays, without faults
control_cpu, control_mb, control_bytes_per_s
                        of a relay at the target size, as predicted: slices and membership
change_cost_ratio       of the decision module: one changed entry with 50,000 listed over one with 1,000
agree                   hollow relays compared with real ones; `worst` is the largest ratio
over_budget             figures over their limits, largest excess first; `NAME?`: not measured
faults, registry, real, slopes
                        the parts of those figures
run_mb, run_processes   peak memory and processes of this run

Hollow relays have the program's subscriber and decision module, but no clients and deliveries. Bytes are
those of streams and datagrams, without headers of IP, TCP and UDP (`pieces_per_s`: writes and reads of a
hollow relay with registries).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.scale.fleet import PeakUse, ResourceLimitError, run_with_resource_limit
from benchmarks.scale.run import FULL, QUICK, measure


async def run(quick: bool, plots: Path | None) -> dict[str, Any]:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    peak = PeakUse()
    result: dict[str, Any] = await run_with_resource_limit(measure(QUICK if quick else FULL, plots), peak)
    return result | {"run_mb": round(peak.mb), "run_processes": peak.processes}


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale", description=__doc__.partition("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="run small sizes, in under 55 seconds")
    parser.add_argument(
        "--plots", type=Path, metavar="DIR", help="write plots of the slopes to DIR (needs the extra `plots`)"
    )
    arguments = parser.parse_args()
    started = time.monotonic()
    try:
        result = asyncio.run(run(arguments.quick, arguments.plots))
    except ResourceLimitError as error:
        print(json.dumps({"stopped": str(error), "seconds": round(time.monotonic() - started, 1)}))
        return 1
    except asyncio.CancelledError:
        return 1
    print(json.dumps({**result, "seconds": round(time.monotonic() - started, 1)}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
