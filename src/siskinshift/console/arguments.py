"""Parses command arguments, which fire passes as tuples, numbers or strings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.console.exceptions import ArgumentError
from siskinshift.core.endpoints import parse_endpoint


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


def split_argument(argument: object) -> list[str]:
    """Splits a comma-separated argument.

    Args:
        argument: Value passed by fire; "a,b" may be passed as a tuple.

    Returns:
        The non-empty parts.
    """
    if isinstance(argument, tuple | list):
        return [str(part) for part in argument]
    return [part.strip() for part in str(argument).split(",") if part.strip()]


def parse_endpoint_argument(argument: object) -> Endpoint:
    """Parses an endpoint.

    Args:
        argument: Value passed by fire.

    Returns:
        The endpoint.

    Raises:
        ArgumentError: The argument is not an endpoint.
    """
    try:
        return parse_endpoint(str(argument))
    except ValueError as error:
        raise ArgumentError(f"{argument!r}: {error}") from error


def parse_endpoints_argument(argument: object) -> list[Endpoint]:
    """Parses comma-separated endpoints.

    Args:
        argument: Value passed by fire.

    Returns:
        The endpoints.

    Raises:
        ArgumentError: A part is not an endpoint, or the argument is empty.
    """
    endpoints = [parse_endpoint_argument(text) for text in split_argument(argument)]
    if not endpoints:
        raise ArgumentError("allowed: one endpoint or more, comma-separated")
    return endpoints
