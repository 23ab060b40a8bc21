"""The store of record of a case: the operator's file, with a database in the folder of the case."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from review.standins.relay import ROOT


def write_store_settings(folder: Path) -> Path:
    """Writes `deploy/record.toml` with another `file`, and returns where."""
    text = (ROOT / "deploy" / "record.toml").read_text(encoding="utf-8")
    default = 'file = "record.sqlite"'
    if default not in text:
        raise ValueError("deploy/record.toml names another file than expected")
    path = folder / "record.toml"
    path.write_text(text.replace(default, f'file = "{folder / "record.sqlite"}"'), encoding="utf-8")
    return path


class OtherWriter:
    """Another program that writes to the same database: it holds the write lock for a time."""

    def __init__(self, folder: Path) -> None:
        self._database = sqlite3.connect(folder / "record.sqlite", isolation_level=None, timeout=1.0)

    def begin(self) -> None:
        """Begins a transaction that writes."""
        self._database.execute("BEGIN IMMEDIATE")

    def end(self) -> None:
        """Ends the transaction without a change."""
        self._database.execute("ROLLBACK")
        self._database.close()
