"""Starts the relay, reads its configuration again on SIGHUP, and stops it in order on SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from loftrelay.config.platform import Config, load_config
from loftrelay.config.toml_file import SettingsError
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.service.lifecycle import Service

if TYPE_CHECKING:  # what an operator's file asks for is loaded with it: a start should cost little
    from loftrelay.discovery.settings import SubscriptionSettings
    from loftrelay.gossip.settings import FleetSettings
    from loftrelay.store.settings import RecordSettings

log = logging.getLogger("loftrelay")

LINES, SPAN = 200, 10.0  # log lines in a span; what comes beyond is counted, not written


class Throttle(logging.Filter):
    """A fault that recurs must not fill the log."""

    def __init__(self) -> None:
        super().__init__()
        self.since, self.lines = 0.0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        if now - self.since > SPAN:
            if self.lines > LINES:
                print(f"{self.lines - LINES} lines left out", file=sys.stderr)
            self.since, self.lines = now, 0
        self.lines += 1
        return self.lines <= LINES


async def serve(
    config: Config,
    connections: PoolSettings,
    record: RecordSettings | None,
    fleet: FleetSettings | None,
    subscription: SubscriptionSettings | None,
) -> None:
    service = Service(config, connections, record, fleet, subscription)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.terminate)
    loop.add_signal_handler(signal.SIGHUP, service.read_again)
    await service.run()


def parser() -> argparse.ArgumentParser:
    about = argparse.ArgumentParser(
        prog="python -m loftrelay",
        description="Runs one relay in the foreground, until SIGTERM. Other commands, each with --help: "
        "record (reads the store of record), demo (shows a relay at work on this machine alone), "
        "ctl (one call at a relay's door for operators), registry (tells relays their slices of the list).",
        epilog="RELAY_CONFIG names the platform's file; RELAY_STATE the folder that lasts. RELAY_NAME, "
        "RELAY_LISTEN and RELAY_DISCOVERY go before what the file says. SIGHUP reads the file again.",
    )
    about.add_argument(
        "--connections",
        type=Path,
        metavar="FILE",
        help="limits of connections to hosts (as deploy/connections.toml); without it the platform's alone",
    )
    about.add_argument(
        "--record",
        type=Path,
        metavar="FILE",
        help="the store of record (as deploy/record.toml); without it the journal alone",
    )
    about.add_argument(
        "--fleet",
        type=Path,
        metavar="FILE",
        help="the relays that this one knows (as deploy/fleet.toml); needs the extra `fleet`; without it "
        "none. RELAY_FLEET_LISTEN goes before its `listen`",
    )
    about.add_argument(
        "--subscription",
        type=Path,
        metavar="FILE",
        help="the registries that tell this relay the destinations it serves (as deploy/subscription.toml); "
        "without it discovery tells all",
    )
    return about


def start_log() -> None:
    handler = logging.StreamHandler()
    handler.addFilter(Throttle())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", handlers=[handler])


def main(arguments: Sequence[str] | None = None) -> int:
    given = sys.argv[1:] if arguments is None else list(arguments)
    if given[:1] == ["record"]:
        from loftrelay.cli import record as command  # a relay without a store knows no sqlite3

        return command.main(given[1:])
    if given[:1] == ["demo"]:
        from loftrelay.cli import demo

        return demo.main(given[1:])
    if given[:1] == ["ctl"]:
        from loftrelay.cli import ctl

        return ctl.main(given[1:])
    if given[:1] == ["registry"]:
        from loftrelay.cli import registry

        start_log()
        return registry.main(given[1:])
    asked = parser().parse_args(given)
    start_log()
    connections, record, fleet, subscription = PoolSettings(), None, None, None
    try:
        config = load_config(os.environ, fleet=asked.fleet is not None)
        if asked.connections:
            from loftrelay.delivery.settings import load_pool_settings

            connections = load_pool_settings(asked.connections)
        if asked.record:
            from loftrelay.store.settings import load_record

            record = load_record(asked.record)
        if asked.fleet:
            from loftrelay.gossip.settings import load_fleet

            fleet = load_fleet(asked.fleet, os.environ)
        if asked.subscription:
            from loftrelay.discovery.settings import load_subscription

            subscription = load_subscription(asked.subscription)
        asyncio.run(serve(config, connections, record, fleet, subscription))
    except SettingsError as error:
        print(f"loftrelay: configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"loftrelay: can't start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
