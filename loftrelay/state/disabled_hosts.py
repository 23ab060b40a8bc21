"""The hosts that operators have disabled at this relay, in hosts-out.json: a JSON array of ids."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from pathlib import Path

from loftrelay.state.atomic_file import write_atomically

log = logging.getLogger(__name__)

FILE_NAME = "hosts-out.json"
MAX_BYTES = 64_000  # 1,024 hosts with ids of 58 characters


class DisabledHostsFile:
    """Reads and writes the file in a state folder."""

    def __init__(self, folder: Path) -> None:
        """Args: `folder` is the state folder."""
        self.path = folder / FILE_NAME

    def load(self) -> set[str]:
        """The disabled hosts. None without a file; also where it can't be read, which is logged."""
        try:
            hosts = json.loads(self.path.read_bytes())
        except FileNotFoundError:
            return set()
        except (OSError, ValueError, RecursionError) as error:
            return self._unreadable(str(error))
        if not isinstance(hosts, list) or not all(isinstance(host, str) for host in hosts):
            return self._unreadable("it holds no list of ids")
        return set(hosts)

    def save(self, hosts: Iterable[str]) -> None:
        """Replaces the whole set.

        Raises:
            OSError: The file is as it was.
        """
        write_atomically(self.path, json.dumps(sorted(hosts)).encode(), MAX_BYTES)

    def _unreadable(self, reason: str) -> set[str]:
        log.error("%s can't be read, no host is disabled: %s", self.path, reason)
        return set()
