"""Datagrams of a fleet are, byte for byte, those of the program of commit 32c0038, and are read as there."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from loftrelay.gossip.codec import decode, encode
from loftrelay.gossip.messages import Ack, Datagram, MemberState, Peer, Ping, PingRequest
from loftrelay.gossip.operator_overrides import OperatorOverride

FIXTURE = Path(__file__).parents[1] / "fixtures" / "wire_32c0038" / "datagrams.jsonl"
ROWS: list[dict[str, Any]] = [json.loads(line) for line in FIXTURE.read_text().splitlines()]


def peer(row: list[Any]) -> Peer:
    name, (host, port), incarnation_id, incarnation, state = row
    return Peer(name, (host, port), incarnation_id, incarnation, MemberState(state))


def datagram(row: dict[str, Any], news: int | None = None) -> Datagram:
    """`news`: how many of them it holds; None: all."""
    sender, told = peer(row["sender"]), tuple(peer(told) for told in row["news"][:news])
    match row["kind"]:
        case "probe":
            return Ping(row["number"], row["name"], sender, told)
        case "answer":
            return Ack(row["number"], sender, told)
    return PingRequest(row["number"], peer(row["target"]), sender, told)


@pytest.mark.parametrize("row", ROWS, ids=range(len(ROWS)))
def test_a_datagram_is_written_as_before(row: dict[str, Any]) -> None:
    calls = [OperatorOverride(*call) for call in row["calls"]]
    assert encode("windwacht", datagram(row), calls).hex() == row["hex"]


@pytest.mark.parametrize("row", ROWS, ids=range(len(ROWS)))
def test_a_datagram_is_read_as_before(row: dict[str, Any]) -> None:
    fleet, actual, calls = decode(bytes.fromhex(row["hex"]))
    readable = [OperatorOverride(*call) for call in row["calls"] if len(call[0]) <= 200]
    assert fleet == "windwacht"
    assert actual == datagram(row, row["fits"]["news"])
    assert calls == readable[: row["fits"]["calls"]]
