"""Balancers and agents joined by a message queue that a test controls.

No sockets, threads or clocks: messages wait in lists until the test delivers,
drops or doubles them. The oracle is a map from flow to owner.
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
MESSAGE_DELAY_MAXIMUM = 1.0
VIEW_DELAY_MAXIMUM = 4.0
DETECTION_SECONDS = 2.0
REUSE_SECONDS = 20.0
PAUSE_SECONDS = 8.0
TICK_SECONDS = 0.25


def make_service(name: str, number: int) -> Service:
    """Makes a service whose upstream class has its own name.

    Args:
        name: Name of the service and of its class.
        number: Makes its address unique, 0 to 255.

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
    """Makes the state of a ready agent.

    Args:
        member_id: Its id.
        upstream_class: Its class.
        incarnation: Its start, unix milliseconds.
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
    """Makes the state of a ready balancer.

    Args:
        member_id: Its id.

    Returns:
        The state.
    """
    agent = make_agent(member_id, upstream_class="", incarnation=START_MILLISECONDS)
    return attrs.evolve(agent, role=Role.BALANCER)


@define(eq=False)
class Node:
    """A process with a view of its own; an agent has a router, a balancer a chooser."""

    node_id: str
    router: FlowRouter | None
    chooser: AgentChooser
    members_by_id: dict[str, Member] = Factory(dict)
    version: int = 0
    taught: bool = True
    paused: bool = False


@define(eq=False)
class Message:
    """A message on its way to an agent."""

    receiver_id: str
    content: Envelope | FlowNotes
    sent_at: float


@define(eq=False)
class ViewNews:
    """States of members on their way to one process."""

    receiver_id: str
    members: tuple[Member, ...]
    sent_at: float


@define(eq=False)
class Flow:
    """A caller's flow as the oracle sees it."""

    caller: Endpoint
    service: Service
    owner: tuple[str, int] | None = None
    ended_at: float | None = None
    # Its owner was counted as gone and came back: it may have begun anew meanwhile.
    contested: bool = False

    @property
    def digest(self) -> int:
        """Hash of the flow."""
        return hash_flow(caller=self.caller, service_address=self.service.addresses[0])


class FlowNetwork:
    """The processes, their messages, and the oracle.

    Attributes:
        now: Time in seconds.
        random: Chooses balancers.
        settings: Settings of all agents.
        services_by_id: Services, each with a class of its own.
        truth_by_id: What members last said of themselves, or what is true of them.
        nodes_by_id: Running processes.
        messages: Messages on their way.
        news: News of members on their way.
        resumes: When which paused process goes on.
        flows: All flows; number n has the caller's port 1024 + n.
        draining_since_by_id: When agents announced that they drain.
        late_flows: Flows that a draining agent took too late.
        planned_breaks: Flows that left a living owner.
        unplanned_breaks: Flows whose owner died.
        misdelivered: Datagrams handed to another service.
        delivered: Datagrams handed to upstreams.
        created: Flows that began.
        hops_maximum: Most hops of a datagram.
        notes_sent: Hand-over messages.
        notes_bytes_by_sender: Bytes of hand-over messages by sender, when `sizes` was
            given.
        notes_bytes: Their JSON in bytes, when `sizes` was given.
        drops_by_kind: Dropped envelopes.
    """

    def __init__(
        self,
        *,
        settings: FlowsSettings,
        agents_by_class: dict[str, int],
        balancers: int,
        random: random.Random,
        sizes: bool = False,
        together: bool = False,
    ) -> None:
        """Starts all processes and lets them settle.

        Args:
            settings: Settings of all agents.
            agents_by_class: Number of agents by upstream class.
            balancers: Number of balancers.
            random: Chooses balancers.
            sizes: Whether to count bytes of hand-over messages.
            together: Whether all processes know each other from the start.
        """
        self.now = 100.0
        self.random = random
        self.settings = settings
        self.services_by_id = {
            name: make_service(name, number)
            for number, name in enumerate(agents_by_class)
        }
        self.truth_by_id: dict[str, Member] = {}
        self.nodes_by_id: dict[str, Node] = {}
        self.messages: list[Message] = []
        self.news: list[ViewNews] = []
        self.flows: list[Flow] = []
        self.resumes: list[tuple[float, str, int]] = []
        self.late_flows: list[str] = []
        self.draining_since_by_id: dict[str, float] = {}
        self.planned_breaks: list[str] = []
        self.unplanned_breaks = 0
        self.misdelivered = 0
        self.delivered = 0
        self.created = 0
        self.hops_maximum = 0
        self.notes_sent = 0
        self.notes_bytes = 0
        self.notes_bytes_by_sender: dict[str, int] = {}
        self._sizes = sizes
        self._together = together
        self.drops_by_kind: dict[ErrorKind, int] = {}
        self._joined = 0
        for index in range(balancers):
            balancer = make_balancer(f"balancer-{index}")
            node = self._add_node(balancer.member_id, None)
            self.truth_by_id[balancer.member_id] = balancer
            node.members_by_id[balancer.member_id] = balancer
        for name, count in agents_by_class.items():
            for _ in range(count):
                self.join(name)
        if together:
            self._tell_all()
        self.settle()

    # Events.

    def join(self, upstream_class: str, weight: int = 1000) -> str:
        """Starts a new agent.

        Args:
            upstream_class: Its class.
            weight: Its weight, 0 to 1000.

        Returns:
            Its id.
        """
        self._joined += 1
        member_id = f"{upstream_class}-{self._joined}"
        self._start_agent(member_id, upstream_class, weight)
        return member_id

    def restart(self, member_id: str) -> None:
        """Ends an agent and starts it again at once; its flows are lost.

        Args:
            member_id: The agent.
        """
        member = self.truth_by_id[member_id]
        self._end_node(member_id)
        self.now += 0.001
        self._start_agent(member_id, member.upstream_class, 1000)

    def change_weight(self, member_id: str, weight: int) -> None:
        """Lets an agent announce a weight.

        Args:
            member_id: The agent.
            weight: 0 to 1000.
        """
        member = self.truth_by_id[member_id]
        self._announce(attrs.evolve(member, weight=weight, version=member.version + 1))

    def drain(self, member_id: str) -> None:
        """Lets an agent announce that it drains.

        Args:
            member_id: The agent.
        """
        member = self.truth_by_id[member_id]
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
        """Ends a drained agent without flows.

        Args:
            member_id: The agent.
        """
        self._end_node(member_id)
        self._announce_gone(member_id, delay=0.0)

    def die(self, member_id: str) -> None:
        """Ends an agent without a word; peers hear of it later.

        Args:
            member_id: The agent.
        """
        self._end_node(member_id)
        self._announce_gone(member_id, delay=DETECTION_SECONDS)

    def pause(self, member_id: str) -> None:
        """Lets a process stand still so long that its peers count it as gone.

        Args:
            member_id: The agent.
        """
        self.nodes_by_id[member_id].paused = True
        for flow in self.owned_flows(member_id):
            flow.contested = True
        member = self.truth_by_id[member_id]
        gone = attrs.evolve(member, state=MemberState.GONE, version=member.version + 1)
        for node_id in self.nodes_by_id:
            if node_id != member_id:
                sent_at = self.now + DETECTION_SECONDS
                self.news.append(ViewNews(node_id, (gone,), sent_at))
        self.resumes.append((self.now + PAUSE_SECONDS, member_id, member.incarnation))

    def _resume_due(self) -> None:
        for resume in tuple(self.resumes):
            at, member_id, incarnation = resume
            if at > self.now:
                continue
            self.resumes.remove(resume)
            node = self.nodes_by_id.get(member_id)
            member = self.truth_by_id[member_id]
            if node is None or member.incarnation != incarnation:
                continue
            node.paused = False
            # It hears that it counts as gone and speaks up.
            self._announce(attrs.evolve(member, version=member.version + 2))

    def open_flow(self, service_id: str) -> Flow:
        """Lets a new caller send its first datagram.

        Args:
            service_id: Service it calls.

        Returns:
            The flow.
        """
        caller = Endpoint("127.0.2.1", 1024 + len(self.flows))
        flow = Flow(caller, self.services_by_id[service_id])
        self.flows.append(flow)
        self.send(flow)
        return flow

    def send(self, flow: Flow, balancer_id: str = "") -> None:
        """Lets the fabric hand a datagram to a balancer.

        Args:
            flow: Flow of the datagram.
            balancer_id: The balancer; empty for a random one.
        """
        if flow.ended_at is not None:
            if self.now - flow.ended_at < REUSE_SECONDS:
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
        """Lets the owner of a flow close it.

        Args:
            flow: The flow.
        """
        owner = self._live_owner(flow)
        if owner is None or owner.paused or flow.ended_at is not None:
            return
        assert owner.router is not None
        flow.ended_at = self.now
        flow.owner = None
        self._carry_out(owner, owner.router.on_flow_ended(flow.digest, now=self.now))

    def deliver(self, index: int, *, copy: bool = False) -> None:
        """Delivers a message.

        Args:
            index: Which one, modulo their number.
            copy: Whether it stays on its way as well.
        """
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index] if copy else self.messages.pop(index)
        node = self.nodes_by_id.get(message.receiver_id)
        if node is None or node.router is None or node.paused:
            return
        if isinstance(message.content, Envelope):
            self.hops_maximum = max(self.hops_maximum, message.content.hop_count)
            actions = node.router.on_envelope(message.content, now=self.now)
        else:
            actions = node.router.on_notes(message.content, now=self.now)
        self._carry_out(node, actions)

    def lose(self, index: int) -> None:
        """Loses a message.

        Args:
            index: Which one, modulo their number.
        """
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def deliver_news(self, index: int) -> None:
        """Delivers news of a member.

        Args:
            index: Which, modulo their number.
        """
        if self.news:
            self._take_news_for(self.news[index % len(self.news)])

    def advance(self, seconds: float) -> None:
        """Lets time pass; messages and news arrive within their longest delay.

        Args:
            seconds: How long.
        """
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + TICK_SECONDS)
            self._deliver_late()
            self._resume_due()
            for node in tuple(self.nodes_by_id.values()):
                if node.router is not None and not node.paused:
                    self._carry_out(node, node.router.tick(now=self.now))

    def settle(self, seconds: float = 40.0) -> None:
        """Delivers everything in order, without loss, while time passes.

        Args:
            seconds: How long.
        """
        until = self.now + seconds
        while self.now < until:
            for news in [n for n in self.news if n.sent_at <= self.now]:
                self._take_news_for(news)
            self.drain_messages()
            self.advance(TICK_SECONDS)

    def drain_messages(self) -> None:
        """Delivers messages until none is left.

        Raises:
            AssertionError: They never end.
        """
        for _ in range(1_000_000):
            if not self.messages:
                return
            self.deliver(0)
        raise AssertionError("messages never end")

    # What tests look at.

    def agents(self, upstream_class: str = "") -> list[str]:
        """Lists running agents.

        Args:
            upstream_class: Only of this class; empty for all.

        Returns:
            Their ids, in order.
        """
        return sorted(
            node.node_id
            for node in self.nodes_by_id.values()
            if node.router is not None
            and upstream_class in ("", self.truth_by_id[node.node_id].upstream_class)
        )

    def ready_agents(self, upstream_class: str) -> list[str]:
        """Lists agents that take new flows.

        Args:
            upstream_class: Their class.

        Returns:
            Their ids, in order.
        """
        return [
            member_id
            for member_id in self.agents(upstream_class)
            if self.truth_by_id[member_id].state is MemberState.READY
            and self.truth_by_id[member_id].weight > 0
        ]

    def router_of(self, member_id: str) -> FlowRouter:
        """Finds the router of an agent.

        Args:
            member_id: The agent.

        Returns:
            Its router.
        """
        router = self.nodes_by_id[member_id].router
        assert router is not None
        return router

    def owned_flows(self, member_id: str) -> list[Flow]:
        """Lists the flows of an agent as the oracle knows them.

        Args:
            member_id: The agent.

        Returns:
            Its flows.
        """
        incarnation = self.truth_by_id[member_id].incarnation
        return [f for f in self.flows if f.owner == (member_id, incarnation)]

    def check_after_settling(self) -> None:
        """Checks that each live flow is served and that nothing is left in the end.

        Raises:
            AssertionError: A flow is not served, or an agent keeps something.
        """
        self.settle()
        balancer_ids = [n for n in self.nodes_by_id if n.startswith("balancer")]
        for flow in self.flows:
            if self._live_owner(flow) is None or flow.contested:
                continue
            for balancer_id in balancer_ids:
                before = self.delivered
                self.send(flow, balancer_id)
                self.drain_messages()
                assert self.delivered == before + 1, f"{flow} is not served"
        for service in self.services_by_id.values():
            flow = self.open_flow(service.service_id)
            self.drain_messages()
            assert flow.owner is not None, "a new flow is not taken"
        for flow in self.flows:
            self.end_flow(flow)
            if flow.contested:
                self._end_everywhere(flow)
        self.settle(60.0)
        for member_id in self.agents():
            router = self.router_of(member_id)
            counts = (router.flow_count, router.note_count, router.held_count)
            assert counts == (0, 0, 0), f"{member_id} keeps {counts}"
            assert router.pending_list_count == 0, f"{member_id} has lists to send"

    # Inner workings.

    def _end_everywhere(self, flow: Flow) -> None:
        for member_id in self.agents():
            router = self.router_of(member_id)
            self._carry_out(
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
        # A new process hears at once what one balancer knows, the rest as it spreads.
        if self._together:
            self.truth_by_id[member_id] = member
            return
        self.news = [n for n in self.news if n.receiver_id != member_id]
        balancer_ids = [n for n in self.nodes_by_id if n.startswith("balancer")]
        teacher = self.nodes_by_id[self.random.choice(balancer_ids)]
        taught = tuple(m for m in teacher.members_by_id.values() if m != member)
        self.news.append(ViewNews(member_id, taught, self.now))
        node.taught = False
        for known in self.truth_by_id.values():
            self.news.append(ViewNews(member_id, (known,), self.now))
        node.members_by_id[member_id] = member
        self._announce(member)

    def _tell_all(self) -> None:
        self._together = False
        self.news.clear()
        members = tuple(self.truth_by_id.values())
        for node_id in self.nodes_by_id:
            self._take_news(ViewNews(node_id, members, self.now))

    def _count_bytes(self, sender_id: str, notes: FlowNotes) -> None:
        if not self._sizes:
            return
        size = len(encode_message(to_differences(notes)))
        self.notes_bytes += size
        known = self.notes_bytes_by_sender.get(sender_id, 0)
        self.notes_bytes_by_sender[sender_id] = known + size

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
        self.truth_by_id[member.member_id] = member
        own = self.nodes_by_id.get(member.member_id)
        if own is not None:
            self._take_news(ViewNews(member.member_id, (member,), self.now))
        for node_id in self.nodes_by_id:
            if node_id != member.member_id:
                self.news.append(ViewNews(node_id, (member,), self.now + delay))

    def _announce_gone(self, member_id: str, *, delay: float) -> None:
        member = self.truth_by_id[member_id]
        self._announce(
            attrs.evolve(member, state=MemberState.GONE, version=member.version + 1),
            delay=delay,
        )

    def _take_news_for(self, chosen: ViewNews) -> None:
        if chosen not in self.news or chosen.sent_at > self.now:
            return
        node = self.nodes_by_id.get(chosen.receiver_id)
        if node is not None and node.paused:
            return
        if node is not None and not node.taught:
            # Membership hands a new process one table before any single news.
            node.taught = True
            table = next(n for n in self.news if n.receiver_id == node.node_id)
            self.news.remove(table)
            self._take_news(table)
        if chosen in self.news:
            self.news.remove(chosen)
            self._take_news(chosen)

    def _take_news(self, news: ViewNews) -> None:
        node = self.nodes_by_id.get(news.receiver_id)
        if node is None:
            return
        fresh = [
            member
            for member in news.members
            if is_newer(member, node.members_by_id.get(member.member_id))
            or (member.member_id == node.node_id and node.version == 0)
        ]
        if not fresh:
            return
        node.members_by_id.update({member.member_id: member for member in fresh})
        node.version += 1
        view = make_view(
            version=node.version,
            services=self.services_by_id.values() if node.taught else (),
            members=node.members_by_id.values(),
        )
        node.chooser.update(view)
        if node.router is not None:
            self._carry_out(node, node.router.update(view, now=self.now))

    def _deliver_late(self) -> None:
        for news in tuple(self.news):
            if self.now - news.sent_at >= VIEW_DELAY_MAXIMUM:
                self._take_news_for(news)
        while self.messages:
            if self.now - self.messages[0].sent_at < MESSAGE_DELAY_MAXIMUM:
                return
            self.deliver(0)

    def _post(self, receiver_id: str, content: Envelope | FlowNotes) -> None:
        self.messages.append(Message(receiver_id, content, self.now))

    def _live_owner(self, flow: Flow) -> Node | None:
        if flow.owner is None:
            return None
        member_id, incarnation = flow.owner
        node = self.nodes_by_id.get(member_id)
        if node is None or self.truth_by_id[member_id].incarnation != incarnation:
            return None
        return node

    def _carry_out(self, node: Node, actions: Iterable[FlowAction]) -> None:
        for action in actions:
            if isinstance(action, DeliverToFlow):
                self._delivered(node, action)
            elif isinstance(action, ForwardToAgent):
                self._post(action.agent.member_id, action.envelope)
            elif isinstance(action, SendNotes):
                self.notes_sent += 1
                self._count_bytes(node.node_id, action.notes)
                self._post(action.agent.member_id, action.notes)
            elif isinstance(action, DropEnvelope):
                count = self.drops_by_kind.get(action.error, 0)
                self.drops_by_kind[action.error] = count + 1

    def _delivered(self, node: Node, action: DeliverToFlow) -> None:
        flow = self.flows[action.packet.caller.port - 1024]
        member = self.truth_by_id[node.node_id]
        self.delivered += 1
        drained_at = self.draining_since_by_id.get(node.node_id)
        if action.is_new and drained_at is not None and self.now - drained_at > 3.0:
            self.late_flows.append(f"{node.node_id} takes a flow at {self.now:.2f}")
        if member.upstream_class != flow.service.upstream_class:
            self.misdelivered += 1
        if flow.ended_at is not None:
            # A late copy began it anew; it will be idle and end again.
            assert node.router is not None
            node.router.on_flow_ended(flow.digest, now=self.now)
            return
        here = (node.node_id, member.incarnation)
        moved = self._live_owner(flow) is not None and flow.owner != here
        if moved and not flow.contested:
            self.planned_breaks.append(f"{flow.owner} -> {here} at {self.now:.2f}")
        if flow.owner != here:
            self.created += 1
        flow.owner = here
