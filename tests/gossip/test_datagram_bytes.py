"""Datagrams are encoded and decoded exactly as recorded from commit 32c0038."""

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


def make_peer(row: list[Any]) -> Peer:
    name, (host, port), incarnation_id, incarnation, state = row
    return Peer(name, (host, port), incarnation_id, incarnation, MemberState(state))


def make_datagram(row: dict[str, Any], update_count: int | None = None) -> Datagram:
    """Returns the datagram of a row with its first `update_count` updates; None for all."""
    sender, updates = make_peer(row["sender"]), tuple(make_peer(item) for item in row["news"][:update_count])
    match row["kind"]:
        case "probe":
            return Ping(row["number"], row["name"], sender, updates)
        case "answer":
            return Ack(row["number"], sender, updates)
    return PingRequest(row["number"], make_peer(row["target"]), sender, updates)


@pytest.mark.parametrize("row", ROWS, ids=range(len(ROWS)))
def test_encode_gives_recorded_bytes(row: dict[str, Any]) -> None:
    overrides = [OperatorOverride(*fields) for fields in row["calls"]]
    assert encode("windwacht", make_datagram(row), overrides).hex() == row["hex"]


@pytest.mark.parametrize("row", ROWS, ids=range(len(ROWS)))
def test_decode_recorded_bytes_gives_recorded_datagram(row: dict[str, Any]) -> None:
    fleet, datagram, overrides = decode(bytes.fromhex(row["hex"]))
    valid = [OperatorOverride(*fields) for fields in row["calls"] if len(fields[0]) <= 200]
    assert fleet == "windwacht"
    assert datagram == make_datagram(row, row["fits"]["news"])
    assert overrides == valid[: row["fits"]["calls"]]
