"""Command `watch`: changes as they come into force."""

from __future__ import annotations

from siskinshift.console.operators import is_json
from siskinshift.console.operators import operators_client
from siskinshift.console.operators import write_json
from siskinshift.console.registry import command


@command("watch")
def watch_services(after: int = 0, client: str = "", output: str = "text") -> None:
    """Prints all services, then each change when it comes into force; ends by Ctrl-C.

    Args:
        after: Leave out what is not newer than this revision.
        client: INI file with section [client].
        output: text or json.
    """
    as_json = is_json(output)
    with operators_client(client) as operators:
        for update in operators.watch_services(after_revision=after):
            service = update.service
            what = "deleted" if update.deleted else "in force"
            line = f"{service.service_id} {what} at revision {service.revision}"
            print(write_json(update) if as_json else line, flush=True)
