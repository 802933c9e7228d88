"""What the operators' commands share: the client and the writing of answers."""

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
    """Opens a client as the file's section [client] says, and closes it.

    Args:
        client_file: Path of the INI file; empty for the one that the environment
            variable SISKINSHIFT_CLIENT names, else client.ini.

    Yields:
        The client.

    Raises:
        SettingsError: The file can't be read or a value is not allowed.
        ArgumentError: The file with the authority's certificates can't be read.
    """
    # gRPC takes a while to import; commands without it must not pay.
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
            ca_certificates=_read_authority(section.authority_file),
            server_name=section.server_name,
            timeout=section.timeout,
            reach_timeout=section.reach_timeout,
        )
    )
    try:
        yield client
    finally:
        client.close()


def _read_authority(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ArgumentError(f"authority_file {path}: {error.strerror}") from error


def write_json(value: object) -> str:
    """Writes an attrs instance, or a sequence of them, as one line of JSON.

    Args:
        value: What to write.

    Returns:
        The JSON.
    """
    if isinstance(value, list | tuple):
        return orjson.dumps([_plain(one) for one in value]).decode()
    return orjson.dumps(_plain(value)).decode()


def write_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Writes aligned columns.

    Args:
        titles: Titles of the columns.
        rows: Cells of each row.

    Returns:
        The table; its title line alone when there are no rows.
    """
    lines = [list(titles), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(titles))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def write_accepted(change: AcceptedChange, *, as_json: bool) -> str:
    """Writes an accepted change.

    Args:
        change: The change.
        as_json: Whether a machine reads it.

    Returns:
        The text.
    """
    if as_json:
        return write_json(change)
    return f"accepted at revision {change.revision}"


def write_all_accepted(changes: Sequence[AcceptedChange], *, as_json: bool) -> str:
    """Writes accepted changes of several services.

    Args:
        changes: The changes.
        as_json: Whether a machine reads it.

    Returns:
        The text.
    """
    if as_json:
        return write_json(changes)
    lines = [f"{c.service_id}: accepted at revision {c.revision}" for c in changes]
    return "\n".join(lines) or "no service is in force here"


def is_json(output: str) -> bool:
    """Reads the argument `output`.

    Args:
        output: What the operator wrote.

    Returns:
        Whether JSON is asked for.

    Raises:
        ArgumentError: It is neither text nor JSON.
    """
    if output not in OUTPUTS:
        raise ArgumentError(f"--output {output}: allowed: {', '.join(OUTPUTS)}")
    return output == "json"


def _plain(value: object) -> object:
    return asdict(value) if has(type(value)) else value  # type: ignore[arg-type]
