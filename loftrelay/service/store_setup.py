"""Opens the store of record that the operator has set, for one relay."""

from __future__ import annotations

import asyncio
import logging

from loftrelay.config.platform import Config
from loftrelay.decisions.settings import DeliverySemantics, RelaySettings
from loftrelay.journal.journal import Journal
from loftrelay.store.backend import StoreUnavailableError
from loftrelay.store.factory import store_opener
from loftrelay.store.recorder import Recorder
from loftrelay.store.settings import StoreSettings
from loftrelay.store.state_machine import DurabilityMode
from loftrelay.store.writer import Writer

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.5  # seconds between looks for a store that is away at the start


def durability_modes(settings: RelaySettings, store_settings: StoreSettings) -> dict[str, DurabilityMode]:
    """How each class is recorded: by its effect."""
    harmless = (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)
    return {
        name: store_settings.repeatable_mode
        if about.semantics in harmless
        else store_settings.at_most_once_mode
        for name, about in settings.classes.items()
    }


async def open_store(config: Config, store_settings: StoreSettings, journal: Journal) -> Recorder:
    """The store of record, read. Waits for one that is away, and raises Unusable for one that stays so."""
    writer = Writer(
        store_opener(store_settings), store_settings.max_queued, store_settings.max_changes_per_commit
    )
    recorder = Recorder(
        writer,
        config.name,
        durability_modes(config.settings, store_settings),
        store_settings.id_retention_us,
        store_settings.record_retention_us,
        store_settings.max_store_wait_s,
    )
    while True:
        try:
            await recorder.load(list(journal.messages))
        except StoreUnavailableError as error:
            log.warning("the relay waits for its store of record: %s", error)
            await asyncio.sleep(RETRY_INTERVAL_S)
        except BaseException:
            await recorder.close()
            raise
        else:
            return recorder
