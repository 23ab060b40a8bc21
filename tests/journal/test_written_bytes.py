"""Tests that random operations write the same files, byte for byte, as the program of commit 32c0038."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.journal.journal import Journal
from loftrelay.relay.message import Message
from loftrelay.relay.ports import JournalFullError
from tests.standins.journal_script import SEEDS, play

FIXTURE = Path(__file__).parents[1] / "fixtures" / "state_32c0038" / "journal_hashes.json"
HASHES: dict[str, str] = json.loads(FIXTURE.read_text())


class JournalAdapter:
    """Runs the operations of `journal_script` on the present journal."""

    def open(self, folder: Path, disk_bytes: int, clock: Callable[[], int]) -> None:
        self.journal = Journal(folder, disk_bytes, clock=clock)

    def close(self) -> None:
        self.journal.close()

    def messages(self) -> dict[str, Any]:
        return dict(self.journal.messages)

    def new_message(self, fields: list[Any], terms: tuple[Any, ...] | None) -> Message:
        message = Message(*fields)
        message.packed_terms = terms
        return message

    def admit(self, message: Message) -> bool:
        return self._is_stored(lambda: self.journal.admit(message))

    def record_attempt(self, message: Message) -> bool:
        return self._is_stored(lambda: self.journal.record_attempt(message, "h1"))

    def record_result(self, message: Message, status: str) -> None:
        self.journal.record_attempt_result(message, AttemptStatus(status))

    def record_dispute(self, message: Message) -> None:
        self.journal.record_dispute(message, "h2", 5)

    def record_final_status(self, message: Message, report: dict[str, Any]) -> None:
        self.journal.record_final_status(message.id, report)

    def complete(self, message: Message, status: int) -> None:
        self.journal.complete(message.id, status)

    def answer(self, message_id: str) -> int:
        completed = self.journal.completed(message_id)
        return completed.status if completed is not None else 0

    def _is_stored(self, write: Callable[[], None]) -> bool:
        try:
            write()
        except JournalFullError:
            return False
        return True


@pytest.mark.parametrize("seed", SEEDS)
def test_journal_with_random_operations_writes_files_of_earlier_version(tmp_path: Path, seed: int) -> None:
    assert play(JournalAdapter(), tmp_path, seed) == HASHES[str(seed)]
