"""Simulated fleets with faults by fixed seeds: every datagram and change of state as recorded at 32c0038."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable

import pytest

from loftrelay.gossip.actions import Action, NameConflict, Send, StateChanged
from loftrelay.gossip.codec import encode
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.simulation.fleet import MS, SECOND, LinkFaults, SimulatedFleet

RECORDED_DIGESTS = [
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
    """Hashes the actions of each relay's membership, in order."""

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
                case NameConflict(other_address):
                    self.digest.update(f"contested {other_address}".encode())
        super()._execute(name, actions)


def run_recorded_schedule(seed: int) -> str:
    """Returns the digest of all actions."""
    generator = random.Random(seed)
    fleet = RecordedFleet(9, seed, LinkFaults(loss=0.05, duplication=0.05, delay_us=(200, 30 * MS)))
    fleet.run(5 * SECOND)
    for step in range(16):
        name = generator.choice(list(fleet.relays))
        match generator.randrange(6):
            case 0:
                fleet.kill(name)
                fleet.run(fleet.now_us + generator.randrange(30 * SECOND))
                fleet.start(name, fleet.relays[name].address, start_ms=1_000_000 if step % 2 else None)
            case 1:
                fleet.pause(name)
                fleet.run(fleet.now_us + generator.randrange(8 * SECOND))
                fleet.resume(name)
            case 2:
                side = {other for other in fleet.relays if generator.random() < 0.5}
                fleet.links.is_cut = lambda sender, recipient, side=side: (
                    sender in side and recipient not in side
                )  # type: ignore[misc]
            case 3:
                fleet.links.is_cut = lambda sender, recipient: False
            case 4:
                fleet.links.is_cut = lambda sender, recipient, name=name: name in (sender, recipient)  # type: ignore[misc]
            case 5 if step < 8:
                fleet.start(name, ("127.0.0.1", 8000 + step), key=f"{name}-again-{step}")
            case _:
                pass
        fleet.run(fleet.now_us + generator.randrange(6 * SECOND))
    fleet.links.is_cut, fleet.links.loss = lambda sender, recipient: False, 0.0
    fleet.run(fleet.now_us + 20 * SECOND)
    return fleet.digest.hexdigest()[:16]


@pytest.mark.parametrize("seed", range(len(RECORDED_DIGESTS)))
def test_membership_replayed_schedule_gives_recorded_datagrams_and_states(seed: int) -> None:
    assert run_recorded_schedule(seed) == RECORDED_DIGESTS[seed]
