"""Commands `drain ...`: takes new work from an agent, or gives it back."""

from __future__ import annotations

from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_accepted
from siskinshift.console.registry import command


@command("drain start")
def start_drain(
    service_id: str,
    member_id: str,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Drains an agent: no new flows within seconds, owned flows go on.

    Example: siskinshift drain start editor editor-3

    Args:
        service_id: Name of the service.
        member_id: Node id of the agent.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    return _set_drain(service_id, member_id, True, change_id, client, output)


@command("drain stop")
def stop_drain(
    service_id: str,
    member_id: str,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Takes a drain back.

    Args:
        service_id: Name of the service.
        member_id: Node id of the agent.
        change_id: Id to find the change by; empty for a new one.
        client: INI file with section [client].
        output: text or json.
    """
    return _set_drain(service_id, member_id, False, change_id, client, output)


def _set_drain(
    service_id: str,
    member_id: str,
    drained: bool,
    change_id: str,
    client: str,
    output: str,
) -> str:
    as_json = is_json(output)
    with operators_client(client) as operators:
        change = operators.set_drain(
            str(service_id),
            str(member_id),
            drained=drained,
            change_id=str(change_id),
        )
    return write_accepted(change, as_json=as_json)
