"""Counts the work that code does, instead of measuring its time."""

from __future__ import annotations

import sys
from collections.abc import Callable, ItemsView, Iterator, KeysView, ValuesView
from types import FrameType
from typing import Any, TypeVar

K = TypeVar("K")
V = TypeVar("V")


def count_instructions(run: Callable[[], object]) -> int:
    """Returns how many bytecode instructions a call executes, including those of its callees."""
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
    """Counts the entries that its views and iterators cover, which executes no bytecode of its own."""

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
