"""Stateful test of the handover between two gates against a model of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis.strategies as st
from attrs import define
from attrs import field
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import ReplyToReservation
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.core.requests import StartRequest
from siskinshift.messages.load import ReserveSlot
from tests.load.builders import SERVICE
from tests.load.builders import a_gate
from tests.load.builders import a_request


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction

AGENT_NAMES = ("a", "b")
SLOTS = 2
QUEUE_LIMIT = 4


@define
class ExpectedRequest:
    """State of a request in the model."""

    home: str
    repeatable: bool
    deadline: float
    runs: int = 0
    ended: str = ""
    is_cancelled: bool = False


@define
class Running:
    """A request in a slot; `reservation_id` is empty at its home."""

    request_id: int
    agent: str
    reservation_id: str = ""


@define(eq=False)
class Message:
    """A message in transit; the test delivers, loses or duplicates it."""

    kind: str
    request_id: int
    reservation_id: str
    to: str
    granted: bool = False
    result: RunResult = RunResult.LOST
    wait: float = 0.0


@define
class Model:
    """Model of the requests, with the messages in transit."""

    requests_by_id: dict[int, ExpectedRequest] = field(factory=dict)
    running: list[Running] = field(factory=list)
    messages: list[Message] = field(factory=list)
    request_ids_by_reservation_id: dict[str, int] = field(factory=dict)


class GatesMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.model = Model()
        self.gates_by_name = {
            name: a_gate(
                name,
                peers=set(AGENT_NAMES) - {name},
                slots=SLOTS,
                queue_limit=QUEUE_LIMIT,
                caller_part=0.5,
            )
            for name in AGENT_NAMES
        }

    @rule(
        home=st.sampled_from(AGENT_NAMES),
        group=st.sampled_from(("north", "south")),
        caller=st.integers(1, 3),
        repeatable=st.booleans(),
        time_limit=st.sampled_from((0.0, 0.3, 5.0, 5.0)),
        key=st.sampled_from(("", "", "k")),
    )
    def submit(
        self,
        home: str,
        group: str,
        caller: int,
        repeatable: bool,
        time_limit: float,
        key: str,
    ) -> None:
        number = len(self.model.requests_by_id) + 1
        deadline = self.now + time_limit
        self.model.requests_by_id[number] = ExpectedRequest(home, repeatable, deadline)
        request = a_request(
            number,
            group_id=group,
            caller=str(caller),
            repeatable=repeatable,
            key=key,
            now=self.now,
            deadline=deadline,
        )
        self.apply_actions(home, self.gates_by_name[home].submit(request, now=self.now))

    @rule(data=st.data(), result=st.sampled_from(RunResult))
    def finish(self, data: st.DataObject, result: RunResult) -> None:
        if not self.model.running:
            return
        index = data.draw(st.integers(0, len(self.model.running) - 1))
        run = self.model.running.pop(index)
        if result is not RunResult.NOT_OFFERED:
            self.model.requests_by_id[run.request_id].runs += 1
        if run.reservation_id:
            actions = self.gates_by_name[run.agent].peer_request_finished(
                run.reservation_id, result, now=self.now
            )
            self.apply_actions(run.agent, actions)
            self.send_result(run.request_id, run.reservation_id, result)
        else:
            self.end(run.request_id, result)

    @rule(data=st.data(), doubled=st.booleans(), lost=st.sampled_from((0, 0, 0, 1)))
    def deliver(self, data: st.DataObject, doubled: bool, lost: int) -> None:
        if not self.model.messages:
            return
        index = data.draw(st.integers(0, len(self.model.messages) - 1))
        message = self.model.messages.pop(index)
        if lost:
            self.drop(message)
            return
        self.handle(message)
        if doubled and message.kind != "end":
            self.handle(message)

    @rule()
    def deliver_all(self) -> None:
        for message in tuple(self.model.messages):
            self.model.messages.remove(message)
            self.handle(message)

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        if not self.model.requests_by_id:
            return
        request_id = data.draw(st.sampled_from(sorted(self.model.requests_by_id)))
        expected = self.model.requests_by_id[request_id]
        actions = self.gates_by_name[expected.home].cancel(request_id, now=self.now)
        self.apply_actions(expected.home, actions)

    @rule(elapsed=st.sampled_from((0.001, 0.02, 0.06, 0.3, 1.1)))
    def tick(self, elapsed: float) -> None:
        self.now += elapsed
        for name, gate in self.gates_by_name.items():
            self.apply_actions(name, gate.tick(now=self.now))
            sums = gate.usage_message(now=self.now)
            for other in self.gates_by_name.values():
                if sums is not None and other is not gate:
                    other.usage_table.merge(sums, now=self.now)

    @rule(name=st.sampled_from(AGENT_NAMES), chance=st.integers(0, 15))
    def refuse_peer_requests(self, name: str, chance: int) -> None:
        if chance == 0:
            self.apply_actions(
                name, self.gates_by_name[name].refuse_peer_requests(now=self.now)
            )

    @invariant()
    def refused_requests_never_ran(self) -> None:
        running = {run.request_id for run in self.model.running}
        for request_id, expected in self.model.requests_by_id.items():
            if expected.ended == "not_run":
                assert expected.runs == 0
                assert request_id not in running

    @invariant()
    def requests_that_may_not_be_repeated_run_at_most_once(self) -> None:
        running = [run.request_id for run in self.model.running]
        for request_id, expected in self.model.requests_by_id.items():
            if not expected.repeatable:
                assert expected.runs + running.count(request_id) <= 1

    @invariant()
    def slots_and_queues_stay_within_limits(self) -> None:
        for name, gate in self.gates_by_name.items():
            held = sum(run.agent == name for run in self.model.running)
            assert held <= gate.slots_in_use <= SLOTS
            # The limit applies to each of the two groups, including peer requests.
            assert gate.queue_length <= 2 * QUEUE_LIMIT

    def teardown(self) -> None:
        """Runs everything to its end and checks that no request or slot leaks."""
        for _ in range(200):
            while self.model.messages:
                self.handle(self.model.messages.pop(0))
            while self.model.running:
                run = self.model.running.pop()
                self.model.running.append(run)
                self.finish_as_answered()
            if not any(gate.pending_count for gate in self.gates_by_name.values()):
                break
            self.tick(0.3)
        for gate in self.gates_by_name.values():
            assert gate.pending_count == 0
            assert gate.slots_in_use == 0
            assert gate.queue_length == 0
        for expected in self.model.requests_by_id.values():
            assert expected.ended

    def finish_as_answered(self) -> None:
        run = self.model.running.pop()
        self.model.requests_by_id[run.request_id].runs += 1
        result = RunResult.ANSWERED
        if run.reservation_id:
            gate = self.gates_by_name[run.agent]
            actions = gate.peer_request_finished(
                run.reservation_id, result, now=self.now
            )
            self.apply_actions(run.agent, actions)
            self.send_result(run.request_id, run.reservation_id, result)
        else:
            self.end(run.request_id, result)

    def end(self, request_id: int, result: RunResult) -> None:
        expected = self.model.requests_by_id[request_id]
        if result in (RunResult.ANSWERED, RunResult.SHED):
            self.record_outcome(expected, "answered")
        actions = self.gates_by_name[expected.home].finished(
            request_id,
            succeeded=result is RunResult.ANSWERED,
            now=self.now,
            result=result,
        )
        self.apply_actions(expected.home, actions)

    def record_outcome(self, expected: ExpectedRequest, outcome: str) -> None:
        assert not expected.ended, "a second outcome"
        expected.ended = outcome

    def apply_actions(self, name: str, actions: list[GateAction]) -> None:
        for action in actions:
            if isinstance(action, StartRequest):
                expected = self.model.requests_by_id[action.request_id]
                assert expected.home == name
                assert not expected.ended
                assert expected.deadline > self.now, "expired work was started"
                self.model.running.append(Running(action.request_id, name))
            elif isinstance(action, RefuseRequest):
                assert action.retry_after > 0
                self.record_outcome(
                    self.model.requests_by_id[action.request_id], "not_run"
                )
            elif isinstance(action, FailRequest):
                self.record_outcome(
                    self.model.requests_by_id[action.request_id], "unknown"
                )
            elif isinstance(action, CancelAtUpstream):
                self.model.requests_by_id[action.request_id].is_cancelled = True
            else:
                self.apply_message_action(name, action)

    def apply_message_action(self, name: str, action: GateAction) -> None:
        if isinstance(action, ReserveAtPeer):
            self.model.request_ids_by_reservation_id[action.reservation_id] = (
                action.request_id
            )
            self.send("reserve", action.reservation_id, action.peer_id, action.wait)
        elif isinstance(action, ReleaseAtPeer):
            self.send("release", action.reservation_id, action.peer_id)
        elif isinstance(action, RunAtPeer):
            assert not self.model.requests_by_id[action.request_id].ended
            self.send("run", action.reservation_id, action.peer_id)
        elif isinstance(action, ReplyToReservation):
            request_id = self.model.request_ids_by_reservation_id[action.reservation_id]
            home = self.model.requests_by_id[request_id].home
            self.send("answer", action.reservation_id, home, granted=action.granted)

    def send(
        self,
        kind: str,
        reservation_id: str,
        to: str,
        wait: float = 0.0,
        *,
        granted: bool = False,
    ) -> None:
        request_id = self.model.request_ids_by_reservation_id[reservation_id]
        self.model.messages.append(
            Message(kind, request_id, reservation_id, to, granted, wait=wait)
        )

    def send_result(
        self, request_id: int, reservation_id: str, result: RunResult
    ) -> None:
        home = self.model.requests_by_id[request_id].home
        message = Message("end", request_id, reservation_id, home, result=result)
        self.model.messages.append(message)

    def drop(self, message: Message) -> None:
        if message.kind == "reserve":
            # A timeout of the client counts as a refusal.
            self.send("answer", message.reservation_id, self.home_of(message))
        elif message.kind in ("run", "end"):
            self.end_or_ignore(message, RunResult.LOST)

    def handle(self, message: Message) -> None:
        gate = self.gates_by_name[message.to]
        if message.kind == "reserve":
            self.apply_actions(
                message.to, gate.reserve(self.reserve_slot(message), now=self.now)
            )
        elif message.kind == "release":
            actions = gate.release(message.reservation_id, now=self.now)
            self.apply_actions(message.to, actions)
        elif message.kind == "answer":
            self.handle_answer(message)
        elif message.kind == "run":
            self.handle_run(message)
        else:
            self.end_or_ignore(message, message.result)

    def handle_answer(self, message: Message) -> None:
        (peer,) = set(AGENT_NAMES) - {message.to}
        actions = self.gates_by_name[message.to].handle_reservation_reply(
            message.request_id,
            peer_id=peer,
            reservation_id=message.reservation_id,
            granted=message.granted,
            now=self.now,
        )
        self.apply_actions(message.to, actions)

    def handle_run(self, message: Message) -> None:
        gate = self.gates_by_name[message.to]
        if gate.start_reserved(message.reservation_id, now=self.now):
            run = Running(message.request_id, message.to, message.reservation_id)
            self.model.running.append(run)
        elif not self.is_or_was_running(message):
            # The second reply to a duplicated message is lost with its connection.
            self.send_result(
                message.request_id, message.reservation_id, RunResult.NOT_OFFERED
            )

    def is_or_was_running(self, message: Message) -> bool:
        expected = self.model.requests_by_id[message.request_id]
        running = {run.reservation_id for run in self.model.running}
        ends = {m.reservation_id for m in self.model.messages if m.kind == "end"}
        is_recorded = message.reservation_id in running | ends
        return is_recorded or bool(expected.ended) or bool(expected.runs)

    def end_or_ignore(self, message: Message, result: RunResult) -> None:
        if not self.model.requests_by_id[message.request_id].ended:
            self.end(message.request_id, result)

    def home_of(self, message: Message) -> str:
        return self.model.requests_by_id[message.request_id].home

    def reserve_slot(self, message: Message) -> ReserveSlot:
        expected = self.model.requests_by_id[message.request_id]
        return ReserveSlot(
            reservation_id=message.reservation_id,
            sender_id=expected.home,
            service_id=SERVICE,
            group_id="north",
            caller="1",
            wait=message.wait,
            deadline_in=expected.deadline - self.now,
        )


TestGates = GatesMachine.TestCase
TestGates.settings = hypothesis_settings(max_examples=150, stateful_step_count=60)
