"""The bytes that a relay and a registry write in fixed scenes, for a comparison of two programs.

`python -m tests.standins.wire ROOT FOLDER` writes a file for each scene with the program in ROOT. What
differs between runs (ports, clock readings, incarnations) is replaced by a word in angle brackets.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import shutil
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.standins.harness import (
    ROOT,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    StubServer,
    StubServerConnection,
    format_response,
    format_submission,
    free_port,
    respond_ok,
)
from tests.standins.recovered import CLASSES
from tests.standins.registries import Registries

JOURNAL = Path(__file__).parents[1] / "fixtures" / "state_32c0038" / "journal"
VARYING_PATTERNS = (
    (rb"127\.0\.0\.1:\d+", b"<address>"),
    (rb"\r\nRequest-Timeout-Ms: \d+", b"\r\nRequest-Timeout-Ms: <ms>"),
    (rb"subscriber=n1\.\w+", b"subscriber=n1.<incarnation>"),
    (rb'"age_ms":\d+', b'"age_ms":<ms>'),
    (rb'(?<=Content-Length: )\d+(?=\r\n\r\n\{"fleet")', b"<bytes>"),  # varies with the digits of age_ms
    (rb"(?<=text/plain\r\nContent-Length: )[1-9]\d*", b"<bytes>"),
    (rb"(?m)^([a-z0-9_]+) [\d.e+-]+$", rb"\1 <number>"),
    (rb"(?m)^(app\.\w+(?:\.[\w-]+)*)=.*$", rb"\1=<number>"),
)


def normalized(data: bytes) -> str:
    """Replaces what differs between runs; returns the bytes as Latin-1 text."""
    for pattern, placeholder in VARYING_PATTERNS:
        data = re.sub(pattern, placeholder, data)
    return data.decode("latin-1")


class RecordingConnection(StubServerConnection):
    """A connection that records the bytes of each request."""

    def data_received(self, data: bytes) -> None:
        assert isinstance(self.server, RecordingServer)
        count_before = len(self.server.requests)
        self.unfinished = getattr(self, "unfinished", b"") + data
        super().data_received(data)
        if len(self.server.requests) > count_before:
            self.server.recorded.append(self.unfinished)
            self.unfinished = b""


class RecordingServer(StubServer):
    """A stub server that records the bytes of each request."""

    recorded: list[bytes]

    async def start(self, port: int = 0) -> None:
        self.recorded = []
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: RecordingConnection(self), "127.0.0.1", port)


class RecordingHarness(RelayHarness):
    """A harness whose servers record the bytes of each request."""

    async def start_server(self, handler: Callable[[Request], Awaitable[bytes | None]]) -> RecordingServer:
        server = RecordingServer(self, handler)
        await server.start()
        self.servers.append(server)
        return server


def recorded_requests(server: StubServer) -> list[str]:
    """Returns the normalized requests of a recording server."""
    assert isinstance(server, RecordingServer)
    return [normalized(request) for request in server.recorded]


async def exchange(address: tuple[str, int], request: bytes) -> str:
    """Sends bytes on a new connection; returns the normalized response, with `<end>` if the server closes."""
    reader, writer = await asyncio.open_connection(*address)
    response_bytes = b""
    request_head, end, body = request.partition(b"\r\n\r\n")
    expects_continue = b"100-continue" in request_head
    async with asyncio.timeout(TEST_TIMEOUT_S):
        writer.write(request_head + end if expects_continue else request)
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            response_bytes += head
            if expects_continue and head.startswith(b"HTTP/1.1 100"):
                writer.write(body)
                continue
            length = re.search(rb"(?i)content-length: (\d+)", head)
            if length is not None and not request.startswith(b"HEAD"):
                response_bytes += await reader.readexactly(int(length[1]))
            if b"connection: close" in head.lower():
                with contextlib.suppress(ConnectionError):
                    response_bytes += await reader.read()
                response_bytes += b"<end>"
            break
    writer.close()
    return normalized(response_bytes)


SUBMISSIONS = {  # in order: later ones reuse ids of earlier ones
    "accepted": format_submission("m1", "order"),
    "accepted, idempotent": format_submission("m2"),
    "accepted, chunked body": format_submission(
        "m3", Content_Length="", Transfer_Encoding="chunked"
    ).removesuffix(b"hello")
    + b"5\r\nhello\r\n0\r\n\r\n",
    "100-continue": format_submission("m4", Expect="100-continue"),
    "accepted, to fail": format_submission("bad", "order", path="/order/bad"),
    "destination unknown": format_submission("m5", destination=77),
    "deadline passed": format_submission("m6", Request_Timeout_Ms="0"),
    "no id": format_submission("", Request_Id=""),
    "malformed id": format_submission("a b"),
    "class differs from path": format_submission("m7", Request_Class="order"),
    "class unknown": format_submission("m7", "nothing"),
    "path too long": format_submission("m7", path="/status/a/b"),
    "no tenant": format_submission("m7", Tenant=""),
    "tenant unknown": format_submission("m7", Tenant="nobody"),
    "no timeout": format_submission("m7", Request_Timeout_Ms=""),
    "malformed timeout": format_submission("m7", Request_Timeout_Ms="1.5"),
    "timeout too long": format_submission("m7", Request_Timeout_Ms="999999"),
    "no destination": format_submission("m7", X_Consignee=""),
    "malformed destination": format_submission("m7", X_Consignee="dest=x"),
    "key too long": format_submission("m7", "order", path="/order/" + "k" * 257),
    "malformed idempotency key": format_submission("m7", Idempotency_Key="k" * 257),
    "method not allowed": format_submission("m7", method="GET"),
    "repeated header": format_submission("m7").replace(b"Tenant:", b"Tenant: acme\r\nTenant:"),
    "two lengths of the body": format_submission("m7", Transfer_Encoding="chunked"),
    "body too long": format_submission("m7", Content_Length="65537"),
    "two requests at once": format_submission("m7") + format_submission("m8"),
    "not HTTP": b"nonsense\r\n\r\n",
    "unknown version": format_submission("m7").replace(b"HTTP/1.1", b"HTTP/3.1"),
    "HTTP/1.0": format_submission("m9").replace(b"HTTP/1.1", b"HTTP/1.0"),
    "client closes": format_submission("m10", Connection="close"),
    "ready": b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "ready, HEAD": b"HEAD /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "ready, POST": b"POST /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
    "no such path": b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
}
RESUBMISSIONS = {
    "delivered before": format_submission("m1", "order"),
    "failed before": format_submission("bad", "order", path="/order/bad"),
}


async def client_responses(harness: RecordingHarness) -> list[str]:
    async def handler(request: Request) -> bytes:
        return format_response(500 if request.id == "bad" else 200)

    host = await harness.start_host(handler)
    await harness.start()
    responses = [
        f"# {name}\n{await exchange(harness.address, request)}" for name, request in SUBMISSIONS.items()
    ]
    await harness.wait_until(lambda: {"m1", "bad"} <= set(host.request_ids) and bool(harness.status_reports))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while "app.outstanding=0" not in await harness.call_admin("show-stat"):
            await asyncio.sleep(0.02)
    return responses + [
        f"# {name}\n{await exchange(harness.address, request)}" for name, request in RESUBMISSIONS.items()
    ]


async def overload_responses(harness: RecordingHarness) -> list[str]:
    """With a limit of two open messages, neither of which can be delivered."""
    harness.add_unavailable_destination()
    await harness.start()
    responses = [
        await exchange(harness.address, format_submission(f"m{n}", path="/status")) for n in range(4)
    ]
    return [*responses, await exchange(harness.address, format_submission("order", "order"))]


async def host_calls(harness: RecordingHarness) -> list[str]:
    single, batch = await harness.start_host(respond_ok), await harness.start_server(respond_ok)

    async def batch_script(request: Request) -> bytes:
        return format_response(200)

    batch.handler = batch_script
    await harness.start()
    await harness.submit("first", "order", body=bytes(range(256)))
    await harness.wait_until(lambda: single.response_count == 1)
    await harness.submit("second", "alarm", Idempotency_Key="client 7")
    await harness.wait_until(lambda: single.response_count == 2)
    await harness.submit("third", "status", body=b"", Client_Retry="1")
    await harness.wait_until(lambda: single.response_count == 3)
    harness.add_unavailable_destination(2, "bulk")
    for number, class_name in enumerate(("order", "status", "alarm")):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await harness.submit(f"batch{number}", class_name, 2) == 503:
                await asyncio.sleep(0.02)
    harness.add_endpoint(2, "bulk", "Ready", batch.address)
    await harness.wait_until(lambda: batch.response_count >= 1)
    return [*recorded_requests(single), *recorded_requests(batch)]


async def status_reports(harness: RecordingHarness) -> list[str]:
    async def fail(request: Request) -> bytes:
        return format_response(500)

    await harness.start_host(fail)
    harness.add_unavailable_destination(2)
    await harness.start()
    for name, class_name, destination, timeout in (
        ("failed", "order", 1, "20000"),
        ("expired", "status", 2, "300"),
        ('q"uote', "order", 1, "20000"),
    ):
        count_before = len(harness.status_reports)
        await harness.submit(
            name, class_name, destination, path=f"/{class_name}/{name}", Request_Timeout_Ms=timeout
        )
        await harness.wait_until(lambda n=count_before: len(harness.status_reports) > n)  # type: ignore[misc]
    return [
        request
        for request in recorded_requests(harness.discovery)
        if "/reports" in request.partition("\r\n")[0]
    ]


async def recovered_status_reports(harness: RecordingHarness) -> list[str]:
    """Reports of the final statuses in a journal of 32c0038, one of them deferred."""
    shutil.copytree(JOURNAL, harness.folder / "state")
    harness.add_unavailable_destination()
    await harness.start()
    await harness.wait_until(lambda: any(report["id"] == "deferred" for report in harness.status_reports))
    reports = [
        request
        for request in recorded_requests(harness.discovery)
        if "/reports" in request.partition("\r\n")[0]
    ]
    return [request for request in reports if '"deferred"' in request]


async def retry_after_responses(harness: RecordingHarness) -> list[str]:
    """The only host has sent a Retry-After longer than the timeout of the next messages."""

    async def reject(request: Request) -> bytes:
        return format_response(429, X_Come_Back_Ms="3600000")

    host = await harness.start_host(reject)
    await harness.start()
    await harness.submit("m1")
    await harness.wait_until(lambda: host.response_count == 1)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while await harness.submit("first", Request_Timeout_Ms="1500") != 503:
            await asyncio.sleep(0.02)
    responses = [
        await exchange(harness.address, format_submission(f"m{n}", Request_Timeout_Ms="1500")) for n in (2, 3)
    ]
    return [
        *responses,
        await exchange(harness.address, format_submission("m4", "order", Request_Timeout_Ms="1500")),
    ]


async def discovery_calls(harness: RecordingHarness) -> list[str]:
    await harness.start_host(respond_ok)
    await harness.start()
    await harness.wait_until(lambda: len(harness.discovery.requests) >= 2)
    harness.add_unavailable_destination(2)
    await harness.wait_until(lambda: len(harness.discovery.requests) >= 3)
    return recorded_requests(harness.discovery)[:3]


async def admin_replies(harness: RecordingHarness) -> list[str]:
    await harness.start_host(respond_ok)
    await harness.start()
    lines = (
        "ready",
        "show-stat",
        "disable-server h0",
        "disable-server h0",
        "ready",
        "enable-server h0",
        "enable-server h0",
        "disable-server nobody",
        "disable-server",
        "disable-server a b",
        "ready now",
        "nothing",
        "",
        "x" * 600,
    )
    return [f"# {line[:40]}\n{normalized((await harness.call_admin(line)).encode())}" for line in lines]


class RecordingProxy:
    """Forwards bytes between a relay and a registry, and records them."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.exchanged: list[tuple[str, bytes]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Starts to listen; returns its address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        registry_reader, registry_writer = await asyncio.open_connection(self.host, self.port, limit=1 << 24)
        for direction, source, target in (
            ("call", reader, registry_writer),
            ("answer", registry_reader, writer),
        ):
            task = asyncio.create_task(self._pass_on(direction, source, target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass_on(
        self, direction: str, source: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                data = await source.readuntil(b"\r\n\r\n")
                if (length := re.search(rb"(?i)content-length: (\d+)", data)) is not None:
                    data += await source.readexactly(int(length[1]))
                self.exchanged.append((direction, data))
                target.write(data)
        target.close()

    def seen(self, direction: str, text: bytes) -> list[str]:
        """Returns the normalized messages of one direction that contain `text`."""
        return [
            normalized(data) for direction, data in self.exchanged if direction == direction and text in data
        ]


async def registry_calls(harness: RecordingHarness) -> list[str]:
    """A relay subscribing at a registry: requests and responses of both, and the relay's metrics."""
    async with Registries(harness, 1, wait_ms=10_000) as registries:
        proxy = RecordingProxy(registries.addresses[0])
        path = harness.folder / "subscription.toml"
        path.write_text(path.read_text().replace(registries.addresses[0], await proxy.start()))
        try:
            host = await harness.start_host(respond_ok)
            await harness.start()
            await harness.submit_once_listed("m1", 1)
            await harness.wait_until(lambda: host.request_ids == ["m1"])
            harness.add_endpoint(1, "plain", "Terminating", "127.0.0.1:9")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not proxy.seen("answer", b'"Terminating"'):
                    await asyncio.sleep(0.02)
            changes, watches = proxy.seen("call", b"add="), proxy.seen("call", b"wait=")
            changes_seen = proxy.seen("answer", b'"Ready"'), proxy.seen("answer", b'"Terminating"')
            figures = normalized((await harness.call_admin("show-stat")).encode())
            return [
                figures,
                changes[0],
                watches[0],
                changes_seen[0][0],
                changes_seen[1][0],
                *recorded_requests(harness.discovery)[:1],
            ]
        finally:
            proxy.close()


REGISTRY_CALLS = (
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&seq=1&index=0&add=1,2&reset=1",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&seq=1&index=0&add=1,2&reset=1",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&seq=2&index=2&have=1&drop=2",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&index=2&wait=0",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&seq=1&index=0&add=3",
    "GET /registry/instances?fleet=windwacht&subscriber=nobody.1&index=2&wait=0",
    "GET /registry/instances?fleet=windwacht&subscriber=nobody.1&seq=2&add=1",
    "GET /registry/instances?fleet=other&subscriber=r9.1&index=2&wait=0",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&index=x&wait=0",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&index=2",
    "GET /registry/instances?fleet=windwacht&index=2&wait=0",
    "GET /registry/instances?fleet=windwacht&subscriber=r9.1&index=2&wait=0&more=1",
    "GET /registry/instances",
    "GET /health/ready",
    "HEAD /health/ready",
    "GET /figures",
    "GET /nothing",
    "POST /registry/instances",
)


async def registry_answers(harness: RecordingHarness) -> list[str]:
    await harness.start_host(respond_ok)
    async with Registries(harness, 1) as registries:
        host, _, port = registries.addresses[0].rpartition(":")
        ready = b"GET /health/ready HTTP/1.1\r\nHost: registry\r\n\r\n"
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not (await exchange((host, int(port)), ready)).startswith("HTTP/1.1 200"):
                await asyncio.sleep(0.02)
        calls = [f"{line} HTTP/1.1\r\nHost: registry\r\n\r\n".encode() for line in REGISTRY_CALLS]
        return [
            f"# {line}\n{await exchange((host, int(port)), call)}"
            for line, call in zip(REGISTRY_CALLS, calls, strict=True)
        ]


async def admin_figures_with_fleet_and_store(harness: RecordingHarness) -> list[str]:
    (harness.folder / "record.toml").write_text(f'file = "{harness.folder / "record.sqlite"}"\n')
    (harness.folder / "fleet.toml").write_text(f'[fleet]\nlisten = "127.0.0.1:{free_port()}"\n')
    harness.arguments = [
        "--record",
        str(harness.folder / "record.toml"),
        "--fleet",
        str(harness.folder / "fleet.toml"),
    ]
    await harness.start_host(respond_ok)
    await harness.start()
    return [normalized((await harness.call_admin("show-stat")).encode())]


SCENES: dict[str, Callable[[RecordingHarness], Awaitable[list[str]]]] = {
    scene.__name__: scene
    for scene in (
        client_responses,
        overload_responses,
        host_calls,
        status_reports,
        recovered_status_reports,
        retry_after_responses,
        discovery_calls,
        admin_replies,
        admin_figures_with_fleet_and_store,
        registry_calls,
        registry_answers,
    )
}


async def play(name: str, folder: Path, root: Path = ROOT) -> str:
    """Returns the bytes of one scene as text: lines end at each LF, other control characters are escaped."""
    settings = {"policy_limits": {**LIMITS, "most_held": 2 if name == "overload_responses" else 100}}
    harness = RecordingHarness(folder, classes=CLASSES, **settings)
    async with harness:
        harness.root = root
        harness.admin_address = f"127.0.0.1:{free_port()}"
        pieces = await SCENES[name](harness)
    lines = "\n\n".join(pieces).split("\n")
    return "".join(f"{line.encode('unicode_escape').decode()}\n" for line in lines)


LIMITS = {
    "conn_idle": 15_000_000,
    "connect_timeout": 1_000_000,
    "most_tries": 12,
    "retry_after": True,
    "max_retry_after": 2_500_000,
}


def main(root: Path, fixtures: Path, names: list[str]) -> None:
    fixtures.mkdir(parents=True, exist_ok=True)
    for name in names or SCENES:
        with tempfile.TemporaryDirectory() as folder:
            (fixtures / f"{name}.txt").write_text(asyncio.run(play(name, Path(folder), root)))


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3:])
