"""Simulates balancers and agents whose messages a test delivers one by one.

There are no sockets, threads or real clocks: messages wait in lists until the test
delivers, drops or duplicates them. The oracle is a map from flow to owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs import Factory
from attrs import define

from siskinshift.control.codec import encode_message
from siskinshift.core.flows import hash_flow
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.core.views import make_view
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.actions import ForwardToAgent
from siskinshift.flows.actions import SendNotes
from siskinshift.flows.bucket_differences import to_differences
from siskinshift.flows.router import FlowRouter
from siskinshift.membership.ordering import is_newer
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import Service
from siskinshift.messages.core import ServiceMode
from siskinshift.messages.flows import FlowNotes
from siskinshift.routing.chooser import AgentChooser
from siskinshift.routing.chooser import SendTo


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from siskinshift.core.errors import ErrorKind
    from siskinshift.flows.actions import FlowAction
    from siskinshift.settings.generated import FlowsSettings


START_MILLISECONDS = 1_000_000_000
MAX_MESSAGE_DELAY_SECONDS = 1.0
MAX_VIEW_DELAY_SECONDS = 4.0
DETECTION_SECONDS = 2.0
PORT_REUSE_SECONDS = 20.0
PAUSE_SECONDS = 8.0
TICK_SECONDS = 0.25


def make_service(name: str, number: int) -> Service:
    """Creates a service with an upstream class of the same name.

    Args:
        name: Name of the service and of its class.
        number: Last byte of its address, 0 to 255; unique for each service.

    Returns:
        The service.
    """
    return Service(
        service_id=name,
        addresses=(Endpoint(f"127.0.1.{number}", 443),),
        mode=ServiceMode.DATAGRAM,
        upstream_class=name,
    )


def make_agent(
    member_id: str, *, upstream_class: str, incarnation: int, weight: int = 1000
) -> Member:
    """Creates the state of a ready agent.

    Args:
        member_id: Its id.
        upstream_class: Its class.
        incarnation: Start of the process, unix milliseconds.
        weight: Its weight, 0 to 1000.

    Returns:
        The state.
    """
    return Member(
        member_id=member_id,
        role=Role.AGENT,
        incarnation=incarnation,
        version=1,
        state=MemberState.READY,
        region="region-1",
        failure_domain="fd-1",
        control=Endpoint("127.0.0.1", 1),
        data=Endpoint("127.0.0.1", 2),
        upstream_class=upstream_class,
        weight=weight,
    )


def make_balancer(member_id: str) -> Member:
    """Creates the state of a ready balancer.

    Args:
        member_id: Its id.

    Returns:
        The state.
    """
    agent = make_agent(member_id, upstream_class="", incarnation=START_MILLISECONDS)
    return attrs.evolve(agent, role=Role.BALANCER)


@define(eq=False)
class Node:
    """A process with its own view; only an agent has a router."""

    node_id: str
    router: FlowRouter | None
    chooser: AgentChooser
    members_by_id: dict[str, Member] = Factory(dict)
    version: int = 0
    has_initial_view: bool = True
    paused: bool = False


@define(eq=False)
class Message:
    """A message in flight to an agent."""

    receiver_id: str
    content: Envelope | FlowNotes
    sent_at: float


@define(eq=False)
class ViewUpdate:
    """Member states in flight to one process."""

    receiver_id: str
    members: tuple[Member, ...]
    sent_at: float


@define(eq=False)
class Flow:
    """The oracle's record of a caller's flow."""

    caller: Endpoint
    service: Service
    owner: tuple[str, int] | None = None
    ended_at: float | None = None
    # The owner was declared gone and resumed. A peer may have created the flow again.
    contested: bool = False

    @property
    def digest(self) -> int:
        """Hash of the flow."""
        return hash_flow(caller=self.caller, service_address=self.service.addresses[0])


class FlowNetwork:
    """Simulated balancers and agents, their messages, and the oracle.

    Attributes:
        now: Time in seconds.
        random: Selects a random balancer for each packet.
        settings: Settings of all agents.
        services_by_id: Services, each with its own upstream class.
        actual_members_by_id: Actual state of each member, as last announced.
        nodes_by_id: Running processes.
        messages: Messages in flight.
        pending_updates: View updates in flight.
        resumes: Resume time, id and incarnation of each paused process.
        flows: All flows; the flow at index n has the caller port 1024 + n.
        draining_since_by_id: Start of the drain of each draining agent.
        late_flows: A message for each flow created more than 3 s after the start of a
            drain.
        planned_breaks: A message for each flow that moved away from a live owner.
        unplanned_breaks: Number of flows whose owner stopped or restarted.
        misdelivered: Number of datagrams delivered to another service.
        delivered: Number of datagrams delivered to upstreams.
        created: Number of flow creations; a flow that is created again counts again.
        max_hop_count: Largest hop count of any datagram.
        notes_sent: Number of handover messages.
        notes_bytes_by_sender: Their size by sender, with `count_bytes`.
        notes_bytes: Size of their JSON, with `count_bytes`.
        drops_by_kind: Number of dropped envelopes by reason.
    """

    def __init__(
        self,
        *,
        settings: FlowsSettings,
        agents_by_class: dict[str, int],
        balancers: int,
        random: random.Random,
        count_bytes: bool = False,
        with_full_views: bool = False,
    ) -> None:
        """Starts all processes and waits for convergence.

        Args:
            settings: Settings of all agents.
            agents_by_class: Number of agents by upstream class.
            balancers: Number of balancers.
            random: Selects a random balancer for each packet.
            count_bytes: Whether to count the bytes of handover messages.
            with_full_views: Whether all processes start with a complete view.
        """
        self.now = 100.0
        self.random = random
        self.settings = settings
        self.services_by_id = {
            name: make_service(name, number)
            for number, name in enumerate(agents_by_class)
        }
        self.actual_members_by_id: dict[str, Member] = {}
        self.nodes_by_id: dict[str, Node] = {}
        self.messages: list[Message] = []
        self.pending_updates: list[ViewUpdate] = []
        self.flows: list[Flow] = []
        self.resumes: list[tuple[float, str, int]] = []
        self.late_flows: list[str] = []
        self.draining_since_by_id: dict[str, float] = {}
        self.planned_breaks: list[str] = []
        self.unplanned_breaks = 0
        self.misdelivered = 0
        self.delivered = 0
        self.created = 0
        self.max_hop_count = 0
        self.notes_sent = 0
        self.notes_bytes = 0
        self.notes_bytes_by_sender: dict[str, int] = {}
        self._counts_bytes = count_bytes
        self._has_full_views = with_full_views
        self.drops_by_kind: dict[ErrorKind, int] = {}
        self._join_count = 0
        for index in range(balancers):
            balancer = make_balancer(f"balancer-{index}")
            node = self._add_node(balancer.member_id, None)
            self.actual_members_by_id[balancer.member_id] = balancer
            node.members_by_id[balancer.member_id] = balancer
        for name, count in agents_by_class.items():
            for _ in range(count):
                self.join(name)
        if with_full_views:
            self._send_full_views()
        self.converge()

    # Events

    def join(self, upstream_class: str, weight: int = 1000) -> str:
        """Starts a new agent.

        Args:
            upstream_class: Its class.
            weight: Its weight, 0 to 1000.

        Returns:
            Its id.
        """
        self._join_count += 1
        member_id = f"{upstream_class}-{self._join_count}"
        self._start_agent(member_id, upstream_class, weight)
        return member_id

    def restart(self, member_id: str) -> None:
        """Restarts an agent immediately; its flows are lost.

        Args:
            member_id: The agent.
        """
        member = self.actual_members_by_id[member_id]
        self._end_node(member_id)
        self.now += 0.001
        self._start_agent(member_id, member.upstream_class, 1000)

    def change_weight(self, member_id: str, weight: int) -> None:
        """Announces a new weight for an agent.

        Args:
            member_id: The agent.
            weight: 0 to 1000.
        """
        member = self.actual_members_by_id[member_id]
        self._announce(attrs.evolve(member, weight=weight, version=member.version + 1))

    def drain(self, member_id: str) -> None:
        """Starts the drain of an agent.

        Args:
            member_id: The agent.
        """
        member = self.actual_members_by_id[member_id]
        self.draining_since_by_id[member_id] = self.now
        self._announce(
            attrs.evolve(
                member,
                weight=0,
                state=MemberState.DRAINING,
                version=member.version + 1,
            )
        )

    def leave(self, member_id: str) -> None:
        """Stops a drained agent that has no flows left.

        Args:
            member_id: The agent.
        """
        self._end_node(member_id)
        self._announce_gone(member_id, delay=0.0)

    def crash(self, member_id: str) -> None:
        """Stops an agent without notice; peers detect it after DETECTION_SECONDS.

        Args:
            member_id: The agent.
        """
        self._end_node(member_id)
        self._announce_gone(member_id, delay=DETECTION_SECONDS)

    def pause(self, member_id: str) -> None:
        """Pauses a process for so long that its peers declare it gone.

        Args:
            member_id: The agent.
        """
        self.nodes_by_id[member_id].paused = True
        for flow in self.owned_flows(member_id):
            flow.contested = True
        member = self.actual_members_by_id[member_id]
        gone = attrs.evolve(member, state=MemberState.GONE, version=member.version + 1)
        for node_id in self.nodes_by_id:
            if node_id != member_id:
                sent_at = self.now + DETECTION_SECONDS
                self.pending_updates.append(ViewUpdate(node_id, (gone,), sent_at))
        self.resumes.append((self.now + PAUSE_SECONDS, member_id, member.incarnation))

    def _resume_paused(self) -> None:
        for resume in tuple(self.resumes):
            at, member_id, incarnation = resume
            if at > self.now:
                continue
            self.resumes.remove(resume)
            node = self.nodes_by_id.get(member_id)
            member = self.actual_members_by_id[member_id]
            if node is None or member.incarnation != incarnation:
                continue
            node.paused = False
            # The process receives the record that declares it gone and refutes it with
            # a newer version.
            self._announce(attrs.evolve(member, version=member.version + 2))

    def open_flow(self, service_id: str) -> Flow:
        """Sends the first datagram of a new caller.

        Args:
            service_id: Service of the flow.

        Returns:
            The flow.
        """
        caller = Endpoint("127.0.2.1", 1024 + len(self.flows))
        flow = Flow(caller, self.services_by_id[service_id])
        self.flows.append(flow)
        self.send(flow)
        return flow

    def send(self, flow: Flow, balancer_id: str = "") -> None:
        """Sends a datagram of a flow through a balancer.

        Args:
            flow: Flow of the datagram.
            balancer_id: The balancer; empty for a random one.
        """
        if flow.ended_at is not None:
            if self.now - flow.ended_at < PORT_REUSE_SECONDS:
                return
            flow.ended_at = None
        balancers = [n for n in self.nodes_by_id.values() if n.router is None]
        balancer = self.random.choice(balancers)
        if balancer_id:
            balancer = self.nodes_by_id[balancer_id]
        packet = Packet(flow.caller, flow.service.addresses[0], b"")
        choice = balancer.chooser.choose(packet)
        if isinstance(choice, SendTo):
            envelope = Envelope(packet, view_version=balancer.version)
            self._post(choice.agent.member_id, envelope)

    def end_flow(self, flow: Flow) -> None:
        """Closes a flow at its owner.

        Args:
            flow: The flow.
        """
        owner = self._live_owner(flow)
        if owner is None or owner.paused or flow.ended_at is not None:
            return
        assert owner.router is not None
        flow.ended_at = self.now
        flow.owner = None
        self._apply_actions(
            owner, owner.router.on_flow_ended(flow.digest, now=self.now)
        )

    def deliver(self, index: int, *, copy: bool = False) -> None:
        """Delivers a message.

        Args:
            index: Index of the message, modulo their number.
            copy: Whether a copy of it remains in flight.
        """
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index] if copy else self.messages.pop(index)
        node = self.nodes_by_id.get(message.receiver_id)
        if node is None or node.router is None or node.paused:
            return
        if isinstance(message.content, Envelope):
            self.max_hop_count = max(self.max_hop_count, message.content.hop_count)
            actions = node.router.on_envelope(message.content, now=self.now)
        else:
            actions = node.router.on_notes(message.content, now=self.now)
        self._apply_actions(node, actions)

    def drop_message(self, index: int) -> None:
        """Drops a message.

        Args:
            index: Index of the message, modulo their number.
        """
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def deliver_update(self, index: int) -> None:
        """Delivers a view update.

        Args:
            index: Index of the update, modulo their number.
        """
        if self.pending_updates:
            self._deliver_view_update(
                self.pending_updates[index % len(self.pending_updates)]
            )

    def advance(self, seconds: float) -> None:
        """Advances the clock.

        Messages and view updates are delivered within their longest delay.

        Args:
            seconds: Time to advance.
        """
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + TICK_SECONDS)
            self._deliver_overdue()
            self._resume_paused()
            for node in tuple(self.nodes_by_id.values()):
                if node.router is not None and not node.paused:
                    self._apply_actions(node, node.router.tick(now=self.now))

    def converge(self, seconds: float = 40.0) -> None:
        """Advances the clock and delivers everything in order and without loss.

        Args:
            seconds: Time to advance.
        """
        until = self.now + seconds
        while self.now < until:
            for update in [u for u in self.pending_updates if u.sent_at <= self.now]:
                self._deliver_view_update(update)
            self.deliver_all()
            self.advance(TICK_SECONDS)

    def deliver_all(self) -> None:
        """Delivers messages until none is left.

        Raises:
            AssertionError: Messages remain after 1,000,000 deliveries.
        """
        for _ in range(1_000_000):
            if not self.messages:
                return
            self.deliver(0)
        raise AssertionError("messages remain after 1,000,000 deliveries")

    # State for assertions

    def agents(self, upstream_class: str = "") -> list[str]:
        """Returns the running agents.

        Args:
            upstream_class: Restricts the result to this class; empty for all.

        Returns:
            Their ids, sorted.
        """
        return sorted(
            node.node_id
            for node in self.nodes_by_id.values()
            if node.router is not None
            and upstream_class
            in ("", self.actual_members_by_id[node.node_id].upstream_class)
        )

    def ready_agents(self, upstream_class: str) -> list[str]:
        """Returns the agents that accept new flows.

        Args:
            upstream_class: Their class.

        Returns:
            Their ids, sorted.
        """
        return [
            member_id
            for member_id in self.agents(upstream_class)
            if self.actual_members_by_id[member_id].state is MemberState.READY
            and self.actual_members_by_id[member_id].weight > 0
        ]

    def router_of(self, member_id: str) -> FlowRouter:
        """Returns the router of an agent.

        Args:
            member_id: The agent.

        Returns:
            Its router.
        """
        router = self.nodes_by_id[member_id].router
        assert router is not None
        return router

    def owned_flows(self, member_id: str) -> list[Flow]:
        """Returns the flows of an agent according to the oracle.

        Args:
            member_id: The agent.

        Returns:
            Its flows.
        """
        incarnation = self.actual_members_by_id[member_id].incarnation
        return [f for f in self.flows if f.owner == (member_id, incarnation)]

    def check_after_convergence(self) -> None:
        """Checks that live flows are served and that no state remains after they end.

        Raises:
            AssertionError: A flow is not served, or an agent retains state.
        """
        self.converge()
        balancer_ids = [n for n in self.nodes_by_id if n.startswith("balancer")]
        for flow in self.flows:
            if self._live_owner(flow) is None or flow.contested:
                continue
            for balancer_id in balancer_ids:
                before = self.delivered
                self.send(flow, balancer_id)
                self.deliver_all()
                assert self.delivered == before + 1, f"{flow} is not served"
        for service in self.services_by_id.values():
            flow = self.open_flow(service.service_id)
            self.deliver_all()
            assert flow.owner is not None, "a new flow is not created"
        for flow in self.flows:
            self.end_flow(flow)
            if flow.contested:
                self._end_at_all_agents(flow)
        self.converge(60.0)
        for member_id in self.agents():
            router = self.router_of(member_id)
            counts = (router.flow_count, router.note_count, router.held_count)
            assert counts == (0, 0, 0), f"{member_id} retains {counts}"
            assert router.pending_list_count == 0, f"{member_id} has pending lists"

    # Internals

    def _end_at_all_agents(self, flow: Flow) -> None:
        for member_id in self.agents():
            router = self.router_of(member_id)
            self._apply_actions(
                self.nodes_by_id[member_id],
                router.on_flow_ended(flow.digest, now=self.now),
            )

    def _start_agent(self, member_id: str, upstream_class: str, weight: int) -> None:
        incarnation = START_MILLISECONDS + int(self.now * 1000)
        member = make_agent(
            member_id,
            upstream_class=upstream_class,
            incarnation=incarnation,
            weight=weight,
        )
        router = FlowRouter(
            member_id=member_id, incarnation=incarnation, settings=self.settings
        )
        node = self._add_node(member_id, router)
        # A new process receives the view of one balancer at once and later updates as
        # they spread.
        if self._has_full_views:
            self.actual_members_by_id[member_id] = member
            return
        self.pending_updates = [
            n for n in self.pending_updates if n.receiver_id != member_id
        ]
        balancer_ids = [n for n in self.nodes_by_id if n.startswith("balancer")]
        source = self.nodes_by_id[self.random.choice(balancer_ids)]
        initial_members = tuple(m for m in source.members_by_id.values() if m != member)
        self.pending_updates.append(ViewUpdate(member_id, initial_members, self.now))
        node.has_initial_view = False
        for other in self.actual_members_by_id.values():
            self.pending_updates.append(ViewUpdate(member_id, (other,), self.now))
        node.members_by_id[member_id] = member
        self._announce(member)

    def _send_full_views(self) -> None:
        self._has_full_views = False
        self.pending_updates.clear()
        members = tuple(self.actual_members_by_id.values())
        for node_id in self.nodes_by_id:
            self._apply_view_update(ViewUpdate(node_id, members, self.now))

    def _count_bytes(self, sender_id: str, notes: FlowNotes) -> None:
        if not self._counts_bytes:
            return
        size = len(encode_message(to_differences(notes)))
        self.notes_bytes += size
        previous = self.notes_bytes_by_sender.get(sender_id, 0)
        self.notes_bytes_by_sender[sender_id] = previous + size

    def _add_node(self, node_id: str, router: FlowRouter | None) -> Node:
        node = Node(node_id, router, AgentChooser())
        self.nodes_by_id[node_id] = node
        return node

    def _end_node(self, member_id: str) -> None:
        del self.nodes_by_id[member_id]
        self.draining_since_by_id.pop(member_id, None)
        for flow in self.flows:
            if flow.owner and flow.owner[0] == member_id:
                self.unplanned_breaks += 1

    def _announce(self, member: Member, delay: float = 0.0) -> None:
        self.actual_members_by_id[member.member_id] = member
        own = self.nodes_by_id.get(member.member_id)
        if own is not None:
            self._apply_view_update(ViewUpdate(member.member_id, (member,), self.now))
        for node_id in self.nodes_by_id:
            if node_id != member.member_id:
                self.pending_updates.append(
                    ViewUpdate(node_id, (member,), self.now + delay)
                )

    def _announce_gone(self, member_id: str, *, delay: float) -> None:
        member = self.actual_members_by_id[member_id]
        self._announce(
            attrs.evolve(member, state=MemberState.GONE, version=member.version + 1),
            delay=delay,
        )

    def _deliver_view_update(self, chosen: ViewUpdate) -> None:
        if chosen not in self.pending_updates or chosen.sent_at > self.now:
            return
        node = self.nodes_by_id.get(chosen.receiver_id)
        if node is not None and node.paused:
            return
        if node is not None and not node.has_initial_view:
            # A new process receives one complete member table before any update.
            node.has_initial_view = True
            table = next(
                n for n in self.pending_updates if n.receiver_id == node.node_id
            )
            self.pending_updates.remove(table)
            self._apply_view_update(table)
        if chosen in self.pending_updates:
            self.pending_updates.remove(chosen)
            self._apply_view_update(chosen)

    def _apply_view_update(self, update: ViewUpdate) -> None:
        node = self.nodes_by_id.get(update.receiver_id)
        if node is None:
            return
        newer = [
            member
            for member in update.members
            if is_newer(member, node.members_by_id.get(member.member_id))
            or (member.member_id == node.node_id and node.version == 0)
        ]
        if not newer:
            return
        node.members_by_id.update({member.member_id: member for member in newer})
        node.version += 1
        view = make_view(
            version=node.version,
            services=self.services_by_id.values() if node.has_initial_view else (),
            members=node.members_by_id.values(),
        )
        node.chooser.update(view)
        if node.router is not None:
            self._apply_actions(node, node.router.update(view, now=self.now))

    def _deliver_overdue(self) -> None:
        for update in tuple(self.pending_updates):
            if self.now - update.sent_at >= MAX_VIEW_DELAY_SECONDS:
                self._deliver_view_update(update)
        while self.messages:
            if self.now - self.messages[0].sent_at < MAX_MESSAGE_DELAY_SECONDS:
                return
            self.deliver(0)

    def _post(self, receiver_id: str, content: Envelope | FlowNotes) -> None:
        self.messages.append(Message(receiver_id, content, self.now))

    def _live_owner(self, flow: Flow) -> Node | None:
        if flow.owner is None:
            return None
        member_id, incarnation = flow.owner
        node = self.nodes_by_id.get(member_id)
        if (
            node is None
            or self.actual_members_by_id[member_id].incarnation != incarnation
        ):
            return None
        return node

    def _apply_actions(self, node: Node, actions: Iterable[FlowAction]) -> None:
        for action in actions:
            if isinstance(action, DeliverToFlow):
                self._record_delivery(node, action)
            elif isinstance(action, ForwardToAgent):
                self._post(action.agent.member_id, action.envelope)
            elif isinstance(action, SendNotes):
                self.notes_sent += 1
                self._count_bytes(node.node_id, action.notes)
                self._post(action.agent.member_id, action.notes)
            elif isinstance(action, DropEnvelope):
                count = self.drops_by_kind.get(action.error, 0)
                self.drops_by_kind[action.error] = count + 1

    def _record_delivery(self, node: Node, action: DeliverToFlow) -> None:
        flow = self.flows[action.packet.caller.port - 1024]
        member = self.actual_members_by_id[node.node_id]
        self.delivered += 1
        drained_at = self.draining_since_by_id.get(node.node_id)
        if action.is_new and drained_at is not None and self.now - drained_at > 3.0:
            self.late_flows.append(f"{node.node_id} creates a flow at {self.now:.2f}")
        if member.upstream_class != flow.service.upstream_class:
            self.misdelivered += 1
        if flow.ended_at is not None:
            # A late duplicate created the flow again. It becomes idle and ends.
            assert node.router is not None
            node.router.on_flow_ended(flow.digest, now=self.now)
            return
        owner = (node.node_id, member.incarnation)
        moved = self._live_owner(flow) is not None and flow.owner != owner
        if moved and not flow.contested:
            self.planned_breaks.append(f"{flow.owner} -> {owner} at {self.now:.2f}")
        if flow.owner != owner:
            self.created += 1
        flow.owner = owner
