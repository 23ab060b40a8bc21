"""Fault points: named places in the life of a message and of a handover, where tests inject faults.

Nobody listens in a relay that serves. The project's tests listen, and end or stop the process at each in
turn.
"""

from __future__ import annotations

from collections.abc import Callable

# A message that is delivered passes these in order. "commit K" is before, "committed K" right after a commit
# that holds a change of kind K (loftrelay.store.state_machine.ChangeKind), in the thread of the store.
DELIVERY_POINTS = (
    "journal take",  # it is in the journal, and the store has not been asked yet
    "commit take",
    "committed take",
    "recorded take",  # the event loop knows, and its client does not
    "answered taken",  # 202 is written to its client
    "commit intend",
    "committed intend",
    "journal try",  # before the first byte of an attempt
    "heard",  # the response is read, and has no effect yet
    "journal end",  # delivered, in the journal
    "commit end",
    "commit told",  # of a delivery, in the same commit as its end
    "committed end",
    "committed told",
    "journal over",  # the message is over
)
# One that fails or is rejected passes these besides:
FINAL_STATUS_POINTS = (
    "commit outcome",
    "committed outcome",
    "journal notice",  # its final status is decided
    "tell",  # the store has the final status; the platform has not been told
    "told",  # the platform has acknowledged it
)

# Of a handover:
PREDECESSOR_POINTS = ("frozen", "told state", "giving", "given", "handed over")
SUCCESSOR_POINTS = ("loaded", "yours", "taken over")

ALL_POINTS = DELIVERY_POINTS + FINAL_STATUS_POINTS + PREDECESSOR_POINTS + SUCCESSOR_POINTS

listener: Callable[[str], None] | None = None


def fault_point(name: str) -> None:
    """Tells the listener, if there is one, that the program is at a fault point."""
    if listener is not None:
        listener(name)
