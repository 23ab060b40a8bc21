"""Lock of the state folder. Its holder owns the state; the kernel releases it with the last descriptor."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

FILE_NAME = "owner.lock"


class Lock:
    """A lock that this process holds (flock(2)).

    The lock belongs to the open file description, so passing the descriptor to another process passes the
    lock.
    """

    def __init__(self, descriptor: int) -> None:
        """Wraps the `descriptor` of the locked file, which this object owns from now on."""
        self.descriptor = descriptor

    @classmethod
    def acquire(cls, folder: Path) -> Lock | None:
        """Acquires the lock of a state folder, which is created if it is missing.

        Returns:
            The lock; None if another process holds it.

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
        """Closes this process's descriptor. A lock passed to another process stays held there."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
