"""The settings file of the store of record (deploy/record.toml): keys, defaults and limits."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loftrelay.config.toml_file import Key, SettingsError, read_toml
from loftrelay.store.durability import DurabilityPolicy
from loftrelay.store.state_machine import DurabilityMode

DAY_S = 86_400.0
MODES = tuple(mode.value for mode in DurabilityMode)
KEYS = (
    Key("file", "", "", "the SQLite file; relative to the working directory of the relay"),
    Key("dsn", "", "", "instead of `file`: connection string of a PostgreSQL database, as of libpq"),
    Key(
        "call_s",
        5.0,
        "s",
        "time-out of one call of a PostgreSQL server; then its connection is closed",
        minimum=0.1,
        maximum=600,
    ),
    Key(
        "synchronous", "FULL", "", "when a commit is synced to the disk", choices=("NORMAL", "FULL", "EXTRA")
    ),
    Key("busy_ms", 2000, "ms", "to wait for the lock of another process that writes", maximum=60_000),
    Key("unsafe", "required", "", "durability mode of at-most-once classes", choices=MODES),
    Key("repeatable", "follows", "", "durability mode of all other classes", choices=MODES),
    Key(
        "take_ms",
        300,  # a client waits 400 ms for its response
        "ms",
        "for the store to commit a message of a required class; then the message is rejected",
        minimum=10,
        maximum=60_000,
    ),
    Key("most_queued", 10_000, "changes", "in the queue, from which on messages are rejected", minimum=1),
    Key("most_in_commit", 500, "changes", "written in one commit", minimum=1, maximum=100_000),
    Key(
        "memory_s", 3600.0, "s", "for which a repeated id gets the recorded final status", maximum=365 * DAY_S
    ),
    Key("keep_days", 0.0, "days", "for which reported records are kept; 0: forever", maximum=36_500),
)


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the store of record; exactly one of `file` and `dsn` is set. Units are in the names."""

    file: Path | None
    dsn: str
    call_timeout_s: float
    synchronous: str
    busy_timeout_ms: int
    durability: DurabilityPolicy
    max_store_wait_s: float
    max_queued: int
    max_changes_per_commit: int
    id_retention_us: int
    record_retention_us: int | None


def load_store_settings(path: Path) -> StoreSettings:
    """Reads and checks the settings file.

    Raises:
        SettingsError: The file can't be used; the error names the file, the key and the value.
    """
    values = read_toml(path, KEYS)
    if bool(values["file"]) == bool(values["dsn"]):
        raise SettingsError(
            f"{path}: file = {values['file']!r}, dsn is {'set' if values['dsn'] else 'not set'}: "
            "exactly one of file and dsn must be set"
        )
    return StoreSettings(
        file=Path(values["file"]) if values["file"] else None,
        dsn=values["dsn"],
        call_timeout_s=values["call_s"],
        synchronous=values["synchronous"],
        busy_timeout_ms=values["busy_ms"],
        durability=DurabilityPolicy(
            at_most_once=DurabilityMode(values["unsafe"]),
            repeatable=DurabilityMode(values["repeatable"]),
        ),
        max_store_wait_s=values["take_ms"] / 1000,
        max_queued=values["most_queued"],
        max_changes_per_commit=values["most_in_commit"],
        id_retention_us=round(values["memory_s"] * 1_000_000),
        record_retention_us=round(values["keep_days"] * DAY_S * 1_000_000) if values["keep_days"] else None,
    )
