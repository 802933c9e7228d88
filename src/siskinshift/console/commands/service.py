"""Commands `service ...`: creates, replaces, deletes and lists services."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from siskinshift.console.arguments import parse_endpoints_argument
from siskinshift.console.arguments import split_argument
from siskinshift.console.exceptions import ArgumentError
from siskinshift.console.operators import format_accepted_change
from siskinshift.console.operators import format_json
from siskinshift.console.operators import format_table
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command
from siskinshift.console.tokens import read_token_digest
from siskinshift.core.endpoints import format_endpoint
from siskinshift.messages.core import Group
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode


if TYPE_CHECKING:
    from siskinshift.api.client import OperatorsClient


DEFAULT_IMPORTANCE = 100


@command("service create")
def create_service(
    service_id: str,
    addresses: str,
    mode: str,
    upstream_class: str,
    importance: int = DEFAULT_IMPORTANCE,
    placement: str = "",
    groups: str = "",
    tokens_folder: str = "",
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Creates a service, optionally with groups.

    Example: siskinshift service create editor --addresses 10.0.0.1:443 \
      --mode request --upstream-class editor --groups treasurers=3,volunteers=1

    Args:
        service_id: Name of the service.
        addresses: Addresses that callers send to, comma-separated.
        mode: request (HTTP/3) or datagram (any UDP protocol).
        upstream_class: Class of the agents that serve the service.
        importance: Priority over other services; higher values take precedence.
        placement: Allowed failure domains, comma-separated; empty for all.
        groups: Groups with their shares, such as treasurers=3,volunteers=1.
        tokens_folder: Folder with a file GROUP.token for each group; empty for no
            tokens.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    service = _build_service(
        service_id, addresses, mode, upstream_class, importance, placement
    )
    parsed_groups = tuple(
        _parse_group(text, str(tokens_folder)) for text in split_argument(groups)
    )
    service = attrs.evolve(service, groups=parsed_groups)
    with operators_client(client) as operators:
        change = operators.create_service(service, change_id=str(change_id))
    return format_accepted_change(change, as_json=as_json)


@command("service replace")
def replace_service(
    service_id: str,
    revision: int,
    addresses: str = "",
    mode: str = "",
    upstream_class: str = "",
    importance: int = 0,
    placement: str | None = None,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Replaces the given values of a service and keeps the others and the groups.

    The change is refused if the service has a newer revision. In that case list the
    service again and review the change.

    Example: siskinshift service replace editor --revision 7 \
      --addresses 10.0.0.1:443,10.0.0.2:443

    Args:
        service_id: Name of the service.
        revision: Revision on which the change is based.
        addresses: New addresses, comma-separated.
        mode: New mode.
        upstream_class: New class.
        importance: New importance.
        placement: New failure domains; "" for all.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        current = _find_service(operators, str(service_id))
        current_addresses = ",".join(
            format_endpoint(address) for address in current.addresses
        )
        changed = _build_service(
            service_id,
            addresses or current_addresses,
            mode or current.mode.value,
            upstream_class or current.upstream_class,
            importance or current.importance,
            ",".join(current.placement) if placement is None else placement,
        )
        change = operators.replace_service(
            Service(
                service_id=changed.service_id,
                addresses=changed.addresses,
                mode=changed.mode,
                upstream_class=changed.upstream_class,
                groups=current.groups,
                importance=changed.importance,
                placement=changed.placement,
            ),
            revision=revision,
            change_id=str(change_id),
        )
    return format_accepted_change(change, as_json=as_json)


@command("service delete")
def delete_service(
    service_id: str,
    revision: int,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Deletes a service. Its callers are no longer served.

    Example: siskinshift service delete plans --revision 12

    Args:
        service_id: Name of the service.
        revision: Revision on which the change is based.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        change = operators.delete_service(
            str(service_id), revision=revision, change_id=str(change_id)
        )
    return format_accepted_change(change, as_json=as_json)


@command("service list")
def list_services(service_id: str = "", client: str = "", output: str = "text") -> str:
    """Lists the services in force on the balancer that responds.

    Args:
        service_id: Name of the only service to list; empty for all.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        services = operators.list_services(str(service_id))
    if as_json:
        return format_json(services)
    titles = (
        "service",
        "revision",
        "mode",
        "class",
        "importance",
        "addresses",
        "evacuated",
    )
    rows = [
        (
            service.service_id,
            service.revision,
            service.mode.value,
            service.upstream_class,
            service.importance,
            ",".join(format_endpoint(address) for address in service.addresses),
            ",".join(service.evacuated) or "-",
        )
        for service in services
    ]
    return format_table(titles, rows)


def _find_service(operators: OperatorsClient, service_id: str) -> Service:
    services = operators.list_services(service_id)
    if not services:
        raise ArgumentError(f"service {service_id!r} is not in force here")
    return services[0]


def _parse_group(text: str, tokens_folder: str) -> Group:
    group_id, _, share = text.partition("=")
    if not share.isdecimal():
        raise ArgumentError(f"--groups {text}: allowed: NAME=SHARE, a whole number")
    digest = ""
    if tokens_folder:
        digest = read_token_digest(Path(tokens_folder) / f"{group_id}.token")
    return Group(group_id=group_id, share=int(share), credential_sha256=digest)


def _build_service(
    service_id: str,
    addresses: str,
    mode: str,
    upstream_class: str,
    importance: int,
    placement: str,
) -> Service:
    allowed = [known_mode.value for known_mode in ServiceMode]
    if mode not in allowed:
        raise ArgumentError(f"--mode {mode}: allowed: {', '.join(allowed)}")
    return Service(
        service_id=str(service_id),
        addresses=tuple(parse_endpoints_argument(addresses)),
        mode=ServiceMode(mode),
        upstream_class=str(upstream_class),
        importance=importance,
        placement=tuple(split_argument(placement)),
    )
