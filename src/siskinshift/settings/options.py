"""Descriptions of settings: what the schema says of each key."""

from __future__ import annotations

from attrs import field
from attrs import frozen


@frozen
class Secret:
    """A value that is never printed.

    Attributes:
        value: The secret itself.
    """

    value: str = field(repr=False)

    def __str__(self) -> str:
        return "(secret)"


@frozen
class Option:
    """One key of a section.

    Attributes:
        name: Key in the INI file.
        type: Type name of the schema, such as "int" or "endpoint".
        doc: What the key means.
        default: Value when the key is absent; None when it is required.
        unit: Unit of the value, such as "seconds".
        minimum: Least value allowed.
        maximum: Greatest value allowed.
        choices: Values allowed, for type "choice".
    """

    name: str
    type: str
    doc: str
    default: str | int | float | None = None
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


@frozen
class Section:
    """One section of the INI file.

    Attributes:
        name: Section name in the INI file.
        doc: What the section is for.
        settings_class: Generated class that holds the values.
        standalone: Whether it stands in a file of its own and not in `Settings`.
        options: Keys of the section in their order.
    """

    name: str
    doc: str
    settings_class: type
    standalone: bool
    options: tuple[Option, ...]
