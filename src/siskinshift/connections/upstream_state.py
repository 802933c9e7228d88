"""Tracks the incarnation and state of an agent's upstream by its heartbeats.

Each start of an upstream is an incarnation: an id, which a later start may reuse, and
the time of the start. Heartbeats may be delayed: one of an ended incarnation must not
make it current again, and an older one of the same incarnation must not revert its
leaving state. Sequence numbers of heartbeats restart with each incarnation.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from enum import auto

from attrs import frozen

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.incarnation import Relation
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState


# Missed heartbeats after which the upstream counts as unresponsive: new flows go
# elsewhere until it responds again.
MAX_MISSED_HEARTBEATS = 3
# Ended and leaving incarnations kept, each. Heartbeats are delayed by seconds, and an
# upstream does not start this often within that time.
MAX_KNOWN_INCARNATIONS = 64
# Weight while the upstream reports that it is cold: requests take about 1.6 times as
# long then.
COLD_WEIGHT = FULL_WEIGHT * 5 // 8


@frozen
class Heartbeat:
    """A heartbeat of an upstream.

    Attributes:
        incarnation: Incarnation that sent it.
        service_id: Service of the upstream.
        sequence: Number that increases with each heartbeat.
        slots: Requests that the upstream runs at once.
        is_leaving: Whether the upstream is about to end.
        cold_seconds: Time for which the upstream remains slow after its start.
    """

    incarnation: Incarnation
    service_id: str
    sequence: int
    slots: int
    is_leaving: bool
    cold_seconds: float


@frozen
class Deregistration:
    """A notification that an upstream ends now.

    Attributes:
        incarnation: Incarnation that ends.
    """

    incarnation: Incarnation


class HeartbeatEffect(Enum):
    """Effect of a heartbeat on the state.

    REPLACED: another incarnation runs, which holds none of the earlier flows. IGNORED:
    the heartbeat is outdated or not of the current incarnation.
    """

    NONE = auto()
    CHANGED = auto()
    REPLACED = auto()
    IGNORED = auto()


class UpstreamState:
    """Incarnation and state of an upstream.

    Attributes:
        incarnation: Current incarnation; None before the first heartbeat.
        service_id: Service of the upstream, from the settings.
        slots: Requests that the upstream runs at once.
        is_leaving: Whether the current incarnation reported that it leaves.
        is_gone: Whether the current incarnation has deregistered.
        leaving_since: Time since which the current incarnation leaves, seconds; None
            before.
        leaving_heartbeats: Heartbeats of the current incarnation since then.
    """

    def __init__(self, *, service_id: str, heartbeat_interval: float) -> None:
        """Initializes the state without an incarnation.

        Args:
            service_id: Service of the upstream.
            heartbeat_interval: Seconds between two heartbeats.
        """
        self.incarnation: Incarnation | None = None
        self.service_id = service_id
        self.slots = 1
        self.is_leaving = False
        self.is_gone = False
        self.leaving_since: float | None = None
        self.leaving_heartbeats = 0
        self._heartbeat_timeout = MAX_MISSED_HEARTBEATS * heartbeat_interval
        self._sequence = -1
        self._last_heartbeat_at = float("-inf")
        self._reachable_since = float("inf")
        self._are_leaves_read = False
        # Incarnations that reported that they leave; none of them returns.
        self._leaving_incarnations: OrderedDict[Incarnation, None] = OrderedDict()
        self._leaves_read_at = float("-inf")
        self._cold_until = float("-inf")
        self._presumed_cold_until = float("-inf")
        self._ended: OrderedDict[Incarnation, None] = OrderedDict()

    @property
    def upstream_id(self) -> str:
        """Id of the current incarnation; empty before the first heartbeat."""
        return self.incarnation.upstream_id if self.incarnation else ""

    @property
    def leaving_incarnation(self) -> Incarnation | None:
        """Incarnation that leaves and has not deregistered; for any thread."""
        # Read once: another thread may replace it, and its successor does not leave.
        incarnation = self.incarnation
        is_leaving = incarnation in self._leaving_incarnations and not self.is_gone
        return incarnation if is_leaving else None

    def on_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> HeartbeatEffect:
        """Applies a heartbeat.

        Args:
            heartbeat: The heartbeat.
            now: Clock reading, seconds.

        Returns:
            Its effect.
        """
        if heartbeat.service_id != self.service_id:
            # Not sent by the upstream of this instance. It would replace that upstream
            # and get no flows, since balancers use the service of the settings.
            return HeartbeatEffect.IGNORED
        if heartbeat.is_leaving:
            # Also for a heartbeat that has no other effect.
            self._add(self._leaving_incarnations, heartbeat.incarnation)
        effect = HeartbeatEffect.NONE
        if self.incarnation is None:
            effect = HeartbeatEffect.CHANGED
        elif heartbeat.incarnation != self.incarnation:
            effect = HeartbeatEffect.REPLACED
        elif heartbeat.sequence <= self._sequence:
            return HeartbeatEffect.IGNORED
        if effect is not HeartbeatEffect.NONE:
            if not self._may_replace(heartbeat.incarnation, now=now):
                return HeartbeatEffect.IGNORED
            self._switch_to(heartbeat.incarnation)
        before = (self.slots, self.is_leaving, self.accepts(now=now))
        self._sequence = heartbeat.sequence
        self._last_heartbeat_at = now
        self._cold_until = now + heartbeat.cold_seconds
        self._presumed_cold_until = float("-inf")
        self.slots = heartbeat.slots
        is_leaving = heartbeat.incarnation in self._leaving_incarnations
        self.is_leaving = self.is_leaving or is_leaving
        if self.leaving_since is not None:
            self.leaving_heartbeats += 1
        elif self.is_leaving:
            self.leaving_since = now
        after = (self.slots, self.is_leaving, self.accepts(now=now))
        if effect is HeartbeatEffect.NONE and before != after:
            return HeartbeatEffect.CHANGED
        return effect

    def on_reachable(self, *, now: float) -> bool:
        """Records that the upstream's process is reachable.

        Used only until the first heartbeat. An agent that starts beside a running
        upstream waits 0.77 s for that heartbeat in the users' deployments, and callers
        would be refused meanwhile although the upstream is free. The upstream may also
        be leaving: without a heartbeat it gets new flows only once the recorded leaves
        have been read, and only for a limited time.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether this is the first contact with the process.
        """
        is_first = self._reachable_since == float("inf")
        self._reachable_since = min(self._reachable_since, now)
        return is_first

    def on_leaves_read(self, leaving: frozenset[Incarnation], *, now: float) -> None:
        """Applies the leaves that this agent has recorded, also in earlier processes.

        Args:
            leaving: Incarnations that leave.
            now: Clock reading, seconds.
        """
        self._are_leaves_read = True
        self._leaves_read_at = now
        for incarnation in leaving:
            self._add(self._leaving_incarnations, incarnation)
        if self.incarnation in leaving:
            self.is_leaving = True

    def on_process_gone(self) -> None:
        """Records that the upstream's process has ended."""
        self._reachable_since = float("inf")

    def on_deregistration(self, ended: Incarnation) -> bool:
        """Applies the planned end of an incarnation.

        Args:
            ended: The incarnation.

        Returns:
            Whether it is the current one. A deregistration without a start time
            applies to the current incarnation only if that has reported that it
            leaves: a delayed one of an earlier start would end a live upstream.
        """
        if self.incarnation is None:
            # No heartbeat has arrived yet, since the agent has restarted.
            self.incarnation = ended
        relation = ended.relation_to(self.incarnation)
        is_current = relation is Relation.SAME
        if relation is Relation.UNKNOWN:
            is_current = self.is_leaving
        self._add_ended(self.incarnation if is_current else ended)
        if not is_current:
            return False
        self.is_leaving = True
        self.is_gone = True
        return True

    def accepts(self, *, now: float) -> bool:
        """Returns whether the upstream may get new flows.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether it is known, responsive and not leaving.
        """
        return self.state(now=now) is MemberState.READY

    def can_verify_flows(self, *, now: float) -> bool:
        """Returns whether flows can be verified with the upstream.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether an incarnation is known, even a leaving one, or its process has been
            reached.
        """
        return self.incarnation is not None or self._reachable_since <= now

    def state(self, *, now: float) -> MemberState:
        """Returns the state that is reported to peers.

        Args:
            now: Clock reading, seconds.

        Returns:
            JOINING before the first contact and while the upstream is unresponsive.
            DRAINING also before the first heartbeat if an incarnation has left here,
            since it may be the one that is reachable.
        """
        may_be_leaving = self.incarnation is None and self._leaving_incarnations
        if self.is_leaving or may_be_leaving:
            return MemberState.DRAINING
        if self.incarnation is None and not self._are_leaves_read:
            return MemberState.JOINING
        since = self._last_heartbeat_at if self.incarnation else self._reachable_since
        if since <= now <= since + self._heartbeat_timeout:
            return MemberState.READY
        return MemberState.JOINING

    def weight(self, *, now: float) -> int:
        """Returns the weight of the upstream in the placement of new flows.

        Args:
            now: Clock reading, seconds.

        Returns:
            Thousandths of a warm upstream's share; it counts as cold before its first
            heartbeat.
        """
        is_cold = self.incarnation is None or now < self._cold_until
        return COLD_WEIGHT if is_cold else FULL_WEIGHT

    def may_be_cold(self, *, now: float) -> bool:
        """Returns whether the upstream may still be slow after its start.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether it reported so, has not reported yet, or is presumed to be cold.
        """
        is_warm = self.weight(now=now) == FULL_WEIGHT
        return not is_warm or now < self._presumed_cold_until

    def presume_cold(self, *, now: float) -> None:
        """Treats the upstream as cold until its next heartbeat.

        Args:
            now: Clock reading, seconds.
        """
        self._presumed_cold_until = now + self._heartbeat_timeout

    def _may_replace(self, candidate: Incarnation, *, now: float) -> bool:
        """Returns whether another incarnation may replace the current one.

        Delayed heartbeats of an ended start must not revert the state of the current
        one. A later start whose wall clock is behind looks like an earlier one, but
        keeps sending while the current one is unresponsive. It is accepted then, so
        that a clock that jumps back costs three heartbeats and not the upstream.

        A process does not know which incarnations ended before it started. While the
        current one leaves, another id must have started later: a delayed heartbeat of
        an ended incarnation would cancel the leave.
        """
        if candidate in self._ended:
            return False
        if self.incarnation is None:
            return self._may_be_first(candidate, now=now)
        relation = candidate.relation_to(self.incarnation)
        if now - self._last_heartbeat_at > self._heartbeat_timeout:
            return relation in (Relation.EARLIER, Relation.LATER)
        if self.is_leaving and not self.is_gone:
            return candidate.started_after(self.incarnation)
        return relation is Relation.LATER

    def _may_be_first(self, candidate: Incarnation, *, now: float) -> bool:
        """Returns whether a heartbeat may be the first one that this process applies.

        Beside a recorded leave it may be a delayed one of an ended incarnation. It is
        not if it reports a later start, or once the leaving incarnation is silent.
        """
        leaving = self._leaving_incarnations
        if not leaving or candidate in leaving:
            return True
        if all(candidate.started_after(incarnation) for incarnation in leaving):
            return True
        return now - self._leaves_read_at > self._heartbeat_timeout

    def _switch_to(self, incarnation: Incarnation) -> None:
        if self.incarnation is not None:
            self._add_ended(self.incarnation)
        self.incarnation = incarnation
        self.is_leaving = False
        self.is_gone = False
        self.leaving_since = None
        self.leaving_heartbeats = 0
        self._sequence = -1

    def _add_ended(self, incarnation: Incarnation) -> None:
        self._add(self._ended, incarnation)

    def _add(
        self, incarnations: OrderedDict[Incarnation, None], incarnation: Incarnation
    ) -> None:
        incarnations[incarnation] = None
        incarnations.move_to_end(incarnation)
        while len(incarnations) > MAX_KNOWN_INCARNATIONS:
            incarnations.popitem(last=False)
