"""Counts what code does, in place of the time that it takes."""

from __future__ import annotations

import sys
from collections.abc import Callable, ItemsView, Iterator, KeysView, ValuesView
from types import FrameType
from typing import Any, TypeVar

K = TypeVar("K")
V = TypeVar("V")


def count_instructions(run: Callable[[], object]) -> int:
    """Instructions of the interpreter that a call takes, in all that it calls."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        run()
    finally:
        sys.settrace(before)
    return count


class IterationCountingDict(dict[K, V]):
    """Counts the entries that are walked by its views and iterators: no instructions of their own."""

    iterated_entries = 0

    def _count(self) -> None:
        self.iterated_entries += len(self)

    def __iter__(self) -> Iterator[K]:
        self._count()
        return super().__iter__()

    def keys(self) -> KeysView[K]:  # type: ignore[override]
        self._count()
        return super().keys()

    def values(self) -> ValuesView[V]:  # type: ignore[override]
        self._count()
        return super().values()

    def items(self) -> ItemsView[K, V]:  # type: ignore[override]
        self._count()
        return super().items()
