"""Selects the command of `python -m loftrelay`; without a command it runs a relay."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

from loftrelay.cli.lean_imports import skip_unused_modules

# A command is imported when it is selected: a relay without a store does not load sqlite3, for instance.
COMMAND_MODULES = {
    "ctl": "loftrelay.cli.ctl",
    "demo": "loftrelay.cli.demo",
    "record": "loftrelay.cli.record",
    "registry": "loftrelay.cli.registry",
}
RELAY_MODULE = "loftrelay.cli.run"


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the selected command.

    Args:
        arguments: The command line without the program name; None: that of this process.

    Returns:
        The exit status.
    """
    command_line = sys.argv[1:] if arguments is None else list(arguments)
    if command_line and command_line[0] in COMMAND_MODULES:
        return _run_module(COMMAND_MODULES[command_line[0]], command_line[1:])
    skip_unused_modules()
    return _run_module(RELAY_MODULE, command_line)


def _run_module(module_name: str, arguments: Sequence[str]) -> int:
    command = importlib.import_module(module_name)
    status: int = command.main(arguments)
    return status
