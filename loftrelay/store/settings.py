"""The operator's file on the store of record (deploy/record.toml): its keys, checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.store.state_machine import DurabilityMode

DAY = 86_400.0
MODES = tuple(mode.value for mode in DurabilityMode)
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
class StoreSettings:
    """The operator's settings of the store of record. Times are in microseconds unless named otherwise."""

    file: Path | None
    dsn: str
    call_timeout_s: float
    synchronous: str
    busy_ms: int
    at_most_once_mode: DurabilityMode
    repeatable_mode: DurabilityMode
    max_store_wait_s: float  # seconds
    max_queued: int
    max_changes_per_commit: int
    id_retention_us: int
    record_retention_us: int | None


def load_store_settings(path: Path) -> StoreSettings:
    """Reads and checks the operator's file.

    Raises:
        SettingsError: it names the file, the key and the value.
    """
    values = read_toml(path, KEYS)
    if bool(values["file"]) == bool(values["dsn"]):
        raise SettingsError(
            f"{path}: file = {values['file']!r}: one of file and dsn is to be set, and not both"
        )
    return StoreSettings(
        file=Path(values["file"]) if values["file"] else None,
        dsn=values["dsn"],
        call_timeout_s=values["call_s"],
        synchronous=values["synchronous"],
        busy_ms=values["busy_ms"],
        at_most_once_mode=DurabilityMode(values["unsafe"]),
        repeatable_mode=DurabilityMode(values["repeatable"]),
        max_store_wait_s=values["take_ms"] / 1000,
        max_queued=values["most_queued"],
        max_changes_per_commit=values["most_in_commit"],
        id_retention_us=round(values["memory_s"] * 1_000_000),
        record_retention_us=round(values["keep_days"] * DAY * 1_000_000) if values["keep_days"] else None,
    )
