"""`registry`: runs one registry in the foreground, until SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from loftrelay.config.toml_file import SettingsError
from loftrelay.registry.service import Registry
from loftrelay.registry.settings import RegistrySettings, load_registry

OK, CANT_START, BAD_FILE = 0, 1, 2  # exit status


def parser() -> argparse.ArgumentParser:
    about = argparse.ArgumentParser(
        prog="python -m loftrelay registry",
        description="Runs one registry: it holds discovery's whole list and tells each relay its slice.",
        epilog="SIGHUP reads the file again: `discovery` alone may change in service. Exit status: 0 after "
        "SIGTERM, 1 if the address can't be listened on, 2 for a wrong file or command line.",
    )
    about.add_argument(
        "--settings", type=Path, metavar="FILE", required=True, help="its file (as deploy/registry.toml)"
    )
    return about


async def serve(path: Path, settings: RegistrySettings) -> None:
    registry = Registry(path, settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, registry.terminate)
    loop.add_signal_handler(signal.SIGHUP, registry.read_again)
    await registry.run()


def main(arguments: Sequence[str]) -> int:
    asked = parser().parse_args(arguments)
    try:
        asyncio.run(serve(asked.settings, load_registry(asked.settings)))
    except SettingsError as error:
        print(f"loftrelay registry: {error}", file=sys.stderr)
        return BAD_FILE
    except OSError as error:
        print(f"loftrelay registry: can't start: {error}", file=sys.stderr)
        return CANT_START
    return OK
