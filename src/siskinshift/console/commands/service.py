"""Commands `service ...`: creates, replaces, deletes and lists services."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from siskinshift.console.arguments import endpoints_of
from siskinshift.console.arguments import texts_of
from siskinshift.console.exceptions import ArgumentError
from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_accepted
from siskinshift.console.operators import write_json
from siskinshift.console.operators import write_table
from siskinshift.console.registry import command
from siskinshift.console.tokens import token_digest
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
    """Creates a service, with its groups if they are named.

    Example: siskinshift service create editor --addresses 10.0.0.1:443 \
      --mode request --upstream-class editor --groups treasurers=3,volunteers=1

    Args:
        service_id: Name of the service.
        addresses: Addresses callers send to, comma-separated.
        mode: request (HTTP/3) or datagram (any UDP protocol).
        upstream_class: Agents of this class serve it.
        importance: Higher goes first where services meet.
        placement: Failure domains allowed, comma-separated; empty for all.
        groups: Groups with their shares, such as treasurers=3,volunteers=1.
        tokens_folder: Folder with a file GROUP.token for each group; empty for none.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    service = _service(
        service_id, addresses, mode, upstream_class, importance, placement
    )
    named = tuple(_group(text, str(tokens_folder)) for text in texts_of(groups))
    service = attrs.evolve(service, groups=named)
    with operators_client(client) as operators:
        change = operators.create_service(service, change_id=str(change_id))
    return write_accepted(change, as_json=as_json)


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
    """Changes what is named and keeps the rest, groups included.

    Refused when another change came first: list again and decide anew.

    Example: siskinshift service replace editor --revision 7 \
      --addresses 10.0.0.1:443,10.0.0.2:443

    Args:
        service_id: Name of the service.
        revision: Revision that you have seen.
        addresses: New addresses, comma-separated.
        mode: New mode.
        upstream_class: New class.
        importance: New importance.
        placement: New failure domains; "" for all.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        known = _one_service(operators, str(service_id))
        kept = ",".join(format_endpoint(one) for one in known.addresses)
        changed = _service(
            service_id,
            addresses or kept,
            mode or known.mode.value,
            upstream_class or known.upstream_class,
            importance or known.importance,
            ",".join(known.placement) if placement is None else placement,
        )
        change = operators.replace_service(
            Service(
                service_id=changed.service_id,
                addresses=changed.addresses,
                mode=changed.mode,
                upstream_class=changed.upstream_class,
                groups=known.groups,
                importance=changed.importance,
                placement=changed.placement,
            ),
            revision=revision,
            change_id=str(change_id),
        )
    return write_accepted(change, as_json=as_json)


@command("service delete")
def delete_service(
    service_id: str,
    revision: int,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Deletes a service; its callers are no longer served.

    Example: siskinshift service delete plans --revision 12

    Args:
        service_id: Name of the service.
        revision: Revision that you have seen.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        change = operators.delete_service(
            str(service_id), revision=revision, change_id=str(change_id)
        )
    return write_accepted(change, as_json=as_json)


@command("service list")
def list_services(service_id: str = "", client: str = "", output: str = "text") -> str:
    """Lists the services in force on the balancer that answers.

    Args:
        service_id: Only this one; empty for all.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        services = operators.list_services(str(service_id))
    if as_json:
        return write_json(services)
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
            one.service_id,
            one.revision,
            one.mode.value,
            one.upstream_class,
            one.importance,
            ",".join(format_endpoint(address) for address in one.addresses),
            ",".join(one.evacuated) or "-",
        )
        for one in services
    ]
    return write_table(titles, rows)


def _one_service(operators: OperatorsClient, service_id: str) -> Service:
    services = operators.list_services(service_id)
    if not services:
        raise ArgumentError(f"service {service_id!r} is not in force here")
    return services[0]


def _group(text: str, tokens_folder: str) -> Group:
    group_id, _, share = text.partition("=")
    if not share.isdecimal():
        raise ArgumentError(f"--groups {text}: allowed: NAME=SHARE, a whole number")
    digest = ""
    if tokens_folder:
        digest = token_digest(Path(tokens_folder) / f"{group_id}.token")
    return Group(group_id=group_id, share=int(share), credential_sha256=digest)


def _service(
    service_id: str,
    addresses: str,
    mode: str,
    upstream_class: str,
    importance: int,
    placement: str,
) -> Service:
    allowed = [one.value for one in ServiceMode]
    if mode not in allowed:
        raise ArgumentError(f"--mode {mode}: allowed: {', '.join(allowed)}")
    return Service(
        service_id=str(service_id),
        addresses=tuple(endpoints_of(addresses)),
        mode=ServiceMode(mode),
        upstream_class=str(upstream_class),
        importance=importance,
        placement=tuple(texts_of(placement)),
    )
