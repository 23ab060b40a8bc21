"""The hosts that operators have taken out, in a file of the folder that lasts."""

from __future__ import annotations

import contextlib
import json
import logging
import os
from collections.abc import Iterable
from pathlib import Path

log = logging.getLogger(__name__)

NAME = "hosts-out.json"
MOST = 4_096  # ids


class HostsOut:
    def __init__(self, folder: Path) -> None:
        self.path = folder / NAME

    def load(self) -> set[str]:
        """Those that stand there; none where there is no file. One that can't be read is told of."""
        try:
            told = json.loads(self.path.read_bytes())
            if not isinstance(told, list) or not all(isinstance(host, str) for host in told):
                raise ValueError("it holds no list of ids")
        except FileNotFoundError:
            return set()
        except (OSError, ValueError, RecursionError) as error:
            log.error("%s can't be read, and no host is out by hand: %s", self.path, error)
            return set()
        return set(told)

    def save(self, hosts: Iterable[str]) -> None:
        """The whole set, or what stood there before. Raises OSError."""
        ids = sorted(hosts)
        if len(ids) > MOST:
            raise OSError(f"more than {MOST} hosts are out")
        beside = self.path.with_suffix(f".{os.getpid()}")
        try:
            beside.write_text(json.dumps(ids), encoding="utf-8")
            beside.replace(self.path)
        except OSError:
            with contextlib.suppress(OSError):
                beside.unlink()
            raise
