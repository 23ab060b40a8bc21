"""Measure memory, elapsed time, CPU time and unresponsive time of a registry by the size of its list.

python -m benchmarks.registry [--quick] [SIZE...]; the last line is JSON, each field by the number of hosts,
one for each destination (10,000, 100,000 and 870,000 by default, the first alone with --quick):
  list_mb            of discovery's response
  take_s             from the registry's start until it is ready; `take_cpu_s`: its CPU time
  still_ms           longest time until it answered a request meanwhile; this process sends one every 2 ms.
                     `still_idle_ms`: the same for as long without a list to process, due to the machine
  again_s, again_still_ms, again_cpu_s   the same when the full list is sent again without changes
  uss_mb, peak_mb    private memory with the list, and peak memory (VmHWM)
  subscription_kb    additional memory for one of SUBSCRIBERS subscriptions to 363 destinations
                     each; `subscribe_us`: CPU time for one, sent in full
  change_us          CPU time of a change that concerns no subscriber; `told_us`: how much more one costs that
                     ends a watch
  watch_us           CPU time of a watch that ends without changes and is renewed
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

SIZES, SUBSCRIBERS, SLICE_SIZE = (10_000, 100_000, 870_000), 300, 363
MAX_CHANGES, WATCHES = 300, 3000
MIN_CHANGES = 50  # with fewer the cost is not reported: in a small list all hosts have several subscribers
CHUNK_ENTRIES = 500  # entries that the stub discovery writes at a time
TIMEOUT_S = 300.0


def format_entry(number: int, size: float = 1.0) -> str:
    """Formats an entry of the list as discovery writes it."""
    return (
        f'{{"id":"s-{number:08x}",'
        f'"host_port":"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",'
        f'"locality":"a","flavor":"m2","cell":{number},"phase":"Ready","size":{size},"up_since_ms":0}}'
    )


# Stub discovery server, in a process of its own. On its input, "change NUMBER" changes a host, and "whole"
# makes it send the full list again.


async def serve(size: int) -> None:
    """Prints the port of the stub discovery server and serves until the input ends."""
    revision, change, sends_full_list = 1, "", False
    changed = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sends_full_list
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            query = re.search(rb"index=(\d+)&wait=(\d+)", head)
            if query is not None and int(query[1]) >= revision and not sends_full_list:
                with suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), int(query[2]) / 1000)
            if query is None or sends_full_list:
                sends_full_list = False
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                prefix = f'{{"revision":{revision},"complete":true,"members":['
                for first in range(0, size, CHUNK_ENTRIES):
                    entries = ",".join(
                        format_entry(n) for n in range(first, min(first + CHUNK_ENTRIES, size))
                    )
                    data = f"{prefix}{entries}".encode()
                    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                    prefix = ","
                    await writer.drain()
                writer.write(b"2\r\n]}\r\n0\r\n\r\n")
            else:
                entries = change if int(query[1]) < revision else ""
                body = f'{{"revision":{revision},"complete":false,"members":[{entries}]}}'.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while command := (await commands.readline()).decode().split():
        if command[0] == "change":
            revision += 1
            change = format_entry(int(command[1]), revision)
        else:
            sends_full_list = True
        changed.set()
        changed = asyncio.Event()


class RegistryConnection:
    """One HTTP connection to the registry."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: Address) -> RegistryConnection:
        return cls(*await asyncio.open_connection(*address))

    async def get(self, target: str) -> tuple[int, bytes]:
        """Returns status and body."""
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: registry\r\n\r\n".encode())
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: *(\d+)", head)
        assert length is not None
        return int(head.split()[1]), await self.reader.readexactly(int(length[1]))

    async def get_metrics(self) -> dict[str, float]:
        _, body = await self.get("/figures")
        return {name: float(value) for name, value in (line.split() for line in body.decode().splitlines())}


class ResponseTimer:
    """Requests the registry's readiness every 2 ms and keeps the longest response time."""

    def __init__(self, connection: RegistryConnection) -> None:
        self.connection, self.longest_s = connection, 0.0

    async def run(self) -> None:
        while True:
            started = time.perf_counter()
            await self.connection.get("/health/ready")
            self.longest_s = max(self.longest_s, time.perf_counter() - started)
            await asyncio.sleep(0.002)

    def take_longest_ms(self) -> float:
        """Returns the longest response time since the last call."""
        longest_s, self.longest_s = self.longest_s, 0.0
        return round(longest_s * 1e3, 1)


def memory_mb(pid: int) -> tuple[float, float]:
    """Returns the private memory of a process and its peak memory, in MB (2^20 bytes)."""
    smaps = Path(f"/proc/{pid}/smaps_rollup").read_text()
    private = sum(int(kb) for kb in re.findall(r"Private_\w+: +(\d+) kB", smaps))
    peak = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert peak is not None
    return private / 1024, int(peak[1]) / 1024


@asynccontextmanager
async def run_python(*arguments: str, **pipes: Any) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs the Python interpreter as a child process and terminates it at the end."""
    child = await asyncio.create_subprocess_exec(sys.executable, *arguments, cwd=ROOT, **pipes)
    try:
        yield child
    finally:
        child.terminate()
        await child.wait()


async def measure(size: int, folder: Path) -> dict[str, float]:
    pipe = asyncio.subprocess.PIPE
    discovery_process = run_python("-m", "benchmarks.registry", "--serve", str(size), stdin=pipe, stdout=pipe)
    async with asyncio.timeout(TIMEOUT_S), discovery_process as discovery:
        assert discovery.stdout is not None
        assert discovery.stdin is not None
        port = int(await discovery.stdout.readline())
        settings_file = folder / "registry.toml"
        settings_file.write_text(f'[registry]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:{port}"\n')
        started = time.perf_counter()
        registry_command = ("-m", "loftrelay", "registry", "--settings", str(settings_file))
        async with run_python(*registry_command, stderr=pipe) as registry:
            assert registry.stderr is not None
            log_line = (await registry.stderr.readline()).decode()
            address = ("127.0.0.1", int(log_line.rpartition(":")[2]))
            connection = await RegistryConnection.open(address)
            timer = ResponseTimer(await RegistryConnection.open(address))
            timing = asyncio.create_task(timer.run())

            # The list, and the same list again
            while (await connection.get("/health/ready"))[0] != 200:
                await asyncio.sleep(0.005)
            result: dict[str, float] = {"take_s": round(time.perf_counter() - started, 2)}
            metrics = await connection.get_metrics()
            assert metrics["hosts"] == size
            result |= {"take_cpu_s": metrics["cpu_s"], "still_ms": timer.take_longest_ms()}
            result["list_mb"] = round(metrics["discovery_bytes_in"] / 1e6, 1)
            await asyncio.sleep(result["take_s"])
            result["still_idle_ms"] = timer.take_longest_ms()
            before = await connection.get_metrics()
            started, list_bytes = time.perf_counter(), metrics["discovery_bytes_in"]
            discovery.stdin.write(b"whole\n")
            while (after := await connection.get_metrics())["discovery_bytes_in"] < 2 * list_bytes - 100:
                await asyncio.sleep(0.01)
            result |= {
                "again_s": round(time.perf_counter() - started, 2),
                "again_still_ms": timer.take_longest_ms(),
            }
            result["again_cpu_s"] = round(after["cpu_s"] - before["cpu_s"], 2)
            timing.cancel()
            result["uss_mb"], result["peak_mb"] = (round(mb, 1) for mb in memory_mb(registry.pid))

            # Subscriptions
            rng = random.Random(1)
            slices = [rng.sample(range(size), min(SLICE_SIZE, size)) for _ in range(SUBSCRIBERS)]
            before_mb, _ = memory_mb(registry.pid)
            before = await connection.get_metrics()
            for number, destinations in enumerate(slices):
                for first in range(0, len(destinations), MAX_DESTINATIONS_PER_CALL):
                    part = tuple(destinations[first : first + MAX_DESTINATIONS_PER_CALL])
                    call = SubscriptionChange("fleet", f"r{number}.1", 1 + first, 0, part, is_reset=not first)
                    assert (await connection.get(encode_request(call)))[0] == 200
            after = await connection.get_metrics()
            result["subscribe_us"] = round((after["cpu_s"] - before["cpu_s"]) / SUBSCRIBERS * 1e6)
            result["subscription_kb"] = round(
                (memory_mb(registry.pid)[0] - before_mb) * 1024 / SUBSCRIBERS, 1
            )

            # Watches that end without changes
            revision = int((await connection.get_metrics())["revision"])
            before = await connection.get_metrics()
            for number in range(WATCHES):
                name = f"r{number % SUBSCRIBERS}.1"
                assert (await connection.get(encode_request(SubscriptionWatch("fleet", name, revision, 0))))[
                    0
                ] == 200
            after = await connection.get_metrics()
            result["watch_us"] = round((after["cpu_s"] - before["cpu_s"]) / WATCHES * 1e6)

            # Changes that concern no subscriber, then changes that end one watch each
            async def change(number: int) -> None:
                nonlocal revision
                assert discovery.stdin is not None
                revision += 1
                discovery.stdin.write(b"change %d\n" % number)
                while (await connection.get_metrics())["revision"] < revision:
                    await asyncio.sleep(0.04)

            async def change_cost(numbers: list[int], watching: bool) -> float:
                """Changes these hosts one by one; returns the CPU seconds of the registry.

                They include its watch on discovery, and the requests of metrics, which the caller subtracts.
                """
                nonlocal revision
                before = await connection.get_metrics()
                for number in numbers:
                    pending = None
                    if watching:
                        watch = encode_request(SubscriptionWatch("fleet", "r0.1", revision, 60_000))
                        pending = asyncio.create_task(watcher.get(watch))
                    await change(number)
                    if pending is not None:
                        status, body = await pending
                        assert status == 200 and len(json.loads(body)["members"]) == 1, (watch, body)
                return (await connection.get_metrics())["cpu_s"] - before["cpu_s"]

            async def metrics_cost(count: int) -> float:
                """Returns the CPU seconds of the registry for one request of metrics."""
                before = await connection.get_metrics()
                for _ in range(count):
                    await connection.get_metrics()
                return ((await connection.get_metrics())["cpu_s"] - before["cpu_s"]) / count

            request_cost = await metrics_cost(500)
            subscribed = {destination for part in slices for destination in part}
            unsubscribed = [n for n in range(size) if n not in subscribed][:MAX_CHANGES]
            exclusive = [n for n in slices[0] if sum(n in part for part in slices) == 1][:MAX_CHANGES]
            if min(len(unsubscribed), len(exclusive)) < MIN_CHANGES:
                return result
            requests = (await connection.get_metrics())["pages"]
            unsubscribed_s = await change_cost(unsubscribed, False)
            requests = (await connection.get_metrics())["pages"] - requests
            result["change_us"] = round((unsubscribed_s - requests * request_cost) / len(unsubscribed) * 1e6)
            requests = (await connection.get_metrics())["pages"]
            watcher = await RegistryConnection.open(address)
            watched_s = await change_cost(exclusive, True)
            requests = (await connection.get_metrics())["pages"] - requests
            result["told_us"] = (
                round((watched_s - requests * request_cost) / len(exclusive) * 1e6) - result["change_us"]
            )
    return result


async def main(sizes: list[int]) -> dict[str, dict[str, float]]:
    result: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        for size in sizes:
            figures = await measure(size, Path(folder))
            print(size, figures)
            for name, value in figures.items():
                result.setdefault(name, {})[str(size)] = value
    return result


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.registry", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument(
        "--quick", action="store_true", help="measure the smallest size only, in under 45 seconds"
    )
    parser.add_argument(
        "--serve", type=int, metavar="SIZE", help="internal: run the stub discovery server with SIZE hosts"
    )
    parser.add_argument("sizes", type=int, nargs="*", metavar="SIZE")
    arguments = parser.parse_args()
    if arguments.serve:
        asyncio.run(serve(arguments.serve))
    else:
        started = time.monotonic()
        sizes = arguments.sizes or list(SIZES[:1] if arguments.quick else SIZES)
        result: dict[str, Any] = asyncio.run(main(sizes))
        print(json.dumps({**result, "seconds": round(time.monotonic() - started, 1)}))
