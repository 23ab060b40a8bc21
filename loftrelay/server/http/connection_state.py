"""State of a client connection that goes from one process of the relay to another."""

from __future__ import annotations

import base64
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any


class ClientKind(Enum):
    """Clients by their number of requests; the names are those of the handover protocol."""

    NEW = auto()  # no complete request yet
    ONCE = auto()
    REGULAR = auto()


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """A connection that another process can continue.

    Attributes:
        kind: Kind of client.
        partial_request: Bytes received of an incomplete request.
        fd: Descriptor of the socket.
    """

    kind: ClientKind
    partial_request: bytes
    fd: int

    def row(self) -> dict[str, Any]:
        """JSON form, without the descriptor."""
        return {"kind": self.kind.name, "raw": base64.b64encode(self.partial_request).decode()}

    @classmethod
    def read(cls, row: Mapping[str, Any], fd: int) -> ConnectionState:
        """Reads the JSON form; raises KeyError or ValueError if it is invalid."""
        return cls(ClientKind[row["kind"]], base64.b64decode(row["raw"]), fd)
