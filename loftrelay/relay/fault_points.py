"""Named steps between taking a message on and its recorded answer, for who wants to be told of them.

Nobody listens in a relay that runs. The project's tests listen, and end the process at each step in turn.
"""

from __future__ import annotations

from collections.abc import Callable

# In the order of a message's life. "commit K" is before, "committed K" right after a commit that holds a
# change of kind K (loftrelay.store.state_machine.Kind), in the thread of the store and before the loop knows.
STEPS = (
    "journal take",  # the journal has it, the store was not asked yet
    "commit take",
    "committed take",
    "recorded take",  # the loop knows, and its client does not
    "answered taken",  # 202 is written to its client
    "commit intend",
    "committed intend",
    "journal try",  # before the first byte of an attempt
    "heard",  # its answer has come, and nothing was made of it
    "journal end",  # delivered, as the journal has it
    "commit end",
    "commit told",  # of a delivery, in the commit of its end
    "committed end",
    "committed told",
    "journal over",  # nothing more is owed
)
# A message that fails or is put off passes these besides:
NOTICE_STEPS = (
    "commit outcome",
    "committed outcome",
    "journal notice",  # its final answer is decided
    "tell",  # the store has the final answer; the platform was not told
    "told",  # the platform has answered
)

# The process that serves passes the first, the one that takes over the others:
GIVING_STEPS = ("frozen", "told state", "giving", "given", "handed over")
TAKING_STEPS = ("loaded", "yours", "taken over")

ALL_STEPS = STEPS + NOTICE_STEPS + GIVING_STEPS + TAKING_STEPS

listener: Callable[[str], None] | None = None


def fault_point(step: str) -> None:
    """To be called where the step is. Costs next to nothing while nobody listens."""
    if listener is not None:
        listener(step)
