"""Commands `standin ...`: runs stand-ins for the platform, an upstream or a caller."""

from __future__ import annotations

import sys

from siskinshift.console.arguments import parse_endpoint_argument
from siskinshift.console.arguments import parse_endpoints_argument
from siskinshift.console.processes import run_until_signal
from siskinshift.console.registry import command


DEFAULT_SEED = 1
DEFAULT_SLOTS = 1


@command("standin kv")
def run_kv(listen: str) -> None:
    """Runs a minimal key-value service for test deployments.

    Args:
        listen: IP address and port to listen on.
    """
    from siskinshift.standins.kv import KvStandIn

    run_until_signal(KvStandIn(parse_endpoint_argument(listen)))


@command("standin fabric")
def run_fabric(
    addresses: str, return_endpoint: str, balancers: str, seed: int = DEFAULT_SEED
) -> None:
    """Runs a fabric that forwards each datagram to a random balancer.

    Args:
        addresses: Service addresses, comma-separated.
        return_endpoint: Endpoint that agents send replies to.
        balancers: Data endpoints of balancers, comma-separated.
        seed: Seed of the random choice.
    """
    from siskinshift.standins.fabric import FabricStandIn

    fabric = FabricStandIn(
        addresses=parse_endpoints_argument(addresses),
        return_endpoint=parse_endpoint_argument(return_endpoint),
        balancers=parse_endpoints_argument(balancers),
        seed=seed,
    )
    run_until_signal(fabric)


@command("standin upstream")
def run_upstream(name: str, listen: str, slots: int = DEFAULT_SLOTS) -> None:
    """Runs an upstream that answers requests (TCP) and datagrams (UDP).

    Args:
        name: Name of the upstream in its responses.
        listen: IP address and port to listen on.
        slots: Maximum number of concurrent requests.
    """
    from siskinshift.standins.upstream_pair import UpstreamStandIn

    run_until_signal(
        UpstreamStandIn(
            name=name, endpoint=parse_endpoint_argument(listen), slots=slots
        )
    )


@command("standin caller")
def run_caller(
    address: str,
    path: str = "/",
    method: str = "GET",
    body: str = "",
    token_file: str = "",
    count: int = 1,
) -> None:
    """Sends HTTP/3 requests and prints the responses; does not verify certificates.

    The exit status is 0 if the upstream answered all requests, else that of the last
    error kind.

    Args:
        address: Service address.
        path: Path of the requests.
        method: HTTP method.
        body: Body of each request.
        token_file: Path of the file with a group's token; empty for no token.
        count: Number of requests, which are sent one after the other.
    """
    from pathlib import Path

    from siskinshift.console.caller import CallerRequest
    from siskinshift.console.caller import send_requests
    from siskinshift.console.tokens import read_token

    headers: dict[str, str] = {}
    if token_file:
        headers["authorization"] = f"Bearer {read_token(Path(str(token_file)))}"
    exit_status = send_requests(
        parse_endpoint_argument(address),
        CallerRequest(str(method), str(path), headers, str(body).encode()),
        count=count,
    )
    if exit_status:
        sys.exit(exit_status)
