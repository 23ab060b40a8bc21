"""The lock of the state folder. Its holder owns the state; the system releases it with the last holder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

FILE_NAME = "owner.lock"


class Lock:
    """A lock that this process holds (flock(2)).

    It belongs to the open file: a descriptor that is passed to another process passes the lock on.
    """

    def __init__(self, descriptor: int) -> None:
        """Args: `descriptor` of the locked file; it belongs to this object from now on."""
        self.descriptor = descriptor

    @classmethod
    def acquire(cls, folder: Path) -> Lock | None:
        """Takes the lock of a state folder, which is made if it is not there.

        Returns:
            None while another process holds it.

        Raises:
            OSError: The folder can't be used.
        """
        folder.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except BaseException:
            os.close(descriptor)
            raise
        return cls(descriptor)

    def release(self) -> None:
        """Closes this process's descriptor. A lock that was passed on stays with the process that has it."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
