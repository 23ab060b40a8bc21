"""The command `registry`: runs a registry in the foreground until SIGTERM."""

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
INVALID_CONFIGURATION = 2


def main(arguments: Sequence[str]) -> int:
    """Runs a registry and returns the exit status."""
    configure_logging()
    options = build_parser().parse_args(arguments)
    try:
        asyncio.run(serve(options.settings, load_registry_settings(options.settings)))
    except SettingsError as error:
        print(f"loftrelay registry: {error}", file=sys.stderr)
        return INVALID_CONFIGURATION
    except OSError as error:
        print(f"loftrelay registry: can't start: {error}", file=sys.stderr)
        return CANNOT_START
    return OK


async def serve(path: Path, settings: RegistrySettings) -> None:
    """Runs a registry; SIGTERM and SIGINT shut it down gracefully, SIGHUP reloads its settings file.

    Raises:
        OSError: The registry can't listen.
    """
    registry = RegistryService(path, settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, registry.terminate)
    loop.add_signal_handler(signal.SIGHUP, registry.reload)
    await registry.run()


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay registry",
        description="Runs a registry: it keeps the full list of discovery and serves each relay its part.",
        epilog="SIGHUP reloads the settings file; only `discovery` may change while the registry runs. Exit "
        "status: 0 after SIGTERM, 1 if it can't listen, 2 for an invalid settings file or command line.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        required=True,
        help="its settings file (as deploy/registry.toml)",
    )
    return parser
