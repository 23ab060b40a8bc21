"""The command `demo`: runs the demo and prints what it shows."""

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

AGREEMENT = 0
DISAGREEMENT = 1
NOT_RUN = 2
MAX_PRINTED_DISAGREEMENTS = 20
TABLE_HEAD = (
    "class",
    "taken",
    *(answer.value for answer in StoredFinalStatus),
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
        return NOT_RUN
    return report(result, sys.stdout)


def report(result: DemoResult, out: TextIO) -> int:
    """Prints a table of the classes, what disagrees, and one line of totals; returns the exit status."""
    print(file=out)
    print_table(TABLE_HEAD, _class_rows(result.entries), out)
    disagreements = result.disagreements()
    _print_disagreements(disagreements, out)
    _print_store_warnings(result, out)
    answers = Counter(entry.final_status for entry in result.entries)
    print(
        f"taken {len(result.entries)} delivered {answers[StoredFinalStatus.DELIVERED]} "
        f"refused {answers[StoredFinalStatus.REJECTED]} failed {answers[StoredFinalStatus.FAILED]} "
        f"duplicates {result.duplicates}",
        file=out,
        flush=True,
    )
    return DISAGREEMENT if disagreements or result.duplicates else AGREEMENT


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay demo",
        description="Starts a relay with a store of record, destinations and a discovery on loopback, "
        "submits messages of two classes (work orders, at most once, and idempotent status updates), and "
        "compares the store with what the destinations executed.",
        epilog="Exit status 0: all agree, no duplicates; 1: not so; 2: it could not be run.",
    )
    parser.add_argument(
        "--folder",
        type=Path,
        metavar="DIR",
        help="a new or empty directory for the store, the journal and the log (default: a new temporary "
        "one, which the demo names and leaves)",
    )
    parser.add_argument("--messages", type=int, default=1000, metavar="N", help="how many (default 1000)")
    parser.add_argument("--seed", type=int, default=7, help="of all random choices (default 7)")
    parser.add_argument("--kill", action="store_true", help="kill the relay half-way, and start it again")
    return parser


def _prepare(options: argparse.Namespace) -> Path:
    """Returns the empty directory of the run.

    Raises:
        DemoError: The options can't be used.
        OSError: The directory can't be created.
    """
    if options.messages < 1:
        raise DemoError(f"--messages {options.messages}: at least 1")
    folder: Path = (options.folder or Path(tempfile.mkdtemp(prefix="loftrelay-demo-"))).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise DemoError(f"{folder} is not empty: the demo writes nothing beside what is there")
    return folder


def _class_rows(entries: Sequence[MessageRecord]) -> list[tuple[str, ...]]:
    names = sorted({entry.metadata.class_name for entry in entries})
    return [_class_row(name, [e for e in entries if e.metadata.class_name == name]) for name in names]


def _class_row(name: str, entries: Sequence[MessageRecord]) -> tuple[str, ...]:
    answers = Counter(entry.final_status for entry in entries)
    seconds = sorted((e.decided_at - e.admitted_at) / 1e6 for e in entries if e.decided_at is not None)
    return (
        name,
        str(len(entries)),
        *(str(answers[answer]) for answer in StoredFinalStatus),
        f"{sum(e.attempts for e in entries) / len(entries):.2f}",
        f"{seconds[len(seconds) // 2]:.3f} s" if seconds else "-",
        f"{seconds[-1]:.3f} s" if seconds else "-",
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
        f"the store's disk was slow or its file held by another, {len(result.store_warnings)} times (first: "
        f"{result.store_warnings[0]}): clients were rejected {result.rejections} times and retried, "
        "and messages may have timed out",
        file=out,
    )
