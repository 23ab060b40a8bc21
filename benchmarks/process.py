"""Helpers that benchmarks share: command line, CPU time of a process, checkout of an earlier program."""

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
BEFORE_CONNECTION_POOL = "b46b8f0"  # the last commit before connections were pooled


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time of a process so far (proc(5), fields 14 and 15 of stat)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def extract_program(commit: str, folder: Path) -> Path | None:
    """Extracts the tree of a commit to a folder and returns it; None where the git history is missing."""
    try:
        archive = subprocess.run(["git", "-C", str(ROOT), "archive", commit], capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return None
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tree:
        tree.extractall(folder, filter="data")
    return folder


def run(name: str, description: str | None, measure: Callable[[bool], Awaitable[dict[str, Any]]]) -> None:
    """Runs the command line of a benchmark and prints its result as JSON, with the seconds that it took.

    Args:
        name: The module name in the package benchmarks.
        description: Its first line is shown by --help.
        measure: Takes whether to run quickly, and returns the fields of the result.
    """
    parser = argparse.ArgumentParser(
        prog=f"python -m benchmarks.{name}", description=(description or "").split("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="under 45 seconds")
    arguments = parser.parse_args()
    started = time.monotonic()

    async def main() -> dict[str, Any]:
        return await measure(arguments.quick)

    result = asyncio.run(main())
    print(json.dumps({**result, "seconds": round(time.monotonic() - started, 1)}))
