"""The lock of the state folder: who holds it owns what lies there. It goes with its last holder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

NAME = "owner.lock"


class Lock:
    def __init__(self, file: int) -> None:
        self.file = file

    @classmethod
    def take(cls, folder: Path) -> Lock | None:
        """None while another process holds it. Raises OSError where the folder can't be used."""
        folder.mkdir(parents=True, exist_ok=True)
        file = os.open(folder / NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return None
        except BaseException:
            os.close(file)
            raise
        return cls(file)

    def release(self) -> None:
        """Closes this process's hold. One that was handed over stays with who has it now."""
        if self.file >= 0:
            os.close(self.file)
            self.file = -1
