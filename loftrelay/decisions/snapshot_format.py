"""Stored formats of records and enums: map the names in a snapshot to the attributes of the program.

Snapshots pass between processes of different versions, so stored names never change. After a rename in the
program, `RecordFormat.attributes` or `EnumFormat.members` maps the stored name to the new one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from typing import Any


@dataclass(frozen=True)
class RecordFormat:
    """Stored format of the objects of one type.

    Attributes:
        type: The type.
        fields: Stored name of each field, in row order -> stored name of its type.
        attributes: Stored name of a field -> attribute that holds it, where the two differ.
        left_out: Stored names of the fields that a row omits.
    """

    type: type[Any]
    fields: Mapping[str, str]
    attributes: Mapping[str, str] = field(default_factory=dict)
    left_out: tuple[str, ...] = ()

    @cached_property
    def row_attributes(self) -> tuple[str, ...]:
        """Attributes contained in a row, in row order."""
        return tuple(self.attributes.get(name, name) for name in self.fields if name not in self.left_out)


@dataclass(frozen=True)
class EnumFormat:
    """Stored format of the members of one enum.

    Attributes:
        type: The enum.
        members: Stored name of each member -> its name in the enum.
    """

    type: type[Enum]
    members: Mapping[str, str]

    def member(self, stored_name: str) -> Enum:
        """Returns the member of a stored name.

        Raises:
            KeyError: No member has this stored name.
        """
        return self.type[self.members[stored_name]]

    @cached_property
    def stored_names(self) -> Mapping[Enum, str]:
        """Member -> its stored name."""
        return {self.type[name]: stored_name for stored_name, name in self.members.items()}
