"""Handover of a running relay from one process, the predecessor, to the next one, the successor.

The process that holds the lock of the state folder (`lock`) owns the relay's state. `state_machine` defines
the steps of a handover for both processes; `sender` and `receiver` carry them out. They exchange `messages`
and file descriptors over a Unix socket (`channel`).
"""
