"""Reads an operator's TOML file against a table of keys: unit, default and bounds of each.

An error names the file, the key and the value, and nothing of the file is used then.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any


class SettingsError(Exception):
    """One plain line for the operator."""


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a file.

    A default that is a bool takes true or false; a tuple, a list of texts; a string, one of `words`, or any
    where there are none; an int, a whole number, and a float, any number, both from `least` to `most`.
    """

    name: str
    default: bool | int | float | str | tuple[str, ...]
    unit: str
    description: str
    minimum: float = 0
    maximum: float = 1_000_000
    choices: Sequence[str] = ()

    def check(self, value: Any) -> bool | int | float | str | tuple[str, ...]:
        """The value, or ValueError with what it should be."""
        if isinstance(self.default, tuple):
            if not isinstance(value, list) or not all(isinstance(part, str) for part in value):
                raise ValueError("is not a list of texts")
            return tuple(value)
        if isinstance(self.default, bool):
            if not isinstance(value, bool):
                raise ValueError("is not true or false")
            return value
        if isinstance(self.default, str):
            if not self.choices:
                if not isinstance(value, str) or "\0" in value:
                    raise ValueError("is not a text")
                return value
            if value not in self.choices:
                raise ValueError(f"is not one of {', '.join(self.choices)}")
            return str(value)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"is not a number of {self.unit}")
        if isinstance(self.default, int) and not isinstance(value, int):
            raise ValueError(f"is not a whole number of {self.unit}")
        if not self.minimum <= value <= self.maximum:
            raise ValueError(f"is not from {self.minimum:g} to {self.maximum:g} {self.unit}")
        return value


def read_toml(path: Path, keys: Sequence[Key], table: str = "") -> Mapping[str, Any]:
    """Every key with its value, those that the file leaves out with their defaults. `table`: the one in
    which they stand, with nothing beside it. Raises SettingsError.
    """
    import tomllib  # most relays are started without an operator's file

    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:  # TOMLDecodeError and UnicodeDecodeError are ValueErrors
        raise SettingsError(f"{path}: can't be read: {error}") from error
    if table:
        for name, value in told.items():
            if name != table or not isinstance(value, dict):
                raise SettingsError(f"{path}: {name} = {value!r}: all keys stand in the table [{table}]")
        told = told.get(table, {})
    known = {key.name: key for key in keys}
    values: dict[str, Any] = {key.name: key.default for key in keys}
    for name, value in told.items():
        if name not in known:
            raise SettingsError(f"{path}: {name} = {value!r}: no such key")
        try:
            values[name] = known[name].check(value)
        except ValueError as error:
            raise SettingsError(f"{path}: {name} = {value!r}: {error}") from error
    return values
