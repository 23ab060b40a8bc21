"""A crowd of slow and half clients in a process of its own, so that it takes no time from the test's clients.

    python -m tests.standins.crowd HOST:PORT KINDS CLIENTS SEED

KINDS is a name of `KINDS`, several joined by commas, or "all". Each client takes a kind at random each time
that it connects, and connects again RECONNECT_S after the relay has closed its connection. It runs until it
is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import sys
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

from tests.standins.harness import format_submission

CLIENT_ADDRESS = "127.0.0.2"  # its ports are not those on which other tests' servers listen
RECONNECT_S = 0.2
DRIP_S = 0.1
CONNECTS_AT_ONCE = 100
READ_BYTES = 4096
SMALL_RECEIVE_BUFFER_BYTES = 4096  # of a client that reads nothing
BODY_BYTES = 64_000
SENT_OF_BODY = 63_000
HUGE_BODY_BYTES = 60_000_000
FIELDS = b"".join(b"a%d:\r\n" % number for number in range(117))

Socket = socket.socket
Client = Callable[[Socket, int], Awaitable[None]]


def head(number: int, body_bytes: int) -> bytes:
    """Returns a valid head without the empty line that ends it."""
    request = format_submission(f"crowd-{number}", body=b"", Content_Length=str(body_bytes))
    return request.removesuffix(b"\r\n")


def chunked_head(number: int) -> bytes:
    """Returns a valid head of a chunked request, complete."""
    return format_submission(f"crowd-{number}", body=b"", Content_Length="", Transfer_Encoding="chunked")


async def write_and_wait(connection: Socket, beginning: bytes) -> None:
    """Writes the beginning of a request, and reads until the relay closes."""
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, beginning)
    while await loop.sock_recv(connection, READ_BYTES):
        pass


async def half_body(connection: Socket, number: int) -> None:
    await write_and_wait(connection, head(number, BODY_BYTES) + b"\r\n" + b"x" * SENT_OF_BODY)


async def short_fields(connection: Socket, number: int) -> None:
    await write_and_wait(connection, head(number, BODY_BYTES) + FIELDS)


async def fields_and_body(connection: Socket, number: int) -> None:
    await write_and_wait(connection, head(number, BODY_BYTES) + FIELDS + b"\r\n" + b"x" * SENT_OF_BODY)


async def single_byte_chunks(connection: Socket, number: int) -> None:
    await write_and_wait(connection, chunked_head(number) + b"1\r\nx\r\n" * 10_000)


async def half_chunk(connection: Socket, number: int) -> None:
    chunk = b"%x\r\n" % BODY_BYTES + b"x" * SENT_OF_BODY
    await write_and_wait(connection, chunked_head(number) + chunk)


async def long_field(connection: Socket, number: int) -> None:
    await write_and_wait(connection, head(number, BODY_BYTES) + b"X-Long: " + b"x" * 15_000)


async def silent(connection: Socket, number: int) -> None:
    await write_and_wait(connection, b"")


async def half_and_close(connection: Socket, number: int) -> None:
    data = head(number, BODY_BYTES) + b"\r\n" + b"x" * SENT_OF_BODY
    await asyncio.get_running_loop().sock_sendall(connection, data)


async def drip(connection: Socket, number: int) -> None:
    """Writes a request slowly: its head and most of its body in a hundred parts."""
    loop = asyncio.get_running_loop()
    data = head(number, BODY_BYTES) + FIELDS + b"\r\n" + b"x" * SENT_OF_BODY
    part_bytes = len(data) // 100
    for start in range(0, len(data), part_bytes):
        await loop.sock_sendall(connection, data[start : start + part_bytes])
        await asyncio.sleep(DRIP_S)


async def huge_body(connection: Socket, number: int) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(connection, head(number, HUGE_BODY_BYTES) + b"\r\n")
    part = b"x" * (64 << 10)
    for _ in range(HUGE_BODY_BYTES // len(part)):
        await loop.sock_sendall(connection, part)


async def unread_answers(connection: Socket, number: int) -> None:
    """Sends valid requests without reading an answer, as fast as the relay takes them."""
    loop = asyncio.get_running_loop()
    while True:
        await loop.sock_sendall(connection, b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(DRIP_S)


async def rejected(connection: Socket, number: int) -> None:
    """Sends a request of a class that does not exist, with a long body, and reads the answer."""
    request = format_submission(f"crowd-{number}", "none", body=b"x" * BODY_BYTES)
    await write_and_wait(connection, request)


KINDS: dict[str, Client] = {
    "half-body": half_body,
    "short-fields": short_fields,
    "fields-and-body": fields_and_body,
    "single-byte-chunks": single_byte_chunks,
    "half-chunk": half_chunk,
    "long-field": long_field,
    "silent": silent,
    "half-and-close": half_and_close,
    "drip": drip,
    "huge-body": huge_body,
    "unread-answers": unread_answers,
    "rejected": rejected,
}


@dataclass
class Crowd:
    """Clients of one relay that are connected all the time."""

    address: tuple[str, int]
    kinds: list[str]
    rng: random.Random
    numbers: Iterator[int]
    connecting: asyncio.Semaphore

    async def run_client(self) -> None:
        while True:
            connection = socket.socket()
            connection.setblocking(False)
            with contextlib.suppress(OSError), contextlib.closing(connection):
                kind = self.rng.choice(self.kinds)
                if kind == "unread-answers":
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
                connection.bind((CLIENT_ADDRESS, 0))
                async with self.connecting:
                    await asyncio.get_running_loop().sock_connect(connection, self.address)
                await KINDS[kind](connection, next(self.numbers))
            await asyncio.sleep(RECONNECT_S)


async def main(address: str, kinds: str, clients: str, seed: str) -> None:
    host, _, port = address.rpartition(":")
    names = list(KINDS) if kinds == "all" else kinds.split(",")
    connecting = asyncio.Semaphore(CONNECTS_AT_ONCE)
    crowd = Crowd((host, int(port)), names, random.Random(seed), itertools.count(), connecting)
    await asyncio.gather(*(crowd.run_client() for _ in range(int(clients))))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
