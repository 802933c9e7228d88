"""Tests of the programs as processes, with stand-ins of the platform."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.flow_snapshot import UPLOAD_INTERVAL_SECONDS
from siskinshift.connections.node_settings import MAX_WATCH_WAIT_SECONDS
from siskinshift.connections.registration import member_key
from siskinshift.connections.upstream_state import MAX_MISSED_HEARTBEATS
from siskinshift.messages.core import Role
from siskinshift.standins.connection_ends import FlowReset
from siskinshift.standins.connection_ends import FlowTimeout
from tests.connections.deployment import HEARTBEAT_SECONDS
from tests.connections.deployment import Deployment


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


# An agent records a leave within this time after a lost write.
LATE_WRITE_SECONDS = 4.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    try:
        deployment.add_balancer("balancer-1", "127.0.1.1")
        deployment.add_balancer("balancer-2", "127.0.1.2")
        deployment.add_instance("editor-1", "127.0.2.1", "editor")
        deployment.add_instance("editor-2", "127.0.2.2", "editor")
        deployment.add_instance("dossiers-1", "127.0.2.3", "dossiers")
        deployment.wait_until_ready()
        yield deployment
    finally:
        deployment.stop()


def _wait_for_event(deployment: Deployment, name: str, event: str, count: int) -> None:
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        if _count(deployment, name, event) >= count:
            return
        time.sleep(0.05)
    raise AssertionError(f"{name} never logged {event!r}")


def _names_that_serve_new_flows(deployment: Deployment) -> set[str]:
    names = set()
    for number in range(8):
        caller = deployment.caller("editor", "balancer-2", host=f"127.0.3.{number + 1}")
        caller.open()
        names.add(caller.request(b"x").decode().split("-u")[0])
    return names


def _count(deployment: Deployment, name: str, event: str) -> int:
    return sum(line["event"] == event for line in deployment.log_lines(name))


def _discovered_peers(deployment: Deployment, name: str) -> set[object]:
    lines = deployment.log_lines(name)
    return {line["peer"] for line in lines if line["event"] == "peer found"}


def test_flows_outlive_restarts_of_balancers_and_agents(
    deployment: Deployment,
) -> None:
    """Guards against a flow that breaks while all processes of the system are replaced.

    Routers move the flow to the other balancer, then its agent and both balancers are
    killed and restarted. The same upstream answers each request and runs it once.
    """
    caller = deployment.caller("editor", "balancer-1", host="127.0.3.1")
    caller.open()
    first = caller.request(b"1")
    owner = first.decode().split("-u")[0]

    caller.router = (deployment.balancer_hosts["balancer-2"], deployment.caller_port)
    assert caller.request(b"2") == first[:-1] + b"2"
    deployment.kill(owner)
    deployment.start(owner)
    deployment.wait_until_ready(owner)
    assert caller.request(b"3") == first[:-1] + b"3"
    for name in deployment.balancer_hosts:
        deployment.kill(name)
        deployment.start(name)
    deployment.wait_until_ready()
    assert caller.request(b"4") == first[:-1] + b"4"

    upstream = deployment.instances_by_name[owner].upstream
    assert upstream.record.executed == [b"1", b"2", b"3", b"4"]
    assert upstream.record.corrupted == []


def test_a_request_runs_once_if_its_agent_is_killed_before_the_response(
    deployment: Deployment,
) -> None:
    """Guards against a request that is lost or runs twice if its agent is killed.

    The caller retransmits through another balancer, and the agent restarts while the
    upstream keeps running.
    """
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    assert caller.request(b"1").endswith(b"|1")
    upstream = deployment.instances_by_name["dossiers-1"].upstream
    upstream.withholds_replies = True
    with pytest.raises(FlowTimeout):
        caller.request(b"2", timeout=0.3)
    assert upstream.record.executed == [b"1", b"2"]

    deployment.kill("dossiers-1")
    caller.router = (deployment.balancer_hosts["balancer-2"], deployment.caller_port)
    with pytest.raises(FlowTimeout):
        caller.request(b"2", timeout=0.3)
    upstream.withholds_replies = False
    deployment.start("dossiers-1")
    deployment.wait_until_ready("dossiers-1")

    assert caller.request(b"2").endswith(b"|2")
    assert caller.request(b"3").endswith(b"|3")
    assert upstream.record.executed == [b"1", b"2", b"3"]


def test_retransmissions_through_another_balancer_run_once(
    deployment: Deployment,
) -> None:
    """Guards against running a request again for each retransmission."""
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    assert caller.request(b"1").endswith(b"|1")
    upstream = deployment.instances_by_name["dossiers-1"].upstream
    upstream.withholds_replies = True
    for name in ("balancer-1", "balancer-2", "balancer-1"):
        caller.router = (deployment.balancer_hosts[name], deployment.caller_port)
        with pytest.raises(FlowTimeout):
            caller.request(b"2", timeout=0.5)
    upstream.withholds_replies = False

    assert caller.request(b"2").endswith(b"|2")
    assert upstream.record.executed == [b"1", b"2"]


def test_agents_send_hellos_only_to_balancers(deployment: Deployment) -> None:
    """Guards against hellos among agents, which are most pairs of nodes in a fleet.

    When all nodes start at once, these hellos and their replies saturated the links on
    which callers' first packets arrive.
    """
    for name in deployment.instances_by_name:
        _wait_for_event(deployment, name, "peer found", 2)
        assert _discovered_peers(deployment, name) == set(deployment.balancer_hosts)


def test_a_flow_reaches_only_its_service(deployment: Deployment) -> None:
    for number in range(6):
        caller = deployment.caller(
            "dossiers", "balancer-1", host=f"127.0.3.{number + 1}"
        )
        caller.open()
        assert caller.request(b"x").startswith(b"dossiers-1")


def test_an_idle_caller_is_reset_when_its_upstream_is_replaced(
    deployment: Deployment,
) -> None:
    """Guards against an idle caller that keeps a flow to a restarted upstream.

    Its next request, which may not be repeated, would be lost. The agent probes the new
    incarnation with the flow and resets the caller at once.
    """
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    caller.request(b"1")

    deployment.instances_by_name["dossiers-1"].replace_upstream()

    with pytest.raises(FlowReset):
        caller.wait_for_reset(timeout=5.0)


def test_a_leaving_upstream_gets_no_new_flow_once_it_is_acknowledged(
    deployment: Deployment,
) -> None:
    leaving = deployment.instances_by_name["editor-1"]
    leaving.state = "draining"
    assert leaving.send("Heartbeat") == 200

    assert _names_that_serve_new_flows(deployment) == {"editor-2"}


def test_a_restarted_agent_gives_a_leaving_upstream_no_new_flow(
    deployment: Deployment,
) -> None:
    """Guards against an acknowledged leave that is lost with the agent's process.

    No further heartbeat reaches the next process.
    """
    leaving = deployment.instances_by_name["editor-1"]
    leaving.is_silent = True
    leaving.state = "draining"
    assert leaving.send("Heartbeat") == 200

    deployment.kill("editor-1")
    before = {
        event: _count(deployment, "editor-1", event)
        for event in ("flows restored", "upstream answers")
    }
    deployment.start("editor-1")
    for event, count in before.items():
        _wait_for_event(deployment, "editor-1", event, count + 1)

    assert _names_that_serve_new_flows(deployment) == {"editor-2"}


def test_a_recorded_leave_outlives_a_second_restart_of_the_agent(
    deployment: Deployment,
) -> None:
    """Guards against a restarted agent that replaces the record of the leave."""
    leaving = deployment.instances_by_name["editor-1"]
    leaving.is_silent = True
    leaving.state = "draining"
    assert leaving.send("Heartbeat") == 200

    for _ in range(2):
        deployment.kill("editor-1")
        restored = _count(deployment, "editor-1", "flows restored")
        deployment.start("editor-1")
        _wait_for_event(deployment, "editor-1", "flows restored", restored + 1)
        # The agent writes its own snapshot within this time.
        time.sleep(1.5 * UPLOAD_INTERVAL_SECONDS)

    assert _names_that_serve_new_flows(deployment) == {"editor-2"}
    reads = [
        line
        for line in deployment.log_lines("editor-1")
        if line["event"] == "leaves read"
    ]
    assert [line["leaves"] for line in reads[-2:]] == [1, 1]


def test_a_late_write_does_not_undo_an_acknowledged_leave(
    deployment: Deployment,
) -> None:
    """Guards against a lost write from before a leave that the store applies after it.

    The agent is killed afterwards, and its next process accepted new flows.
    """
    store = deployment.store.state
    leaving = deployment.instances_by_name["dossiers-1"]
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    caller.request(b"1")
    store.faults.late_write_delays = [LATE_WRITE_SECONDS]
    until = time.monotonic() + 20.0
    while store.faults.late_write_delays:
        assert time.monotonic() < until
        time.sleep(0.05)
    leaving.is_silent = True
    leaving.state = "draining"
    while leaving.send("Heartbeat") != 200:
        assert time.monotonic() < until
    time.sleep(LATE_WRITE_SECONDS)
    opened = len(leaving.upstream.record.opened_at)

    deployment.kill("dossiers-1")
    restored = _count(deployment, "dossiers-1", "flows restored")
    deployment.start("dossiers-1")
    _wait_for_event(deployment, "dossiers-1", "flows restored", restored + 1)
    answers = _count(deployment, "dossiers-1", "upstream answers")
    _wait_for_event(deployment, "dossiers-1", "upstream answers", max(1, answers))

    new_caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.2")
    with pytest.raises((FlowReset, FlowTimeout)):
        new_caller.open()
    assert len(leaving.upstream.record.opened_at) == opened


def test_an_agent_that_restarts_without_the_store_gives_no_flow_to_a_leaving_upstream(
    deployment: Deployment,
) -> None:
    """Guards against flows by reachability alone while no record can be read."""
    leaving = deployment.instances_by_name["editor-1"]
    leaving.is_silent = True
    leaving.state = "draining"
    assert leaving.send("Heartbeat") == 200

    deployment.store.state.faults.rejection_status = 503
    deployment.kill("editor-1")
    answers = _count(deployment, "editor-1", "upstream answers")
    restarted_at = time.monotonic()
    deployment.start("editor-1")
    _wait_for_event(deployment, "editor-1", "upstream answers", answers + 1)
    # Longer than an upstream without heartbeats gets flows.
    time.sleep(MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS + 0.5)

    assert _names_that_serve_new_flows(deployment) == {"editor-2"}
    states = {
        line["state"]
        for line in deployment.log_lines("editor-1")
        if line["event"] == "state" and float(str(line["t"])) > restarted_at
    }
    assert "ready" not in states


def test_a_leave_is_not_acknowledged_without_a_record(deployment: Deployment) -> None:
    """Guards against an acknowledgement that only one process knows of."""
    leaving = deployment.instances_by_name["editor-1"]
    leaving.is_silent = True
    leaving.state = "draining"
    deployment.store.state.faults.rejection_status = 503
    assert leaving.send("Heartbeat") == 503
    assert _names_that_serve_new_flows(deployment) == {"editor-2"}

    deployment.store.state.faults.rejection_status = 0
    until = time.monotonic() + 20.0
    while leaving.send("Heartbeat") != 200:
        assert time.monotonic() < until
        time.sleep(0.1)


def test_a_terminating_agent_does_not_acknowledge_a_leave(
    deployment: Deployment,
) -> None:
    """Guards against a leave that only a process which ends has acknowledged."""
    instance = deployment.instances_by_name["dossiers-1"]
    instance.is_silent = True
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    instance.upstream.withholds_replies = True
    with pytest.raises(FlowTimeout):
        caller.request(b"1", timeout=0.2)

    deployment.signal("dossiers-1", signal.SIGTERM)
    _wait_for_event(deployment, "dossiers-1", "leaving", 1)
    instance.state = "draining"

    assert instance.send("Heartbeat") != 200


def test_a_change_of_configuration_is_in_force_and_ends_dropped_routes(
    deployment: Deployment,
) -> None:
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    caller.request(b"1")

    deployment.configure({"editor": 443})
    for name in deployment.balancer_hosts:
        _wait_for_event(deployment, name, "configuration in force", 2)

    with pytest.raises(FlowReset):
        caller.request(b"2")


def test_signals_in_series_do_not_end_or_hang_a_process(deployment: Deployment) -> None:
    """Guards against repeated reload and termination signals while a caller is served.

    The balancer forwards until routers have withdrawn it, and exits with status 0.
    """
    caller = deployment.caller("editor", "balancer-1", host="127.0.3.1")
    caller.open()
    deployment.signal("balancer-1", signal.SIGHUP)
    assert caller.request(b"1").endswith(b"|1")
    _wait_for_event(deployment, "balancer-1", "settings read again", 1)
    (deployment.folder / "balancer-1.toml").write_text("= nonsense")
    deployment.signal("balancer-1", signal.SIGHUP)
    _wait_for_event(deployment, "balancer-1", "settings refused", 1)

    deployment.signal("balancer-1", signal.SIGTERM)
    deployment.signal("balancer-1", signal.SIGTERM)
    _wait_for_event(deployment, "balancer-1", "leaving", 1)
    assert caller.request(b"2").endswith(b"|2")
    assert not deployment.is_ready("balancer-1")

    _wait_for_event(deployment, "balancer-1", "stopped", 1)
    # Half of the time that a watch blocks, which once delayed the exit.
    limit = MAX_WATCH_WAIT_SECONDS / 2
    assert deployment.processes_by_name["balancer-1"].wait(limit) == 0


def test_nodes_discover_each_other_without_the_store(tmp_path: Path) -> None:
    """Guards against an agent that starts during an outage of the store.

    It discovers the balancers through the seeds of its settings.
    """
    deployment = Deployment(tmp_path)
    try:
        deployment.add_balancer("balancer-1", "127.0.1.1")
        _wait_for_event(deployment, "balancer-1", "configuration in force", 1)
        deployment.store.state.faults.rejection_status = 503
        deployment.add_instance("editor-1", "127.0.2.1", "editor")
        deployment.wait_until_ready()
        caller = deployment.caller("editor", "balancer-1", host="127.0.3.1")
        caller.open()
        assert caller.request(b"1").endswith(b"|1")
    finally:
        deployment.stop()


def test_a_new_balancer_discovers_agents_with_a_missing_entry(
    deployment: Deployment,
) -> None:
    """Guards against a new balancer that does not discover an agent with a lost entry.

    The agent has not discovered the balancer either, which then reset the agent's
    flows. The balancer's peers send it the agent's host.
    """
    key = member_key("editor-1", Role.AGENT)
    deployment.store.state.revoke(key)
    deployment.add_balancer("balancer-3", "127.0.1.3")
    deployment.wait_until_ready("balancer-3")

    until = time.monotonic() + 20.0
    while "editor-1" not in _discovered_peers(deployment, "balancer-3"):
        assert time.monotonic() < until
        time.sleep(0.05)
    # The agent writes it again, and announces itself, only when it has detected this.
    assert deployment.store.state.value(key) is None


def test_the_flow_snapshot_is_read_after_an_outage_of_the_store(
    deployment: Deployment,
) -> None:
    """Guards against an idle caller's flow after a power loss during a store outage.

    The restarted agent cannot read the snapshot of the previous process. It retries,
    and resets the caller once the store responds.
    """
    caller = deployment.caller("dossiers", "balancer-1", host="127.0.3.1")
    caller.open()
    caller.request(b"1")
    until = time.monotonic() + 20.0
    while "siskinshift/flows/dossiers-1" not in deployment.store.state.key_names():
        assert time.monotonic() < until
        time.sleep(0.1)

    deployment.store.state.faults.rejection_status = 503
    deployment.kill("dossiers-1")
    deployment.instances_by_name["dossiers-1"].replace_upstream()
    deployment.start("dossiers-1")
    deployment.wait_until_ready("dossiers-1")
    deployment.store.state.faults.rejection_status = 0

    with pytest.raises(FlowReset):
        caller.wait_for_reset(timeout=10.0)
