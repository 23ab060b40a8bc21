"""Starts a relay on state stored by another program: what it delivers, reports and answers.

`python -m tests.standins.recovered ROOT STATE` prints this for the program in ROOT, for fixtures.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sqlite3
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from tests.standins.harness import ROOT, SETTINGS, TEST_TIMEOUT_S, RelayHarness, free_port, respond_ok

CENTURY_US = 3_155_760_000_000_000
CLASSES = [
    *SETTINGS["classes"],
    *(
        {
            "name": name,
            "effect": "deduplicated",
            "key_scope": "all",
            "window": window,
            "deadline": 24_000_000,
            "on_time": 3_000_000,
            "worth": 2,
        }
        for name, window in (("alarm", CENTURY_US), ("brief", 1_000_000))
    ),
]
RESUBMITTED = tuple(
    f"{state}-{name}"
    for state in ("delivered", "undeliverable", "forgotten")
    for name in ("status", "order", "alarm", "brief")
)


async def recover(
    folder: Path, state: Path, unfinished: set[str], root: Path = ROOT, record: Path | None = None
) -> dict[str, Any]:
    """Runs the program of `root` on a copy of `state` until all of `unfinished` are complete."""
    async with RelayHarness(folder, classes=CLASSES) as harness:
        harness.root = root
        harness.admin_address = f"127.0.0.1:{free_port()}"
        shutil.copytree(state, folder / "state")
        if record is not None:
            shutil.copy(record, folder / "record.sqlite")
            (folder / "record.toml").write_text(f'file = "{folder / "record.sqlite"}"\n')
            harness.arguments = ["--record", str(folder / "record.toml")]
        host = await harness.start_host(respond_ok)
        await harness.start()
        await harness.wait_until(
            lambda: unfinished <= {*host.request_ids, *(report["id"] for report in harness.status_reports)}
        )
        resubmitted = {}
        if record is None:
            for name in RESUBMITTED:
                class_name = name.rpartition("-")[2]
                resubmitted[name] = await harness.submit(name, class_name, path=f"/{class_name}/{name}")
        else:
            for name in ("store-told-delivered", "store-told-failed", "store-told-refused"):
                resubmitted[name] = await harness.submit(name, "order", path=f"/order/{name}")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while "app.outstanding=0" not in await harness.call_admin("show-stat"):
                await asyncio.sleep(0.02)
        rows = await read_reported_rows(folder / "record.sqlite") if record is not None else []
        await harness.kill()
        return {
            "calls": dict(sorted(Counter(host.request_ids).items())),
            "bodies": {request.id: request.body for request in host.requests},
            "idempotency_keys": {
                request.id: request.headers["idempotency-key"]
                for request in host.requests
                if "idempotency-key" in request.headers
            },
            "reports": sorted(harness.status_reports, key=lambda report: str(report["id"])),
            "resubmitted": resubmitted,
            "rows": rows,
        }


async def read_reported_rows(store: Path) -> list[list[object]]:
    """Returns id, run, state, answer, attempts and result of each message, once all are reported."""
    database = sqlite3.connect(f"file:{store}?mode=ro", uri=True)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while database.execute("SELECT count(*) FROM messages WHERE told_at IS NULL").fetchone() != (0,):
                await asyncio.sleep(0.02)
        rows = database.execute("SELECT id, run, state, answer, attempts, result FROM messages ORDER BY id")
        return [list(row) for row in rows]
    finally:
        database.close()


def main(root: Path, fixtures: Path) -> None:
    contents = json.loads((fixtures / "journal_contents.json").read_text())
    results = {}
    for name, record in (
        ("journal", None),
        ("journal_compacted", None),
        ("journal_of_store", fixtures / "record.sqlite"),
    ):
        unfinished = set(contents[name]["messages"])
        if record is not None:
            unfinished -= {"store-delivered-unrecorded"}
            unfinished |= {"store-lost", "store-lost-out"}
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(recover(Path(folder), fixtures / name, unfinished, root, record))
        del result["bodies"]  # they are in journal_contents.json
        results[name] = result
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
