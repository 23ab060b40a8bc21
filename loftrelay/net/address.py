"""Network addresses of peers."""

from __future__ import annotations

from typing import Any

Address = tuple[str, int]  # host and port

MAX_PORT = 65535


class InvalidAddressError(ValueError):
    """A text is not an address with a port."""

    def __init__(self, text: Any) -> None:
        super().__init__(f"{text!r} is not an address with a port")
        self.text = text


def parse_address(text: Any) -> Address:
    """Parses '10.0.0.4:9000' or '[::1]:9000'.

    Raises:
        InvalidAddressError: The text has another form.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise InvalidAddressError(text)
    return host.strip("[]"), int(port)
