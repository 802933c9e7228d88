"""Decodes the platform's settings file into the project's settings.

The file is TOML with the platform's names, or JSON with the same fields. Deployments
use JSON because the TOML parser alone takes a seventh of a node's start time. Unknown
fields are ignored, because the platform may add new ones.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.node_settings import NodeSettings
from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.node_settings import StoreSettings
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.core.endpoints import parse_endpoint
from siskinshift.settings.exceptions import SettingsError


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.messages.core import Endpoint


PATH_VARIABLE = "SISKINSHIFT_NODE_FILE"
MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MEGABIT = 125_000.0
# Name in the list of contracts of a deployment whose demand may exceed its capacity.
OVERLOAD_CONTRACT = "pressure"
# A node sends a few requests at its start and one every 10 s afterwards. A fleet that
# starts at once must stay below the store's rate limits and leave room for operators.
CALL_RATE = 10.0
CALL_BURST = 20


class _TableReader:
    """Reads and validates the fields of one table; errors include the field's path."""

    def __init__(
        self, source: str, table: dict[str, Any], path_prefix: str = ""
    ) -> None:
        self._source = source
        self._table = table
        self._path_prefix = path_prefix

    def table(self, name: str) -> _TableReader:
        value = self._table.get(name)
        if not isinstance(value, dict):
            raise self._invalid_field(name, value, "a table")
        return _TableReader(self._source, value, f"{self._path_prefix}{name}.")

    def optional_table(self, name: str) -> _TableReader:
        if name in self._table:
            return self.table(name)
        return _TableReader(self._source, {}, f"{self._path_prefix}{name}.")

    def strings(self, name: str) -> tuple[str, ...]:
        values = self._table.get(name, [])
        if not isinstance(values, list) or not all(isinstance(v, str) for v in values):
            raise self._invalid_field(name, values, "a list of texts")
        return tuple(values)

    def text(self, name: str, default: str | None = None) -> str:
        value = self._table.get(name, default)
        if not isinstance(value, str) or (value == "" and default is None):
            raise self._invalid_field(name, value, "a text")
        return value

    def number(
        self,
        name: str,
        *,
        minimum: float,
        maximum: float,
        default: float | None = None,
    ) -> float:
        value: Any = self._table.get(name, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value <= maximum:
            raise self._invalid_field(name, value, f"a number, {minimum} to {maximum}")
        return float(value)

    def endpoint(self, name: str) -> Endpoint:
        endpoint = self.optional_endpoint(name)
        if endpoint is None:
            raise self._invalid_field(name, None, "host:port")
        return endpoint

    def optional_endpoint(self, name: str) -> Endpoint | None:
        value = self._table.get(name, "")
        if value == "":
            return None
        return self._parse_endpoint(name, value, parse_endpoint, "host:port")

    def first_port(self, name: str) -> int:
        ports: Any = self._table.get(name)
        is_range = isinstance(ports, list) and len(ports) > 1
        if not is_range or not all(isinstance(port, int) for port in ports):
            raise self._invalid_field(name, ports, "two ports")
        return int(ports[0])

    def hosts(self, name: str) -> tuple[str, ...]:
        values = self._table.get(name, [])
        if not isinstance(values, list):
            raise self._invalid_field(name, values, "a list of host:port")
        endpoints = [
            self._parse_endpoint(name, value, parse_endpoint, "host:port")
            for value in values
        ]
        return tuple(endpoint.host for endpoint in endpoints)

    def _parse_endpoint(
        self, name: str, value: object, parse: Callable[[str], Endpoint], allowed: str
    ) -> Endpoint:
        try:
            return parse(str(value))
        except ValueError as error:
            raise self._invalid_field(name, value, allowed) from error

    def _invalid_field(self, name: str, value: object, allowed: str) -> SettingsError:
        shown_value = "missing" if value is None else repr(value)
        location = f"{self._source}: {self._path_prefix}{name}"
        return SettingsError((f"{location}: {shown_value}; allowed: {allowed}",))


def settings_path() -> str:
    """Returns the path of the settings file.

    Returns:
        The path from the environment.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError((f"{PATH_VARIABLE}: missing; allowed: a path",))
    return path


def load_node_settings(path: str | os.PathLike[str]) -> NodeSettings:
    """Reads the settings file.

    Args:
        path: Path of the file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: The file can't be read, or a field is missing or invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = _parse_document(file.read())
    except (BadMessageError, OSError, ValueError) as error:
        message = str(error).replace("\n", " ")
        raise SettingsError((f"{path}: can't be read: {message}",)) from error
    return decode_node_settings(document, source=str(path))


def _parse_document(text: str) -> dict[str, Any]:
    if text.lstrip().startswith("{"):
        return parse_object(text.encode())
    # Imported only for TOML files, which users check by hand; deployments use JSON.
    import tomllib

    return tomllib.loads(text)


def decode_node_settings(document: dict[str, Any], *, source: str) -> NodeSettings:
    """Decodes the settings.

    Args:
        document: Decoded content of the file.
        source: Name of the file for error messages.

    Returns:
        The validated settings.

    Raises:
        SettingsError: A field is missing or invalid.
    """
    fields = _TableReader(source, document)
    listen = fields.table("listen")
    bounds = fields.table("bounds")
    limits = fields.table("limits")
    heartbeat_ms = fields.number("heartbeat-ms", minimum=10, maximum=60_000)
    return NodeSettings(
        node_id=fields.text("node-name"),
        region=fields.text("region"),
        failure_domain=fields.text("zone"),
        host=fields.text("ip"),
        peer_port=fields.first_port("port-range"),
        seed_hosts=fields.hosts("seeds"),
        readiness=listen.optional_endpoint("readiness-addr"),
        # On a balancer's instance, this field is the address for seeds instead.
        heartbeats=listen.optional_endpoint("control-plane"),
        caller_packets=listen.endpoint("datagram-addr"),
        upstream_outlet=listen.optional_endpoint("outbound"),
        upstream=fields.optional_endpoint("app"),
        service_id=fields.text("service", ""),
        heartbeat_interval=heartbeat_ms / MILLISECONDS_PER_SECOND,
        leave_seconds=bounds.number("grace-s", minimum=0.1, maximum=3600),
        link_bytes_per_second=limits.number("link-mbps", minimum=0.01, maximum=1e6)
        * BYTES_PER_MEGABIT,
        store=_decode_store(fields.table("platform"), bounds),
        policies=_decode_policies(fields),
    )


def _decode_policies(fields: _TableReader) -> PolicySettings:
    defaults = PolicySettings()
    load = fields.optional_table("load")

    def fraction(name: str, default: float) -> float:
        return load.number(name, minimum=0.0, maximum=1.0, default=default)

    remote_cost_ms = load.number(
        "remote_cost_ms",
        minimum=0.0,
        maximum=10_000.0,
        default=defaults.remote_cost * MILLISECONDS_PER_SECOND,
    )
    return PolicySettings(
        overload_control=OVERLOAD_CONTRACT in fields.strings("contracts"),
        max_ejected_fraction=fraction(
            "max_ejected_fraction", defaults.max_ejected_fraction
        ),
        remote_cost=remote_cost_ms / MILLISECONDS_PER_SECOND,
        min_bulk_fraction=fraction("min_bulk_fraction", defaults.min_bulk_fraction),
        max_busy_wait_fraction=fraction(
            "max_busy_wait_fraction", defaults.max_busy_wait_fraction
        ),
    )


def _decode_store(fields: _TableReader, bounds: _TableReader) -> StoreSettings:
    lease_ms = fields.number("min-ttl-ms", minimum=1, maximum=600_000)
    window_ms = bounds.number(
        "stable-window-ms", minimum=1, maximum=3_600_000, default=4_000
    )
    return StoreSettings(
        endpoint=fields.endpoint("address"),
        call_rate=CALL_RATE,
        call_burst=CALL_BURST,
        lease_minimum=lease_ms / MILLISECONDS_PER_SECOND,
        recovery_window=window_ms / MILLISECONDS_PER_SECOND,
    )
