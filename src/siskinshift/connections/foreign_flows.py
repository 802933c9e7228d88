"""Flows that an agent's upstream does not hold for certain."""

from __future__ import annotations


# How long a flow that the upstream returned counts as foreign without asking again.
FOREIGN_SECONDS = 10.0
# Flows remembered at most, so that memory stays bounded.
FOREIGN_MAXIMUM = 20_000


class ForeignFlows:
    """What an agent need not ask its upstream.

    Attributes:
        has_all_others: Whether the agent knows all flows of its upstream, so that each
            other one is foreign.
    """

    def __init__(self) -> None:
        """Knows of none."""
        self.has_all_others = False
        self._until_by_flow: dict[bytes, float] = {}

    def has(self, flow: bytes, *, now: float) -> bool:
        """Says whether a flow that the agent does not know is foreign.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        return self.has_all_others or self._until_by_flow.get(flow, 0.0) > now

    def mark(self, flow: bytes, *, now: float) -> None:
        """Takes note that the upstream does not hold a flow.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        if len(self._until_by_flow) < FOREIGN_MAXIMUM:
            self._until_by_flow[flow] = now + FOREIGN_SECONDS

    def discard(self, flow: bytes) -> None:
        """Takes note that the upstream holds a flow after all.

        Args:
            flow: The flow.
        """
        self._until_by_flow.pop(flow, None)

    def sweep(self, *, now: float) -> None:
        """Forgets what has to be asked again.

        Args:
            now: Clock reading, seconds.
        """
        self._until_by_flow = {
            flow: until for flow, until in self._until_by_flow.items() if until > now
        }
