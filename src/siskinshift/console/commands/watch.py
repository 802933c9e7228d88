"""Command `watch`: prints changes as they come into force."""

from __future__ import annotations

from siskinshift.console.operators import format_json
from siskinshift.console.operators import is_json_output
from siskinshift.console.operators import operators_client
from siskinshift.console.registry import command


@command("watch")
def watch_services(after: int = 0, client: str = "", output: str = "text") -> None:
    """Prints all services, then each change as it comes into force, until Ctrl-C.

    Args:
        after: Print only services and changes that are newer than this revision.
        client: Path of the INI file with section [client].
        output: Output format: text or json.
    """
    as_json = is_json_output(output)
    with operators_client(client) as operators:
        for update in operators.watch_services(after_revision=after):
            service = update.service
            state = "deleted" if update.deleted else "in force"
            line = f"{service.service_id} {state} at revision {service.revision}"
            print(format_json(update) if as_json else line, flush=True)
