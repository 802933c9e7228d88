"""Commands `group ...`: groups of a service and their shares."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_accepted
from siskinshift.console.operators import write_json
from siskinshift.console.operators import write_table
from siskinshift.console.registry import command
from siskinshift.console.tokens import token_digest
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

    Callers show that they belong to the group by a bearer token. Only its digest
    leaves this machine.

    Example: siskinshift group put editor treasurers --share 3 \
      --token-file treasurers.token

    Args:
        service_id: Name of the service.
        group_id: Name of the group.
        share: Share it is owed, relative to the other groups.
        token_file: File with the group's token; empty for none.
        revision: Revision that you have seen; 0 for whatever is current.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    digest = token_digest(Path(str(token_file))) if token_file else ""
    group = Group(group_id=str(group_id), share=share, credential_sha256=digest)
    with operators_client(client) as operators:
        change = operators.put_group(
            str(service_id), group, revision=revision, change_id=str(change_id)
        )
    return write_accepted(change, as_json=as_json)


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
        revision: Revision that you have seen; 0 for whatever is current.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        change = operators.delete_group(
            str(service_id),
            str(group_id),
            revision=revision,
            change_id=str(change_id),
        )
    return write_accepted(change, as_json=as_json)


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
    """Sets the share that a group is owed.

    Example: siskinshift group share editor treasurers 5

    Args:
        service_id: Name of the service.
        group_id: Name of the group.
        share: Share it is owed, relative to the other groups.
        revision: Revision that you have seen; 0 for whatever is current.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        change = operators.set_share(
            str(service_id),
            str(group_id),
            share,
            revision=revision,
            change_id=str(change_id),
        )
    return write_accepted(change, as_json=as_json)


@command("group list")
def list_groups(service_id: str = "", client: str = "", output: str = "text") -> str:
    """Lists groups with their shares.

    Args:
        service_id: Only this service; empty for all.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        services = operators.list_services(str(service_id))
    if as_json:
        return write_json([group for one in services for group in one.groups])
    rows = [
        (one.service_id, group.group_id, group.share, bool(group.credential_sha256))
        for one in services
        for group in one.groups
    ]
    return write_table(("service", "group", "share", "has token"), rows)
