"""Commands `evacuation ...`: stops or resumes new flows to a failure domain."""

from __future__ import annotations

from siskinshift.console.operators import format_accepted_changes
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command


@command("evacuation start")
def start_evacuation(
    failure_domain: str,
    service_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Evacuates a failure domain: no new flows within seconds, open flows continue.

    Each service is changed separately. If a change is refused, repeat the command to
    continue with the remaining services.

    Example: siskinshift evacuation start domain-a

    Args:
        failure_domain: Name of the failure domain.
        service_id: Name of the only service to change; empty for all.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    return _set_evacuation(failure_domain, service_id, True, client, output)


@command("evacuation stop")
def stop_evacuation(
    failure_domain: str,
    service_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Ends the evacuation of a failure domain, so that it receives new flows again.

    Args:
        failure_domain: Name of the failure domain.
        service_id: Name of the only service to change; empty for all.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    return _set_evacuation(failure_domain, service_id, False, client, output)


def _set_evacuation(
    failure_domain: str, service_id: str, evacuated: bool, client: str, output: str
) -> str:
    as_json = is_json_output(output)
    domain = str(failure_domain)
    with operators_client(client) as operators:
        # The list may be older than the latest change, so only the names are used.
        changes = [
            operators.set_evacuation(service.service_id, domain, evacuated=evacuated)
            for service in operators.list_services(str(service_id))
        ]
    return format_accepted_changes(changes, as_json=as_json)
