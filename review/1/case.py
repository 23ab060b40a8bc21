"""Clients that send many commands at once, beside a store of record: do all others still get their ends?"""

from __future__ import annotations

import asyncio
import random

from review.standins.bad_client import EagerClient
from review.standins.case import GRACE_S, Case, CaseError, lost_messages, run_case
from review.standins.client import Clients
from review.standins.host import Host
from review.standins.platform import Platform
from review.standins.relay import Relay
from review.standins.settings import small_deployment
from review.standins.store import write_store_settings

SEED = 51
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
DESTINATIONS = (1, 2, 3)
MESSAGE_TIME_S = 12.0
CALM_S = 3.0  # before the disruption
TROUBLE_S = 15.0
EAGER_CLIENTS = 4
COMMANDS = 20  # of one connection


async def main(case: Case) -> list[str]:
    """Runs the case."""
    record = case.record
    platform = Platform(record)
    await platform.server.start()
    hosts = [Host(f"s-{number}", record, work_s=0.13) for number in range(2 * len(DESTINATIONS))]
    for number, host in enumerate(hosts):
        await host.server.start()
        destination = DESTINATIONS[number // 2]
        platform.add_host(host.name, host.server.address, destination, "farm-owners", "server-room")
    options = f"--record {write_store_settings(case.folder)}"
    relay = case.add_relay(
        Relay(
            record,
            case.folder,
            "n1",
            platform.server.address,
            small_deployment(),
            platform.full_list(),
            LIMITS,
            options,
        )
    )
    relay.start()
    await relay.wait_until_ready()
    clients = Clients(record, relay.address)
    ends_at = record.now() + CALM_S + TROUBLE_S
    async with asyncio.TaskGroup() as group:
        for number in range(6):
            group.create_task(hand_in_orders(clients, number, ends_at))
        await asyncio.sleep(CALM_S)
        record.write("case: the eager clients begin")
        for number in range(EAGER_CLIENTS):
            group.create_task(be_eager(case, relay, number, ends_at))
    if relay.exit_status is not None:
        return [f"the relay has ended with status {relay.exit_status}"]
    if not any(submission.is_taken for submission in clients.submissions):
        raise CaseError("the relay took on no message")
    await asyncio.sleep(MESSAGE_TIME_S + GRACE_S + 0.5)
    clients.close()
    taken = [submission for submission in clients.submissions if submission.is_taken]
    unanswered = [submission for submission in clients.submissions if submission.status is None]
    record.write(
        f"case: {len(clients.submissions)} orders handed in, {len(taken)} taken on, "
        f"{len(unanswered)} without an answer"
    )
    return lost_messages(clients.submissions, hosts, platform)


async def hand_in_orders(clients: Clients, number: int, ends_at: float) -> None:
    """Hands in the work orders of one turbine, a clump of eight and then a pause."""
    rng = random.Random(number)
    destination = DESTINATIONS[number % len(DESTINATIONS)]
    while clients.record.now() < ends_at:
        for _ in range(8):
            await clients.submit("work-order", destination, f"turbine-{number}", timeout_s=MESSAGE_TIME_S)
        await asyncio.sleep(rng.uniform(0.5, 1.0))


async def be_eager(case: Case, relay: Relay, number: int, ends_at: float) -> None:
    """One eager client after the other; without the disruption each waits for its answers."""
    client = EagerClient(case.record, relay.address, SEED + number)
    while case.record.now() < ends_at:
        await client.send_many(DESTINATIONS[0], COMMANDS, waits_for_answers=not case.has_trouble)
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    run_case(main, __file__)
