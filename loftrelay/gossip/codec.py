"""Encoding of gossip datagrams: two magic bytes, a version byte, and a MessagePack array.

Rows are encoded as arrays without field names, so the order of the fields of the row classes below is the
wire format. Later versions of the program may append fields to any row, which are skipped here; any other
change needs a new datagram version.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec

from loftrelay.gossip.messages import Ack, Datagram, MemberState, Peer, Ping, PingRequest
from loftrelay.gossip.operator_overrides import MAX_STAMP_MS, OperatorOverride

MAGIC = b"LR"
VERSION = 1
HEADER = MAGIC + bytes((VERSION,))
MAX_DATAGRAM_BYTES = 1_200  # below the path MTU, also with tunnels
MAX_NAME_CHARS = 200
LIST_LENGTH_BYTES = 4  # each of the two lists may need two more bytes for its length if it isn't empty
DATAGRAM_KINDS: dict[type[Datagram], int] = {Ping: 0, Ack: 1, PingRequest: 2}

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Row = TypeVar("Row", bound=msgspec.Struct)


class DatagramError(ValueError):
    """The bytes are not a valid gossip datagram, or a datagram can't be encoded."""


class DatagramVersionError(DatagramError):
    """The datagram has an unsupported version.

    Attributes:
        version: Version of the datagram.
    """

    def __init__(self, version: int) -> None:
        super().__init__(
            f"datagram version {version} is not supported; this program supports version {VERSION}"
        )
        self.version = version


class PeerRow(msgspec.Struct, array_like=True):
    """Wire form of Peer."""

    name: Name
    host: Name
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    incarnation_id: Number
    incarnation: Number
    state: Annotated[int, msgspec.Meta(ge=0, le=2)]

    @classmethod
    def from_peer(cls, peer: Peer) -> PeerRow:
        """Returns the wire form of a peer."""
        return cls(peer.name, *peer.address, peer.incarnation_id, peer.incarnation, int(peer.state))

    def to_peer(self) -> Peer:
        """Returns the peer that this row describes."""
        address = (self.host, self.port)
        return Peer(self.name, address, self.incarnation_id, self.incarnation, MemberState(self.state))


class OverrideRow(msgspec.Struct, array_like=True):
    """Wire form of OperatorOverride."""

    host: Name
    is_disabled: bool
    stamp: Annotated[int, msgspec.Meta(ge=0, le=MAX_STAMP_MS)]
    origin: Name

    @classmethod
    def from_override(cls, override: OperatorOverride) -> OverrideRow:
        """Returns the wire form of an override."""
        return cls(override.host, override.is_disabled, override.stamp, override.origin)

    def to_override(self) -> OperatorOverride:
        """Returns the override that this row describes."""
        return OperatorOverride(self.host, self.is_disabled, self.stamp, self.origin)


class DatagramRow(msgspec.Struct, array_like=True):
    """Wire form of a datagram of any kind."""

    fleet: Name
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]  # see DATAGRAM_KINDS
    sequence_number: Number
    target_name: Name  # only in a Ping; otherwise empty
    target: PeerRow | None  # only in a PingRequest
    sender: PeerRow
    updates: Annotated[list[PeerRow], msgspec.Meta(max_length=64)]
    overrides: Annotated[list[OverrideRow], msgspec.Meta(max_length=64)] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DatagramRow)


def encode(fleet: str, datagram: Datagram, overrides: list[OperatorOverride]) -> bytes:
    """Encodes a datagram, limited to MAX_DATAGRAM_BYTES.

    Overrides take precedence over updates about members. Those that don't fit are left out, since they are
    sent again later.

    Args:
        fleet: Name of the fleet.
        datagram: Content.
        overrides: Operators' overrides to piggyback.

    Raises:
        DatagramError: The names in the datagram don't fit even without updates and overrides.
    """
    row = DatagramRow(
        fleet,
        DATAGRAM_KINDS[type(datagram)],
        datagram.sequence_number,
        datagram.target_name if isinstance(datagram, Ping) else "",
        PeerRow.from_peer(datagram.target) if isinstance(datagram, PingRequest) else None,
        PeerRow.from_peer(datagram.sender),
        [],
    )
    space_bytes = MAX_DATAGRAM_BYTES - len(HEADER) - len(_encoder.encode(row)) - LIST_LENGTH_BYTES
    if space_bytes < 0:
        raise DatagramError(
            f"names in the datagram exceed the limit of {MAX_DATAGRAM_BYTES} bytes by {-space_bytes} bytes"
        )
    if overrides:
        # Recipients reject the whole datagram if one name is too long.
        valid = (override for override in overrides if len(override.host) <= MAX_NAME_CHARS)
        row.overrides, space_bytes = _fitting_rows(map(OverrideRow.from_override, valid), space_bytes)
    row.updates, _ = _fitting_rows(map(PeerRow.from_peer, datagram.updates), space_bytes)
    return HEADER + _encoder.encode(row)


def decode(data: bytes) -> tuple[str, Datagram, list[OperatorOverride]]:
    """Decodes a datagram.

    Returns:
        The name of its fleet, its content, and operators' overrides.

    Raises:
        DatagramVersionError: It has an unsupported version.
        DatagramError: It is not a valid gossip datagram.
    """
    if len(data) > MAX_DATAGRAM_BYTES or data[:2] != MAGIC or len(data) < 4:
        raise DatagramError(f"{len(data)} bytes are not a gossip datagram")
    if data[2] != VERSION:
        raise DatagramVersionError(data[2])
    try:
        row = _decoder.decode(data[3:])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DatagramError(str(error)) from error
    return row.fleet, _to_datagram(row), [override.to_override() for override in row.overrides]


def _to_datagram(row: DatagramRow) -> Datagram:
    sender = row.sender.to_peer()
    updates = tuple(update.to_peer() for update in row.updates)
    if row.kind == DATAGRAM_KINDS[Ping]:
        return Ping(row.sequence_number, row.target_name, sender, updates)
    if row.kind == DATAGRAM_KINDS[Ack]:
        return Ack(row.sequence_number, sender, updates)
    if row.target is None:
        raise DatagramError("ping request has no target")
    return PingRequest(row.sequence_number, row.target.to_peer(), sender, updates)


def _fitting_rows(rows: Iterable[Row], space_bytes: int) -> tuple[list[Row], int]:
    """Returns the first rows that fit, and the remaining bytes, which are negative if a row was left out."""
    fitting = []
    for row in rows:
        space_bytes -= len(_encoder.encode(row))
        if space_bytes < 0:
            break
        fitting.append(row)
    return fitting, space_bytes
