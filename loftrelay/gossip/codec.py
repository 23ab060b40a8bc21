"""Datagrams of the fleet as bytes: two letters, a version, and MessagePack in the order of the rows below.

A later program may add fields at the end of any row: they are skipped. What it can't say so it says under
another version, which is refused here.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from loftrelay.gossip.operator_overrides import MOST_STAMP, Call
from loftrelay.gossip.swim import Answer, Datagram, Peer, Probe, ProbeFor, State

MAGIC, VERSION = b"LR", 1
MOST_BYTES = 1_200
LONGEST = 200  # characters of a name

Name = Annotated[str, msgspec.Meta(max_length=LONGEST)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class WireError(ValueError):
    """It is no datagram of a fleet."""


class VersionError(WireError):
    """It may be one, of another version."""


class PeerRow(msgspec.Struct, array_like=True):
    name: Name
    host: Name
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    life: Number
    incarnation: Number
    state: Annotated[int, msgspec.Meta(ge=0, le=2)]

    def peer(self) -> Peer:
        return Peer(self.name, (self.host, self.port), self.life, self.incarnation, State(self.state))


class CallRow(msgspec.Struct, array_like=True):
    host: Name
    out: bool
    stamp: Annotated[int, msgspec.Meta(ge=0, le=MOST_STAMP)]
    origin: Name


class Frame(msgspec.Struct, array_like=True):
    fleet: Name
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]  # probe, answer, probe for
    number: Number
    name: Name  # of whom a probe asks
    target: PeerRow | None
    sender: PeerRow
    news: Annotated[list[PeerRow], msgspec.Meta(max_length=64)]
    calls: Annotated[list[CallRow], msgspec.Meta(max_length=64)] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def _row(peer: Peer) -> PeerRow:
    return PeerRow(peer.name, *peer.address, peer.life, peer.incarnation, int(peer.state))


def encode(fleet: str, datagram: Datagram, calls: list[Call]) -> bytes:
    """Operators' calls go before news of members, and what does not fit is left out: it travels again.

    Raises WireError where not even the rest fits.
    """
    kind, name, target = 1, "", None
    match datagram:
        case Probe():
            kind, name = 0, datagram.name
        case ProbeFor():
            kind, target = 2, _row(datagram.target)
        case Answer():
            pass
    frame = Frame(fleet, kind, datagram.number, name, target, _row(datagram.sender), [])
    # Two bytes more for the length of each list that is no longer empty.
    room = MOST_BYTES - len(MAGIC) - 1 - len(_encoder.encode(frame)) - 4
    if room < 0:
        raise WireError("the names in it are too long")
    for call in calls:
        if len(call.host) > LONGEST:
            continue  # with it, others would refuse the whole datagram
        row = CallRow(call.host, call.out, call.stamp, call.origin)
        room -= len(_encoder.encode(row))
        if room < 0:
            break
        frame.calls = [*frame.calls, row]
    for peer in datagram.news:
        told = _row(peer)
        room -= len(_encoder.encode(told))
        if room < 0:
            break
        frame.news.append(told)
    return MAGIC + bytes((VERSION,)) + _encoder.encode(frame)


def decode(data: bytes) -> tuple[str, Datagram, list[Call]]:
    """The fleet that it is meant for, what it says, and operators' calls. Raises WireError, VersionError."""
    if len(data) > MOST_BYTES or data[:2] != MAGIC or len(data) < 4:
        raise WireError("it is no datagram of a fleet")
    if data[2] != VERSION:
        raise VersionError(f"it is of version {data[2]}")
    try:
        frame = _decoder.decode(data[3:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    sender, news = frame.sender.peer(), tuple(row.peer() for row in frame.news)
    datagram: Datagram
    if frame.kind == 0:
        datagram = Probe(frame.number, frame.name, sender, news)
    elif frame.kind == 1:
        datagram = Answer(frame.number, sender, news)
    elif frame.target is not None:
        datagram = ProbeFor(frame.number, frame.target.peer(), sender, news)
    else:
        raise WireError("it asks for a probe of nobody")
    return frame.fleet, datagram, [Call(row.host, row.out, row.stamp, row.origin) for row in frame.calls]
