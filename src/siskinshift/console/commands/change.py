"""Command `change find`: finds the result of a change whose reply was lost."""

from __future__ import annotations

from siskinshift.console.exceptions import ChangeNotFoundError
from siskinshift.console.operators import format_json
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command


@command("change find")
def find_change(change_id: str, client: str = "", output: str = "text") -> str:
    """Looks up a change among the latest ones that took effect.

    The exit status is 3 if the change is not found: it may still take effect, or be too
    old. It is safe to repeat the original command with the same --change-id.

    Args:
        change_id: Id of the change.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        found = operators.find_change(str(change_id))
    if found is None:
        raise ChangeNotFoundError(f"change {change_id} is not among the latest")
    if as_json:
        return format_json(found)
    return f"{found.service_id}: took effect at revision {found.revision}"
