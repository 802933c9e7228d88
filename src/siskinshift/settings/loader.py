"""Loads settings from INI text and validates each value against the schema."""

from __future__ import annotations

import configparser
import difflib
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from siskinshift.core.endpoints import parse_endpoint
from siskinshift.settings.exceptions import SettingsError
from siskinshift.settings.generated import SECTIONS
from siskinshift.settings.generated import Settings
from siskinshift.settings.options import Secret


if TYPE_CHECKING:
    from pathlib import Path

    from siskinshift.settings.options import Option
    from siskinshift.settings.options import Section


MIN_SECRET_LENGTH = 16

SectionT = TypeVar("SectionT")


class SettingsLoader:
    """Converts INI text to `Settings` and reports all invalid values together."""

    def __init__(self, *, source: str) -> None:
        """Initializes the loader.

        Args:
            source: Name of the file in error messages.
        """
        self._source = source
        self._problems: list[str] = []

    def load(self, text: str) -> Settings:
        """Loads all sections.

        Args:
            text: Content of an INI file.

        Returns:
            The validated settings.

        Raises:
            SettingsError: The text is not valid INI or a value is not allowed.
        """
        parser = self._parse(text)
        values: dict[str, Any] = {
            section.name: self._convert_section(parser, section)
            for section in SECTIONS
            if not section.standalone
        }
        self._raise_problems()
        return Settings(**values)

    def load_section(self, text: str, settings_class: type[SectionT]) -> SectionT:
        """Loads one section; other sections are checked for unknown keys only.

        Args:
            text: Content of an INI file.
            settings_class: Generated settings class of the section.

        Returns:
            The validated settings of the section.

        Raises:
            SettingsError: The text is not valid INI or a value is not allowed.
        """
        parser = self._parse(text)
        section = next(s for s in SECTIONS if s.settings_class is settings_class)
        values = self._convert_section(parser, section)
        self._raise_problems()
        assert isinstance(values, settings_class)
        return values

    def _parse(self, text: str) -> configparser.ConfigParser:
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(text, source=self._source)
        except configparser.Error as error:
            problem = str(error).replace("\n", " ")
            raise SettingsError((f"{self._source}: {problem}",)) from error
        self._check_unknown_names(parser)
        return parser

    def _raise_problems(self) -> None:
        if self._problems:
            raise SettingsError(tuple(self._problems))

    def _check_unknown_names(self, parser: configparser.ConfigParser) -> None:
        options_by_section = {s.name: {o.name for o in s.options} for s in SECTIONS}
        for section_name in parser.sections():
            known = options_by_section.get(section_name)
            if known is None:
                suggestion = _suggestion(section_name, set(options_by_section))
                self._add_problem(section_name, "", "", suggestion)
                continue
            for key in parser[section_name]:
                if key not in known:
                    self._add_problem(section_name, key, "", _suggestion(key, known))

    def _convert_section(
        self, parser: configparser.ConfigParser, section: Section
    ) -> object:
        values: dict[str, object] = {}
        for option in section.options:
            text = parser.get(section.name, option.name, fallback=None)
            values[option.name] = self._convert_option(section.name, option, text)
        return section.settings_class(**values)

    def _convert_option(self, section: str, option: Option, text: str | None) -> object:
        if text is None:
            if option.default is None:
                self._add_problem(section, option.name, "", f"required; {option.doc}")
                return None
            text = str(option.default)
        try:
            return self._convert(option, text.strip())
        except ValueError as error:
            shown = "(secret)" if option.type.startswith("secret") else text
            self._add_problem(section, option.name, shown, str(error))
            return None

    def _convert(self, option: Option, text: str) -> object:
        if option.type in ("int", "float"):
            return self._convert_number(option, text)
        if option.type == "choice" and text not in option.choices:
            raise ValueError(f"allowed: {', '.join(option.choices)}")
        if option.type == "secret":
            return self._convert_secret(text)
        if option.type == "secrets":
            parts = [part.strip() for part in text.split(",") if part.strip()]
            return tuple(self._convert_secret(part) for part in parts)
        if option.type == "endpoint":
            return parse_endpoint(text)
        if option.type == "endpoints":
            parts = [part.strip() for part in text.split(",") if part.strip()]
            return tuple(parse_endpoint(part) for part in parts)
        return text

    def _convert_secret(self, text: str) -> Secret:
        if text and len(text) < MIN_SECRET_LENGTH:
            raise ValueError(f"allowed: {MIN_SECRET_LENGTH} characters or more")
        return Secret(text)

    def _convert_number(self, option: Option, text: str) -> int | float:
        allowed = f"{option.minimum} to {option.maximum} {option.unit}".strip()
        try:
            number: int | float = int(text) if option.type == "int" else float(text)
        except ValueError as error:
            raise ValueError(f"allowed: {option.type}, {allowed}") from error
        lowest = option.minimum if option.minimum is not None else number
        highest = option.maximum if option.maximum is not None else number
        if not lowest <= number <= highest:
            raise ValueError(f"allowed: {allowed}")
        return number

    def _add_problem(self, section: str, key: str, value: str, allowed: str) -> None:
        location = f"{self._source}: [{section}] {key}".rstrip()
        shown = f" = {value!r}" if value else ""
        self._problems.append(f"{location}{shown}: {allowed}")


def _suggestion(name: str, known: set[str]) -> str:
    matches = difflib.get_close_matches(name, sorted(known), n=1)
    if matches:
        return f"not known; write {matches[0]!r} instead"
    return f"not known; allowed: {', '.join(sorted(known))}"


def load_settings(path: Path) -> Settings:
    """Loads a settings file.

    Args:
        path: The INI file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The file can't be read or a value is not allowed.
    """
    return SettingsLoader(source=str(path)).load(_read_text(path))


def load_section(path: Path, settings_class: type[SectionT]) -> SectionT:
    """Loads one section of a settings file.

    Args:
        path: The INI file.
        settings_class: Generated settings class of the section.

    Returns:
        The validated settings of the section.

    Raises:
        SettingsError: The file can't be read or a value is not allowed.
    """
    loader = SettingsLoader(source=str(path))
    return loader.load_section(_read_text(path), settings_class)


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: can't be read: {error}",)) from error
