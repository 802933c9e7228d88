"""Registers commands through a decorator in the module of each command."""

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
        name: Name on the command line; "group name" for a command in a command group.

    Returns:
        The decorator.
    """

    def register(function: Command) -> Command:
        group, _, own_name = name.rpartition(" ")
        commands_by_name = (
            _commands_by_name.setdefault(group, {}) if group else _commands_by_name
        )
        commands_by_name[own_name] = function
        return function

    return register


def load_commands() -> dict[str, Any]:
    """Imports all command modules, which register their commands.

    Returns:
        Commands by name; a command group is a nested dictionary.
    """
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    return _commands_by_name
