"""Resident memory of processes (proc(5), statm)."""

from __future__ import annotations

import os

THIS_PROCESS = "self"
RESIDENT_FIELD, SHARED_FIELD = 1, 2  # in pages; shared: of files


def resident_bytes(process: int | str = THIS_PROCESS) -> int | None:
    """Returns the resident memory of a process, by its id; None if it can't be read."""
    pages = _read_pages(process)
    return None if pages is None else pages[RESIDENT_FIELD] * _page_bytes()


def private_bytes() -> int | None:
    """Returns the resident memory that no other process of this program shares; None if it can't be read."""
    pages = _read_pages(THIS_PROCESS)
    return None if pages is None else (pages[RESIDENT_FIELD] - pages[SHARED_FIELD]) * _page_bytes()


def _read_pages(process: int | str) -> list[int] | None:
    try:
        with open(f"/proc/{process}/statm", "rb") as file:
            return [int(field) for field in file.read().split()]
    except (OSError, ValueError):  # for example: no file descriptor is left
        return None


def _page_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE")
