"""Platform's configuration in force: reloaded on SIGHUP, and stored for a start with an invalid file."""

from __future__ import annotations

import logging
import os

from loftrelay.config.platform import Config, ConfigChange, ConfigError, reload_config
from loftrelay.relay.engine import Engine
from loftrelay.state.last_config import LastConfigFile

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Applies a new configuration to a running engine.

    Args:
        config: Configuration at startup.

    Attributes:
        document: Document of the configuration in force, as read from the file.
    """

    def __init__(self, config: Config) -> None:
        self.document = config.document
        self.last_config = LastConfigFile(config.state_dir)

    def save(self) -> None:
        """Stores the configuration in force for the next start."""
        self.last_config.save(self.document)

    def reload(self, engine: Engine) -> None:
        """Reloads the configuration; an invalid one is logged, counted, and changes nothing."""
        metrics = engine.context.metrics
        try:
            reloaded = reload_config(os.environ, self.document)
        except ConfigError as error:
            metrics.sighup_rejected += 1
            log.error("configuration unchanged, the new one is invalid: %s", error)
            return
        self._adopt(reloaded)
        engine.apply_settings(reloaded.settings, reloaded.discovery)
        metrics.sighup_applied += 1

    def reload_if_replaced(self, engine: Engine) -> None:
        """Applies a file that was replaced during a handover, when the SIGHUP went to the predecessor."""
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
