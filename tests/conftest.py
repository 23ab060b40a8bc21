"""Places the tests' temporary files in memory if the machine has such a directory: no test waits for a disk.

The tests check what survives the end of a process, which needs no disk: no test cuts the power. Tests that
are known to fail are listed in `KNOWN-RED.txt` (`tests/known_red.py`).
"""

from __future__ import annotations

import os

import pytest

from tests.known_red import KnownRed

MEMORY_DIRECTORY = "/dev/shm"


def pytest_configure(config: pytest.Config) -> None:
    if os.path.isdir(MEMORY_DIRECTORY) and os.access(MEMORY_DIRECTORY, os.W_OK):
        os.environ.setdefault("PYTEST_DEBUG_TEMPROOT", MEMORY_DIRECTORY)
    config.pluginmanager.register(KnownRed(config), "known-red")
