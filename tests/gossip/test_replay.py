"""Schedules of faults by fixed seeds: each datagram and each change of state as recorded at 32c0038."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

import pytest

from loftrelay.gossip.actions import Action, NameConflict, Send, StateChanged
from loftrelay.gossip.codec import encode
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.simulation.fleet import MS, SECOND, LinkFaults, SimulatedFleet

RECORDED = [
    "89cb66c159af7cf6",
    "f9295b584612a6e6",
    "9454dc4414167ac4",
    "c1dc2acf51e99722",
    "7ff91f719bee3b56",
    "e238270a0346fd4c",
    "e3ccadf0c8b822b1",
    "d8d5c85375e68e64",
]


class RecordedFleet(SimulatedFleet):
    """Hashes what each relay's membership does, in order."""

    def __init__(self, count: int, seed: int, links: LinkFaults) -> None:
        self.digest = hashlib.sha256()
        super().__init__(count, seed, SwimConfig(200 * MS, 1000 * MS), links)

    def _execute(self, name: str, actions: Iterable[Action]) -> None:
        for action in list(actions):
            self.digest.update(f"{self.now_us} {name} ".encode())
            match action:
                case Send(address, datagram):
                    self.digest.update(repr(address).encode() + encode("f", datagram, []))
                case StateChanged(peer):
                    row = (peer.name, peer.address, peer.incarnation_id, peer.incarnation, int(peer.state))
                    self.digest.update(f"changed {row}".encode())
                case NameConflict(by):
                    self.digest.update(f"contested {by}".encode())
        super()._execute(name, actions)


def play(seed: int) -> str:
    chance = random.Random(seed)
    f = RecordedFleet(9, seed, LinkFaults(loss=0.05, duplication=0.05, delay_us=(200, 30 * MS)))
    f.run(5 * SECOND)
    for step in range(16):
        name = chance.choice(list(f.relays))
        match chance.randrange(6):
            case 0:
                f.kill(name)
                f.run(f.now_us + chance.randrange(30 * SECOND))
                f.start(name, f.relays[name].address, start=1_000_000 if step % 2 else None)
            case 1:
                f.pause(name)
                f.run(f.now_us + chance.randrange(8 * SECOND))
                f.resume(name)
            case 2:
                side = {n for n in f.relays if chance.random() < 0.5}
                f.links.is_cut = lambda here, there, side=side: here in side and there not in side  # type: ignore[misc]
            case 3:
                f.links.is_cut = lambda here, there: False
            case 4:
                f.links.is_cut = lambda here, there, name=name: name in (here, there)  # type: ignore[misc]
            case 5 if step < 8:
                f.start(name, ("127.0.0.1", 8000 + step), node=f"{name}-again-{step}")
            case _:
                pass
        f.run(f.now_us + chance.randrange(6 * SECOND))
    f.links.is_cut, f.links.loss = lambda here, there: False, 0.0
    f.run(f.now_us + 20 * SECOND)
    return f.digest.hexdigest()[:16]


@pytest.mark.parametrize("seed", range(len(RECORDED)))
def test_a_replayed_schedule_gives_the_recorded_datagrams_and_states(seed: int) -> None:
    assert play(seed) == RECORDED[seed]
