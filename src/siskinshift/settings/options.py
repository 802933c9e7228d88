"""Descriptions of settings, as the schema defines them."""

from __future__ import annotations

from attrs import field
from attrs import frozen


@frozen
class Secret:
    """A value that is hidden when it is printed or logged.

    Attributes:
        value: The secret.
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
        doc: Meaning of the key.
        default: Value when the key is absent; None when it is required.
        unit: Unit of the value, such as "seconds".
        minimum: Smallest value allowed; None for no limit.
        maximum: Largest value allowed; None for no limit.
        choices: Allowed values, for type "choice".
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
        doc: Purpose of the section.
        settings_class: Generated class that holds the values.
        standalone: Whether the section has its own file and is not part of `Settings`.
        options: Keys of the section, in order.
    """

    name: str
    doc: str
    settings_class: type
    standalone: bool
    options: tuple[Option, ...]
