"""Calls to the platform, over one kept connection."""

from __future__ import annotations

import asyncio

from loftrelay.net.address import Address
from loftrelay.net.http import MOST_BODY, Answer, Connection


class Caller:
    """Keeps one connection to discovery, and opens another when it is gone."""

    def __init__(self, address: Address, most_body: int = MOST_BODY) -> None:
        """`most_body`: bytes of an answer, at the most."""
        self.address = address
        self.most_body = most_body
        self.connection: Connection | None = None

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()

    async def ask(
        self, method: str, target: str, timeout: float, body: bytes = b"", connect: float | None = None
    ) -> Answer:
        """Within `timeout` seconds, of which a new connection may take `connect`; an answer that is longer
        than MOST_BODY has more (net/http.py, SLOWEST). Raises OSError (TimeoutError among them) or
        ConnectionBroken (AnswerTooLong among them).
        """
        kept, self.connection = self.connection, None
        until = asyncio.get_running_loop().time() + timeout
        headers = {"Host": "discovery", "Content-Length": str(len(body))}
        try:
            if kept is None or not kept.usable():
                if kept is not None:
                    kept.close()
                kept = await Connection.open(self.address, min(timeout, connect or timeout), self.most_body)
            answer = await kept.request(method, target, headers, body, until=until)
            self.connection = kept
            return answer
        finally:
            if kept is not None and self.connection is None:
                kept.close()
