"""The hosts that operators have disabled at this relay, stored in hosts-out.json: a JSON array of ids."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from pathlib import Path

from loftrelay.state.atomic_file import write_atomically

log = logging.getLogger(__name__)

FILE_NAME = "hosts-out.json"
MAX_BYTES = 64_000  # enough for 1,024 hosts with ids of 58 characters


class DisabledHostsFile:
    """Reads and writes the file in a state folder."""

    def __init__(self, folder: Path) -> None:
        """Uses the file in a state folder; does not read it yet."""
        self.path = folder / FILE_NAME

    def load(self) -> set[str]:
        """Returns the disabled hosts; an empty set without a file or, with a log line, an unreadable one."""
        try:
            hosts = json.loads(self.path.read_bytes())
        except FileNotFoundError:
            return set()
        except (OSError, ValueError, RecursionError) as error:
            return self._unreadable(str(error))
        if not isinstance(hosts, list) or not all(isinstance(host, str) for host in hosts):
            return self._unreadable("it is not a JSON array of host ids")
        return set(hosts)

    def save(self, hosts: Iterable[str]) -> None:
        """Stores the disabled hosts in place of the earlier ones.

        Raises:
            OSError: the file can't be written and is unchanged.
        """
        write_atomically(self.path, json.dumps(sorted(hosts)).encode(), MAX_BYTES)

    def _unreadable(self, reason: str) -> set[str]:
        log.error("disabled hosts: %s can't be read, starting with no host disabled: %s", self.path, reason)
        return set()
