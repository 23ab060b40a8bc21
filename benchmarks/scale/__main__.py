"""python -m benchmarks.scale [--quick] [--plots DIR]; the last line is JSON. docs/CAPACITY.md says of what.

relays, destinations    the largest sizes of this run: hollow relays, destinations at each registry
prediction_error        worst of all slopes: fitted on the smaller sizes, beside the largest; `model_failed`
                        names those over 0.25
in_force_s              from discovery having a change until each hollow relay that lives goes by it, with
                        the faults but not across a cut; `real`: at the real ones, undisturbed
control_cpu, control_mb, control_bytes_per_s
                        of a relay at the target, as predicted: slices and membership
change_cost_ratio       of the module: one entry that changes with 50,000 listed over one with 1,000
agree                   hollow beside real; `worst` is the worst ratio
over_budget             what is over its limit, the furthest first; `NAME?`: not measured
faults, registry, real, slopes
                        what those figures are made of
run_mb, run_processes   the most that this run had at once

Bytes are those of streams and datagrams; headers of IP, TCP and UDP come to them (`pieces_per_s`: writes and
reads of a hollow relay with registries).
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

from benchmarks.scale.fleet import Peak, TooMuch, guarded
from benchmarks.scale.run import FULL, QUICK, measure


async def run(quick: bool, plots: Path | None) -> dict[str, Any]:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    peak = Peak()
    told: dict[str, Any] = await guarded(measure(QUICK if quick else FULL, plots), peak)
    return told | {"run_mb": round(peak.mb), "run_processes": peak.processes}


def main() -> int:
    about = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__.partition("\n")[0])
    about.add_argument("--quick", action="store_true", help="under 55 seconds")
    about.add_argument("--plots", type=Path, metavar="DIR", help="pictures of the slopes; extra `plots`")
    asked = about.parse_args()
    began = time.monotonic()
    try:
        line = asyncio.run(run(asked.quick, asked.plots))
    except TooMuch as error:
        print(json.dumps({"stopped": str(error), "seconds": round(time.monotonic() - began, 1)}))
        return 1
    except asyncio.CancelledError:
        return 1
    print(json.dumps({**line, "seconds": round(time.monotonic() - began, 1)}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
