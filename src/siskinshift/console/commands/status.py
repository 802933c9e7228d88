"""Command `status`: the system as one balancer sees it."""

from __future__ import annotations

from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_json
from siskinshift.console.operators import write_table
from siskinshift.console.registry import command


@command("status")
def show_status(client: str = "", output: str = "text") -> str:
    """Shows nodes, their states, and whether the key-value service answers.

    Args:
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        report = operators.get_status()
    if as_json:
        return write_json(report)
    store = "answers" if report.store_available else "does not answer"
    head = (
        f"as {report.member_id} sees it: {report.services} services, "
        f"configuration revision {report.configuration_revision}, "
        f"view {report.view_version}, key-value service {store}"
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
    return f"{head}\n{write_table(titles, rows)}"
