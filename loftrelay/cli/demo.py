"""The command `demo`: runs the demo and prints its result."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

from loftrelay.cli.record import print_table
from loftrelay.demo.relay_process import DemoError
from loftrelay.demo.result import DemoResult
from loftrelay.demo.run import DemoRun
from loftrelay.store.backend import StoreError
from loftrelay.store.state_machine import MessageRecord, StoredFinalStatus

ALL_AGREE = 0
DISAGREEMENTS = 1
DEMO_FAILED = 2
MAX_PRINTED_DISAGREEMENTS = 20
TABLE_HEADER = (
    "class",
    "taken",
    *(status.value for status in StoredFinalStatus),
    "attempts each",
    "median",
    "longest",
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the demo and returns the exit status."""
    options = build_parser().parse_args(arguments)
    try:
        folder = _prepare(options)
        run = DemoRun(folder, options.messages, options.seed, options.kill, sys.stdout)
        result = asyncio.run(run.run())
    except (DemoError, OSError, StoreError) as error:
        print(f"loftrelay: demo: {error}", file=sys.stderr)
        return DEMO_FAILED
    return report(result, sys.stdout)


def report(result: DemoResult, out: TextIO) -> int:
    """Prints a table of the classes, the disagreements and a line of totals; returns the exit status."""
    print(file=out)
    print_table(TABLE_HEADER, _class_rows(result.entries), out)
    disagreements = result.disagreements()
    _print_disagreements(disagreements, out)
    _print_store_warnings(result, out)
    counts = Counter(record.final_status for record in result.entries)
    print(
        f"taken {len(result.entries)} delivered {counts[StoredFinalStatus.DELIVERED]} "
        f"refused {counts[StoredFinalStatus.REJECTED]} failed {counts[StoredFinalStatus.FAILED]} "
        f"duplicates {result.duplicates}",
        file=out,
        flush=True,
    )
    return DISAGREEMENTS if disagreements or result.duplicates else ALL_AGREE


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay demo",
        description="Starts a relay with a store of record, destinations and discovery on loopback, "
        "submits messages of two classes (work orders, at most once, and idempotent status updates), and "
        "compares the store with the messages that the destinations executed.",
        epilog="Exit status: 0: all agree, no duplicates; 1: disagreements or duplicates; 2: not run.",
    )
    parser.add_argument(
        "--folder",
        type=Path,
        metavar="DIR",
        help="a new or empty directory for the store, the journal and the log (default: a new temporary "
        "directory, which the demo prints and keeps)",
    )
    parser.add_argument(
        "--messages", type=int, default=1000, metavar="N", help="number of messages (default 1000)"
    )
    parser.add_argument("--seed", type=int, default=7, help="seed of all random choices (default 7)")
    parser.add_argument("--kill", action="store_true", help="kill the relay half-way and restart it")
    return parser


def _prepare(options: argparse.Namespace) -> Path:
    """Returns the empty directory of the run.

    Raises:
        DemoError: The options can't be used.
        OSError: The directory can't be created.
    """
    if options.messages < 1:
        raise DemoError(f"--messages {options.messages}: must be at least 1")
    folder: Path = (options.folder or Path(tempfile.mkdtemp(prefix="loftrelay-demo-"))).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise DemoError(f"{folder} is not empty: the demo needs a new or empty directory")
    return folder


def _class_rows(records: Sequence[MessageRecord]) -> list[tuple[str, ...]]:
    names = sorted({record.metadata.class_name for record in records})
    return [
        _class_row(name, [record for record in records if record.metadata.class_name == name])
        for name in names
    ]


def _class_row(name: str, records: Sequence[MessageRecord]) -> tuple[str, ...]:
    counts = Counter(record.final_status for record in records)
    durations_s = sorted(
        (record.decided_at - record.admitted_at) / 1e6 for record in records if record.decided_at is not None
    )
    return (
        name,
        str(len(records)),
        *(str(counts[status]) for status in StoredFinalStatus),
        f"{sum(record.attempts for record in records) / len(records):.2f}",
        f"{durations_s[len(durations_s) // 2]:.3f} s" if durations_s else "-",
        f"{durations_s[-1]:.3f} s" if durations_s else "-",
    )


def _print_disagreements(lines: Sequence[str], out: TextIO) -> None:
    for line in lines[:MAX_PRINTED_DISAGREEMENTS]:
        print(f"disagreement: {line}", file=out)
    if len(lines) > MAX_PRINTED_DISAGREEMENTS:
        print(f"and {len(lines) - MAX_PRINTED_DISAGREEMENTS} more", file=out)


def _print_store_warnings(result: DemoResult, out: TextIO) -> None:
    if not result.store_warnings:
        return
    print(
        "the store's disk was slow or its file locked by another process, "
        f"{len(result.store_warnings)} times (first: {result.store_warnings[0]}): "
        f"clients were rejected {result.rejections} times and retried, "
        "and messages may have timed out",
        file=out,
    )
