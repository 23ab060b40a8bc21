"""Reads an operator's TOML file against a table of keys with units, defaults and bounds.

A file with any error is rejected as a whole; the error names the file, the key and the value.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

Value = bool | int | float | str | tuple[str, ...]


class SettingsError(Exception):
    """A configuration can't be used. The message is one line for the operator."""


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a file; the type of its default is the type that a value must have.

    Attributes:
        name: The key as it is written in the file.
        default: The value where the file leaves the key out. A tuple stands for a list of strings, a float
            accepts any number, an int only whole ones.
        unit: The unit of a number, for error messages.
        description: What the key sets, for the reader of the table.
        minimum: The least number accepted.
        maximum: The greatest number accepted.
        choices: The strings accepted; empty: any.
    """

    name: str
    default: Value
    unit: str
    description: str
    minimum: float = 0
    maximum: float = 1_000_000
    choices: Sequence[str] = ()

    def problem(self, value: Any) -> str | None:
        """Returns what is wrong with a value, or None."""
        if isinstance(self.default, tuple):
            return _string_list_problem(value)
        if isinstance(self.default, bool):
            return None if isinstance(value, bool) else "is not true or false"
        if isinstance(self.default, str):
            return self._string_problem(value)
        return self._number_problem(value)

    def _string_problem(self, value: Any) -> str | None:
        if self.choices:
            return None if value in self.choices else f"is not one of {', '.join(self.choices)}"
        return None if isinstance(value, str) and "\0" not in value else "is not a string"

    def _number_problem(self, value: Any) -> str | None:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return f"is not a number of {self.unit}"
        if isinstance(self.default, int) and not isinstance(value, int):
            return f"is not a whole number of {self.unit}"
        if not self.minimum <= value <= self.maximum:
            return f"is not from {self.minimum:g} to {self.maximum:g} {self.unit}"
        return None


def _string_list_problem(value: Any) -> str | None:
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return None
    return "is not a list of strings"


def read_toml(path: Path, keys: Sequence[Key], table: str = "") -> Mapping[str, Any]:
    """Reads and checks a file.

    Args:
        path: The file.
        keys: The keys that it may hold.
        table: The only table of the file, which holds all keys; empty: they stand at the top level.

    Returns:
        Every key with its value, or its default where the file leaves it out.

    Raises:
        SettingsError: The file can't be read, or holds an unknown key or a bad value.
    """
    entries = _load(path)
    if table:
        entries = _only_table(path, entries, table)
    keys_by_name = {key.name: key for key in keys}
    values: dict[str, Any] = {key.name: key.default for key in keys}
    for name, value in entries.items():
        key = keys_by_name.get(name)
        problem = "no such key" if key is None else key.problem(value)
        if problem is not None:
            raise SettingsError(f"{path}: {name} = {value!r}: {problem}")
        values[name] = tuple(value) if isinstance(value, list) else value
    return values


def _load(path: Path) -> dict[str, Any]:
    import tomllib  # most relays are started without an operator's file

    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:  # TOMLDecodeError and UnicodeDecodeError are ValueErrors
        raise SettingsError(f"{path}: can't be read: {error}") from error


def _only_table(path: Path, entries: Mapping[str, Any], table: str) -> dict[str, Any]:
    for name, value in entries.items():
        if name != table or not isinstance(value, dict):
            raise SettingsError(f"{path}: {name} = {value!r}: all keys stand in the table [{table}]")
    found: dict[str, Any] = entries.get(table, {})
    return found
