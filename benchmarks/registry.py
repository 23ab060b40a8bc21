"""What a registry costs by the size of its list: memory, time, processor time, and how long it stands still.

python -m benchmarks.registry [--quick] [SIZE...]; the last line is JSON, each field by the number of hosts,
one for each destination (10,000, 100,000 and 870,000 if no sizes are told, the first alone with --quick):
  list_mb            of discovery's answer
  take_s             from its first call until the registry says that it is ready; `take_cpu_s` of its own
  still_ms           longest time for which it did not answer meanwhile, asked every 2 ms by another process;
                     `still_idle_ms`: the same for as long without a list on its way, what the machine adds
  again_s, again_still_ms, again_cpu_s   the same for that list told whole once more, nothing changed in it
  uss_mb, peak_mb    memory of its own once it has the list, and the most it had (VmHWM)
  subscription_kb    more for each subscription of 363 destinations, of SUBSCRIBERS; `subscribe_us`: processor
                     time for one, all told whole
  change_us          processor time of one change that concerns nobody; `told_us`: more if one watch is told
  watch_us           processor time of one watch that ends with nothing new and is made again
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import re
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from benchmarks.process import ROOT
from loftrelay.net.address import Address
from loftrelay.registry.protocol import (
    MAX_DESTINATIONS_PER_CALL,
    SubscriptionChange,
    SubscriptionWatch,
    encode_request,
)

SIZES, SUBSCRIBERS, CELLS = (10_000, 100_000, 870_000), 300, 363
CHANGES, WATCHES = 300, 3000
LEAST = 50  # changes, or their cost is not told: in a small list all hosts concern several subscribers
PIECE = 500  # rows that the stand-in writes at a time
PATIENCE = 300.0


def row(number: int, size: float = 1.0) -> str:
    return (
        f'{{"id":"s-{number:08x}",'
        f'"host_port":"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",'
        f'"locality":"a","flavor":"m2","cell":{number},"phase":"Ready","size":{size},"up_since_ms":0}}'
    )


# Discovery, in a process of its own: "change" on its input changes a host, "whole" makes it tell all again.


async def serve(size: int) -> None:
    revision, change, whole = 1, "", False
    news = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal whole
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            asked = re.search(rb"index=(\d+)&wait=(\d+)", head)
            if asked is not None and int(asked[1]) >= revision and not whole:
                with suppress(TimeoutError):
                    await asyncio.wait_for(news.wait(), int(asked[2]) / 1000)
            if asked is None or whole:
                whole = False
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                begin = f'{{"revision":{revision},"complete":true,"members":['
                for first in range(0, size, PIECE):
                    part = ",".join(row(n) for n in range(first, min(first + PIECE, size)))
                    data = f"{begin}{part}".encode()
                    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                    begin = ","
                    await writer.drain()
                writer.write(b"2\r\n]}\r\n0\r\n\r\n")
            else:
                rows = change if int(asked[1]) < revision else ""
                body = f'{{"revision":{revision},"complete":false,"members":[{rows}]}}'.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    loop = asyncio.get_running_loop()
    orders = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    while line := (await orders.readline()).decode().split():
        if line[0] == "change":
            revision += 1
            change = row(int(line[1]), revision)
        else:
            whole = True
        news.set()
        news = asyncio.Event()


class Calls:
    """One connection to the registry."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: Address) -> Calls:
        return cls(*await asyncio.open_connection(*address))

    async def ask(self, what: str) -> tuple[int, bytes]:
        self.writer.write(f"GET {what} HTTP/1.1\r\nHost: registry\r\n\r\n".encode())
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: *(\d+)", head)
        assert length is not None
        return int(head.split()[1]), await self.reader.readexactly(int(length[1]))

    async def figures(self) -> dict[str, float]:
        _, body = await self.ask("/figures")
        return {name: float(value) for name, value in (line.split() for line in body.decode().splitlines())}


class Asker:
    """Asks all the time whether the registry answers; the longest it took."""

    def __init__(self, calls: Calls) -> None:
        self.calls, self.longest = calls, 0.0

    async def run(self) -> None:
        while True:
            began = time.perf_counter()
            await self.calls.ask("/health/ready")
            self.longest = max(self.longest, time.perf_counter() - began)
            await asyncio.sleep(0.002)

    def take(self) -> float:
        longest, self.longest = self.longest, 0.0
        return round(longest * 1e3, 1)


def memory(pid: int) -> tuple[float, float]:
    """MB of its own, and the most that it had in all."""
    told = Path(f"/proc/{pid}/smaps_rollup").read_text()
    own = sum(int(kb) for kb in re.findall(r"Private_\w+: +(\d+) kB", told))
    peak = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert peak is not None
    return own / 1024, int(peak[1]) / 1024


@asynccontextmanager
async def process(*arguments: str, **pipes: Any) -> AsyncIterator[asyncio.subprocess.Process]:
    child = await asyncio.create_subprocess_exec(sys.executable, *arguments, cwd=ROOT, **pipes)
    try:
        yield child
    finally:
        child.terminate()
        await child.wait()


async def measure(size: int, folder: Path) -> dict[str, float]:
    PIPE = asyncio.subprocess.PIPE
    serving = process("-m", "benchmarks.registry", "--serve", str(size), stdin=PIPE, stdout=PIPE)
    async with asyncio.timeout(PATIENCE), serving as discovery:
        assert discovery.stdout is not None
        assert discovery.stdin is not None
        port = int(await discovery.stdout.readline())
        file = folder / "registry.toml"
        file.write_text(f'[registry]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:{port}"\n')
        began = time.perf_counter()
        async with process("-m", "loftrelay", "registry", "--settings", str(file), stderr=PIPE) as registry:
            assert registry.stderr is not None
            said = (await registry.stderr.readline()).decode()
            address = ("127.0.0.1", int(said.rpartition(":")[2]))
            calls = await Calls.open(address)
            asker = Asker(await Calls.open(address))
            asking = asyncio.create_task(asker.run())

            # The list, and again
            while (await calls.ask("/health/ready"))[0] != 200:
                await asyncio.sleep(0.005)
            found: dict[str, float] = {"take_s": round(time.perf_counter() - began, 2)}
            figures = await calls.figures()
            assert figures["hosts"] == size
            found |= {"take_cpu_s": figures["cpu_s"], "still_ms": asker.take()}
            found["list_mb"] = round(figures["discovery_bytes_in"] / 1e6, 1)
            await asyncio.sleep(found["take_s"])
            found["still_idle_ms"] = asker.take()
            before = await calls.figures()
            began, whole = time.perf_counter(), figures["discovery_bytes_in"]
            discovery.stdin.write(b"whole\n")
            while (after := await calls.figures())["discovery_bytes_in"] < 2 * whole - 100:
                await asyncio.sleep(0.01)
            found |= {"again_s": round(time.perf_counter() - began, 2), "again_still_ms": asker.take()}
            found["again_cpu_s"] = round(after["cpu_s"] - before["cpu_s"], 2)
            asking.cancel()
            found["uss_mb"], found["peak_mb"] = (round(mb, 1) for mb in memory(registry.pid))

            # Subscriptions
            drawn = random.Random(1)
            cells = [drawn.sample(range(size), min(CELLS, size)) for _ in range(SUBSCRIBERS)]
            before_mb, _ = memory(registry.pid)
            before = await calls.figures()
            for number, told in enumerate(cells):
                for first in range(0, len(told), MAX_DESTINATIONS_PER_CALL):
                    part = tuple(told[first : first + MAX_DESTINATIONS_PER_CALL])
                    call = SubscriptionChange("fleet", f"r{number}.1", 1 + first, 0, part, is_reset=not first)
                    assert (await calls.ask(encode_request(call)))[0] == 200
            after = await calls.figures()
            found["subscribe_us"] = round((after["cpu_s"] - before["cpu_s"]) / SUBSCRIBERS * 1e6)
            found["subscription_kb"] = round((memory(registry.pid)[0] - before_mb) * 1024 / SUBSCRIBERS, 1)

            # Watches that end with nothing new
            revision = int((await calls.figures())["revision"])
            before = await calls.figures()
            for number in range(WATCHES):
                name = f"r{number % SUBSCRIBERS}.1"
                assert (await calls.ask(encode_request(SubscriptionWatch("fleet", name, revision, 0))))[
                    0
                ] == 200
            after = await calls.figures()
            found["watch_us"] = round((after["cpu_s"] - before["cpu_s"]) / WATCHES * 1e6)

            # Changes that concern nobody, then one watch each
            async def change(number: int) -> None:
                nonlocal revision
                assert discovery.stdin is not None
                revision += 1
                discovery.stdin.write(b"change %d\n" % number)
                while (await calls.figures())["revision"] < revision:
                    await asyncio.sleep(0.04)

            async def cost(numbers: list[int], watching: bool) -> float:
                """Less that of as many pages of figures, and of the watch on discovery."""
                nonlocal revision
                before = await calls.figures()
                for number in numbers:
                    waiting = None
                    if watching:
                        watch = encode_request(SubscriptionWatch("fleet", "r0.1", revision, 60_000))
                        waiting = asyncio.create_task(watcher.ask(watch))
                    await change(number)
                    if waiting is not None:
                        status, body = await waiting
                        assert status == 200 and len(json.loads(body)["members"]) == 1, (watch, body)
                return (await calls.figures())["cpu_s"] - before["cpu_s"]

            async def pages(count: int) -> float:
                before = await calls.figures()
                for _ in range(count):
                    await calls.figures()
                return ((await calls.figures())["cpu_s"] - before["cpu_s"]) / count

            page = await pages(500)
            taken = {cell for told in cells for cell in told}
            nobody = [n for n in range(size) if n not in taken][:CHANGES]
            only = [cell for cell in cells[0] if sum(cell in told for told in cells) == 1][:CHANGES]
            if min(len(nobody), len(only)) < LEAST:
                return found
            asked = (await calls.figures())["pages"]
            idle = await cost(nobody, False)
            asked = (await calls.figures())["pages"] - asked
            found["change_us"] = round((idle - asked * page) / len(nobody) * 1e6)
            asked = (await calls.figures())["pages"]
            watcher = await Calls.open(address)
            told_s = await cost(only, True)
            asked = (await calls.figures())["pages"] - asked
            found["told_us"] = round((told_s - asked * page) / len(only) * 1e6) - found["change_us"]
    return found


async def main(sizes: list[int]) -> dict[str, dict[str, float]]:
    found: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for size in sizes:
            told = await measure(size, Path(folder))
            print(size, told)
            for name, value in told.items():
                found.setdefault(name, {})[str(size)] = value
    return found


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.registry", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="the smallest size alone: under 45 seconds")
    parser.add_argument("--serve", type=int, metavar="SIZE", help="(for the benchmark itself)")
    parser.add_argument("sizes", type=int, nargs="*", metavar="SIZE")
    asked = parser.parse_args()
    if asked.serve:
        asyncio.run(serve(asked.serve))
    else:
        began = time.monotonic()
        sizes = asked.sizes or list(SIZES[:1] if asked.quick else SIZES)
        result: dict[str, Any] = asyncio.run(main(sizes))
        print(json.dumps({**result, "seconds": round(time.monotonic() - began, 1)}))
