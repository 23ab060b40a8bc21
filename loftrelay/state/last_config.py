"""The last valid configuration of the platform, stored in last-config.json.

The relay starts with it if the platform's configuration file is malformed.
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
UNSAVED_KEYS = ("known",)  # the cached endpoint list: it would be outdated, and may be long


class LastConfigFile:
    """Reads and writes the file in a state folder."""

    def __init__(self, folder: Path) -> None:
        """Uses the file in a state folder; does not read it yet."""
        self.path = folder / FILE_NAME

    def load(self) -> dict[str, Any] | None:
        """Returns the configuration with the keys of the platform's file; None if no valid one is stored."""
        try:
            config = json.loads(self.path.read_bytes())
        except (OSError, ValueError, RecursionError):
            return None
        return config if isinstance(config, dict) else None

    def save(self, config: Mapping[str, Any]) -> None:
        """Replaces the file. A failure is only logged; the next start then needs a valid configuration."""
        saved = {name: value for name, value in config.items() if name not in UNSAVED_KEYS}
        try:
            write_atomically(self.path, json.dumps(saved, separators=(",", ":")).encode(), MAX_BYTES)
        except OSError as error:
            log.warning("last valid configuration can't be saved to %s: %s", self.path, error)
