"""python -m loftrelay record: what the back office reads in the store of record."""

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


def moment(text: str) -> int:
    """Microseconds since 1970: '2026-03-01', '2026-03-01T08:30:00', with '+01:00' or as UTC."""
    try:
        told = datetime.fromisoformat(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is no time such as 2026-03-01T08:30:00") from error
    return int((told if told.tzinfo else told.replace(tzinfo=UTC)).timestamp() * 1_000_000)


def shown(at: int | None) -> str:
    """Returns a time as people read it; '-' for none."""
    if at is None:
        return "-"
    return (
        datetime.fromtimestamp(at / 1_000_000, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    )


# Names of the fields of a record in the output, in their order there.
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


def plain(record: MessageRecord) -> dict[str, Any]:
    """Returns a record as JSON values, times in microseconds since 1970."""
    values: dict[str, Any] = {name: getattr(record, field) for field, name in OUTPUT_NAMES.items()}
    values["state"] = record.state.value
    values["answer"] = record.final_status and record.final_status.value
    return values | asdict(record.metadata)


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    about = argparse.ArgumentParser(
        prog="python -m loftrelay record",
        description="Reads the store of record: a relay may be running beside it.",
        epilog="Status 0: done; 1: nothing found, or something is wrong in the store; 2: it can't be read.",
    )
    which = about.add_mutually_exclusive_group(required=True)
    which.add_argument("--store", type=Path, metavar="FILE", help="the SQLite file")
    which.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="the relay's own settings (as deploy/record.toml): SQLite or PostgreSQL, as it says",
    )
    commands = about.add_subparsers(dest="command", required=True)
    for name, text in (
        ("list", "a table of messages, the oldest first"),
        ("export", "the same as JSON lines, with every field"),
    ):
        each = commands.add_parser(name, help=text, description=text)
        each.add_argument("--class", dest="class_name", help="only of this class")
        each.add_argument("--tenant", help="only of this tenant")
        each.add_argument(
            "--answer", choices=[answer.value for answer in StoredFinalStatus], help="only so answered"
        )
        each.add_argument("--since", type=moment, metavar="TIME", help="taken on then or later")
        each.add_argument("--until", type=moment, metavar="TIME", help="taken on before")
        each.add_argument("--unfinished", action="store_true", help="only those whose end is not told")
        each.add_argument("--limit", type=int, help="so many at the most")
    show = commands.add_parser("show", help="one message, whole", description="one message, whole, as JSON")
    show.add_argument("id", help="its Request-Id")
    commands.add_parser("verify", help="what is wrong in the store", description="what is wrong in the store")
    return about


def table(entries: Iterable[MessageRecord], out: TextIO) -> int:
    """Prints records as a table; returns how many."""
    rows = [
        (
            shown(e.admitted_at),
            e.message_id,
            e.metadata.class_name,
            e.metadata.tenant or "-",
            str(e.metadata.destination),
            e.state.value,
            e.final_status.value if e.final_status else "-",
            str(e.attempts),
            shown(e.decided_at),
        )
        for e in entries
    ]
    print_table(COLUMNS, rows, out)
    return len(rows)


def print_table(head: Sequence[str], rows: Sequence[Sequence[str]], out: TextIO) -> None:
    """Prints rows in columns that fit their values."""
    widths = [max(map(len, column)) for column in zip(head, *rows, strict=True)]
    for row in (head, *rows):
        print(
            "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip(), file=out
        )


def open_store(asked: argparse.Namespace) -> StoreBackend:
    """Opens the store that the command names; a file that does not exist is not created.

    Raises:
        StoreError: it can't be opened.
        SettingsError: the operator's file is wrong.
    """
    told = load_store_settings(asked.settings) if asked.settings is not None else None
    file: Path | None = told.file if told is not None else asked.store
    if file is not None and not file.exists():
        raise StoreError(f"{file}: there is no such file")
    if told is not None:
        return store_opener(told)()
    assert file is not None
    return SQLiteStore(file)


def run(asked: argparse.Namespace, out: TextIO) -> int:
    """Carries out the command; returns the exit status."""
    store = open_store(asked)
    try:
        if asked.command == "verify":
            wrong = store.verify()
            for line in wrong or ["nothing is wrong"]:
                print(line, file=out)
            return 1 if wrong else 0
        if asked.command == "show":
            found = store.read([asked.id]).get(asked.id)
            print(json.dumps(plain(found), indent=2) if found else f"{asked.id}: no record", file=out)
            return 0 if found else 1
        query = RecordQuery(
            asked.class_name,
            asked.tenant,
            StoredFinalStatus(asked.answer) if asked.answer else None,
            asked.since,
            asked.until,
            asked.unfinished,
            asked.limit,
        )
        if asked.command == "list":
            return 0 if table(store.select(query), out) else 1
        count = 0
        for entry in store.select(query):
            print(json.dumps(plain(entry), separators=(",", ":")), file=out)
            count += 1
        return 0 if count else 1
    finally:
        store.close()


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command `record`; returns the exit status."""
    asked = parser().parse_args(arguments)
    try:
        return run(asked, sys.stdout)
    except (StoreError, SettingsError) as error:
        print(f"loftrelay: {error}", file=sys.stderr)
        return 2
