"""The command `registry`: runs one registry in the foreground, until SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from loftrelay.cli.log import configure_logging
from loftrelay.config.toml_file import SettingsError
from loftrelay.registry.service import RegistryService
from loftrelay.registry.settings import RegistrySettings, load_registry_settings

OK = 0
CANNOT_START = 1
BAD_CONFIGURATION = 2


def main(arguments: Sequence[str]) -> int:
    """Runs a registry and returns the exit status."""
    configure_logging()
    options = build_parser().parse_args(arguments)
    try:
        asyncio.run(serve(options.settings, load_registry_settings(options.settings)))
    except SettingsError as error:
        print(f"loftrelay registry: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except OSError as error:
        print(f"loftrelay registry: can't start: {error}", file=sys.stderr)
        return CANNOT_START
    return OK


async def serve(path: Path, settings: RegistrySettings) -> None:
    """Runs one registry; SIGTERM and SIGINT stop it in order, SIGHUP reloads its file.

    Raises:
        OSError: The registry can't listen.
    """
    registry = RegistryService(path, settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, registry.terminate)
    loop.add_signal_handler(signal.SIGHUP, registry.reload)
    await registry.run()


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay registry",
        description="Runs one registry: it holds discovery's full list and serves each relay its part of it.",
        epilog="SIGHUP reloads the file: `discovery` alone may change in service. Exit status: 0 after "
        "SIGTERM, 1 if the address can't be listened on, 2 for a bad file or command line.",
    )
    parser.add_argument(
        "--settings", type=Path, metavar="FILE", required=True, help="its file (as deploy/registry.toml)"
    )
    return parser
