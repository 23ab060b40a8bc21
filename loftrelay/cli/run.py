"""The command without a name: runs a relay in the foreground until SIGTERM."""

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

if TYPE_CHECKING:  # imported only with its settings file: other starts stay fast
    from loftrelay.discovery.settings import SubscriptionSettings
    from loftrelay.gossip.settings import GossipSettings
    from loftrelay.store.settings import StoreSettings

OK = 0
CANNOT_START = 1
INVALID_CONFIGURATION = 2


@dataclass(frozen=True, slots=True)
class OperatorFiles:
    """Settings from the operator's files, checked; None for a file that was not given."""

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
        return INVALID_CONFIGURATION
    except OSError as error:
        print(f"loftrelay: can't start: {error}", file=sys.stderr)
        return CANNOT_START
    return OK


async def serve(config: Config, files: OperatorFiles) -> None:
    """Runs a relay; SIGTERM and SIGINT shut it down gracefully, SIGHUP reloads the configuration.

    Raises:
        OSError: The relay can't start.
    """
    service = RelayProcess(config, files.connections, files.record, files.fleet, files.subscription)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, service.terminate)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.run()


def load_operator_files(options: argparse.Namespace) -> OperatorFiles:
    """Reads the settings files that the command line names.

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
        description="Runs a relay in the foreground until SIGTERM. Other commands, each with --help: "
        "record (reads the store of record), demo (runs a relay with test peers on this machine), "
        "ctl (calls the admin endpoint of a relay), registry (serves each relay its part of the list).",
        epilog="RELAY_CONFIG names the platform's file, RELAY_STATE the directory of the persistent state. "
        "RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY override the file. SIGHUP reloads the file.",
    )
    _add_file_option(
        parser,
        "--connections",
        "limits of connections to hosts (as deploy/connections.toml); default: only the platform's limits",
    )
    _add_file_option(
        parser, "--record", "the store of record (as deploy/record.toml); default: none, only the journal"
    )
    _add_file_option(
        parser,
        "--fleet",
        "gossip with other relays (as deploy/fleet.toml); needs the extra `fleet`; default: no gossip. "
        "RELAY_FLEET_LISTEN overrides its `listen`",
    )
    _add_file_option(
        parser,
        "--subscription",
        "the registries from which this relay gets the destinations that it serves (as "
        "deploy/subscription.toml); default: discovery lists all destinations",
    )
    return parser


def _add_file_option(parser: argparse.ArgumentParser, option: str, description: str) -> None:
    parser.add_argument(option, type=Path, metavar="FILE", help=description)
