"""python -m loftrelay demo: one relay with its store of record at work between stand-in peers on loopback."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

from loftrelay.cli.record import print_table
from loftrelay.demo.clients import MESSAGE_TIMEOUT_S, Client, ClientStatistics, Message
from loftrelay.demo.peers import DestinationPeer, DiscoveryPeer, HTTPPeer
from loftrelay.store.backend import Query, StoreError
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import Answer, Entry

CLIENTS = 16
START, END = 30.0, 10.0  # seconds for the relay to listen, and to end
LIMITS: dict[str, Any] = {"sockets": 256, "disk_mb": 50, "memory_mb": 128}
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "status", "effect": "idempotent", "deadline": 24_000_000, "on_time": 3_000_000, "worth": 1},
        {
            "name": "order",
            "effect": "at_most_once",
            "in_order": True,
            "deadline": 24_000_000,
            "on_time": 3_000_000,
            "worth": 3,
        },
    ],
    "extra": {"bundle_max": [1], "call_slots": 32, "own_limits": [False]},
    "flavors": ["plain"],
    "policy_limits": {
        "conn_idle": 15_000_000,
        "connect_timeout": 1_000_000,
        "most_held": 2000,
        "most_tries": 12,
    },
    "safety": {"ask_every": 10_000_000, "settle_after_doubt": 300_000},
    "tenants": [{"name": "acme", "allowance_per_s": 1000.0, "fraction": 1.0}],
    "tick": 5000,
}

UNSAFE = {about["name"] for about in SETTINGS["classes"] if about["effect"] == "at_most_once"}


class DemoError(Exception):
    """One plain line."""


class RelayProcess:
    """The relay as a process of its own. What it says is kept in `relay.log`."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.folder = folder
        self.address = ("", 0)
        self.process: asyncio.subprocess.Process | None = None
        self.log_task: asyncio.Task[None] | None = None
        self.store_warnings: list[str] = []  # that it was slow or away
        (folder / "config.json").write_text(json.dumps(config))
        # Nobody cuts the power here: each commit outlasts the process without a sync, so that a slow disk
        # shows the same as a quick one.
        (folder / "record.toml").write_text(
            f'file = {json.dumps(str(folder / "record.sqlite"))}\nsynchronous = "NORMAL"\n'
        )

    async def start(self) -> None:
        """Raises DemoFailed if it does not come up."""
        listens: asyncio.Future[tuple[str, int]] = asyncio.get_running_loop().create_future()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loftrelay",
            "--record",
            str(self.folder / "record.toml"),
            stderr=asyncio.subprocess.PIPE,
            cwd=Path(__file__).parents[2],
            env={
                **os.environ,
                "RELAY_CONFIG": str(self.folder / "config.json"),
                "RELAY_STATE": str(self.folder / "state"),
            },
        )
        self.log_task = asyncio.create_task(self._copy_log(self.process, listens))
        try:
            async with asyncio.timeout(START):
                self.address = await listens
        except TimeoutError:
            await self.kill()
            raise DemoError(f"the relay did not start: see {self.folder / 'relay.log'}") from None

    async def _copy_log(
        self, process: asyncio.subprocess.Process, listens: asyncio.Future[tuple[str, int]]
    ) -> None:
        assert process.stderr is not None
        with (self.folder / "relay.log").open("ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                log.flush()
                if b"the store of record is slow" in line or b"the store of record is away" in line:
                    self.store_warnings.append(line.decode().strip().partition(": ")[2])
                if b"listens on" in line and not listens.done():
                    host, _, port = line.decode().split()[-1].rpartition(":")
                    listens.set_result((host, int(port)))
        if not listens.done():
            listens.set_exception(DemoError(f"the relay ended at its start: see {self.folder / 'relay.log'}"))

    async def kill(self) -> None:
        """SIGKILL, in the midst of whatever it does."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self._wait()

    async def stop(self) -> None:
        assert self.process is not None
        self.process.terminate()
        try:
            async with asyncio.timeout(END):
                await self._wait()
        except TimeoutError:
            await self.kill()

    async def _wait(self) -> None:
        assert self.process is not None and self.log_task is not None
        await self.process.wait()
        await self.log_task


@dataclass
class DemoResult:
    entries: list[Entry]
    admitted: set[str]
    effects: Counter[str]
    final_statuses: dict[str, str]
    store_faults: list[str]
    store_warnings: list[str] = field(default_factory=list)  # by the relay: that the store was slow, or away
    rejections: int = 0  # times that a client was told to come again

    @property
    def duplicates(self) -> int:
        """Effects beyond the first of messages that must not run twice; others may, after a kill."""
        orders = {e.message for e in self.entries if e.about.class_name in UNSAFE}
        return sum(count - 1 for name, count in self.effects.items() if name in orders)

    def disagreements(self) -> list[str]:
        """Where the store, the partner, the clients and the platform tell different things."""
        said = list(self.store_faults)
        by_name = {entry.message: entry for entry in self.entries}
        said += [f"{name}: taken on, and not in the store" for name in sorted(self.admitted - set(by_name))]
        said += [f"{name}: ran, and not in the store" for name in sorted(set(self.effects) - set(by_name))]
        for name, entry in by_name.items():
            if entry.told_at is None:
                said.append(f"{name}: its end is not told")
                continue
            # A failure promises nothing: after a kill it may have run.
            wrong = (entry.answer is Answer.DELIVERED) != (self.effects[name] > 0)
            if wrong and entry.answer is not Answer.FAILED:
                answer = entry.answer.value if entry.answer is not None else "no answer"
                said.append(f"{name}: {answer}, ran {self.effects[name]} times")
        return said


def messages(count: int, seed: int) -> list[list[Message]]:
    """For each client its own, a third of them work orders; a key's come from one client, in order."""
    chance = random.Random(seed)
    lines: list[list[Message]] = [[] for _ in range(CLIENTS)]
    for i in range(count):
        client = i % CLIENTS
        of = "order" if chance.random() < 1 / 3 else "status"
        destination = chance.choice((1, 2))
        key = f"turbine-{client}-{chance.randrange(4)}"
        lines[client].append(Message(f"{of}-{i:06}", of, destination, key, b'{"demo":true}'))
    return lines


def read_store(path: Path) -> tuple[list[Entry], list[str]]:
    store = SQLiteStore(path)
    try:
        return list(store.select(Query())), store.verify()
    finally:
        store.close()


async def show(folder: Path, count: int, seed: int, kill: bool, out: TextIO) -> DemoResult:
    """Raises DemoFailed."""
    discovery, partners = DiscoveryPeer(), [DestinationPeer(seed), DestinationPeer(seed + 1)]
    account = ClientStatistics()
    async with (
        HTTPPeer(discovery.respond) as registry,
        HTTPPeer(partners[0].respond) as a,
        HTTPPeer(partners[1].respond) as b,
    ):
        for number, peer in enumerate((a, b), 1):
            discovery.add_endpoint(number, peer.address)
        relay = RelayProcess(
            folder,
            {
                "name": "demo",
                "listen": "127.0.0.1:0",
                "discovery": registry.address,
                "seed": f"{seed:x}",
                "limits": LIMITS,
                "known": discovery.full_list,
                "settings": SETTINGS,
            },
        )
        await relay.start()
        try:
            print(
                "a relay listens on {}:{}".format(*relay.address) + f", its files are in {folder}", file=out
            )

            async def client(line: Sequence[Message]) -> None:
                own = Client(lambda: relay.address, account)
                for message in line:
                    await own.submit(message)
                own.close()

            clients = [asyncio.create_task(client(line)) for line in messages(count, seed)]

            def progress() -> None:
                ran = sum(sum(partner.effects.values()) for partner in partners)
                print(
                    f"  handed in {len(account.admitted):>6} of {count}   run by partners {ran:>6}   "
                    f"told of to the platform {len(discovery.final_statuses):>4}",
                    file=out,
                    flush=True,
                )

            shown = killed = False
            last = time.monotonic()
            while not all(task.done() for task in clients):
                await asyncio.sleep(0.02)
                if kill and not killed and len(account.admitted) >= count // 2:
                    killed = True
                    print("  the relay is killed (SIGKILL) and started again", file=out, flush=True)
                    await relay.kill()
                    await relay.start()
                if time.monotonic() - last >= 0.5 or not shown:
                    shown, last = True, time.monotonic()
                    progress()
            await asyncio.gather(*clients)
            until = time.monotonic() + MESSAGE_TIMEOUT_S + 2
            while True:
                entries, wrong = await asyncio.to_thread(read_store, folder / "record.sqlite")
                open_ = [entry for entry in entries if entry.told_at is None]
                if (
                    not open_ and account.admitted <= {e.message for e in entries}
                ) or time.monotonic() > until:
                    break
                await asyncio.sleep(0.1)
            progress()
            await relay.stop()
            entries, wrong = await asyncio.to_thread(read_store, folder / "record.sqlite")
        finally:
            await relay.kill()
    effects: Counter[str] = Counter()
    for partner in partners:
        effects.update(partner.effects)
    return DemoResult(
        entries,
        account.admitted,
        effects,
        discovery.final_statuses,
        wrong,
        relay.store_warnings,
        account.rejections,
    )


def report(result: DemoResult, out: TextIO) -> int:
    """Prints the table and the line; the command's status."""
    rows = []
    for name in sorted({entry.about.class_name for entry in result.entries}):
        of = [entry for entry in result.entries if entry.about.class_name == name]
        ends = Counter(entry.answer for entry in of)
        took = sorted((e.answered_at - e.taken_at) / 1e6 for e in of if e.answered_at is not None)
        rows.append(
            (
                name,
                str(len(of)),
                *(str(ends[answer]) for answer in Answer),
                f"{sum(e.attempts for e in of) / len(of):.2f}",
                f"{took[len(took) // 2]:.3f} s" if took else "-",
                f"{took[-1]:.3f} s" if took else "-",
            )
        )
    print(file=out)
    head = ("class", "taken", *(answer.value for answer in Answer), "attempts each", "median", "longest")
    print_table(head, rows, out)
    ends = Counter(entry.answer for entry in result.entries)
    said = result.disagreements()
    for line in said[:20]:
        print(f"disagreement: {line}", file=out)
    if len(said) > 20:
        print(f"and {len(said) - 20} more", file=out)
    if result.store_warnings:
        warnings = result.store_warnings
        print(
            f"the store's disk was slow or its file held by another, {len(warnings)} times (first: "
            f"{warnings[0]}): clients were turned away {result.rejections} times and came again, "
            "and messages may have run out of time",
            file=out,
        )
    print(
        f"taken {len(result.entries)} delivered {ends[Answer.DELIVERED]} refused {ends[Answer.REFUSED]} "
        f"failed {ends[Answer.FAILED]} duplicates {result.duplicates}",
        file=out,
        flush=True,
    )
    return 1 if said or result.duplicates else 0


def parser() -> argparse.ArgumentParser:
    about = argparse.ArgumentParser(
        prog="python -m loftrelay demo",
        description="Starts a relay with a store of record, stand-in partners and a discovery on loopback, "
        "hands in messages of two classes (work orders that must not run twice, status updates), and "
        "compares the store with what the partners ran.",
        epilog="Status 0: all agree, nothing ran twice; 1: not so; 2: it could not be run.",
    )
    about.add_argument(
        "--folder",
        type=Path,
        metavar="DIR",
        help="a new or empty folder for the store, the journal and the log (default: a new one for temporary "
        "files, which the demo names and leaves)",
    )
    about.add_argument("--messages", type=int, default=1000, metavar="N", help="how many (default 1000)")
    about.add_argument("--seed", type=int, default=7, help="of all chance (default 7)")
    about.add_argument("--kill", action="store_true", help="kill the relay half-way, and start it again")
    return about


def main(arguments: Sequence[str] | None = None) -> int:
    asked = parser().parse_args(arguments)
    try:
        if asked.messages < 1:
            raise DemoError(f"--messages {asked.messages}: at least 1")
        folder = (asked.folder or Path(tempfile.mkdtemp(prefix="loftrelay-demo-"))).resolve()
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise DemoError(f"{folder} is not empty: the demo writes nothing beside what is there")
        result = asyncio.run(show(folder, asked.messages, asked.seed, asked.kill, sys.stdout))
    except (DemoError, OSError, StoreError) as error:
        print(f"loftrelay: demo: {error}", file=sys.stderr)
        return 2
    return report(result, sys.stdout)
