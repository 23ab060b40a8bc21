"""Fault points: named places in the processing of a message and in a handover, where tests inject faults.

In production there is no listener. The tests install one that kills or suspends the process at each fault
point in turn.
"""

from __future__ import annotations

from collections.abc import Callable

# A delivered message passes these in order. "commit K" comes right before, "committed K" right after a store
# commit that holds a change of kind K (loftrelay.store.state_machine.ChangeKind), in the store's thread.
DELIVERY_POINTS = (
    "journal take",  # written to the journal; the store has not been asked yet
    "commit take",
    "committed take",
    "recorded take",  # the event loop knows of the commit; the client has no response yet
    "journal sure",  # the commit is noted in the journal; the client has no response yet
    "answered taken",  # 202 is written to the client
    "commit intend",
    "committed intend",
    "journal try",  # the attempt is recorded in the journal; none of its bytes is sent yet
    "heard",  # the response is read and not processed yet
    "journal end",  # the delivery is recorded in the journal
    "commit end",
    "commit told",  # for a delivery in the same commit as "end"
    "committed end",
    "committed told",
    "journal over",  # the message is complete in the journal
)
# A message that fails or is rejected also passes these:
FINAL_STATUS_POINTS = (
    "commit outcome",
    "committed outcome",
    "journal notice",  # the final status is recorded in the journal
    "tell",  # the store has recorded the final status; the platform has no report yet
    "told",  # the platform has acknowledged the report
)
# A message whose final status the store has not recorded in time passes these in place of "tell" and "told":
UNRECORDED_POINTS = (
    "tell unrecorded",  # the platform has no report yet
    "told unrecorded",  # the platform has acknowledged the report; the journal does not say so yet
    "journal told",  # the journal says so
)
# A message whose recorded delivery turns out to be doubtful also passes these:
DISPUTE_POINTS = ("commit dispute", "committed dispute")

# Fault points of a handover, in order:
PREDECESSOR_POINTS = ("frozen", "told state", "giving", "given", "handed over")
SUCCESSOR_POINTS = ("loaded", "yours", "taken over")

ALL_POINTS = (
    *DELIVERY_POINTS,
    *FINAL_STATUS_POINTS,
    *UNRECORDED_POINTS,
    *DISPUTE_POINTS,
    *PREDECESSOR_POINTS,
    *SUCCESSOR_POINTS,
)

listener: Callable[[str], None] | None = None


def fault_point(name: str) -> None:
    """Passes the name of a fault point that the program has reached to the listener, if there is one."""
    if listener is not None:
        listener(name)
