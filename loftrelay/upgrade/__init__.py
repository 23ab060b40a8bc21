"""Replaces one process of a relay by the next while it serves: ownership of the state, and its handover.

The owner is the process that holds the lock of the state folder (`lock`). `state_machine` says who owns what
in each step of a handover, on both sides; `sender` and `receiver` carry that out, over a Unix socket
(`channel`) that takes `messages` and descriptors.
"""
