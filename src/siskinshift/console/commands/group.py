"""Commands `group ...`: manages groups of a service and their shares."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.operators import format_accepted_change
from siskinshift.console.operators import format_json
from siskinshift.console.operators import format_table
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command
from siskinshift.console.tokens import read_token_digest
from siskinshift.messages.core import Group


@command("group put")
def put_group(
    service_id: str,
    group_id: str,
    share: int,
    token_file: str = "",
    revision: int = 0,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Adds a group to a service, or replaces it.

    Callers authenticate as members of the group with a bearer token. Only the digest
    of the token is sent.

    Example: siskinshift group put editor treasurers --share 3 \
      --token-file treasurers.token

    Args:
        service_id: Name of the service.
        group_id: Name of the group.
        share: Share of the group, relative to the other groups.
        token_file: Path of the file with the group's token; empty for no token.
        revision: Revision on which the change is based; 0 for the current one.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    digest = read_token_digest(Path(str(token_file))) if token_file else ""
    group = Group(group_id=str(group_id), share=share, credential_sha256=digest)
    with operators_client(client) as operators:
        change = operators.put_group(
            str(service_id), group, revision=revision, change_id=str(change_id)
        )
    return format_accepted_change(change, as_json=as_json)


@command("group delete")
def delete_group(
    service_id: str,
    group_id: str,
    revision: int = 0,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Removes a group from a service.

    Args:
        service_id: Name of the service.
        group_id: Name of the group.
        revision: Revision on which the change is based; 0 for the current one.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        change = operators.delete_group(
            str(service_id),
            str(group_id),
            revision=revision,
            change_id=str(change_id),
        )
    return format_accepted_change(change, as_json=as_json)


@command("group share")
def set_share(
    service_id: str,
    group_id: str,
    share: int,
    revision: int = 0,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Sets the share of a group.

    Example: siskinshift group share editor treasurers 5

    Args:
        service_id: Name of the service.
        group_id: Name of the group.
        share: Share of the group, relative to the other groups.
        revision: Revision on which the change is based; 0 for the current one.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        change = operators.set_share(
            str(service_id),
            str(group_id),
            share,
            revision=revision,
            change_id=str(change_id),
        )
    return format_accepted_change(change, as_json=as_json)


@command("group list")
def list_groups(service_id: str = "", client: str = "", output: str = "text") -> str:
    """Lists groups with their shares.

    Args:
        service_id: Name of the only service to list; empty for all.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        services = operators.list_services(str(service_id))
    if as_json:
        return format_json([group for service in services for group in service.groups])
    rows = [
        (service.service_id, group.group_id, group.share, bool(group.credential_sha256))
        for service in services
        for group in service.groups
    ]
    return format_table(("service", "group", "share", "has token"), rows)
