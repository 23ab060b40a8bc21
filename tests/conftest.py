"""Where the tests keep their files: in memory where the machine has such a folder, and no disk is waited for.

What is tested is what outlasts a process, and that needs no disk: nothing here can cut the power. Which tests
are known to fail stands in `KNOWN-RED.txt` (`tests/known_red.py`).
"""

from __future__ import annotations

import os

import pytest

from tests.known_red import KnownRed

MEMORY = "/dev/shm"


def pytest_configure(config: pytest.Config) -> None:
    if os.path.isdir(MEMORY) and os.access(MEMORY, os.W_OK):
        os.environ.setdefault("PYTEST_DEBUG_TEMPROOT", MEMORY)
    config.pluginmanager.register(KnownRed(config), "known-red")
