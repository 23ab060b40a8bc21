"""Stores the operators' overrides of a fleet in the state folder, for a restart of the relay."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from loftrelay.gossip.operator_overrides import MAX_STAMP_MS, OperatorOverride
from loftrelay.state.atomic_file import write_atomically

log = logging.getLogger(__name__)

FILE_NAME = "fleet-calls.json"
MAX_FILE_BYTES = 128_000  # enough for 1,024 overrides with host ids and relay names of 40 characters


class OverrideFile:
    """File of overrides: a JSON list of rows [host id, whether it is disabled, stamp, origin]."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME

    def load(self) -> list[OperatorOverride]:
        """Returns the stored overrides; none if the file is missing or invalid: other relays send theirs."""
        try:
            return [_parse_row(row) for row in json.loads(self.path.read_bytes())]
        except FileNotFoundError:
            return []
        except (OSError, ValueError, TypeError, RecursionError) as error:
            log.error("gossip: %s ignored, other relays will send their overrides: %s", self.path, error)
            return []

    def save(self, overrides: Iterable[OperatorOverride]) -> None:
        """Replaces the file; an error is only logged, since other relays have the overrides as well."""
        rows = [[item.host, item.is_disabled, item.stamp, item.origin] for item in overrides]
        try:
            write_atomically(self.path, json.dumps(rows, separators=(",", ":")).encode(), MAX_FILE_BYTES)
        except OSError as error:
            log.error("gossip: overrides can't be written to %s: %s", self.path, error)


def _parse_row(row: Any) -> OperatorOverride:
    host, is_disabled, stamp, origin = row
    override = OperatorOverride(str(host), bool(is_disabled), int(stamp), str(origin))
    if not 0 <= override.stamp <= MAX_STAMP_MS:
        raise ValueError(f"stamp {override.stamp} of host {host!r} is not in 0 to {MAX_STAMP_MS}")
    return override
