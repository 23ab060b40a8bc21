"""State of a client connection that one process of the relay hands over to another."""

from __future__ import annotations

import base64
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any


class ClientKind(Enum):
    """Kind of a client, by its number of complete requests. The names are part of the handover protocol."""

    NEW = auto()  # no request yet
    ONCE = auto()  # one request
    REGULAR = auto()  # several requests


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State from which another process can continue a connection.

    Attributes:
        kind: Kind of the client.
        partial_request: Received bytes of an incomplete request.
        fd: Descriptor of the socket.
    """

    kind: ClientKind
    partial_request: bytes
    fd: int

    def row(self) -> dict[str, Any]:
        """Returns the JSON form, without the descriptor."""
        return {"kind": self.kind.name, "raw": base64.b64encode(self.partial_request).decode()}

    @classmethod
    def read(cls, row: Mapping[str, Any], fd: int) -> ConnectionState:
        """Parses the JSON form.

        Raises:
            KeyError: A field is missing, or the kind is unknown.
            ValueError: The partial request is not valid base64.
        """
        return cls(ClientKind[row["kind"]], base64.b64decode(row["raw"]), fd)
