"""The platform's configuration as it was last in force, in last-config.json.

A start that finds a malformed configuration uses it.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from loftrelay.state.atomic_file import write_atomically

log = logging.getLogger(__name__)

FILE_NAME = "last-config.json"
MAX_BYTES = 32_000
UNSAVED_KEYS = ("known",)  # the cached endpoint list would be outdated, and may be long


class LastConfigFile:
    """Reads and writes the file in a state folder."""

    def __init__(self, folder: Path) -> None:
        """Args: `folder` is the state folder."""
        self.path = folder / FILE_NAME

    def load(self) -> dict[str, Any] | None:
        """The configuration by its names in the platform's file; None where no valid one is stored."""
        try:
            config = json.loads(self.path.read_bytes())
        except (OSError, ValueError, RecursionError):
            return None
        return config if isinstance(config, dict) else None

    def save(self, config: Mapping[str, Any]) -> None:
        """Replaces the file. A failure is logged: a later start needs a valid configuration then."""
        saved = {name: value for name, value in config.items() if name not in UNSAVED_KEYS}
        try:
            write_atomically(self.path, json.dumps(saved, separators=(",", ":")).encode(), MAX_BYTES)
        except OSError as error:
            log.warning("%s can't be written: %s", self.path, error)
