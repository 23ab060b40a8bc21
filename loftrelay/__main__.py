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

from loftrelay.app import build
from loftrelay.config import Config, ConfigError, load_config, reload
from loftrelay.delivery.pools import Limits
from loftrelay.delivery.settings import load_limits
from loftrelay.fronts.control.relay import Relay
from loftrelay.fronts.control.server import Door
from loftrelay.fronts.http.server import Server
from loftrelay.journal.hosts_out import HostsOut
from loftrelay.journal.journal import Journal
from loftrelay.record.settings import RecordSettings, load_record
from loftrelay.record.store import StoreError
from loftrelay.settings.checked import SettingsError

log = logging.getLogger("loftrelay")

# After SIGTERM, in seconds: calls are begun until, messages taken on until, the process ends at the latest.
# Clients have nowhere else to go before the restart, so they are served for as long as there is time.
BEGIN, TAKE, END = 2.8, 3.45, 3.6
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


async def serve(config: Config, connections: Limits, record: RecordSettings | None) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    journal = Journal(config.state, config.disk_bytes)
    recorder = None
    if record is not None:
        from loftrelay.recording import open_record  # with its database, only where it is used

        recorder = await open_record(config, record, journal)
    engine, journal = build(config, connections, journal, recorder)
    told = config.told

    def read_again() -> None:
        nonlocal told
        try:
            change = reload(os.environ, told)
        except ConfigError as error:
            engine.figures.sighup_rejected += 1
            log.error("the configuration stays as it was: %s", error)
            return
        told = change.told
        if recorder is not None and record is not None:
            from loftrelay.recording import modes

            recorder.modes = {**recorder.modes, **modes(change.settings, record)}
        engine.retune(change.settings, change.discovery)
        engine.figures.sighup_applied += 1

    loop.add_signal_handler(signal.SIGHUP, read_again)
    relay = Relay(HostsOut(config.state))
    relay.engine = engine
    door = Door(relay) if config.control is not None else None
    if door is not None and config.control is not None:
        log.info("%s is open to operators on %s:%d", config.name, *await door.listen(config.control))
    server = Server(engine, config.most_clients)
    log.info("%s listens on %s:%d", config.name, *await server.listen(config.listen))
    relay.serving = True
    await stop.wait()
    began = loop.time()
    server.stopping = True
    await asyncio.sleep(BEGIN)
    engine.hold()
    log.info("%s begins no more calls", config.name)
    await asyncio.sleep(began + TAKE - loop.time())
    server.close()
    while loop.time() < began + END and engine.unfinished:
        await asyncio.sleep(0.02)
    log.info("%s ends with %d messages in its journal", config.name, len(journal.held))
    engine.notices.close()
    engine.discovery.close()
    engine.delivery.close()
    if door is not None:
        door.close()
    if recorder is not None:
        await recorder.close()
    journal.close()


def parser() -> argparse.ArgumentParser:
    about = argparse.ArgumentParser(
        prog="python -m loftrelay",
        description="Runs one relay in the foreground, until SIGTERM. Other commands, each with --help: "
        "record (reads the store of record), demo (shows a relay at work on this machine alone), "
        "ctl (one call at a relay's door for operators).",
        epilog="RELAY_CONFIG names the platform's file; RELAY_STATE the folder that lasts. RELAY_NAME, "
        "RELAY_LISTEN and RELAY_DISCOVERY go before what the file says. SIGHUP reads the file again.",
    )
    about.add_argument(
        "--connections", type=Path, metavar="FILE",
        help="limits of connections to hosts (as deploy/connections.toml); without it the platform's alone",
    )  # fmt: skip
    about.add_argument(
        "--record", type=Path, metavar="FILE",
        help="the store of record (as deploy/record.toml); without it the journal alone",
    )  # fmt: skip
    return about


def main(arguments: Sequence[str] | None = None) -> int:
    given = sys.argv[1:] if arguments is None else list(arguments)
    if given[:1] == ["record"]:
        from loftrelay.commands import record as command  # a relay without a store knows no sqlite3

        return command.main(given[1:])
    if given[:1] == ["demo"]:
        from loftrelay.commands import demo

        return demo.main(given[1:])
    if given[:1] == ["ctl"]:
        from loftrelay.commands import ctl

        return ctl.main(given[1:])
    asked = parser().parse_args(given)
    handler = logging.StreamHandler()
    handler.addFilter(Throttle())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", handlers=[handler])
    try:
        config = load_config(os.environ)
        connections = load_limits(asked.connections) if asked.connections else Limits()
        record = load_record(asked.record) if asked.record else None
        asyncio.run(serve(config, connections, record))
    except SettingsError as error:
        print(f"loftrelay: configuration: {error}", file=sys.stderr)
        return 2
    except (OSError, StoreError) as error:
        print(f"loftrelay: can't start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
