"""A class is dropped, and a kill comes right behind an answer: what the store only follows is gone."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins2.clients import Client
from standins2.journal import RecordFile
from standins2.platform import Discovery, Host
from standins2.programs import (
    FARM_OWNERS,
    POLL_S,
    RESTART_PAUSE_S,
    STATUS_UPDATE,
    WORK_ORDER,
    Relay,
    run_case,
    settings,
)
from standins2.rules import check_lost

SHUT_S = 10.0  # the partner is shut for so long (6.2 to 18 s) and tells to wait until it opens
MESSAGES = 10  # one after the other
LAST_MESSAGES = 4  # by as many clients at once, after a pause
FIRST_PAUSE_S = 1.2  # SIGHUP never comes in the first second of a relay, nor before it is ready
PAUSE_S = 0.2
MESSAGE_TIME_MS = 24_000
SETTLE_S = 3.0  # after the time of the last message
NEW_CLASS = {**STATUS_UPDATE, "name": "turbine-status"}


async def drop_class(relay: Relay, discovery: Discovery) -> None:
    """Replaces the class `status-update` by another one at SIGHUP, and waits until that is applied."""
    relay.write_config(discovery.server.address, discovery.full_list(), settings(NEW_CLASS, WORK_ORDER))
    await relay.signal(signal.SIGHUP)
    while await relay.figure("app.sighup_applied") != "1":
        await asyncio.sleep(POLL_S)


async def scenario(record: RecordFile, folder: Path, has_trouble: bool) -> None:
    """Hands in status updates for a shut partner; the relay is killed right behind the last answer."""
    discovery, host = Discovery(record), Host(record, "s-1", 7, FARM_OWNERS)
    await discovery.server.listen()
    await host.server.listen()
    discovery.change(host.entry("Ready"))
    opens_at = time.time() + SHUT_S

    async def shut_at_first(ids: list[str]) -> tuple[int, int]:
        left_ms = int((opens_at - time.time()) * 1000)
        return (429, left_ms) if left_ms > 0 else await host.deliver(ids)

    host.verdict = shut_at_first
    store = folder / "record.toml"
    store.write_text(f'file = "{folder}/record.sqlite"\n', encoding="utf-8")
    relay, ready_at = Relay(record, folder), 0.0
    relay.write_config(discovery.server.address, discovery.full_list(), settings(STATUS_UPDATE, WORK_ORDER))
    try:
        await relay.start(f"--record {store}")
        client = Client(record, relay.port)
        await client.submit("status-first", "status-update", 7, MESSAGE_TIME_MS)
        await asyncio.sleep(FIRST_PAUSE_S)
        if has_trouble:
            await drop_class(relay, discovery)
        for number in range(MESSAGES):  # within 1.2 s of SIGHUP clients still use the class
            await client.submit(f"status-{number}", "status-update", 7, MESSAGE_TIME_MS)
        await asyncio.sleep(PAUSE_S)
        others = [Client(record, relay.port) for _ in range(LAST_MESSAGES)]
        await asyncio.gather(
            *(
                other.submit(f"status-last-{number}", "status-update", 7, MESSAGE_TIME_MS)
                for number, other in enumerate(others)
            )
        )
        if has_trouble:
            await relay.kill()
            await asyncio.sleep(RESTART_PAUSE_S)
            await relay.start(f"--record {store}")
            ready_at = time.time()
        for each in (client, *others):
            each.close()
        taken = [submission for each in (client, *others) for submission in each.taken]
        await asyncio.sleep(max(s.due_at for s in taken) + SETTLE_S - time.time())
        check_lost(record, taken, [host], discovery, ready_at)
    finally:
        await relay.kill()
        await host.server.shut()
        await discovery.server.shut()


if __name__ == "__main__":
    sys.exit(run_case(scenario, Path(__file__).parent))
