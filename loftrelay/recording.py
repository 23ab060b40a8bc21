"""Opens the store of record that the operator has set, for one relay."""

from __future__ import annotations

import asyncio
import logging

from loftrelay.config import Config
from loftrelay.journal.journal import Journal
from loftrelay.record.opening import opener
from loftrelay.record.recorder import Recorder
from loftrelay.record.rules import Mode
from loftrelay.record.settings import RecordSettings
from loftrelay.record.store import Unavailable
from loftrelay.record.writer import Writer
from mulleinlead.interface import Effect, Settings

log = logging.getLogger(__name__)

RETRY = 0.5  # seconds between looks for a store that is away at the start


def modes(settings: Settings, told: RecordSettings) -> dict[str, Mode]:
    """How each class is recorded: by its effect."""
    harmless = (Effect.SAFE, Effect.KEYED)
    return {
        name: told.repeatable if about.effect in harmless else told.unsafe
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
            await recorder.load(list(journal.held))
            return recorder
        except Unavailable as error:
            log.warning("the relay waits for its store of record: %s", error)
            await asyncio.sleep(RETRY)
        except BaseException:
            await recorder.close()
            raise
