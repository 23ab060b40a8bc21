"""Clients that send much at once: does the relay stay inside the memory that the platform gives it?"""

from __future__ import annotations

import asyncio
import contextlib
import resource

from review.standins.case import Case, CaseError, run_case, wait_until
from review.standins.client import Clients
from review.standins.host import Host
from review.standins.platform import Platform
from review.standins.record import Record
from review.standins.relay import Relay
from review.standins.settings import small_deployment

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
KB_IN_MB = 1024
DESTINATION = 1
CLIENTS = 800  # fewer than the connections that the relay takes at these limits, 908
CALM_S = 2.0
LONG_BODY_BYTES = 200_000  # over the 64 KiB that a body may hold
SHORT_BODY_BYTES = 200
ANSWER_WAIT_S = 3.0  # bad clients are owed their error or a close in this time


async def main(case: Case) -> list[str]:
    """Runs the case."""
    record = case.record
    raise_descriptor_limit()
    platform = Platform(record)
    await platform.server.start()
    host = Host("s-0", record)
    await host.server.start()
    platform.add_host(host.name, host.server.address, DESTINATION, "farm-owners", "server-room")
    relay = case.add_relay(
        Relay(
            record,
            case.folder,
            "n1",
            platform.server.address,
            small_deployment(),
            platform.full_list(),
            LIMITS,
        )
    )
    relay.start()
    await relay.wait_until_ready()
    peak_kb = [0]
    watch = asyncio.create_task(watch_memory(relay, peak_kb))
    clients = Clients(record, relay.address)
    await clients.submit("status-update", DESTINATION)
    await asyncio.sleep(CALM_S)
    record.write(f"case: memory before the clients come: {peak_kb[0]} KiB")
    size = LONG_BODY_BYTES if case.has_trouble else SHORT_BODY_BYTES
    answers = await asyncio.gather(*(hand_in_long(record, relay, number, size) for number in range(CLIENTS)))
    await asyncio.sleep(1.0)
    watch.cancel()
    clients.close()
    answered = sum(answer is not None for answer in answers)
    record.write(f"case: {CLIENTS} clients sent {size} bytes each, {answered} were answered")
    record.write(f"case: the most memory was {peak_kb[0]} KiB, the limit is {limit_kb()} KiB")
    if not await wait_until(lambda: bool(host.answered), 1.0):
        raise CaseError("the relay delivered nothing before the clients came")
    if peak_kb[0] > limit_kb():
        return [f"the relay held {peak_kb[0]} KiB, over its limit of {limit_kb()} KiB: the platform kills it"]
    if relay.exit_status is not None:
        return [f"the relay has ended with status {relay.exit_status}"]
    return []


def limit_kb() -> int:
    """Returns the limit of memory in KiB."""
    return int(LIMITS["memory_mb"]) * KB_IN_MB


def raise_descriptor_limit() -> None:
    """Lets this process hold a connection for each client."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = CLIENTS + 150
    if most != resource.RLIM_INFINITY and most < wanted:
        raise CaseError(f"this process may hold {most} descriptors, {wanted} are needed")
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))


async def watch_memory(relay: Relay, peak_kb: list[int]) -> None:
    """Notes the most resident memory of the relay, as the platform would."""
    while True:
        peak_kb[0] = max(peak_kb[0], relay.memory_kb)
        await asyncio.sleep(0.02)


async def hand_in_long(record: Record, relay: Relay, number: int, size: int) -> bytes | None:
    """Sends a whole request at once, and reads its answer; returns the status line."""
    head = (
        f"POST /status-update HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: long-{number}\r\n"
        f"Request-Class: status-update\r\nTenant: noordzee-wind\r\nRequest-Timeout-Ms: 24000\r\n"
        f"Content-Length: {size}\r\nX-Consignee: dest={DESTINATION}\r\n\r\n"
    )
    answer = None
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(ANSWER_WAIT_S):
            reader, writer = await asyncio.open_connection(*relay.address)
            try:
                writer.write(head.encode() + b"x" * size)
                answer = (await reader.readuntil(b"\r\n")).strip()
            finally:
                writer.close()
    record.write(f"client: answer to long-{number} of {size} bytes: {answer!r}")
    return answer


if __name__ == "__main__":
    run_case(main, __file__)
