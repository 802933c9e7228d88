"""Stores the flows that an agent tracks for its upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.owned_flow import LongLivedFlow
from siskinshift.connections.owned_flow import OwnedFlow


if TYPE_CHECKING:
    from siskinshift.connections.owned_flow import RestoredFlow
    from siskinshift.connections.scheduling.agent_requests import AgentRequests


# Ended flows are kept this long for delayed retransmissions of their last packets.
LINGER_SECONDS = 3.0
# A flow of this age is one that its caller keeps open for many requests.
LONG_LIVED_AFTER_SECONDS = 1.5
# Flows without packets are dropped after this; flows last a minute at most.
IDLE_TIMEOUT_SECONDS = 90.0
# FIN of the caller (1) and of the upstream (2).
BOTH_FINS = 3


class OwnedFlows:
    """Flows of one upstream by key, and the number of open ones.

    Attributes:
        open_count: Number of flows that have not ended.
    """

    def __init__(self, requests: AgentRequests) -> None:
        """Initializes an empty store.

        Args:
            requests: The requests; those of ended flows are removed.
        """
        self.open_count = 0
        self._requests = requests
        self._flows_by_key: dict[bytes, OwnedFlow] = {}

    def __contains__(self, key: bytes) -> bool:
        return key in self._flows_by_key

    def get(self, key: bytes) -> OwnedFlow | None:
        """Returns the state of a flow, or None if it is unknown.

        Args:
            key: Key of the flow.
        """
        return self._flows_by_key.get(key)

    def add(self, key: bytes, *, now: float) -> OwnedFlow:
        """Adds an open flow, in place of an earlier one of the same addresses.

        Args:
            key: Key of the flow.
            now: Clock reading, seconds.

        Returns:
            The state of the flow.
        """
        flow = OwnedFlow(now, now)
        earlier = self._flows_by_key.get(key)
        if earlier is not None:
            flow.earlier_sequence = earlier.initial_sequence
            if not earlier.ended_at:
                self.end(key, earlier, now=now)
        self._flows_by_key[key] = flow
        self.open_count += 1
        return flow

    def connection_count(self, *, now: float) -> int:
        """Returns the number of open flows that callers use or may still confirm.

        The losers of hedged openings are never confirmed, and stay until
        `IDLE_TIMEOUT_SECONDS`.

        Args:
            now: Clock reading, seconds.
        """
        return sum(
            flow.is_opening(now=now) or (not flow.ended_at and flow.is_in_use)
            for flow in self._flows_by_key.values()
        )

    def restore(self, restored: RestoredFlow, *, now: float) -> None:
        """Adds a flow of the previous process.

        Args:
            restored: The flow.
            now: Clock reading, seconds.
        """
        segment = restored.segment
        flow = self.add(segment.flow, now=now)
        flow.last_balancer = restored.last_balancer
        flow.adopt_at(segment.ack)
        flow.is_confirmed = True
        flow.acknowledged = segment.ack
        flow.verification_packet = segment.datagram

    def end(self, key: bytes, flow: OwnedFlow, *, now: float) -> None:
        """Marks a flow as ended; its state is kept for `LINGER_SECONDS`.

        Args:
            key: Key of the flow.
            flow: State of the flow.
            now: Clock reading, seconds.
        """
        self._requests.finish(key, now=now)
        if flow.ended_at:
            return
        flow.ended_at = now
        self.open_count -= 1

    def end_if_closed(self, key: bytes, flow: OwnedFlow, *, now: float) -> None:
        """Ends a flow if both sides have sent FIN; see `end`."""
        if flow.fins_seen == BOTH_FINS:
            self.end(key, flow, now=now)

    def end_all(self, *, now: float) -> list[tuple[bytes, OwnedFlow]]:
        """Ends and removes all flows.

        Args:
            now: Clock reading, seconds.

        Returns:
            The flows that were open.
        """
        open_flows = [
            (key, f) for key, f in self._flows_by_key.items() if not f.ended_at
        ]
        for key, flow in open_flows:
            self.end(key, flow, now=now)
        self._flows_by_key.clear()
        return open_flows

    def remove(self, key: bytes, *, now: float) -> None:
        """Ends and removes a flow.

        Args:
            key: Key of the flow.
            now: Clock reading, seconds.
        """
        self.end(key, self._flows_by_key[key], now=now)
        del self._flows_by_key[key]

    def sweep(self, *, now: float) -> None:
        """Removes flows that ended or became idle a while ago.

        Args:
            now: Clock reading, seconds.
        """
        for key, flow in tuple(self._flows_by_key.items()):
            if flow.ended_at and now - flow.ended_at > LINGER_SECONDS:
                del self._flows_by_key[key]
            elif now - flow.used_at > IDLE_TIMEOUT_SECONDS:
                self.remove(key, now=now)

    def verification_packets(self) -> list[bytes]:
        """Returns the verification packet of each open flow that has one."""
        return [
            f.verification_packet
            for f in self._flows_by_key.values()
            if _can_be_verified(f)
        ]

    def long_lived_flows(self, *, now: float) -> list[LongLivedFlow]:
        """Returns the long-lived flows that can be verified.

        Args:
            now: Clock reading, seconds.

        Returns:
            The flows, each with its verification packet.
        """
        return [
            LongLivedFlow(flow.verification_packet, flow.last_balancer)
            for flow in self._flows_by_key.values()
            if _can_be_verified(flow)
            and now - flow.opened_at > LONG_LIVED_AFTER_SECONDS
        ]

    def flows_via(self, balancer: tuple[str, int]) -> list[bytes]:
        """Returns the open flows whose newest packet came from a balancer.

        Args:
            balancer: Address of the balancer.

        Returns:
            Keys of the flows.
        """
        return [
            key
            for key, flow in self._flows_by_key.items()
            if flow.last_balancer == balancer
            and flow.is_confirmed
            and not flow.ended_at
        ]


def _can_be_verified(flow: OwnedFlow) -> bool:
    return bool(flow.verification_packet) and not flow.ended_at
