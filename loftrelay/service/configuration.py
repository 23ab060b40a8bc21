"""The platform's configuration in force: reread on SIGHUP, and kept for a start that finds a broken file."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from loftrelay.config.platform import Config, ConfigChange, ConfigError, reload_config
from loftrelay.relay.engine import Engine
from loftrelay.state.last_config import LastFile

if TYPE_CHECKING:
    from loftrelay.decisions.settings import RelaySettings

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Applies a new configuration to a running engine.

    Args:
        config: the configuration of the start.
        apply_to_store: given the new settings, where there is a store.
    """

    def __init__(self, config: Config, apply_to_store: Callable[[RelaySettings], None]) -> None:
        self.document = config.document  # in force
        self.last_config = LastFile(config.state_dir)
        self.apply_to_store = apply_to_store

    def save(self) -> None:
        """Keeps the configuration in force for the next start."""
        self.last_config.save(self.document)

    def reload(self, engine: Engine) -> None:
        """Reads the configuration again; nothing changes if anything in it is wrong."""
        metrics = engine.context.metrics
        try:
            reloaded = reload_config(os.environ, self.document)
        except ConfigError as error:
            metrics.sighup_rejected += 1
            log.error("configuration unchanged: %s", error)
            return
        self._adopt(reloaded)
        self.apply_to_store(reloaded.settings)
        engine.apply_settings(reloaded.settings, reloaded.discovery)
        metrics.sighup_applied += 1

    def reload_if_replaced(self, engine: Engine) -> None:
        """Applies a file that was replaced while the predecessor still got the SIGHUP for it."""
        try:
            reloaded = reload_config(os.environ, self.document)
        except ConfigError:
            return
        if reloaded.document != self.document:
            self._adopt(reloaded)
            engine.apply_settings(reloaded.settings, reloaded.discovery)

    def _adopt(self, reloaded: ConfigChange) -> None:
        self.document = reloaded.document
        self.save()
