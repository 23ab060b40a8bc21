"""Reads an operator's TOML file and checks it against a table of keys with units, defaults and bounds.

A file with any error is rejected as a whole; the error names the file, the key and the value.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

Value = bool | int | float | str | tuple[str, ...]


class SettingsError(Exception):
    """A configuration can't be used; the message is one line for the operator."""


@dataclass(frozen=True, slots=True)
class Key:
    """Key of a settings file. Its values must have the type of the default.

    Attributes:
        name: Name of the key in the file.
        default: Value if the file does not have the key. A tuple means a list of strings; a float accepts
            any number, an int only whole numbers.
        unit: Unit of a number, for error messages.
        description: What the key sets, for the reader of the table.
        minimum: Smallest number accepted.
        maximum: Largest number accepted.
        choices: Strings accepted; empty: any string.
    """

    name: str
    default: Value
    unit: str
    description: str
    minimum: float = 0
    maximum: float = 1_000_000
    choices: Sequence[str] = ()

    def problem(self, value: Any) -> str | None:
        """Returns the problem with a value, or None if it is valid."""
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
    """Reads and checks a settings file.

    Args:
        path: The file.
        keys: Keys that the file may have.
        table: Name of the only table of the file, which has all keys; empty: the keys are at the top level.

    Returns:
        All keys with their values, or with their defaults.

    Raises:
        SettingsError: The file can't be read, or has an unknown key or an invalid value.
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
    import tomllib  # imported here because most relays start without such a file

    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:  # TOMLDecodeError and UnicodeDecodeError are ValueErrors
        raise SettingsError(f"{path}: can't be read: {error}") from error


def _only_table(path: Path, entries: Mapping[str, Any], table: str) -> dict[str, Any]:
    for name, value in entries.items():
        if name != table or not isinstance(value, dict):
            raise SettingsError(f"{path}: {name} = {value!r}: all keys stand in the table [{table}]")
    table_entries: dict[str, Any] = entries.get(table, {})
    return table_entries
