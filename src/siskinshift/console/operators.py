"""Client and output formatting shared by the operators' commands."""

from __future__ import annotations

import os
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
from attrs import asdict
from attrs import has

from siskinshift.console.exceptions import ArgumentError


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from siskinshift.api.client import OperatorsClient
    from siskinshift.configuration.store import AcceptedChange


CLIENT_FILE_VARIABLE = "SISKINSHIFT_CLIENT"
DEFAULT_CLIENT_FILE = "client.ini"
OUTPUTS = ("text", "json")


@contextmanager
def operators_client(client_file: str) -> Iterator[OperatorsClient]:
    """Opens a client for the section [client] of a file, and closes it on exit.

    Args:
        client_file: Path of the INI file. If empty, the path is the value of the
            environment variable SISKINSHIFT_CLIENT, or client.ini if it is not set.

    Yields:
        The client.

    Raises:
        SettingsError: The file can't be read, or a value is not allowed.
        ArgumentError: The file with the CA certificates can't be read.
    """
    # Imported here because importing gRPC is slow and other commands do not need it.
    from siskinshift.api.client import ClientSettings
    from siskinshift.api.client import OperatorsClient
    from siskinshift.settings.generated import ClientSettings as ClientSection
    from siskinshift.settings.loader import load_section

    default = os.environ.get(CLIENT_FILE_VARIABLE, DEFAULT_CLIENT_FILE)
    section = load_section(Path(str(client_file or default)), ClientSection)
    client = OperatorsClient(
        ClientSettings(
            endpoint=section.endpoint,
            token=section.token,
            ca_certificates=_read_ca_certificates(section.authority_file),
            server_name=section.server_name,
            timeout=section.timeout,
            reach_timeout=section.reach_timeout,
        )
    )
    try:
        yield client
    finally:
        client.close()


def _read_ca_certificates(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ArgumentError(
            f"authority_file {path}: can't be read: {error.strerror}"
        ) from error


def format_json(value: object) -> str:
    """Formats an attrs instance, or a sequence of them, as one line of JSON.

    Args:
        value: The value to format.

    Returns:
        The JSON.
    """
    if isinstance(value, list | tuple):
        return orjson.dumps([_to_plain(item) for item in value]).decode()
    return orjson.dumps(_to_plain(value)).decode()


def format_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats rows as aligned columns.

    Args:
        titles: Titles of the columns.
        rows: Cells of each row.

    Returns:
        The table; only the title line if there are no rows.
    """
    lines = [list(titles), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_accepted_change(change: AcceptedChange, *, as_json: bool) -> str:
    """Formats an accepted change.

    Args:
        change: The change.
        as_json: Whether to format as JSON.

    Returns:
        The formatted text.
    """
    if as_json:
        return format_json(change)
    return f"accepted at revision {change.revision}"


def format_accepted_changes(changes: Sequence[AcceptedChange], *, as_json: bool) -> str:
    """Formats accepted changes of several services.

    Args:
        changes: The changes.
        as_json: Whether to format as JSON.

    Returns:
        The formatted text.
    """
    if as_json:
        return format_json(changes)
    lines = [f"{c.service_id}: accepted at revision {c.revision}" for c in changes]
    return "\n".join(lines) or "no service is in force here"


def is_json_output(output: str) -> bool:
    """Parses the argument `output`.

    Args:
        output: Value of the argument.

    Returns:
        Whether the output format is JSON.

    Raises:
        ArgumentError: The value is neither text nor json.
    """
    if output not in OUTPUTS:
        raise ArgumentError(f"--output {output}: allowed: {', '.join(OUTPUTS)}")
    return output == "json"


def _to_plain(value: object) -> object:
    return asdict(value) if has(type(value)) else value  # type: ignore[arg-type]
