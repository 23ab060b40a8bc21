"""Starts tasks whose end is seen, and calls callbacks whose failure is not the caller's.

asyncio reports the failure of a task only when the task is collected, which may be never.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

log = logging.getLogger(__name__)

MIN_RESTART_DELAY_S = 0.1  # doubled with each failure
MAX_RESTART_DELAY_S = 5.0
T = TypeVar("T")


def start_watched(work: Coroutine[Any, Any, T], name: str) -> asyncio.Task[T]:
    """Starts a task whose failure is logged at once."""
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def start_supervised(run: Callable[[], Coroutine[Any, Any, None]], name: str) -> asyncio.Task[None]:
    """Starts a task that must not end by a failure: `run` is started again after a delay."""
    return asyncio.create_task(_run_supervised(run, name), name=name)


def run_isolated(callback: Callable[[], None], name: str) -> None:
    """Calls a callback; logs its failure, which must not end the work of the caller."""
    try:
        callback()
    except Exception:
        log.exception("%s failed by an internal error", name)


async def _run_supervised(run: Callable[[], Coroutine[Any, Any, None]], name: str) -> None:
    delay = MIN_RESTART_DELAY_S
    while True:
        try:
            await run()
        except Exception:
            log.exception("%s failed by an internal error, starting it again in %g s", name, delay)
        else:
            return
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RESTART_DELAY_S)


def _log_failure(task: asyncio.Task[Any]) -> None:
    if task.cancelled() or (error := task.exception()) is None:
        return
    log.error("%s failed by an internal error", task.get_name(), exc_info=error)
