"""Commands `standin ...`: stand-ins for the platform and an upstream."""

from __future__ import annotations

from siskinshift.console.arguments import endpoint_of
from siskinshift.console.arguments import endpoints_of
from siskinshift.console.processes import run_until_signal
from siskinshift.console.registry import command


DEFAULT_SEED = 1
CALL_SECONDS = 30.0
DEFAULT_SLOTS = 1


@command("standin kv")
def run_kv(listen: str) -> None:
    """Runs a small key-value service for trials.

    Args:
        listen: IP number and port.
    """
    from siskinshift.standins.kv import KvStandIn

    run_until_signal(KvStandIn(endpoint_of(listen)))


@command("standin fabric")
def run_fabric(
    addresses: str, return_endpoint: str, balancers: str, seed: int = DEFAULT_SEED
) -> None:
    """Runs a fabric that hands each datagram to a random balancer.

    Args:
        addresses: Service addresses, comma-separated.
        return_endpoint: Where agents send answers.
        balancers: Data endpoints of balancers, comma-separated.
        seed: Seed of the random choice.
    """
    from siskinshift.standins.fabric import FabricStandIn

    fabric = FabricStandIn(
        addresses=endpoints_of(addresses),
        return_endpoint=endpoint_of(return_endpoint),
        balancers=endpoints_of(balancers),
        seed=seed,
    )
    run_until_signal(fabric)


@command("standin upstream")
def run_upstream(name: str, listen: str, slots: int = DEFAULT_SLOTS) -> None:
    """Runs an upstream that answers requests (TCP) and datagrams (UDP).

    Args:
        name: Name in its answers.
        listen: IP number and port.
        slots: Requests that run at once.
    """
    from siskinshift.standins.upstream_pair import UpstreamStandIn

    run_until_signal(
        UpstreamStandIn(name=name, endpoint=endpoint_of(listen), slots=slots)
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
    """Sends requests by HTTP/3 and prints the answers; does not check certificates.

    Args:
        address: Service address.
        path: Path of the requests.
        method: HTTP method.
        body: Body of each request.
        token_file: File with a group's token; empty for none.
        count: Number of requests, one after the other.
    """
    from concurrent.futures import ThreadPoolExecutor
    from pathlib import Path

    from siskinshift.console.tokens import read_token
    from siskinshift.demo.http3_client import Http3Client

    headers: dict[str, str] = {}
    if token_file:
        headers["authorization"] = f"Bearer {read_token(Path(str(token_file)))}"
    endpoint = endpoint_of(address)
    with ThreadPoolExecutor(1, "caller") as executor:
        client = Http3Client(endpoint, executor=executor)
        for _ in range(count):
            answer = client.request(
                str(method), str(path), headers=headers, body=str(body).encode()
            ).result(CALL_SECONDS)
            text = answer.body.decode(errors="replace")
            outcome = answer.fields.get("siskinshift-outcome", "answered")
            print(f"{answer.status} {outcome} {text}")
        client.close()
