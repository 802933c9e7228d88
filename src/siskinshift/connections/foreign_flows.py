"""Caches which flows an agent's upstream certainly does not hold."""

from __future__ import annotations


# A flow that the upstream returned counts as foreign for this time without a new probe.
FOREIGN_TTL_SECONDS = 10.0
# Limits the memory of the cache.
MAX_FOREIGN_FLOWS = 20_000


class ForeignFlows:
    """Flows for which an agent need not probe its upstream.

    Attributes:
        treats_unknown_as_foreign: Whether the agent tracks all flows of its upstream,
            so that every other flow is foreign.
    """

    def __init__(self) -> None:
        """Initializes an empty cache."""
        self.treats_unknown_as_foreign = False
        self._expires_at_by_flow: dict[bytes, float] = {}

    def has(self, flow: bytes, *, now: float) -> bool:
        """Returns whether a flow that the agent does not track is foreign.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        return (
            self.treats_unknown_as_foreign
            or self._expires_at_by_flow.get(flow, 0.0) > now
        )

    def mark(self, flow: bytes, *, now: float) -> None:
        """Marks a flow that the upstream does not hold.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        if len(self._expires_at_by_flow) < MAX_FOREIGN_FLOWS:
            self._expires_at_by_flow[flow] = now + FOREIGN_TTL_SECONDS

    def discard(self, flow: bytes) -> None:
        """Removes a flow that the upstream holds after all.

        Args:
            flow: The flow.
        """
        self._expires_at_by_flow.pop(flow, None)

    def sweep(self, *, now: float) -> None:
        """Removes expired entries.

        Args:
            now: Clock reading, seconds.
        """
        self._expires_at_by_flow = {
            flow: expires_at
            for flow, expires_at in self._expires_at_by_flow.items()
            if expires_at > now
        }
