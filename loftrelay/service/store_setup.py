"""Opens the store of record that the operator has set, for one relay."""

from __future__ import annotations

import asyncio
import logging

from loftrelay.config.platform import Config
from loftrelay.decisions.settings import DeliverySemantics, RelaySettings
from loftrelay.journal.journal import Journal
from loftrelay.store.backend import Unavailable
from loftrelay.store.factory import opener
from loftrelay.store.recorder import Recorder
from loftrelay.store.settings import RecordSettings
from loftrelay.store.state_machine import Mode
from loftrelay.store.writer import Writer

log = logging.getLogger(__name__)

RETRY = 0.5  # seconds between looks for a store that is away at the start


def modes(settings: RelaySettings, told: RecordSettings) -> dict[str, Mode]:
    """How each class is recorded: by its effect."""
    harmless = (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)
    return {
        name: told.repeatable if about.semantics in harmless else told.unsafe
        for name, about in settings.classes.items()
    }


async def open_record(config: Config, told: RecordSettings, journal: Journal) -> Recorder:
    """The store of record, read. Waits for one that is away, and raises Unusable for one that stays so."""
    writer = Writer(opener(told), told.most_queued, told.most_in_commit)
    recorder = Recorder(
        writer, config.name, modes(config.settings, told), told.memory, told.keep, told.patience
    )
    while True:
        try:
            await recorder.load(list(journal.messages))
        except Unavailable as error:
            log.warning("the relay waits for its store of record: %s", error)
            await asyncio.sleep(RETRY)
        except BaseException:
            await recorder.close()
            raise
        else:
            return recorder
