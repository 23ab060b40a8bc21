"""What another relay's operator said holds here as soon as it can, and is known to the next start."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, cast

import pytest

from loftrelay.gossip.operator_overrides import Call
from loftrelay.gossip.settings import FleetSettings
from loftrelay.gossip.swim import Timing
from loftrelay.service import gossip_member

TOLD = FleetSettings("f", ("127.0.0.1", 0), None, (), Timing(200_000, 1_000_000))


class Stands:
    """In an engine's place."""

    def __init__(self) -> None:
        self.disabled_hosts: set[str] = set()
        self.observers: list[Any] = []
        self.refusals = 2
        self.context = self.endpoints = self

    @property
    def disabled(self) -> set[str]:
        return self.disabled_hosts

    def change(self, host: str, out: bool) -> str | None:
        if self.refusals:
            self.refusals -= 1
            return "another process of this relay is about to decide"
        (self.disabled_hosts.add if out else self.disabled_hosts.discard)(host)
        for watcher in self.observers:
            (watcher.endpoint_disabled if out else watcher.endpoint_enabled)(host)
        return None


def test_a_call_that_can_not_hold_yet_holds_later_and_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gossip_member, "HOLD_AGAIN", 0.001)

    async def main() -> None:
        engine = Stands()
        joined = gossip_member.GossipMember(TOLD, "a", tmp_path, cast(Any, engine), engine.change)
        await joined.start(wait=False)
        call = Call("h", True, 7, "b")
        joined._heard(joined.calls.heard([call]))
        assert not engine.endpoints.disabled
        async with asyncio.timeout(10):
            while not engine.endpoints.disabled:
                await asyncio.sleep(0.001)
        assert joined.calls.known == {"h": call}  # it is still the other relay's
        joined.close()
        engine = Stands()
        engine.refusals = 0
        later = gossip_member.GossipMember(TOLD, "a", tmp_path, cast(Any, engine), engine.change)
        await later.start(wait=False)
        assert engine.endpoints.disabled == {"h"}
        assert later.calls.known == {"h": call}
        later.close()
        (tmp_path / gossip_member.NAME).write_text('[["h", true, -1, "b"]]')
        assert later._load() == []

    asyncio.run(main())
