"""Chooses the back end that the settings file names."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from loftrelay.store.backend import StoreBackend, StoreUnusableError
from loftrelay.store.settings import StoreSettings


def store_opener(settings: StoreSettings) -> Callable[[], StoreBackend]:
    """Returns a function that opens the store, to be called in the writer's thread.

    Only the library of the chosen back end is imported.

    Raises:
        StoreUnusableError: The library for PostgreSQL is not installed.
    """
    if settings.file is not None:
        from loftrelay.store.sqlite import SQLiteStore

        return partial(SQLiteStore, settings.file, settings.busy_timeout_ms, settings.synchronous)
    try:
        from loftrelay.store.postgres import PostgresStore
    except ImportError as error:
        raise StoreUnusableError(
            f"dsn is set, but the extra loftrelay[postgres] is not installed: {error}"
        ) from error
    return partial(PostgresStore, settings.dsn, settings.call_timeout_s)
