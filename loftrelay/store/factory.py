"""Opens the back end that the operator's file names."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from loftrelay.store.backend import StoreBackend, StoreUnusableError
from loftrelay.store.settings import StoreSettings


def store_opener(told: StoreSettings) -> Callable[[], StoreBackend]:
    """Returns what opens the store, in the writer's thread; only the library that is used is imported."""
    if told.file is not None:
        from loftrelay.store.sqlite import SQLiteStore

        return partial(SQLiteStore, told.file, told.busy_ms, told.synchronous)
    try:
        from loftrelay.store.postgres import PostgresStore
    except ImportError as error:
        raise StoreUnusableError(
            f"a PostgreSQL store needs the extra loftrelay[postgres]: {error}"
        ) from error
    return partial(PostgresStore, told.dsn, told.call_timeout_s)
