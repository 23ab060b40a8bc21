"""Counters of one process, and their output as metric lines together with the gauges.

The platform defines the metric names; `Metrics.lines` maps the attributes to them. Does no input or output.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PREFIX = "app."


class FinalStatus(Enum):
    """Final status of a message as its client or the platform was told. Values are used in metric names."""

    SUCCEEDED = "succeeded"  # delivered
    REJECTED = "declined"  # rejected, at admission or later; the client can safely submit it again
    ABORTED = "aborted"  # failed


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values, read from the components that own them."""

    outstanding: int  # admitted messages that are not complete
    discovered: int  # endpoints in the endpoint list
    ejected: int  # of these, unused endpoints: disabled by an operator or avoided by the scheduler


class Metrics:
    """Counters since the start of the process."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.final_statuses: Counter[tuple[str, FinalStatus]] = Counter()
        self.classes: dict[str, None] = {}  # all message classes since the start, in order
        self.forwards = 0  # messages that were completely written to hosts
        self.sighup_applied = 0
        self.sighup_rejected = 0
        self.lists_rejected = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Adds classes to the metric lines, even if their counts are 0. A removed class keeps its counts."""
        self.classes.update(dict.fromkeys(classes))

    def count_final_status(self, class_name: str, status: FinalStatus) -> None:
        """Counts one message with its final status."""
        self.add_classes((class_name,))
        self.final_statuses[class_name, status] += 1

    def count_forwarded(self, messages: int) -> None:
        """Counts messages that were completely written to a host."""
        self.forwards += messages

    def lines(self, gauges: Gauges) -> list[str]:
        """Returns one metric line `app.NAME=VALUE` for each counter and gauge."""
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
