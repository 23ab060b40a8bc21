"""GossipMember: overrides of other relays are retried until applied, and restored after a restart."""

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
    """Part of the engine that a member observes. Rejects the first two overrides."""

    def __init__(self) -> None:
        self.disabled: set[str] = set()
        self.observers: list[Any] = []
        self.remaining_rejections = 2
        self.context = self.endpoints = self

    def apply_override(self, host: str, is_disabled: bool) -> str | None:
        if self.remaining_rejections:
            self.remaining_rejections -= 1
            return "another process of this relay is taking over"
        (self.disabled.add if is_disabled else self.disabled.discard)(host)
        for observer in self.observers:
            (observer.endpoint_disabled if is_disabled else observer.endpoint_enabled)(host)
        return None


def test_gossip_member_remote_override_is_retried_until_applied_and_restored_after_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gossip_member, "APPLY_RETRY_S", 0.001)

    async def main() -> None:
        engine = FakeEngine()
        member = gossip_member.GossipMember(SETTINGS, "a", tmp_path, cast(Any, engine), engine.apply_override)
        await member.start(wait=False)
        override = OperatorOverride("h", True, 7, "b")
        member._on_remote_overrides(member.overrides.merge([override]))
        assert not engine.endpoints.disabled
        async with asyncio.timeout(10):
            while not engine.endpoints.disabled:
                await asyncio.sleep(0.001)
        assert member.overrides.by_host == {"h": override}  # the other relay remains its origin
        member.close()
        engine = FakeEngine()
        engine.remaining_rejections = 0
        restarted = gossip_member.GossipMember(
            SETTINGS, "a", tmp_path, cast(Any, engine), engine.apply_override
        )
        await restarted.start(wait=False)
        assert engine.endpoints.disabled == {"h"}
        assert restarted.overrides.by_host == {"h": override}
        restarted.close()
        (tmp_path / override_file.FILE_NAME).write_text('[["h", true, -1, "b"]]')
        assert restarted.file.load() == []

    asyncio.run(main())
