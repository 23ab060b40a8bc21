"""Random journal operations with fixed seeds, and a hash of all bytes written, to compare two programs."""

from __future__ import annotations

import hashlib
import itertools
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

START_US = 1_000_000_000_000_000
OPERATIONS = 1_500
SEEDS = range(24)
TERMS = ("SAFE", None, None, 1, 2, 1.0, 0.5, False, 12)
STATUSES = ("ERROR", "FULL", "TIMEOUT", "NO_CONNECTION", "BROKEN", "SPOILT", "CANCELLED", "NOT_SENT")


class Adapter(Protocol):
    """The journal of one program, under method names common to both programs."""

    def open(self, folder: Path, disk_bytes: int, clock: Callable[[], int]) -> None: ...
    def close(self) -> None: ...
    def messages(self) -> dict[str, Any]: ...
    def new_message(self, fields: list[Any], terms: tuple[Any, ...] | None) -> Any: ...
    def admit(self, message: Any) -> bool: ...
    def record_attempt(self, message: Any) -> bool: ...
    def record_result(self, message: Any, status: str) -> None: ...
    def record_dispute(self, message: Any) -> None: ...
    def record_final_status(self, message: Any, report: dict[str, Any]) -> None: ...
    def complete(self, message: Any, status: int) -> None: ...
    def answer(self, message_id: str) -> int: ...


def play(journal: Adapter, folder: Path, seed: int) -> str:
    """Returns the hash of the files and of the journal's answers.

    With even seeds no answers are stored: compaction copies answers in the order of a set of strings, which
    differs between processes. With odd seeds the disk budget is too large for compaction.
    """
    draw = random.Random(seed)
    ticks = itertools.count(START_US, 997)

    def clock() -> int:
        return next(ticks)

    disk_bytes = draw.choice([60_000, 150_000, 400_000]) if seed % 2 == 0 else 100_000_000
    digest = hashlib.sha256()
    journal.open(folder, disk_bytes, clock)
    admitted = 0
    for _ in range(OPERATIONS):
        chance, messages = draw.random(), journal.messages()
        if chance < 0.35 or not messages:
            admitted += 1
            digest.update(b"%d" % journal.admit(_new_message(journal, draw, admitted)))
        else:
            message = messages[draw.choice(sorted(messages))]
            digest.update(_operate(journal, draw, message, chance, answers=seed % 2 == 1))
        if draw.random() < 0.004 and seed % 2 == 0:
            journal.close()
            journal.open(folder, disk_bytes, clock)
        if draw.random() < 0.01:
            digest.update(b"%d" % journal.answer(f"m{draw.randint(1, admitted)}"))
    journal.close()
    for path in sorted(folder.iterdir()):
        digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()


def _new_message(journal: Adapter, draw: random.Random, number: int) -> Any:
    fields = [
        f"m{number}",
        0,
        draw.choice(["status", "order"]),
        draw.choice([None, "acme"]),
        draw.randrange(3),
        draw.choice([None, "k1", "k2"]),
        START_US,
        START_US + draw.choice([1, 1_000_000, 1_000_000_000_000]),
        draw.randbytes(draw.choice([0, 50, 2000])),
    ]
    return journal.new_message(fields, TERMS if draw.random() < 0.8 else None)


def _operate(journal: Adapter, draw: random.Random, message: Any, chance: float, answers: bool) -> bytes:
    if chance < 0.55:
        message.attempts += 1
        return b"%d" % journal.record_attempt(message)
    if chance < 0.7:
        journal.record_result(message, draw.choice(STATUSES))
    elif chance < 0.75:
        journal.record_dispute(message)
    elif chance < 0.82:
        journal.record_final_status(message, {"id": message.id, "status": "undeliverable"})
    else:
        journal.complete(message, draw.choice([0, 200, 500]) if answers else 0)
    return b""
