"""Commands `drain ...`: stops or resumes new flows to an agent."""

from __future__ import annotations

from siskinshift.console.operators import format_accepted_change
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command


@command("drain start")
def start_drain(
    service_id: str,
    member_id: str,
    change_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Drains an agent: no new flows within seconds, owned flows continue.

    Example: siskinshift drain start editor editor-3

    Args:
        service_id: Name of the service.
        member_id: Node id of the agent.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
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
    """Ends the drain of an agent, so that it receives new flows again.

    Args:
        service_id: Name of the service.
        member_id: Node id of the agent.
        change_id: Id by which the change can be found; empty to generate one.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
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
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        change = operators.set_drain(
            str(service_id),
            str(member_id),
            drained=drained,
            change_id=str(change_id),
        )
    return format_accepted_change(change, as_json=as_json)
