"""Reading of arguments; fire hands over tuples, numbers and strings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.console.exceptions import ArgumentError
from siskinshift.core.endpoints import parse_endpoint


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


def texts_of(argument: object) -> list[str]:
    """Splits a comma-separated argument.

    Args:
        argument: What fire made of it; "a,b" may come as a tuple.

    Returns:
        The parts, without empty ones.
    """
    if isinstance(argument, tuple | list):
        return [str(part) for part in argument]
    return [part.strip() for part in str(argument).split(",") if part.strip()]


def endpoint_of(argument: object) -> Endpoint:
    """Reads an endpoint.

    Args:
        argument: What fire made of it.

    Returns:
        The endpoint.

    Raises:
        ArgumentError: It is none.
    """
    try:
        return parse_endpoint(str(argument))
    except ValueError as error:
        raise ArgumentError(f"{argument!r}: {error}") from error


def endpoints_of(argument: object) -> list[Endpoint]:
    """Reads comma-separated endpoints.

    Args:
        argument: What fire made of it.

    Returns:
        The endpoints.

    Raises:
        ArgumentError: One part is none, or there is none at all.
    """
    endpoints = [endpoint_of(text) for text in texts_of(argument)]
    if not endpoints:
        raise ArgumentError("allowed: one endpoint or more, comma-separated")
    return endpoints
