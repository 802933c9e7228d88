"""Command `change find`: what became of a change whose answer was lost."""

from __future__ import annotations

from siskinshift.console.exceptions import ChangeNotFoundError
from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_json
from siskinshift.console.registry import command


@command("change find")
def find_change(change_id: str, client: str = "", output: str = "text") -> str:
    """Looks for a change among the latest that took effect.

    Exit status is 3 when it is not among them: it may still take effect, or be too
    old. The same command again with the same --change-id is safe.

    Args:
        change_id: Id of the change.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        found = operators.find_change(str(change_id))
    if found is None:
        raise ChangeNotFoundError(f"change {change_id} is not among the latest")
    if as_json:
        return write_json(found)
    return f"{found.service_id}: took effect at revision {found.revision}"
