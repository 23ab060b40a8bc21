"""The platform's file as it was last in force: a start that finds a broken one goes on with this."""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from loftrelay.state.atomic_file import write_whole

log = logging.getLogger(__name__)

NAME, MOST = "last-config.json", 32_000  # bytes
LEFT_OUT = ("known",)  # the list of hosts grows old, and may be long


class LastFile:
    def __init__(self, folder: Path) -> None:
        self.path = folder / NAME

    def load(self) -> dict[str, Any] | None:
        try:
            told = json.loads(self.path.read_bytes())
        except (OSError, ValueError, RecursionError):
            return None
        return told if isinstance(told, dict) else None

    def save(self, told: Mapping[str, Any]) -> None:
        """Best effort: without it, a start needs a sound file."""
        kept = {name: value for name, value in told.items() if name not in LEFT_OUT}
        try:
            write_whole(self.path, json.dumps(kept, separators=(",", ":")).encode(), MOST)
        except OSError as error:
            log.warning("the file in force is not kept: %s", error)
