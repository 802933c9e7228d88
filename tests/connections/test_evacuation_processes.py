"""Tests of evacuations with real processes and stand-ins of the platform."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.peer_codec import encode_evacuations_message
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.standins.connection_ends import FlowReset
from tests.connections.deployment import Deployment


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from siskinshift.standins.connection_ends import ConnectionCaller


EVENT_SECONDS = 20.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Two balancers in domain a and an editor in each of two domains."""
    deployment = Deployment(tmp_path)
    try:
        deployment.add_balancer("balancer-1", "127.0.1.1")
        deployment.add_balancer("balancer-2", "127.0.1.2")
        deployment.add_instance("editor-a", "127.0.2.1", "editor", domain="a")
        deployment.add_instance("editor-b", "127.0.2.2", "editor", domain="b")
        deployment.wait_until_ready()
        yield deployment
    finally:
        deployment.stop()


def _wait_for(deployment: Deployment, name: str, event: str) -> None:
    until = time.monotonic() + EVENT_SECONDS
    while time.monotonic() < until:
        if any(line["event"] == event for line in deployment.log_lines(name)):
            return
        time.sleep(0.02)
    raise AssertionError(f"{name} never logged {event!r}")


def _wait_until_held(deployment: Deployment, domains: str, *names: str) -> None:
    """Waits until the newest evacuations of balancers are exactly these domains."""
    until = time.monotonic() + EVENT_SECONDS
    for name in names:
        held = None
        while held != domains:
            assert time.monotonic() < until, f"{name} holds {held!r}"
            time.sleep(0.02)
            for line in deployment.log_lines(name):
                if line["event"] == "evacuations in force":
                    held = line["domains"]


def _evacuate(deployment: Deployment, domain: str, *names: str) -> None:
    deployment.evacuate(domain)
    _wait_until_held(deployment, domain, *names)


def _caller(deployment: Deployment, balancer: str) -> ConnectionCaller:
    """Creates a caller with a host of its own."""
    host = f"127.0.3.{deployment.caller_count + 1}"
    return deployment.caller("editor", balancer, host=host)


def _owners(deployment: Deployment, balancer: str, count: int = 8) -> set[str]:
    """Opens flows and returns the names of the upstreams that accepted them."""
    owners = set()
    for _ in range(count):
        caller = _caller(deployment, balancer)
        caller.open()
        owners.add(caller.request(b"1").decode().split("-u")[0])
    return owners


def test_new_flows_avoid_an_evacuated_domain_and_open_ones_continue(
    deployment: Deployment,
) -> None:
    """Guards against an evacuation that breaks flows or continues after its end."""
    caller = _caller(deployment, "balancer-1")
    caller.open()
    first = caller.request(b"1")
    owner = first.decode().split("-u")[0]
    domain = owner.removeprefix("editor-")
    other = "editor-b" if owner == "editor-a" else "editor-a"

    _evacuate(deployment, domain, "balancer-1", "balancer-2")
    _wait_for(deployment, owner, "evacuated")
    assert _owners(deployment, "balancer-1") == {other}
    assert _owners(deployment, "balancer-2") == {other}
    assert caller.request(b"2") == first[:-1] + b"2"

    deployment.end_evacuation(domain)
    _wait_for(deployment, owner, "evacuation ended")
    _wait_until_held(deployment, "", "balancer-1")
    assert owner in _owners(deployment, "balancer-1", count=30)


def test_an_evacuation_outlives_a_kill_of_all_processes(deployment: Deployment) -> None:
    """Guards against a balancer that places flows before it has read evacuations."""
    _evacuate(deployment, "a", "balancer-1", "balancer-2")
    names = tuple(deployment.processes_by_name)
    for name in names:
        deployment.kill(name)
    for name in names:
        deployment.start(name)
    deployment.wait_until_ready()

    assert _owners(deployment, "balancer-1") == {"editor-b"}
    assert _owners(deployment, "balancer-2") == {"editor-b"}


def test_a_balancer_that_starts_without_the_store_gets_evacuations_from_a_peer(
    deployment: Deployment,
) -> None:
    """Guards against a configuration from a peer that lacks the evacuations."""
    _evacuate(deployment, "a", "balancer-1", "balancer-2")
    deployment.kill("balancer-2")
    # A port without a listener.
    deployment.store_ports_by_name["balancer-2"] = 9
    deployment.start("balancer-2")
    deployment.wait_until_ready("balancer-2")

    assert _owners(deployment, "balancer-2") == {"editor-b"}


def test_a_balancer_without_the_store_gets_changes_from_a_peer(
    deployment: Deployment,
) -> None:
    deployment.kill("balancer-2")
    deployment.store_ports_by_name["balancer-2"] = 9
    deployment.start("balancer-2")
    deployment.wait_until_ready("balancer-2")

    _evacuate(deployment, "a", "balancer-2")
    assert _owners(deployment, "balancer-2") == {"editor-b"}
    deployment.end_evacuation("a")
    _wait_until_held(deployment, "", "balancer-2")
    assert "editor-a" in _owners(deployment, "balancer-2", count=30)


def test_an_agent_with_outdated_evacuations_is_corrected(
    deployment: Deployment,
) -> None:
    """Guards against an agent that refuses flows forever after a lost message."""
    sender_socket = open_datagram_socket("127.0.4.1", 0)
    stale = encode_evacuations_message(Evacuations(1, frozenset({"a"})))
    sender_socket.sendto(stale, ("127.0.2.1", deployment.peer_port))
    sender_socket.close()
    _wait_for(deployment, "editor-a", "evacuated")
    _evacuate(deployment, "c", "balancer-1")

    owners = _owners(deployment, "balancer-1", count=30)

    _wait_for(deployment, "editor-a", "evacuation ended")
    assert owners == {"editor-a", "editor-b"}


def test_callers_are_refused_at_once_if_all_domains_are_evacuated(
    deployment: Deployment,
) -> None:
    """Guards against callers that wait out their deadline while all is evacuated."""
    deployment.evacuate("a")
    deployment.evacuate("b")
    _wait_until_held(deployment, "a,b", "balancer-1")
    caller = _caller(deployment, "balancer-1")

    with pytest.raises(FlowReset):
        caller.open()
