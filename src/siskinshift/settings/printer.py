"""Formats the settings in force as INI or JSON, with secrets hidden."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson

from siskinshift.core.endpoints import format_endpoint
from siskinshift.messages.core import Endpoint
from siskinshift.settings.generated import SECTIONS
from siskinshift.settings.options import Secret


if TYPE_CHECKING:
    from siskinshift.settings.generated import Settings


def format_settings(settings: Settings, *, output: str) -> str:
    """Formats all sections but the standalone ones.

    Args:
        settings: The settings.
        output: "json" for JSON, else INI text that the loader accepts, except for the
            placeholders of secrets.

    Returns:
        The formatted settings.
    """
    values_by_section = {
        section.name: {
            option.name: _format_value(
                getattr(getattr(settings, section.name), option.name)
            )
            for option in section.options
        }
        for section in SECTIONS
        if not section.standalone
    }
    if output == "json":
        return orjson.dumps(values_by_section, option=orjson.OPT_INDENT_2).decode()
    lines: list[str] = []
    for name, values in values_by_section.items():
        lines += [f"[{name}]", *(f"{key} = {value}" for key, value in values.items())]
        lines.append("")
    return "\n".join(lines).rstrip()


def _format_value(value: object) -> str:
    if isinstance(value, Secret):
        return str(value) if value.value else ""
    if isinstance(value, Endpoint):
        return format_endpoint(value)
    if isinstance(value, tuple):
        return ", ".join(_format_value(part) for part in value)
    return str(value)
