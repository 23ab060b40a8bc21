"""The hosts that operators have taken out."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from pathlib import Path

from loftrelay.state.atomic_file import write_whole

log = logging.getLogger(__name__)

NAME, MOST = "hosts-out.json", 64_000  # bytes: 1,024 hosts with ids of 58 characters


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
        write_whole(self.path, json.dumps(sorted(hosts)).encode(), MOST)
