"""Test of the datagram path through balancer and agent over loopback sockets."""

from __future__ import annotations

from siskinshift.demo.callers import DatagramCaller
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.readiness import wait_until_ready
from siskinshift.messages.core import ServiceMode


def test_a_datagram_goes_from_caller_to_upstream_and_back() -> None:
    plan = ServicePlan("editor", 2, 1, ServiceMode.DATAGRAM)
    deployment = Deployment(name="small", plans=(plan,), balancers=2)
    deployment.start()
    try:
        wait_until_ready(deployment)
        caller = DatagramCaller(deployment.services_by_id["editor"].addresses[0])
        for _ in range(10):
            caller.exchange()
        caller.close()
    finally:
        deployment.stop()

    assert len(caller.owners) == 1
    assert caller.unanswered == 0
