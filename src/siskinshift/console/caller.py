"""Sends the requests of `standin caller` and prints one line for each response."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.agent.failure_responses import ERROR_HEADER
from siskinshift.agent.failure_responses import OUTCOME_HEADER
from siskinshift.agent.failure_responses import RETRY_AFTER_HEADER
from siskinshift.console.exceptions import NoConnectionError
from siskinshift.console.exceptions import NoResponseError
from siskinshift.core.endpoints import format_endpoint
from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.core.errors import ErrorKind
from siskinshift.demo.http3_client import ConnectionLostError
from siskinshift.demo.http3_client import Http3Client
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from siskinshift.demo.http3_client import Response
    from siskinshift.messages.core import Endpoint


RESPONSE_TIMEOUT_SECONDS = 30.0


@frozen
class CallerRequest:
    """A request to send.

    Attributes:
        method: HTTP method.
        path: Path with the query.
        headers: Additional header fields.
        body: The body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def send_requests(address: Endpoint, request: CallerRequest, *, count: int) -> int:
    """Sends a request repeatedly and prints the responses.

    Requests share a connection until the agent asks for a new one.

    Args:
        address: Service address.
        request: The request.
        count: Number of times to send it, one after the other.

    Returns:
        The exit status: 0, or that of the last response that reports an error.

    Raises:
        NoConnectionError: No connection could be opened.
        NoResponseError: A response was not received completely.
    """
    exit_status = 0
    with ThreadPoolExecutor(1, "caller") as executor:
        client = Http3Client(address, executor=executor)
        try:
            for _ in range(count):
                if client.goaway_received or client.is_closed:
                    client.close()
                    client = Http3Client(address, executor=executor)
                response = _send(client, address, request)
                print(_describe(response))
                exit_status = _exit_status_of(response) or exit_status
        finally:
            client.close()
    return exit_status


def _send(client: Http3Client, address: Endpoint, request: CallerRequest) -> Response:
    future = client.request(
        request.method, request.path, headers=request.headers, body=request.body
    )
    name = format_endpoint(address)
    try:
        return future.result(RESPONSE_TIMEOUT_SECONDS)
    except TimeoutError as error:
        reason = f"within {RESPONSE_TIMEOUT_SECONDS:g} s"
        if not client.is_connected:
            raise NoConnectionError(f"{name}: no connection {reason}") from error
        raise NoResponseError(f"{name}: no response {reason}") from error
    except ConnectionLostError as error:
        if not client.is_connected:
            raise NoConnectionError(f"{name}: no connection: {error}") from error
        raise NoResponseError(f"{name}: no complete response: {error}") from error


def _describe(response: Response) -> str:
    fields = response.fields
    outcome = fields.get(OUTCOME_HEADER, OutcomeKind.ANSWERED.value)
    parts = [str(response.status), outcome]
    if ERROR_HEADER in fields:
        parts.append(fields[ERROR_HEADER])
    if RETRY_AFTER_HEADER in fields:
        parts.append(f"retry after {fields[RETRY_AFTER_HEADER]} s")
    parts.append(response.body.decode(errors="replace"))
    return " ".join(parts).rstrip()


def _exit_status_of(response: Response) -> int:
    error = response.fields.get(ERROR_HEADER)
    if error is None:
        return 0
    try:
        return ERROR_RESPONSES_BY_KIND[ErrorKind(error)].exit_code
    except ValueError:
        return ERROR_RESPONSES_BY_KIND[ErrorKind.INTERNAL].exit_code
