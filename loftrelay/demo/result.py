"""Result of a demo run, and the comparison of what its components recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from loftrelay.demo.scenario import AT_MOST_ONCE_CLASSES
from loftrelay.store.state_machine import MessageRecord, StoredFinalStatus


@dataclass
class DemoResult:
    """What the store, the clients, the destinations and discovery recorded.

    Attributes:
        entries: All records of the store.
        admitted: Ids of messages whose admission was confirmed to a client.
        executions: How often destinations executed each message.
        final_statuses: What was reported to discovery, by message id.
        store_faults: Faults found by the store's own check.
        store_warnings: Log lines which say that the store was slow or unavailable.
        rejections: How often a client was rejected and retried.
    """

    entries: list[MessageRecord]
    admitted: set[str]
    executions: Counter[str]
    final_statuses: dict[str, str]
    store_faults: list[str]
    store_warnings: list[str] = field(default_factory=list)
    rejections: int = 0

    @property
    def duplicates(self) -> int:
        """Executions beyond the first of at-most-once messages; others may be repeated after a kill."""
        names = {
            entry.message_id for entry in self.entries if entry.metadata.class_name in AT_MOST_ONCE_CLASSES
        }
        return sum(count - 1 for name, count in self.executions.items() if name in names)

    def disagreements(self) -> list[str]:
        """Returns one line for each contradiction between these records."""
        recorded = {entry.message_id for entry in self.entries}
        lines = list(self.store_faults)
        lines += [f"{name}: admitted, and not in the store" for name in sorted(self.admitted - recorded)]
        lines += [
            f"{name}: executed, and not in the store" for name in sorted(set(self.executions) - recorded)
        ]
        lines += self._contradicted_entries()
        return lines

    def _contradicted_entries(self) -> Iterator[str]:
        # One record a message: a later one replaces an earlier one.
        for name, entry in {entry.message_id: entry for entry in self.entries}.items():
            if entry.reported_at is None:
                yield f"{name}: its final status is not reported"
                continue
            if entry.final_status is StoredFinalStatus.FAILED:
                continue  # after a kill it may have been executed
            if (entry.final_status is StoredFinalStatus.DELIVERED) != (self.executions[name] > 0):
                answer = entry.final_status.value if entry.final_status is not None else "no answer"
                yield f"{name}: {answer}, executed {self.executions[name]} times"
