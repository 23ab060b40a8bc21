"""Registry process: assembly, reload of settings and shutdown."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import replace
from pathlib import Path

from loftrelay.config.toml_file import SettingsError
from loftrelay.registry.catalog import Catalog
from loftrelay.registry.server import RegistryServer
from loftrelay.registry.settings import FIELDS, RegistrySettings, load_registry_settings
from loftrelay.registry.subscriptions import Subscriptions
from loftrelay.registry.upstream import Upstream

log = logging.getLogger(__name__)


class RegistryService:
    """Registry with its list, subscriptions, watch on discovery and server."""

    def __init__(self, path: Path, settings: RegistrySettings) -> None:
        """Assembles a registry that is not running. `path`: the settings file, which `reload` reads again."""
        self.path, self.settings = path, settings
        self.catalog = Catalog(settings.max_tombstones)
        self.subscriptions = Subscriptions(settings.fleet, self.catalog, settings.subscription_timeout)
        self.upstream = Upstream(
            settings.discovery,
            self.catalog,
            self.subscriptions.destination_changed,
            self._list_committed,
            settings.max_list_bytes,
        )
        self.server = RegistryServer(
            self.catalog,
            self.subscriptions,
            lambda: self.upstream.age,
            self._metric_lines,
            settings.idle_timeout,
        )
        self._should_exit = asyncio.Event()

    async def run(self) -> None:
        """Serves relays until `terminate`.

        Raises:
            OSError: Listening on the address failed.
        """
        host, port = await self.server.listen(self.settings.listen)
        log.info("registry of %s listens on %s:%d", self.settings.fleet, host, port)
        self.upstream.start()
        await self._should_exit.wait()
        self.upstream.close()
        await self.server.stop()

    def terminate(self) -> None:
        """Starts the shutdown."""
        self._should_exit.set()

    def reload(self) -> None:
        """Reads the settings file again.

        Only `discovery` may change while the registry runs. After an error the current settings stay.
        """
        try:
            settings = load_registry_settings(self.path)
        except SettingsError as error:
            log.warning("reload failed, keeping the current settings: %s", error)
            return
        changed = self._fixed_keys_changed(settings)
        if changed:
            keys = ", ".join(changed)
            log.warning(
                "reload failed, keeping the current settings: %s: %s: can only change with a restart",
                self.path,
                keys,
            )
        elif settings.discovery == self.settings.discovery:
            log.info("%s: reloaded, nothing changed", self.path)
        else:
            self.settings = settings
            self.upstream.move_to(settings.discovery)
            log.info("%s: reloaded, discovery moved to %s:%d", self.path, *settings.discovery)

    def _fixed_keys_changed(self, settings: RegistrySettings) -> list[str]:
        """Returns the changed keys of the file that require a restart."""
        comparable = replace(settings, discovery=self.settings.discovery)
        return [
            key
            for key, field in FIELDS.items()
            if getattr(comparable, field) != getattr(self.settings, field)
        ]

    def _list_committed(self, is_changed: bool, is_restarted: bool) -> None:
        if is_changed or is_restarted:
            self.server.list_changed(is_restarted)

    def _metric_lines(self) -> list[str]:
        return [
            f"discovery_bytes_in {self.upstream.bytes_in}",
            f"discovery_failures {self.upstream.failures}",
            f"cpu_s {time.process_time():.3f}",
        ]
