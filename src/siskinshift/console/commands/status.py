"""Command `status`: shows the state of the system as reported by one balancer."""

from __future__ import annotations

from siskinshift.console.operators import format_json
from siskinshift.console.operators import format_table
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command


@command("status")
def show_status(client: str = "", output: str = "text") -> str:
    """Shows the nodes, their states, and whether the key-value service responds.

    Args:
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        report = operators.get_status()
    if as_json:
        return format_json(report)
    store_state = "answers" if report.store_available else "does not answer"
    summary = (
        f"as {report.member_id} sees it: {report.services} services, "
        f"configuration revision {report.configuration_revision}, "
        f"view {report.view_version}, key-value service {store_state}"
    )
    titles = ("node", "role", "state", "weight", "region", "domain", "class")
    rows = [
        (
            member.member_id,
            member.role.value,
            member.state.value,
            member.weight,
            member.region,
            member.failure_domain,
            member.upstream_class,
        )
        for member in report.members
    ]
    return f"{summary}\n{format_table(titles, rows)}"
