"""Number of lines in the head of an HTTP message, counted before the head is parsed.

A head of a few KiB may hold thousands of fields, each of which costs a parser many times its bytes.
"""

from __future__ import annotations

_HEAD_ENDS = (b"\n\r\n", b"\n\n")


def count_head_lines(received: bytes | bytearray) -> int:
    """Returns the number of lines in the head that `received` begins with, complete or not."""
    ends = [end + 1 for end in map(received.find, _HEAD_ENDS) if end >= 0]
    return received.count(b"\n", 0, min(ends, default=len(received)))
