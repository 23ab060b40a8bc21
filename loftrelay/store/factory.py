"""Opens the back end that the operator's file names."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from loftrelay.store.backend import Store, Unusable
from loftrelay.store.settings import RecordSettings


def opener(told: RecordSettings) -> Callable[[], Store]:
    """What opens the store, in the writer's thread. Libraries are imported only for the one that is used."""
    if told.file is not None:
        from loftrelay.store.sqlite import SQLiteStore

        return partial(SQLiteStore, told.file, told.busy_ms, told.synchronous)
    try:
        from loftrelay.store.postgres import PostgresStore
    except ImportError as error:
        raise Unusable(f"a PostgreSQL store needs the extra loftrelay[postgres]: {error}") from error
    return partial(PostgresStore, told.dsn, told.call_seconds)
