"""Commands `evacuation ...`: stops or resumes new flows to a failure domain."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from siskinshift.api.exceptions import OperatorsCallError
from siskinshift.console.operators import format_accepted_changes
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.api.client import OperatorsClient
    from siskinshift.messages.core import Member


def warning_about_domain(failure_domain: str, members: Iterable[Member]) -> str:
    """Returns a warning if no upstream instance is in a failure domain.

    An evacuation concerns upstreams, so balancers there do not count.

    Args:
        failure_domain: Name of the failure domain.
        members: All known processes.

    Returns:
        One line, or an empty string if an upstream instance is there.
    """
    domains = {
        member.failure_domain
        for member in members
        if member.role is Role.AGENT and member.state is not MemberState.GONE
    }
    if failure_domain in domains:
        return ""
    return (
        f"no upstream instance is in failure domain {failure_domain};"
        f" domains with upstream instances: {', '.join(sorted(domains)) or 'none'}"
    )


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

    A domain without instances is evacuated as well, since instances may join later.
    The command then prints a warning to standard error; its exit status is 0.

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
        warning = _read_warning(operators, domain) if evacuated else ""
    if warning:
        print(f"siskinshift: warning: {warning}", file=sys.stderr)
    return format_accepted_changes(changes, as_json=as_json)


def _read_warning(operators: OperatorsClient, failure_domain: str) -> str:
    # The changes are accepted already, so a failure here must not hide them.
    try:
        members = operators.get_status().members
    except OperatorsCallError as error:
        return f"the instances of {failure_domain} can't be read: {error}"
    return warning_about_domain(failure_domain, members)
