"""What benchmarks have in common: their command line, CPU time of a process, the program as it was before."""

from __future__ import annotations

import argparse
import asyncio
import io
import json
import os
import subprocess
import tarfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
BEFORE_GROWTH = "b46b8f0"  # the last commit before connections were pooled


def cpu_seconds(pid: int) -> float:
    """User and system time of a process so far (proc(5), fields 14 and 15 of stat)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def extract_program(commit: str, folder: Path) -> Path | None:
    """The tree of a commit, laid out in a folder; None where the history is not at hand."""
    try:
        archive = subprocess.run(["git", "-C", str(ROOT), "archive", commit], capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return None
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tree:
        tree.extractall(folder, filter="data")
    return folder


def run(name: str, about: str | None, measure: Callable[[bool], Awaitable[dict[str, Any]]]) -> None:
    """The command line of a benchmark. `measure` is told whether to be quick, and gives the fields; the last
    line is JSON with them and the seconds that it took."""
    parser = argparse.ArgumentParser(
        prog=f"python -m benchmarks.{name}", description=(about or "").split("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="under 45 seconds")
    asked = parser.parse_args()
    began = time.monotonic()

    async def main() -> dict[str, Any]:
        return await measure(asked.quick)

    result = asyncio.run(main())
    print(json.dumps({**result, "seconds": round(time.monotonic() - began, 1)}))
