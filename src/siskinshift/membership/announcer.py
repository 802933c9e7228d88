"""Sends the heartbeats of an agent or balancer to its watchers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash
from attrs import define

from siskinshift.core.endpoints import format_endpoint
from siskinshift.membership.actions import Call
from siskinshift.membership.ordering import own_version_above
from siskinshift.membership.table import format_hash
from siskinshift.membership.table import stamp_of
from siskinshift.messages.membership import Heartbeat
from siskinshift.messages.membership import Stamp


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import MemberState
    from siskinshift.settings.generated import MembershipSettings


# A lost heartbeat is sent again soon: three attempts fit into the failure timeout.
RETRY_SECONDS = 0.05
QUICK_RETRIES = 2
MAX_BACKOFF_SECONDS = 4.0
# Shortens each interval at random, so that members that started together spread out.
INTERVAL_JITTER = 0.1


@define(eq=False)
class _Target:
    next_at: float
    failures: int = 0
    in_flight: bool = False
    acknowledged: Stamp | None = None


def hash_watchers(endpoints: Iterable[Endpoint]) -> str:
    """Hashes a set of watchers independently of their order.

    Args:
        endpoints: Their control endpoints.

    Returns:
        The hash as text.
    """
    text = "\n".join(sorted(format_endpoint(endpoint) for endpoint in endpoints))
    return format_hash(xxhash.xxh3_64_intdigest(text.encode()))


class Announcer:
    """Schedules and builds the heartbeats to each watcher.

    Attributes:
        own: State that the process announces of itself.
    """

    def __init__(
        self, *, own: Member, settings: MembershipSettings, random: random.Random
    ) -> None:
        """Initializes an announcer without watchers; seeds reply with them.

        Args:
            own: State of the process.
            settings: Intervals and seeds, which are balancers to contact first.
            random: Source of jitter.
        """
        self.own = attrs.evolve(own, version=own_version_above(0))
        self._settings = settings
        self._random = random
        self._seeds = tuple(seed for seed in settings.seeds if seed != own.control)
        self._targets_by_endpoint: dict[Endpoint, _Target] = {}
        self._watchers_hash = ""
        self._seed_at: float | None = None
        self._seed_failures = 0
        self._queried_seed: Endpoint | None = None

    @property
    def watchers(self) -> tuple[Endpoint, ...]:
        """Watchers that heartbeats are sent to."""
        return tuple(self._targets_by_endpoint)

    def change(
        self,
        *,
        state: MemberState,
        weight: int,
        now: float,
        entry_slot: int | None = None,
    ) -> None:
        """Changes the own state and sends it to every watcher at once.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
            now: Clock reading, seconds.
            entry_slot: New revision of the entry slot held, 0 for none; None leaves it
                unchanged.
        """
        self.own = attrs.evolve(
            self.own,
            state=state,
            weight=weight,
            version=own_version_above(self.own.version),
            entry_slot=self.own.entry_slot if entry_slot is None else entry_slot,
        )
        self._schedule_all(now)

    def refute(self, known: Stamp, *, now: float) -> bool:
        """Refutes a newer state that peers have of this process.

        Peers may have expelled this live member, or the clock of an earlier process
        of the same name may have run ahead. Peers would then ignore all states of
        this process, so its own state is raised above the one that they have.

        Args:
            known: Stamp of the state that peers have.
            now: Clock reading, seconds.

        Returns:
            Whether the own state had to change.
        """
        known_version = (known.incarnation, known.version)
        if known_version <= (self.own.incarnation, self.own.version):
            return False
        if known.incarnation == self.own.incarnation:
            version = own_version_above(known.version)
            self.own = attrs.evolve(self.own, version=version)
        else:
            self.own = attrs.evolve(self.own, incarnation=known.incarnation + 1)
        self._schedule_all(now)
        return True

    def set_watchers(self, endpoints: Iterable[Endpoint], *, now: float) -> None:
        """Replaces the watchers that heartbeats are sent to.

        Args:
            endpoints: Their control endpoints.
            now: Clock reading, seconds.
        """
        wanted = [endpoint for endpoint in endpoints if endpoint != self.own.control]
        targets = self._targets_by_endpoint
        interval = self._settings.heartbeat_interval
        current_targets = {endpoint: targets.get(endpoint) for endpoint in wanted}
        # The first heartbeats to new watchers are spread over a quarter interval. When
        # a balancer fails, many members get the same new watcher, which would otherwise
        # receive all of them at once.
        self._targets_by_endpoint = {
            endpoint: target
            or _Target(next_at=now + self._random.uniform(0, interval / 4))
            for endpoint, target in current_targets.items()
        }
        self._watchers_hash = hash_watchers(self._targets_by_endpoint)

    def due(self, now: float, view_hash: str) -> list[Call]:
        """Returns the heartbeats to send now.

        Args:
            now: Clock reading, seconds.
            view_hash: Hash of an agent's records of its class; empty for a balancer.

        Returns:
            The calls.
        """
        calls = []
        for endpoint, target in self._targets_by_endpoint.items():
            if target.in_flight or target.next_at > now:
                continue
            target.in_flight = True
            calls.append(Call(endpoint, self._heartbeat(target, view_hash)))
        seed = self._due_seed(now)
        if seed is not None:
            calls.append(Call(seed, self._heartbeat(None, view_hash)))
        return calls

    def next_due(self) -> float:
        """Returns when `due` should be called next.

        Returns:
            Clock reading, seconds; infinity when nothing is scheduled.
        """
        times = [
            target.next_at
            for target in self._targets_by_endpoint.values()
            if not target.in_flight
        ]
        if self._queried_seed is None and self._is_seed_needed():
            times.append(self._seed_at or 0.0)
        return min(times, default=float("inf"))

    def on_reply(
        self,
        endpoint: Endpoint,
        heartbeat: Heartbeat,
        *,
        is_state_requested: bool,
        now: float,
    ) -> None:
        """Schedules the next heartbeat to a receiver that replied.

        Args:
            endpoint: The receiver.
            heartbeat: The heartbeat that it replied to.
            is_state_requested: Whether it requested the member's state.
            now: Clock reading, seconds.
        """
        if endpoint == self._queried_seed:
            self._queried_seed = None
            self._seed_failures = 0
            self._seed_at = now + self._settings.heartbeat_interval
        target = self._targets_by_endpoint.get(endpoint)
        if target is None or not target.in_flight:
            return
        target.in_flight = False
        target.failures = 0
        target.next_at = max(now, target.next_at + self._interval())
        if is_state_requested:
            target.acknowledged = None
            target.next_at = now
        elif heartbeat.member is not None:
            target.acknowledged = stamp_of(heartbeat.member)
        if target.acknowledged != stamp_of(self.own):
            target.next_at = now

    def on_failure(self, endpoint: Endpoint, *, now: float) -> None:
        """Schedules a retry to a receiver that did not reply.

        Args:
            endpoint: The receiver.
            now: Clock reading, seconds.
        """
        if endpoint == self._queried_seed:
            self._queried_seed = None
            self._seed_failures += 1
            self._seed_at = now + self._backoff(self._seed_failures)
        target = self._targets_by_endpoint.get(endpoint)
        if target is None or not target.in_flight:
            return
        target.in_flight = False
        target.failures += 1
        target.acknowledged = None
        target.next_at = now + self._backoff(target.failures)

    def _schedule_all(self, now: float) -> None:
        for target in self._targets_by_endpoint.values():
            target.next_at = now

    def _heartbeat(self, target: _Target | None, view_hash: str) -> Heartbeat:
        own = self.own
        is_acknowledged = target is not None and target.acknowledged == stamp_of(own)
        return Heartbeat(
            member_id=own.member_id,
            incarnation=own.incarnation,
            version=own.version,
            view_hash=view_hash,
            watchers_hash=self._watchers_hash,
            member=None if is_acknowledged else own,
        )

    def _is_seed_needed(self) -> bool:
        return bool(self._seeds) and all(
            target.failures > QUICK_RETRIES
            for target in self._targets_by_endpoint.values()
        )

    def _due_seed(self, now: float) -> Endpoint | None:
        if not self._is_seed_needed() or self._queried_seed is not None:
            return None
        if self._seed_at is None:
            # Spreads the first calls when a rack or a whole fleet starts at once.
            jitter = self._random.uniform(0, self._settings.start_jitter)
            self._seed_at = now + jitter
        if self._seed_at > now:
            return None
        self._queried_seed = self._random.choice(self._seeds)
        return self._queried_seed

    def _interval(self) -> float:
        shortened = 1.0 - self._random.uniform(0, INTERVAL_JITTER)
        return self._settings.heartbeat_interval * shortened

    def _backoff(self, failures: int) -> float:
        doublings = max(0, min(failures, 10) - QUICK_RETRIES)
        pause = min(RETRY_SECONDS * 2.0**doublings, MAX_BACKOFF_SECONDS)
        return pause * self._random.uniform(0.5, 1.0)
