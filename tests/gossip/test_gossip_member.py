"""An override of another relay is applied as soon as possible, and survives a restart."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, cast

import pytest

from loftrelay.gossip.operator_overrides import OperatorOverride
from loftrelay.gossip.settings import GossipSettings
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.service import gossip_member, override_file

SETTINGS = GossipSettings("f", ("127.0.0.1", 0), None, (), SwimConfig(200_000, 1_000_000))


class FakeEngine:
    """The part of the engine that a member observes; refuses the first changes."""

    def __init__(self) -> None:
        self.disabled: set[str] = set()
        self.observers: list[Any] = []
        self.refusals = 2
        self.context = self.endpoints = self

    def change(self, host: str, out: bool) -> str | None:
        if self.refusals:
            self.refusals -= 1
            return "another process of this relay is about to decide"
        (self.disabled.add if out else self.disabled.discard)(host)
        for observer in self.observers:
            (observer.endpoint_disabled if out else observer.endpoint_enabled)(host)
        return None


def test_remote_override_is_retried_until_applied_and_restored_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gossip_member, "APPLY_RETRY_S", 0.001)

    async def main() -> None:
        engine = FakeEngine()
        member = gossip_member.GossipMember(SETTINGS, "a", tmp_path, cast(Any, engine), engine.change)
        await member.start(wait=False)
        override = OperatorOverride("h", True, 7, "b")
        member._on_remote_overrides(member.overrides.merge([override]))
        assert not engine.endpoints.disabled
        async with asyncio.timeout(10):
            while not engine.endpoints.disabled:
                await asyncio.sleep(0.001)
        assert member.overrides.by_host == {"h": override}  # with the other relay as its origin
        member.close()
        engine = FakeEngine()
        engine.refusals = 0
        restarted = gossip_member.GossipMember(SETTINGS, "a", tmp_path, cast(Any, engine), engine.change)
        await restarted.start(wait=False)
        assert engine.endpoints.disabled == {"h"}
        assert restarted.overrides.by_host == {"h": override}
        restarted.close()
        (tmp_path / override_file.FILE_NAME).write_text('[["h", true, -1, "b"]]')
        assert restarted.file.load() == []

    asyncio.run(main())
