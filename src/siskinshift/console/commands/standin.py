"""Commands `standin ...`: stand-ins for the platform and an upstream."""

from __future__ import annotations

from siskinshift.console.arguments import endpoint_of
from siskinshift.console.arguments import endpoints_of
from siskinshift.console.processes import run_until_signal
from siskinshift.console.registry import command


DEFAULT_SEED = 1
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
