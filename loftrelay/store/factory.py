"""Opens the back end that the operator's file names."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from loftrelay.store.backend import StoreBackend, StoreUnusableError
from loftrelay.store.settings import StoreSettings


def store_opener(settings: StoreSettings) -> Callable[[], StoreBackend]:
    """Returns what opens the store, in the writer's thread; only the library that is used is imported."""
    if settings.file is not None:
        from loftrelay.store.sqlite import SQLiteStore

        return partial(SQLiteStore, settings.file, settings.busy_ms, settings.synchronous)
    try:
        from loftrelay.store.postgres import PostgresStore
    except ImportError as error:
        raise StoreUnusableError(
            f"a PostgreSQL store needs the extra loftrelay[postgres]: {error}"
        ) from error
    return partial(PostgresStore, settings.dsn, settings.call_timeout_s)
