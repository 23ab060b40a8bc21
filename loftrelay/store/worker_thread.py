"""Thread that runs the calls of a store one after the other; a hanging call does not delay the exit."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import ParamSpec, TypeVar

P = ParamSpec("P")
T = TypeVar("T")


class WorkerThread(Executor):
    """Executor with one daemon thread, which the interpreter does not wait for at its exit."""

    def __init__(self, name: str) -> None:
        self._calls: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, function: Callable[P, T], /, *args: P.args, **kwargs: P.kwargs) -> Future[T]:
        """Queues a call; returns a future with its result."""
        future: Future[T] = Future()

        def call() -> None:
            if not future.set_running_or_notify_cancel():
                return
            try:
                result = function(*args, **kwargs)
            except BaseException as error:  # noqa: BLE001 - it is raised where the result is awaited
                future.set_exception(error)
            else:
                future.set_result(result)

        self._calls.put(call)
        return future

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Ends the thread after the queued calls; waits for that if `wait` is set."""
        del cancel_futures
        self._calls.put(None)
        if wait:
            self._thread.join()

    def _run(self) -> None:
        while (call := self._calls.get()) is not None:
            call()
