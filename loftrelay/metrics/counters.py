"""The counters of one process, and the lines that show them beside the gauges. No input or output.

The names in the lines belong to the platform and stay as they are; `Metrics.lines` maps them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "app."


class FinalStatus(Enum):
    """How a message ended, as its client or the platform was informed. Values are the names in the lines."""

    SUCCEEDED = "succeeded"  # delivered
    REJECTED = "declined"  # rejected at admission, or later without an effect
    ABORTED = "aborted"  # failed


@dataclass(frozen=True, slots=True)
class Gauges:
    """Values of the moment, read from the parts that own them."""

    outstanding: int  # messages admitted and not complete
    discovered: int  # endpoints in the list
    ejected: int  # of these, not used now: disabled by an operator or avoided by a decision


class Metrics:
    """Counts what happened since the process began."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.final_statuses: Counter[tuple[str, FinalStatus]] = Counter()
        self.classes: dict[str, None] = {}  # every class that was ever in force, in order
        self.forwards = 0  # messages written completely to hosts
        self.sighup_applied = 0
        self.sighup_rejected = 0
        self.lists_rejected = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Shows these classes from now on, with 0 too. A class that was dropped keeps its counts."""
        self.classes.update(dict.fromkeys(classes))

    def count_final_status(self, class_name: str, status: FinalStatus) -> None:
        """Counts one message that ended."""
        self.add_classes((class_name,))
        self.final_statuses[class_name, status] += 1

    def count_forwarded(self, messages: int) -> None:
        """Counts messages written completely to a host."""
        self.forwards += messages

    def lines(self, gauges: Gauges) -> list[str]:
        """Returns one line `app.NAME=VALUE` for each counter and gauge."""
        values: dict[str, int] = {
            f"{status.value}.{name}": self.final_statuses[name, status]
            for status in FinalStatus
            for name in self.classes
        }
        values |= {
            "forwards": self.forwards,
            "outstanding": gauges.outstanding,
            "discovered": gauges.discovered,
            "ejected": gauges.ejected,
            "sighup_applied": self.sighup_applied,
            "sighup_rejected": self.sighup_rejected,
        }
        if self.lists_rejected:
            values["lists_refused"] = self.lists_rejected
        return [f"{PREFIX}{name}={value}" for name, value in values.items()]
