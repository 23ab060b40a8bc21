"""A registry as a process: its parts joined, its file read again, its end."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from pathlib import Path

from loftrelay.config.toml_file import SettingsError
from loftrelay.registry.catalog import Catalog
from loftrelay.registry.server import Server
from loftrelay.registry.settings import RegistrySettings, load_registry
from loftrelay.registry.subscriptions import Subscriptions
from loftrelay.registry.upstream import Upstream

log = logging.getLogger(__name__)


class Registry:
    def __init__(self, path: Path, settings: RegistrySettings) -> None:
        self.path, self.settings = path, settings
        self.catalog = Catalog(settings.keep_gone)
        self.subscriptions = Subscriptions(settings.fleet, self.catalog, settings.forget)
        self.upstream = Upstream(
            settings.discovery, self.catalog, self.subscriptions.touch, self._settled, settings.most_list
        )
        self.server = Server(
            self.catalog, self.subscriptions, lambda: self.upstream.age, self._figures, settings.idle
        )
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Until `terminate`. Raises OSError if it can't listen."""
        host, port = await self.server.listen(self.settings.listen)
        log.info("registry of %s listens on %s:%d", self.settings.fleet, host, port)
        self.upstream.start()
        await self._ended.wait()
        self.upstream.close()
        await self.server.stop()

    def terminate(self) -> None:
        self._ended.set()

    def read_again(self) -> None:
        """Only `discovery` changes in service; whatever is wrong, all that is in force stays."""
        try:
            told = load_registry(self.path)
        except SettingsError as error:
            log.warning("not taken: %s", error)
            return
        same = replace(told, discovery=self.settings.discovery)
        if same != self.settings:
            keys = [k for k in same.__slots__ if getattr(same, k) != getattr(self.settings, k)]
            log.warning("not taken: %s: %s: can't change in service", self.path, ", ".join(keys))
        elif told.discovery == self.settings.discovery:
            log.info("%s: read again, nothing changed", self.path)
        else:
            self.settings = told
            self.upstream.move(told.discovery)
            log.info("%s: discovery is at %s:%d now", self.path, *told.discovery)

    def _settled(self, changed: bool, anew: bool) -> None:
        if changed or anew:
            self.server.news(anew)

    def _figures(self) -> list[str]:
        return [
            f"discovery_bytes_in {self.upstream.bytes_in}",
            f"discovery_failures {self.upstream.failures}",
            f"cpu_s {time.process_time():.3f}",
        ]
