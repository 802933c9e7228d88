"""Commands `evacuation ...`: takes new work from a failure domain, or gives it back."""

from __future__ import annotations

from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_all_accepted
from siskinshift.console.registry import command


@command("evacuation start")
def start_evacuation(
    failure_domain: str,
    service_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Evacuates a failure domain: no new flows within seconds, open ones live on.

    Each service is changed by itself; after a refusal the same command goes on where it
    ended.

    Example: siskinshift evacuation start domain-a

    Args:
        failure_domain: The failure domain.
        service_id: Only for this service; empty for all.
        client: INI file with section [client].
        output: text or json.
    """
    return _set_evacuation(failure_domain, service_id, True, client, output)


@command("evacuation stop")
def stop_evacuation(
    failure_domain: str,
    service_id: str = "",
    client: str = "",
    output: str = "text",
) -> str:
    """Takes a failure domain back.

    Args:
        failure_domain: The failure domain.
        service_id: Only for this service; empty for all.
        client: INI file with section [client].
        output: text or json.
    """
    return _set_evacuation(failure_domain, service_id, False, client, output)


def _set_evacuation(
    failure_domain: str, service_id: str, evacuated: bool, client: str, output: str
) -> str:
    as_json = is_json(output)
    domain = str(failure_domain)
    with operators_client(client) as operators:
        # The list may be behind the last change, so it only names the services.
        changes = [
            operators.set_evacuation(service.service_id, domain, evacuated=evacuated)
            for service in operators.list_services(str(service_id))
        ]
    return write_all_accepted(changes, as_json=as_json)
