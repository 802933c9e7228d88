"""Scenarios of the control benchmark, on one fleet in a row."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.bench.control_fleet import ControlFleet
from siskinshift.configuration.reading import CheckRoot
from siskinshift.configuration.reading import ConfigurationReading
from siskinshift.configuration.reading import OpenWatch
from siskinshift.configuration.reading import ReadAll
from siskinshift.kv.entry_slots import EntrySlots
from siskinshift.kv.entry_slots import KeepSlot
from siskinshift.kv.port import Lease
from siskinshift.membership.balancer import BalancerMembership
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from siskinshift.bench.control_costs import MessageCosts
    from siskinshift.bench.message_queue import QueuedProcess
    from siskinshift.settings.generated import KvSettings
    from siskinshift.settings.generated import MembershipSettings


STEP_SECONDS = 0.02
FAILURE_DOMAINS = 8
LOST_DOMAIN = "region-1/fd-2"
CUT_REGION = "region-2"
CUT_SECONDS = 15.0
MASS_RESTART_SECONDS = 30.0
KV_QUIET_SECONDS = 120.0


@frozen
class FleetPlan:
    """Size of a fleet and how much of it is played.

    Attributes:
        balancers: Number of balancers.
        agents: Number of agents.
        services: Number of services.
        seed: Seed of everything random.
        repeats: Changes and deaths played in each scenario.
    """

    balancers: int
    agents: int
    services: int
    seed: int
    repeats: int


@frozen
class ScenarioFigures:
    """What one scenario showed.

    Attributes:
        balancers: Size of the fleet.
        scenario: Name.
        in_force_seconds: Time until the last balancer knew, the worst repeat; -1 when
            not measured or not reached.
        balancer_kb_per_second: Bytes on the wire in and out of the mean balancer.
        busiest_kb_per_second: The same of the busiest balancer.
        agent_kb_per_second: The same of the mean agent.
        balancer_messages_per_second: Messages sent and received by the mean balancer.
        balancer_core_percent: Processor of that, by the cost of one message.
        kv_calls_per_second: Calls to the key-value service of the whole fleet.
        expelled_live: Live members expelled for silence in the scenario.
        note: What to know about it.
    """

    balancers: int
    scenario: str
    in_force_seconds: float = -1.0
    balancer_kb_per_second: float = 0.0
    busiest_kb_per_second: float = 0.0
    agent_kb_per_second: float = 0.0
    balancer_messages_per_second: float = 0.0
    balancer_core_percent: float = 0.0
    kv_calls_per_second: float = 0.0
    expelled_live: int = 0
    note: str = ""


class ControlScenarios:
    """Plays the scenarios on one fleet."""

    def __init__(
        self,
        plan: FleetPlan,
        *,
        settings: MembershipSettings,
        kv_settings: KvSettings,
        costs: MessageCosts,
    ) -> None:
        """Builds the fleet.

        Args:
            plan: Its size.
            settings: Settings of membership.
            kv_settings: Settings of the key-value service.
            costs: Measured cost of one message.
        """
        self._plan = plan
        self._kv_settings = kv_settings
        self._costs = costs
        self._random = Random(plan.seed)
        self._fleet = ControlFleet(
            balancers=plan.balancers,
            agents=plan.agents,
            services=plan.services,
            settings=settings,
            overhead=costs.overhead,
            seed=plan.seed,
        )

    def play(self) -> list[ScenarioFigures]:
        """Plays all scenarios in a row.

        Returns:
            Their figures.
        """
        self._fleet.run(3.0)
        figures: list[ScenarioFigures] = []
        for play_one in (
            self._quiet,
            partial(self._changes, "change, 0 % loss", 0.0),
            partial(self._changes, "change, 10 % loss", 0.1),
            self._deaths,
            self._lossy,
            self._lost_domain,
            self._mass_restart,
            self._cut_region,
        ):
            figures.append(play_one())
            print(f"# {figures[-1]}", flush=True)
        return figures

    def _quiet(self) -> ScenarioFigures:
        kv_calls = count_kv_calls(self._kv_settings, self._plan.balancers)
        return self._observe(
            "quiet", 5.0, lambda: self._fleet.run(5.0), kv_calls_per_second=kv_calls
        )

    def _changes(self, name: str, loss: float) -> ScenarioFigures:
        fleet = self._fleet
        fleet.queue.loss = loss
        times: list[float] = []

        def change_some() -> None:
            for repeat in range(self._plan.repeats):
                writer = self._random.choice(fleet.balancers)
                number = repeat % self._plan.services
                revision = fleet.change_service(writer, number)
                times.append(self._time_until_in_force(number, revision))
                fleet.run(0.5)

        note = f"median {{}} of {self._plan.repeats}"
        figures = self._observe(name, None, change_some)
        fleet.queue.loss = 0.0
        median = sorted(times)[len(times) // 2]
        return attrs.evolve(
            figures,
            in_force_seconds=max(times),
            note=note.format(f"{median:.2f} s"),
        )

    def _time_until_in_force(self, number: int, revision: int) -> float:
        service_id = f"service-{number:04}"

        def is_in_force() -> bool:
            return all(
                one.participant.table.services.services_by_id[service_id].revision
                >= revision
                for one in self._fleet.balancers
            )

        return self._time_until(is_in_force, 10.0)

    def _lossy(self) -> ScenarioFigures:
        self._fleet.queue.loss = 0.1
        seconds = 10.0
        figures = self._observe(
            "10 % loss for 10 s", seconds, lambda: self._fleet.run(seconds)
        )
        self._fleet.queue.loss = 0.0
        self._fleet.run(3.0)
        members = self._plan.balancers + self._plan.agents
        rate = figures.expelled_live / (members * seconds / 3600)
        return attrs.evolve(
            figures, note=f"{rate:.4f} false expulsions a member and hour"
        )

    def _deaths(self) -> ScenarioFigures:
        times: list[float] = []

        def kill_some() -> None:
            for _ in range(self._plan.repeats):
                victim = self._random.choice(self._fleet.agents)
                self._fleet.queue.kill(victim)
                times.append(self._time_until_gone([victim]))
                self._fleet.restart(victim)
                self._fleet.run(1.0)

        figures = self._observe("one agent dies", None, kill_some)
        median = sorted(times)[len(times) // 2]
        return attrs.evolve(
            figures, in_force_seconds=max(times), note=f"median {median:.2f} s"
        )

    def _time_until_gone(self, victims: Iterable[QueuedProcess]) -> float:
        ids = [one.participant.own.member_id for one in victims]

        def are_gone() -> bool:
            gone = MemberState.GONE
            return all(
                one.participant.table.members_by_id[member_id].state is gone
                for one in self._fleet.balancers
                if one.is_up
                for member_id in ids
            )

        return self._time_until(are_gone, 30.0, step=0.05)

    def _lost_domain(self) -> ScenarioFigures:
        fleet = self._fleet
        lost = [
            one
            for one in (*fleet.balancers, *fleet.agents)
            if one.domain == LOST_DOMAIN
        ]
        times: list[float] = []

        def lose_it() -> None:
            for one in lost:
                fleet.queue.kill(one)
            # A fifth of the lost is enough to tell when the views are right.
            times.append(self._time_until_gone(lost[::5]))
            fleet.run(5.0)
            for one in lost:
                fleet.restart(one)
            times.append(self._time_until_agreed(25.0))

        figures = self._observe("failure domain lost, back at once", None, lose_it)
        return attrs.evolve(
            figures,
            in_force_seconds=times[0],
            note=f"{len(lost)} members; agreed {times[1]:.1f} s after their return",
        )

    def _cut_region(self) -> ScenarioFigures:
        fleet = self._fleet
        times: list[float] = []

        def cut_it() -> None:
            fleet.queue.cut.add(CUT_REGION)
            for _ in range(self._plan.repeats):
                fleet.run(CUT_SECONDS / self._plan.repeats)
                fleet.restart(self._random.choice(fleet.agents))
                fleet.change_service(self._random.choice(fleet.balancers), 0)
            fleet.queue.cut.clear()
            times.append(self._time_until_agreed(20.0))

        figures = self._observe("region cut for 15 s", None, cut_it)
        return attrs.evolve(
            figures, in_force_seconds=times[0], note="time until merged"
        )

    def _mass_restart(self) -> ScenarioFigures:
        fleet = self._fleet
        agents = list(fleet.agents)
        self._random.shuffle(agents)
        times: list[float] = []

        def restart_all() -> None:
            pause = MASS_RESTART_SECONDS / len(agents)
            for agent in agents:
                fleet.restart(agent)
                fleet.run(pause)
            times.append(self._time_until_agreed(30.0))

        figures = self._observe("all agents restart within 30 s", None, restart_all)
        return attrs.evolve(
            figures,
            in_force_seconds=times[0],
            note="time from the last restart until all views agree",
        )

    def _time_until_agreed(self, limit: float) -> float:
        fleet = self._fleet

        def agree() -> bool:
            hashes = {
                one.participant.table.state_hash for one in fleet.balancers if one.is_up
            }
            if len(hashes) != 1:
                return False
            table = fleet.balancers[0].participant.table
            return all(
                table.members_by_id[one.participant.own.member_id]
                == one.participant.own
                for one in (*fleet.balancers, *fleet.agents)
            )

        return self._time_until(agree, limit, step=0.25)

    def _time_until(
        self, holds: Callable[[], bool], limit: float, *, step: float = STEP_SECONDS
    ) -> float:
        started = self._fleet.queue.now
        while not holds():
            if self._fleet.queue.now - started > limit:
                return -1.0
            self._fleet.run(step)
        return self._fleet.queue.now - started

    def _observe(
        self,
        scenario: str,
        seconds: float | None,
        play: Callable[[], None],
        *,
        kv_calls_per_second: float = 0.0,
    ) -> ScenarioFigures:
        fleet = self._fleet
        fleet.clear_counts()
        expelled_before = self._expelled()
        started = fleet.queue.now
        play()
        seconds = seconds or fleet.queue.now - started
        balancers = len(fleet.balancers)
        loads = [one.wire_bytes / seconds / 1000 for one in fleet.balancers]
        sent = sum(sum(one.sent.values()) for one in fleet.balancers)
        received = sum(sum(one.received.values()) for one in fleet.balancers)
        processor = (
            sent * self._costs.heartbeat_client
            + received * self._costs.heartbeat_server
        )
        return ScenarioFigures(
            balancers=self._plan.balancers,
            scenario=scenario,
            balancer_kb_per_second=sum(loads) / balancers,
            busiest_kb_per_second=max(loads),
            agent_kb_per_second=sum(one.wire_bytes for one in fleet.agents)
            / len(fleet.agents)
            / seconds
            / 1000,
            balancer_messages_per_second=(sent + received) / balancers / seconds,
            balancer_core_percent=processor / 1e6 / balancers / seconds * 100,
            kv_calls_per_second=kv_calls_per_second,
            expelled_live=self._expelled() - expelled_before,
        )

    def _expelled(self) -> int:
        """Expulsions of members that were up, by balancers that run now."""
        return sum(
            one.participant.expelled_count
            for one in self._fleet.balancers
            if isinstance(one.participant, BalancerMembership)
        )


def count_kv_calls(settings: KvSettings, balancers: int) -> float:
    """Plays the readers of the configuration over a quiet while.

    Args:
        settings: Slots, leases and intervals.
        balancers: Balancers of the fleet, dealt over the failure domains.

    Returns:
        Calls a second of all holders of entry slots; the others make none.
    """
    holders = min(balancers, FAILURE_DOMAINS * settings.entry_slots)
    calls = sum(_calls_of_holder(settings, Random(index)) for index in range(holders))
    return calls / KV_QUIET_SECONDS


def _calls_of_holder(settings: KvSettings, random: Random) -> int:
    slots = EntrySlots(settings, random=random)
    slots.on_taken(Lease(1, settings.lease_ttl), 1, asked_at=0.0)
    reading = ConfigurationReading(settings, random=random)
    calls = 0
    watched_at = 0.0
    for step in range(int(KV_QUIET_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        slot_action = slots.step(now=now)
        if isinstance(slot_action, KeepSlot):
            calls += 1
            slots.on_kept(settings.lease_ttl, asked_at=now, now=now)
        if now - watched_at > settings.watch_interval:
            reading.on_watch_ended()
            watched_at = now
        match reading.step(holds_slot=True, now=now):
            case ReadAll():
                calls += 1
                reading.on_read(root_revision=1, revision=1, now=now)
            case OpenWatch():
                calls += 1
                watched_at = now
            case CheckRoot():
                calls += 1
                reading.on_checked(root_revision=1)
    return calls
