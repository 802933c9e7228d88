"""Tests of the responses to an upstream's messages."""

from __future__ import annotations

from concurrent.futures import Future

import orjson
import pytest

from siskinshift.connections.leave_records import LeaveRecords
from siskinshift.connections.upstream_requests import UpstreamMessage
from siskinshift.connections.upstream_requests import UpstreamRequests
from siskinshift.runtime.http_server import HttpRequest
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


class _Agent:
    def __init__(self) -> None:
        self.applied: list[UpstreamMessage] = []
        self.may_acknowledge = True
        self.store = InMemoryStore(lambda: 0.0)
        self.records = LeaveRecords(
            store=self.store, member_id="agent-1", clock=lambda: 0.0, log=quiet_log()
        )
        self.requests = UpstreamRequests(
            service_id="editor",
            apply=self._apply,
            leave_records=self.records,
            clock=lambda: 0.0,
            log=quiet_log(),
        )

    def _apply(self, message: UpstreamMessage) -> Future[bool]:
        self.applied.append(message)
        result: Future[bool] = Future()
        result.set_result(self.may_acknowledge)
        return result

    def send(self, state: str, *, service: str = "editor") -> int:
        body = {
            "service": service,
            "address": "127.0.0.1:1",
            "zone": "a",
            "version": "v1",
            "capacity": 1,
            "state": state,
            "warmup-left-ms": 0,
            "seq": 1,
        }
        path = "/Instances.Heartbeat/u-1"
        return self.requests.handle(
            HttpRequest("POST", path, orjson.dumps(body))
        ).status


@pytest.mark.parametrize(
    ("state", "has_store", "status"),
    [
        ("ready", True, 200),
        ("ready", False, 200),
        ("draining", True, 200),
        ("draining", False, 503),
        ("asleep", True, 400),
    ],
)
def test_only_a_leave_needs_a_record(state: str, has_store: bool, status: int) -> None:
    """Guards against an acknowledged leave that the agent's next process ignores."""
    agent = _Agent()
    agent.store.state.faults.rejection_status = 0 if has_store else 503

    assert agent.send(state) == status
    # Refused flows do not wait for the record.
    assert len(agent.applied) == (state != "asleep")


def test_a_message_that_is_not_applied_is_not_acknowledged() -> None:
    agent = _Agent()
    agent.may_acknowledge = False

    assert agent.send("draining") == 503
    assert agent.records.load() == frozenset()


def test_the_leave_of_another_service_is_not_recorded() -> None:
    """Guards against a foreign sender that fills the store with records."""
    agent = _Agent()

    assert agent.send("draining", service="dossiers") == 200
    assert agent.records.load() == frozenset()
