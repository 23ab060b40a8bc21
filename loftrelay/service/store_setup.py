"""Opens the store of record that the operator has configured, for one relay."""

from __future__ import annotations

import asyncio
import logging

from loftrelay.config.platform import Config
from loftrelay.journal.journal import Journal
from loftrelay.service.startup_reports import StartupReports
from loftrelay.store.backend import StoreUnavailableError
from loftrelay.store.factory import store_opener
from loftrelay.store.recorder import Recorder
from loftrelay.store.settings import StoreSettings
from loftrelay.store.writer import Writer

log = logging.getLogger(__name__)

MAX_CLOSE_S = 0.5  # for the store to close if the start is given up
RETRY_INTERVAL_S = 0.5  # between attempts to open a store that is unavailable at startup


async def open_store(config: Config, store_settings: StoreSettings, journal: Journal) -> Recorder:
    """Opens the store of record and reads it; retries while the store is unavailable.

    While it waits, messages of the journal whose deadline passes are reported in time.

    Args:
        config: Configuration of the relay.
        store_settings: Operator's settings of the store.
        journal: Journal whose messages are looked up in the store.

    Returns:
        The recorder, which has loaded the records.

    Raises:
        StoreError: The store can't be used.
    """
    writer = Writer(
        store_opener(store_settings), store_settings.max_queued, store_settings.max_changes_per_commit
    )
    recorder = Recorder(
        writer,
        config.name,
        store_settings.durability,
        store_settings.id_retention_us,
        store_settings.record_retention_us,
        store_settings.max_store_wait_s,
    )
    reports = StartupReports(journal, config.discovery)
    try:
        await _load_when_available(recorder, list(journal.messages))
    except BaseException:
        await recorder.close(MAX_CLOSE_S)
        raise
    finally:
        reports.close()
    return recorder


async def _load_when_available(recorder: Recorder, message_ids: list[str]) -> None:
    while True:
        try:
            await recorder.load(message_ids)
        except StoreUnavailableError as error:
            log.warning("relay waits for its store of record: %s; retrying in %g s", error, RETRY_INTERVAL_S)
            await asyncio.sleep(RETRY_INTERVAL_S)
        else:
            return
