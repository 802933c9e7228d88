"""The platform's settings file, decoded into the product's settings.

The file is TOML under the platform's names, or the same fields as JSON, which the
deploy file asks for: the parser of TOML alone takes a seventh of a node's start. Fields
that are not listed here are ignored: new ones may come.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Any

from siskinshift.connections.node_settings import NodeSettings
from siskinshift.connections.node_settings import StoreSettings
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.core.endpoints import parse_endpoint
from siskinshift.settings.exceptions import SettingsError


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.messages.core import Endpoint


PATH_VARIABLE = "SISKINSHIFT_NODE_FILE"
MILLISECONDS = 1000.0
BYTES_PER_MEGABIT = 125_000.0
# A node needs a few calls at its start and one each ten seconds after; a whole fleet
# that starts at once must stay below the store's rates with room for the operators.
CALL_RATE = 10.0
CALL_BURST = 20


class _Fields:
    """Reads fields of one table and names the place of each fault."""

    def __init__(self, source: str, table: dict[str, Any], place: str = "") -> None:
        self._source = source
        self._table = table
        self._place = place

    def table(self, name: str) -> _Fields:
        value = self._table.get(name)
        if not isinstance(value, dict):
            raise self._fault(name, value, "a table")
        return _Fields(self._source, value, f"{self._place}{name}.")

    def text(self, name: str, default: str | None = None) -> str:
        value = self._table.get(name, default)
        if not isinstance(value, str) or (value == "" and default is None):
            raise self._fault(name, value, "a text")
        return value

    def number(self, name: str, *, minimum: float, maximum: float) -> float:
        value: Any = self._table.get(name)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value <= maximum:
            raise self._fault(name, value, f"a number, {minimum} to {maximum}")
        return float(value)

    def endpoint(self, name: str) -> Endpoint:
        endpoint = self.optional_endpoint(name)
        if endpoint is None:
            raise self._fault(name, None, "host:port")
        return endpoint

    def optional_endpoint(self, name: str) -> Endpoint | None:
        value = self._table.get(name, "")
        if value == "":
            return None
        return self._checked(name, value, parse_endpoint, "host:port")

    def first_port(self, name: str) -> int:
        ports: Any = self._table.get(name)
        is_range = isinstance(ports, list) and len(ports) > 1
        if not is_range or not all(isinstance(port, int) for port in ports):
            raise self._fault(name, ports, "two ports")
        return int(ports[0])

    def hosts(self, name: str) -> tuple[str, ...]:
        values = self._table.get(name, [])
        if not isinstance(values, list):
            raise self._fault(name, values, "a list of host:port")
        endpoints = [
            self._checked(name, value, parse_endpoint, "host:port") for value in values
        ]
        return tuple(endpoint.host for endpoint in endpoints)

    def _checked(
        self, name: str, value: object, parse: Callable[[str], Endpoint], allowed: str
    ) -> Endpoint:
        try:
            return parse(str(value))
        except ValueError as error:
            raise self._fault(name, value, allowed) from error

    def _fault(self, name: str, value: object, allowed: str) -> SettingsError:
        shown = "missing" if value is None else repr(value)
        place = f"{self._source}: {self._place}{name}"
        return SettingsError((f"{place}: {shown}; allowed: {allowed}",))


def settings_path() -> str:
    """Names the settings file.

    Returns:
        Its path by the environment.

    Raises:
        SettingsError: The variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError((f"{PATH_VARIABLE}: missing; allowed: a path",))
    return path


def load_node_settings(path: str | os.PathLike[str]) -> NodeSettings:
    """Reads the settings file.

    Args:
        path: The file.

    Returns:
        The settings, checked.

    Raises:
        SettingsError: The file can't be read, or a field is missing or not allowed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = _parse(file.read())
    except (BadMessageError, OSError, ValueError) as error:
        problem = str(error).replace("\n", " ")
        raise SettingsError((f"{path}: can't be read: {problem}",)) from error
    return decode_node_settings(document, source=str(path))


def _parse(text: str) -> dict[str, Any]:
    if text.lstrip().startswith("{"):
        return parse_object(text.encode())
    # Loaded only where it is needed: by people who check a file of their own.
    import tomllib

    return tomllib.loads(text)


def decode_node_settings(document: dict[str, Any], *, source: str) -> NodeSettings:
    """Decodes the settings.

    Args:
        document: The file's content.
        source: Name of the file, for messages.

    Returns:
        The settings, checked.

    Raises:
        SettingsError: A field is missing or not allowed.
    """
    fields = _Fields(source, document)
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
        # The same name holds the address for seeds on a balancer's instance.
        heartbeats=listen.optional_endpoint("control-plane"),
        caller_packets=listen.endpoint("datagram-addr"),
        upstream_outlet=listen.optional_endpoint("outbound"),
        upstream=fields.optional_endpoint("app"),
        service_id=fields.text("service", ""),
        heartbeat_interval=heartbeat_ms / MILLISECONDS,
        leave_seconds=bounds.number("grace-s", minimum=0.1, maximum=3600),
        link_bytes_per_second=limits.number("link-mbps", minimum=0.01, maximum=1e6)
        * BYTES_PER_MEGABIT,
        store=_decode_store(fields.table("platform")),
    )


def _decode_store(fields: _Fields) -> StoreSettings:
    lease_ms = fields.number("min-ttl-ms", minimum=1, maximum=600_000)
    return StoreSettings(
        endpoint=fields.endpoint("address"),
        call_rate=CALL_RATE,
        call_burst=CALL_BURST,
        lease_minimum=lease_ms / MILLISECONDS,
    )
