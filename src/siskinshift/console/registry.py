"""Registry of commands, filled by a decorator in each command's module."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from typing import Any
from typing import TypeAlias

from siskinshift.console import commands


Command: TypeAlias = Callable[..., Any]

_commands_by_name: dict[str, Any] = {}


def command(name: str) -> Callable[[Command], Command]:
    """Registers the decorated function as a command.

    Args:
        name: Name on the command line; "group name" for a command of a group.

    Returns:
        The decorator.
    """

    def register(function: Command) -> Command:
        group, _, own_name = name.rpartition(" ")
        holder = _commands_by_name.setdefault(group, {}) if group else _commands_by_name
        holder[own_name] = function
        return function

    return register


def load_commands() -> dict[str, Any]:
    """Imports all command modules.

    Returns:
        Commands by name; groups are dictionaries of their own.
    """
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    return _commands_by_name
