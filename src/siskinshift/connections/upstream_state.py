"""The upstream beside an agent, as its heartbeats tell of it.

Each start of an upstream is an incarnation: an id, which a later start may have again,
and the time of its start. Heartbeats may be late: one of an incarnation that has ended
must not bring it back, and an older one of the same incarnation must not undo that it
is leaving. Numbers of heartbeats begin anew with each incarnation.
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


# Heartbeats missed after which the upstream counts as silent: new flows go elsewhere
# while it is not known whether it lives.
MISSED_HEARTBEATS = 3
# Ended incarnations remembered; heartbeats are late by seconds, and an upstream does
# not start this often within them.
ENDED_KEPT = 64
# Weight while the upstream says that it is still cold: work takes about 1.6 times as
# long then.
COLD_WEIGHT = FULL_WEIGHT * 5 // 8


@frozen
class Heartbeat:
    """What an upstream says of itself.

    Attributes:
        incarnation: The start that speaks.
        service_id: The service it belongs to.
        sequence: Raised with each heartbeat.
        slots: Requests it runs at once.
        is_leaving: Whether it will end soon.
        cold_seconds: How much longer it is slow after its start.
    """

    incarnation: Incarnation
    service_id: str
    sequence: int
    slots: int
    is_leaving: bool
    cold_seconds: float


@frozen
class Deregistration:
    """An upstream says that it ends now.

    Attributes:
        incarnation: The start that ends.
    """

    incarnation: Incarnation


class HeartbeatEffect(Enum):
    """What a heartbeat has changed.

    REPLACED: another incarnation than before runs, whose flows are its own. IGNORED:
    it is not a word of the present incarnation, or an old one.
    """

    NONE = auto()
    CHANGED = auto()
    REPLACED = auto()
    IGNORED = auto()


class UpstreamState:
    """The upstream's incarnation and state.

    Attributes:
        incarnation: Present one; None before the first heartbeat.
        service_id: Service of the upstream, by the settings.
        slots: Requests it runs at once.
        is_leaving: Whether the present incarnation said that it leaves.
        is_gone: Whether it said that it ends.
    """

    def __init__(self, *, service_id: str, heartbeat_interval: float) -> None:
        """Knows of no incarnation yet.

        Args:
            service_id: Service by the settings.
            heartbeat_interval: Seconds between two heartbeats.
        """
        self.incarnation: Incarnation | None = None
        self.service_id = service_id
        self.slots = 1
        self.is_leaving = False
        self.is_gone = False
        self._silence = MISSED_HEARTBEATS * heartbeat_interval
        self._sequence = -1
        self._heard_at = float("-inf")
        self._signed_at = float("-inf")
        self._cold_until = float("-inf")
        self._presumed_cold_until = float("-inf")
        self._ended: OrderedDict[Incarnation, None] = OrderedDict()

    @property
    def upstream_id(self) -> str:
        """Id of the present incarnation; empty before the first heartbeat."""
        return self.incarnation.upstream_id if self.incarnation else ""

    def on_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> HeartbeatEffect:
        """Takes a heartbeat.

        Args:
            heartbeat: The heartbeat.
            now: Clock reading, seconds.

        Returns:
            What it has changed.
        """
        if heartbeat.service_id != self.service_id:
            # Not a word of the upstream on this instance: it would take its place
            # and serve nobody, since balancers ask for the service of the settings.
            return HeartbeatEffect.IGNORED
        effect = HeartbeatEffect.NONE
        if self.incarnation is None:
            effect = HeartbeatEffect.CHANGED
        elif heartbeat.incarnation != self.incarnation:
            effect = HeartbeatEffect.REPLACED
        elif heartbeat.sequence <= self._sequence:
            return HeartbeatEffect.IGNORED
        if effect is not HeartbeatEffect.NONE:
            if not self._may_begin(heartbeat.incarnation, now=now):
                return HeartbeatEffect.IGNORED
            self._begin(heartbeat.incarnation)
        before = (self.slots, self.is_leaving, self.accepts(now=now))
        self._sequence = heartbeat.sequence
        self._heard_at = now
        self._cold_until = now + heartbeat.cold_seconds
        self._presumed_cold_until = float("-inf")
        self.slots = heartbeat.slots
        self.is_leaving = self.is_leaving or heartbeat.is_leaving
        after = (self.slots, self.is_leaving, self.accepts(now=now))
        if effect is HeartbeatEffect.NONE and before != after:
            return HeartbeatEffect.CHANGED
        return effect

    def on_sign_of_life(self, *, now: float) -> None:
        """Takes note that the upstream's process answers.

        Counts until the first heartbeat alone. An agent that starts beside a running
        upstream waits for that for 0.77 s at the users' sites, and meanwhile callers
        would be turned away beside a free upstream. One that leaves says so again in
        that heartbeat, and serves what it has taken until then.

        Args:
            now: Clock reading, seconds.
        """
        self._signed_at = now

    def on_end(self, ending: Incarnation) -> bool:
        """Takes note that an incarnation ends of its own accord.

        Args:
            ending: The incarnation.

        Returns:
            Whether it is the present one. A notice that does not tell its start is
            taken for the present one's only when that has said that it leaves: a
            late notice of a start before would put an end to a living upstream.
        """
        if self.incarnation is None:
            # Its end came before any heartbeat: the agent has restarted meanwhile.
            self.incarnation = ending
        relation = ending.relation_to(self.incarnation)
        is_present = relation is Relation.SAME
        if relation is Relation.UNTOLD:
            is_present = self.is_leaving
        self._remember_ended(self.incarnation if is_present else ending)
        if not is_present:
            return False
        self.is_leaving = True
        self.is_gone = True
        return True

    def accepts(self, *, now: float) -> bool:
        """Says whether the upstream may get new flows.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether it is known, not leaving and heard lately.
        """
        return self.state(now=now) is MemberState.READY

    def can_be_asked(self, *, now: float) -> bool:
        """Says whether an incarnation is there that can be asked about its flows.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether one is known, also while it leaves, or its process answers.
        """
        return self.incarnation is not None or self.accepts(now=now)

    def state(self, *, now: float) -> MemberState:
        """Names the state that peers are told.

        Args:
            now: Clock reading, seconds.

        Returns:
            JOINING before the first sign of life and while it is silent.
        """
        if self.is_leaving:
            return MemberState.DRAINING
        heard_at = self._heard_at if self.incarnation else self._signed_at
        if now - heard_at > self._silence:
            return MemberState.JOINING
        return MemberState.READY

    def weight(self, *, now: float) -> int:
        """Gives the part of new flows that the upstream should get.

        Args:
            now: Clock reading, seconds.

        Returns:
            Thousandths of a warm upstream's; one that has not told counts as cold.
        """
        is_cold = self.incarnation is None or now < self._cold_until
        return COLD_WEIGHT if is_cold else FULL_WEIGHT

    def may_be_cold(self, *, now: float) -> bool:
        """Says whether the upstream may still be slow after its start.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether it reported so, has not reported yet, or is presumed to be.
        """
        is_warm = self.weight(now=now) == FULL_WEIGHT
        return not is_warm or now < self._presumed_cold_until

    def presume_cold(self, *, now: float) -> None:
        """Takes the upstream for cold until its next heartbeat.

        Args:
            now: Clock reading, seconds.
        """
        self._presumed_cold_until = now + self._silence

    def _may_begin(self, speaking: Incarnation, *, now: float) -> bool:
        """Says whether another start than the present one may take its place.

        Guards against late words of a start that is over: they would undo what the
        present one said, and its flows would be asked for in vain. A later start
        whose time of day is behind looks just like them, but does not stop to speak
        while the one before it is silent: then it is believed, so that a clock that
        jumped back costs three heartbeats and not the upstream.
        """
        if speaking in self._ended:
            return False
        if self.incarnation is None:
            return True
        relation = speaking.relation_to(self.incarnation)
        if relation is Relation.EARLIER:
            return now - self._heard_at > self._silence
        return relation is Relation.LATER

    def _begin(self, incarnation: Incarnation) -> None:
        if self.incarnation is not None:
            self._remember_ended(self.incarnation)
        self.incarnation = incarnation
        self.is_leaving = False
        self.is_gone = False
        self._sequence = -1

    def _remember_ended(self, incarnation: Incarnation) -> None:
        self._ended[incarnation] = None
        while len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)
