"""Tests that an agent drops datagrams that are not for it, over real sockets."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING

import pytest

from siskinshift.core.keyring import KeyRing
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.demo.callers import DatagramCaller
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.readiness import wait_until_ready
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import ServiceMode
from siskinshift.settings.generated import KeysSettings
from siskinshift.settings.options import Secret
from siskinshift.wire.codec import EnvelopeCodec


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.agent.application import AgentApplication


# The stand-in counts payloads that name another service than its own.
INJECTED_PAYLOAD = b"nobody/injected"
CALLER = Endpoint("127.0.0.1", 40000)
FOREIGN_KEYS = KeysSettings(current=Secret("another-key-of-16"), previous=Secret(""))
WAIT_SECONDS = 20.0


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    plans = (
        ServicePlan("editor", 1, 1, ServiceMode.DATAGRAM),
        ServicePlan("dossiers", 1, 1, ServiceMode.DATAGRAM),
    )
    deployment = Deployment(name="isolation", plans=plans, balancers=1)
    deployment.start()
    try:
        wait_until_ready(deployment)
        _wait_until_converged(deployment)
        yield deployment
    finally:
        deployment.stop()


def _wait_until_converged(deployment: Deployment) -> None:
    # Right after the start the first packet of a new flow may be held until the
    # ownership of its bucket is resolved. The caller would retransmit, and the counts
    # below would not match.
    until = time.monotonic() + WAIT_SECONDS
    upstream = deployment.upstreams_by_id["editor-0"].datagram
    while time.monotonic() < until:
        received = upstream.received
        caller = DatagramCaller(deployment.services_by_id["editor"].addresses[0])
        caller.exchange()
        caller.close()
        if upstream.received == received + 1:
            return


def _packet(deployment: Deployment, service_id: str) -> Packet:
    address = deployment.services_by_id[service_id].addresses[0]
    return Packet(CALLER, address, INJECTED_PAYLOAD)


def _own_codec(agent: AgentApplication) -> EnvelopeCodec:
    return EnvelopeCodec(KeyRing(agent.settings.keys))


def _misrouted(deployment: Deployment, agent: AgentApplication) -> bytes:
    envelope = Envelope(_packet(deployment, "dossiers"))
    return _own_codec(agent).pack_envelope(envelope)


def _for_unknown_address(deployment: Deployment, agent: AgentApplication) -> bytes:
    packet = Packet(CALLER, Endpoint("127.0.0.1", 9), INJECTED_PAYLOAD)
    return _own_codec(agent).pack_envelope(Envelope(packet))


def _signed_with_foreign_key(deployment: Deployment, agent: AgentApplication) -> bytes:
    codec = EnvelopeCodec(KeyRing(FOREIGN_KEYS))
    return codec.pack_envelope(Envelope(_packet(deployment, "editor")))


def _readdressed(deployment: Deployment, agent: AgentApplication) -> bytes:
    # The authenticator covers the caller's port.
    datagram = bytearray(
        _own_codec(agent).pack_envelope(Envelope(_packet(deployment, "editor")))
    )
    datagram[16 + 8] ^= 1
    return bytes(datagram)


def _truncated(deployment: Deployment, agent: AgentApplication) -> bytes:
    envelope = Envelope(_packet(deployment, "editor"))
    return _own_codec(agent).pack_envelope(envelope)[:20]


def _without_header(deployment: Deployment, agent: AgentApplication) -> bytes:
    return bytes(100)


def _looping(deployment: Deployment, agent: AgentApplication) -> bytes:
    envelope = Envelope(_packet(deployment, "editor"), hop_count=200)
    return _own_codec(agent).pack_envelope(envelope)


INJECTED = [
    (_misrouted, "wrong_service"),
    (_for_unknown_address, "wrong_service"),
    (_signed_with_foreign_key, "bad_authenticator"),
    (_readdressed, "bad_authenticator"),
    (_truncated, "truncated_header"),
    (_without_header, "bad_header"),
    (_looping, "hop_limit"),
]


@pytest.mark.parametrize(("make", "kind"), INJECTED)
def test_an_injected_datagram_is_dropped_and_counted(
    deployment: Deployment, make: object, kind: str
) -> None:
    """Guards against a packet of one service that reaches the upstream of another.

    It comes from a balancer with an outdated view, a reused port or a foreign sender.
    The agent drops and counts it and still serves its own flows.
    """
    assert callable(make)
    agent = deployment.agents_by_id["editor-0"]
    upstream = deployment.upstreams_by_id["editor-0"].datagram
    dropped = agent.counters.snapshot().get(f"dropped.{kind}", 0)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        data = agent.settings.node.data_endpoint
        sender.sendto(make(deployment, agent), (data.host, data.port))
    _wait_for_count(agent, f"dropped.{kind}", dropped + 1)

    caller = DatagramCaller(deployment.services_by_id["editor"].addresses[0])
    caller.exchange()
    caller.close()
    assert caller.owners == ["editor-0"]
    assert upstream.misdelivered == 0


def _wait_for_count(agent: AgentApplication, name: str, count: int) -> None:
    until = time.monotonic() + WAIT_SECONDS
    while agent.counters.snapshot().get(name, 0) < count:
        assert time.monotonic() < until, f"{name} stays below {count}"
        time.sleep(0.01)
