"""The command `record`: reads the store of record for the back office."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TextIO

from loftrelay.config.toml_file import SettingsError
from loftrelay.store.backend import RecordQuery, StoreBackend, StoreError
from loftrelay.store.factory import store_opener
from loftrelay.store.settings import load_store_settings
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import MessageRecord, StoredFinalStatus

COLUMNS = ("taken on", "message", "class", "tenant", "to", "state", "answer", "attempts", "answered")


def parse_time(text: str) -> int:
    """Parses a time such as 2026-03-01 or 2026-03-01T08:30:00+01:00; without an offset it is UTC.

    Returns:
        Microseconds since 1970 UTC.

    Raises:
        ArgumentTypeError: The text is not a time in ISO 8601.
    """
    try:
        value = datetime.fromisoformat(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is not a time such as 2026-03-01T08:30:00") from error
    return int((value if value.tzinfo else value.replace(tzinfo=UTC)).timestamp() * 1_000_000)


def format_time(at: int | None) -> str:
    """Formats microseconds since 1970 in ISO 8601 with milliseconds, in UTC; None is '-'."""
    if at is None:
        return "-"
    return (
        datetime.fromtimestamp(at / 1_000_000, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    )


# Field of MessageRecord -> its key in the output, in the order of the output.
OUTPUT_NAMES = {
    "message_id": "message",
    "admission_number": "run",
    "change_number": "number",
    "state": "state",
    "admitted_at": "taken_at",
    "attempts": "attempts",
    "host": "host",
    "attempt_started_at": "intended_at",
    "result": "result",
    "result_at": "result_at",
    "final_status": "answer",
    "decided_at": "answered_at",
    "reported_at": "told_at",
}


def to_json(record: MessageRecord) -> dict[str, Any]:
    """Returns a record as a JSON object, with times in microseconds since 1970 UTC."""
    values: dict[str, Any] = {name: getattr(record, field) for field, name in OUTPUT_NAMES.items()}
    values["state"] = record.state.value
    values["answer"] = record.final_status and record.final_status.value
    return values | asdict(record.metadata)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay record",
        description="Reads the store of record, also while a relay is running.",
        epilog="Exit status: 0: success; 1: no record found, or inconsistencies; 2: the store can't be read.",
    )
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--store", type=Path, metavar="FILE", help="the SQLite file")
    source.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="the settings file of the relay's store (as deploy/record.toml), for SQLite or PostgreSQL",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("list", "print a table of messages, the oldest first"),
        ("export", "print messages as JSON lines with all fields, the oldest first"),
    ):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--class", dest="class_name", help="only messages of this class")
        command.add_argument("--tenant", help="only messages of this tenant")
        command.add_argument(
            "--answer",
            choices=[answer.value for answer in StoredFinalStatus],
            help="only messages with this final status",
        )
        command.add_argument(
            "--since", type=parse_time, metavar="TIME", help="only messages admitted at this time or later"
        )
        command.add_argument(
            "--until", type=parse_time, metavar="TIME", help="only messages admitted before this time"
        )
        command.add_argument(
            "--unfinished", action="store_true", help="only messages whose final status is not reported"
        )
        command.add_argument("--limit", type=int, help="maximum number of messages")
    show = commands.add_parser("show", help="print one message", description="print one message as JSON")
    show.add_argument("id", help="Request-Id of the message")
    commands.add_parser(
        "verify", help="print inconsistencies in the store", description="print inconsistencies in the store"
    )
    return parser


def print_records(records: Iterable[MessageRecord], out: TextIO) -> int:
    """Prints records as a table; returns their number."""
    rows = [
        (
            format_time(record.admitted_at),
            record.message_id,
            record.metadata.class_name,
            record.metadata.tenant or "-",
            str(record.metadata.destination),
            record.state.value,
            record.final_status.value if record.final_status else "-",
            str(record.attempts),
            format_time(record.decided_at),
        )
        for record in records
    ]
    print_table(COLUMNS, rows, out)
    return len(rows)


def print_table(header: Sequence[str], rows: Sequence[Sequence[str]], out: TextIO) -> None:
    """Prints rows in columns as wide as their longest value."""
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    for row in (header, *rows):
        print(
            "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip(), file=out
        )


def open_store(options: argparse.Namespace) -> StoreBackend:
    """Opens the store that the options name; a file that does not exist is not created.

    Raises:
        StoreError: The store can't be opened.
        SettingsError: The settings file can't be used.
    """
    settings = load_store_settings(options.settings) if options.settings is not None else None
    file: Path | None = settings.file if settings is not None else options.store
    if file is not None and not file.exists():
        raise StoreError(f"{file}: no such file")
    if settings is not None:
        return store_opener(settings)()
    assert file is not None
    return SQLiteStore(file)


def run(options: argparse.Namespace, out: TextIO) -> int:
    """Runs the command and returns the exit status."""
    store = open_store(options)
    try:
        if options.command == "verify":
            inconsistencies = store.verify()
            for line in inconsistencies or ["no inconsistencies found"]:
                print(line, file=out)
            return 1 if inconsistencies else 0
        if options.command == "show":
            record = store.read([options.id]).get(options.id)
            print(json.dumps(to_json(record), indent=2) if record else f"{options.id}: no record", file=out)
            return 0 if record else 1
        query = RecordQuery(
            options.class_name,
            options.tenant,
            StoredFinalStatus(options.answer) if options.answer else None,
            options.since,
            options.until,
            options.unfinished,
            options.limit,
        )
        if options.command == "list":
            return 0 if print_records(store.select(query), out) else 1
        count = 0
        for record in store.select(query):
            print(json.dumps(to_json(record), separators=(",", ":")), file=out)
            count += 1
        return 0 if count else 1
    finally:
        store.close()


def main(arguments: Sequence[str] | None = None) -> int:
    """Parses the command line, runs the command and returns the exit status."""
    options = build_parser().parse_args(arguments)
    try:
        return run(options, sys.stdout)
    except (StoreError, SettingsError) as error:
        print(f"loftrelay: {error}", file=sys.stderr)
        return 2
