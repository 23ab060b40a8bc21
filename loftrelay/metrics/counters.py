"""The counters of one process, and the lines that show them beside the gauges. It does no input or output."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "app."


class FinalStatus(Enum):
    """How a message ended, by what its client or the platform was told."""

    SUCCEEDED = "succeeded"  # delivered
    REJECTED = "declined"  # refused at the door, or handed back
    ABORTED = "aborted"  # failed


@dataclass(frozen=True, slots=True)
class Gauges:
    """What holds now, as its owners tell."""

    outstanding: int  # messages taken and not ended
    discovered: int  # hosts in the list
    ejected: int  # of these, avoided now, by hand or by choice


class Metrics:
    """Every process counts from 0."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.final_statuses: Counter[tuple[str, FinalStatus]] = Counter()
        self.classes: dict[str, None] = {}  # all that were ever in force, in order
        self.forwards = 0  # messages written whole to hosts
        self.sighup_applied = 0
        self.sighup_rejected = 0
        self.lists_rejected = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Shows these classes from now on, also with 0. A class that was dropped keeps its counts."""
        self.classes.update(dict.fromkeys(classes))

    def count_final_status(self, class_name: str, end: FinalStatus) -> None:
        self.add_classes((class_name,))
        self.final_statuses[class_name, end] += 1

    def count_forwarded(self, messages: int) -> None:
        self.forwards += messages

    def lines(self, gauges: Gauges) -> list[str]:
        """`app.NAME=VALUE`, one each."""
        told: dict[str, int] = {
            f"{end.value}.{name}": self.final_statuses[name, end]
            for end in FinalStatus
            for name in self.classes
        }
        told |= {
            "forwards": self.forwards,
            "outstanding": gauges.outstanding,
            "discovered": gauges.discovered,
            "ejected": gauges.ejected,
            "sighup_applied": self.sighup_applied,
            "sighup_rejected": self.sighup_rejected,
        }
        if self.lists_rejected:
            told["lists_refused"] = self.lists_rejected
        return [f"{PREFIX}{name}={value}" for name, value in told.items()]
