"""The operator's file on the store of record (deploy/record.toml): its keys, checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.store.state_machine import Mode

DAY = 86_400.0
MODES = tuple(mode.value for mode in Mode)
KEYS = (
    Key("file", "", "", "the SQLite file; relative to the folder in which the relay is started"),
    Key("dsn", "", "", "in its place, a PostgreSQL database (libpq's connection string)"),
    Key(
        "call_s",
        5.0,
        "s",
        "for one call of a PostgreSQL server, before its connection is cut",
        minimum=0.1,
        maximum=600,
    ),
    Key(
        "synchronous", "FULL", "", "when a commit is synced to the disk", choices=("NORMAL", "FULL", "EXTRA")
    ),
    Key("busy_ms", 2000, "ms", "to wait for another process that writes", maximum=60_000),
    Key("unsafe", "required", "", "how classes that must not run twice are recorded", choices=MODES),
    Key("repeatable", "follows", "", "how the others are", choices=MODES),
    Key(
        "take_ms",
        500,
        "ms",
        "for the store to have a message of a required class; then it is refused",
        minimum=10,
        maximum=60_000,
    ),
    Key("most_queued", 10_000, "changes", "waiting to be written, before messages are refused", minimum=1),
    Key("most_in_commit", 500, "changes", "written in one commit", minimum=1, maximum=100_000),
    Key("memory_s", 3600.0, "s", "for which an id that comes again is answered as before", maximum=365 * DAY),
    Key("keep_days", 0.0, "days", "for which records are kept; 0: for good", maximum=36_500),
)


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """Times in microseconds."""

    file: Path | None
    dsn: str
    call_seconds: float
    synchronous: str
    busy_ms: int
    unsafe: Mode
    repeatable: Mode
    patience: float  # seconds
    most_queued: int
    most_in_commit: int
    memory: int
    keep: int | None


def load_record(path: Path) -> RecordSettings:
    """Raises SettingsError, which names the file, the key and the value."""
    told = read_toml(path, KEYS)
    if bool(told["file"]) == bool(told["dsn"]):
        raise SettingsError(
            f"{path}: file = {told['file']!r}: one of file and dsn is to be set, and not both"
        )
    return RecordSettings(
        file=Path(told["file"]) if told["file"] else None,
        dsn=told["dsn"],
        call_seconds=told["call_s"],
        synchronous=told["synchronous"],
        busy_ms=told["busy_ms"],
        unsafe=Mode(told["unsafe"]),
        repeatable=Mode(told["repeatable"]),
        patience=told["take_ms"] / 1000,
        most_queued=told["most_queued"],
        most_in_commit=told["most_in_commit"],
        memory=round(told["memory_s"] * 1_000_000),
        keep=round(told["keep_days"] * DAY * 1_000_000) if told["keep_days"] else None,
    )
