"""The upstream beside an agent, as its heartbeats tell of it.

Each start of an upstream is an incarnation with an id of its own. Heartbeats may be
late: one of an incarnation that has ended must not bring it back, and an older one of
the same incarnation must not undo that it is leaving.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from enum import auto

from attrs import frozen

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
        upstream_id: Its incarnation.
        service_id: The service it belongs to.
        sequence: Raised with each heartbeat.
        slots: Requests it runs at once.
        is_leaving: Whether it will end soon.
        cold_seconds: How much longer it is slow after its start.
    """

    upstream_id: str
    service_id: str
    sequence: int
    slots: int
    is_leaving: bool
    cold_seconds: float


class HeartbeatEffect(Enum):
    """What a heartbeat has changed.

    REPLACED: another incarnation than before runs, whose flows are its own.
    """

    NONE = auto()
    CHANGED = auto()
    REPLACED = auto()


class UpstreamLife:
    """The upstream's incarnation and state.

    Attributes:
        upstream_id: Present incarnation; empty before the first heartbeat.
        service_id: Service of the upstream.
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
        self.upstream_id = ""
        self.service_id = service_id
        self.slots = 1
        self.is_leaving = False
        self.is_gone = False
        self._silence = MISSED_HEARTBEATS * heartbeat_interval
        self._sequence = -1
        self._heard_at = float("-inf")
        self._signed_at = float("-inf")
        self._cold_until = float("-inf")
        self._ended: OrderedDict[str, None] = OrderedDict()

    def on_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> HeartbeatEffect:
        """Takes a heartbeat.

        Args:
            heartbeat: The heartbeat.
            now: Clock reading, seconds.

        Returns:
            What it has changed.
        """
        if heartbeat.upstream_id in self._ended:
            return HeartbeatEffect.NONE
        if heartbeat.upstream_id != self.upstream_id:
            effect = (
                HeartbeatEffect.REPLACED
                if self.upstream_id
                else HeartbeatEffect.CHANGED
            )
            self._begin(heartbeat)
        elif heartbeat.sequence <= self._sequence:
            return HeartbeatEffect.NONE
        else:
            effect = HeartbeatEffect.NONE
        before = (self.slots, self.is_leaving, self.accepts(now=now))
        self._sequence = heartbeat.sequence
        self._heard_at = now
        self._cold_until = now + heartbeat.cold_seconds
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

    def on_end(self, upstream_id: str) -> bool:
        """Takes note that an incarnation ends of its own accord.

        Args:
            upstream_id: The incarnation.

        Returns:
            Whether it is the present one.
        """
        self._remember_ended(upstream_id)
        if not self.upstream_id:
            # Its end came before any heartbeat: the agent has restarted meanwhile.
            self.upstream_id = upstream_id
        if upstream_id != self.upstream_id:
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
        return bool(self.upstream_id) or self.accepts(now=now)

    def state(self, *, now: float) -> MemberState:
        """Names the state that peers are told.

        Args:
            now: Clock reading, seconds.

        Returns:
            JOINING before the first sign of life and while it is silent.
        """
        if self.is_leaving:
            return MemberState.DRAINING
        heard_at = self._heard_at if self.upstream_id else self._signed_at
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
        is_cold = not self.upstream_id or now < self._cold_until
        return COLD_WEIGHT if is_cold else FULL_WEIGHT

    def _begin(self, heartbeat: Heartbeat) -> None:
        if self.upstream_id:
            self._remember_ended(self.upstream_id)
        self.upstream_id = heartbeat.upstream_id
        self.service_id = heartbeat.service_id
        self.is_leaving = False
        self.is_gone = False
        self._sequence = -1

    def _remember_ended(self, upstream_id: str) -> None:
        self._ended[upstream_id] = None
        while len(self._ended) > ENDED_KEPT:
            self._ended.popitem(last=False)
