"""The command without a name: runs one relay in the foreground, until SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from loftrelay.cli.log import configure_logging
from loftrelay.config.platform import Config, load_config
from loftrelay.config.toml_file import SettingsError
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.service.lifecycle import RelayProcess

if TYPE_CHECKING:  # each is loaded with its operator's file, which keeps other starts quick
    from loftrelay.discovery.settings import SubscriptionSettings
    from loftrelay.gossip.settings import GossipSettings
    from loftrelay.store.settings import StoreSettings

OK = 0
CANNOT_START = 1
BAD_CONFIGURATION = 2


@dataclass(frozen=True, slots=True)
class OperatorFiles:
    """The operators' files, read and checked; None for one that was not given."""

    connections: PoolSettings
    record: StoreSettings | None
    fleet: GossipSettings | None
    subscription: SubscriptionSettings | None


def main(arguments: Sequence[str]) -> int:
    """Runs a relay and returns the exit status."""
    options = build_parser().parse_args(arguments)
    configure_logging()
    try:
        config = load_config(os.environ, is_gossiping=options.fleet is not None)
        asyncio.run(serve(config, load_operator_files(options)))
    except SettingsError as error:
        print(f"loftrelay: configuration: {error}", file=sys.stderr)
        return BAD_CONFIGURATION
    except OSError as error:
        print(f"loftrelay: can't start: {error}", file=sys.stderr)
        return CANNOT_START
    return OK


async def serve(config: Config, files: OperatorFiles) -> None:
    """Runs one relay; SIGTERM and SIGINT stop it in order, SIGHUP reloads the configuration.

    Raises:
        OSError: The relay can't serve.
    """
    service = RelayProcess(config, files.connections, files.record, files.fleet, files.subscription)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.terminate)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.run()


def load_operator_files(options: argparse.Namespace) -> OperatorFiles:
    """Reads the files that the command line names.

    Raises:
        SettingsError: One of them can't be used.
    """
    connections, record, fleet, subscription = PoolSettings(), None, None, None
    if options.connections:
        from loftrelay.delivery.settings import load_pool_settings

        connections = load_pool_settings(options.connections)
    if options.record:
        from loftrelay.store.settings import load_store_settings

        record = load_store_settings(options.record)
    if options.fleet:
        from loftrelay.gossip.settings import load_gossip_settings

        fleet = load_gossip_settings(options.fleet, os.environ)
    if options.subscription:
        from loftrelay.discovery.settings import load_subscription

        subscription = load_subscription(options.subscription)
    return OperatorFiles(connections, record, fleet, subscription)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay",
        description="Runs one relay in the foreground, until SIGTERM. Other commands, each with --help: "
        "record (reads the store of record), demo (shows a relay at work on this machine alone), "
        "ctl (one call to a relay's admin endpoint), registry (serves each relay its part of the list).",
        epilog="RELAY_CONFIG names the platform's file; RELAY_STATE the directory that outlasts the process. "
        "RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY override the file. SIGHUP reloads the file.",
    )
    _add_file(
        parser,
        "--connections",
        "limits of connections to hosts (as deploy/connections.toml); without it the platform's alone",
    )
    _add_file(parser, "--record", "the store of record (as deploy/record.toml); without it the journal alone")
    _add_file(
        parser,
        "--fleet",
        "the relays that this one gossips with (as deploy/fleet.toml); needs the extra `fleet`; without it "
        "none. RELAY_FLEET_LISTEN overrides its `listen`",
    )
    _add_file(
        parser,
        "--subscription",
        "the registries from which this relay gets the destinations that it serves (as "
        "deploy/subscription.toml); without it discovery lists all",
    )
    return parser


def _add_file(parser: argparse.ArgumentParser, option: str, description: str) -> None:
    parser.add_argument(option, type=Path, metavar="FILE", help=description)
