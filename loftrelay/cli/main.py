"""Chooses the command of `python -m loftrelay`; without one it runs a relay."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence

# A command is imported when it is chosen: a relay without a store, say, does not load sqlite3.
COMMANDS = {
    "ctl": "loftrelay.cli.ctl",
    "demo": "loftrelay.cli.demo",
    "record": "loftrelay.cli.record",
    "registry": "loftrelay.cli.registry",
}
RUN_RELAY = "loftrelay.cli.run"


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command.

    Args:
        arguments: The command line without the program's name; None: that of the process.

    Returns:
        The exit status.
    """
    given = sys.argv[1:] if arguments is None else list(arguments)
    if given and given[0] in COMMANDS:
        return _run(COMMANDS[given[0]], given[1:])
    return _run(RUN_RELAY, given)


def _run(module_name: str, arguments: Sequence[str]) -> int:
    command = importlib.import_module(module_name)
    status: int = command.main(arguments)
    return status
