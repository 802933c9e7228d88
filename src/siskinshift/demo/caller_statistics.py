"""Collects what callers and operators observe in a demo, independently of the nodes."""

from __future__ import annotations

import threading
from collections import Counter

from attrs import define
from attrs import field


@define(eq=False)
class CallerStatistics:
    """Results of all callers; its methods are thread-safe.

    Attributes:
        counts: Number of events by name.
        answered: Ids of requests with a complete response.
        not_run: Ids of requests with the outcome "not run".
        unknown: Ids of requests with an unknown outcome.
        broken_owners: Owner of each broken flow.
        config_seconds: Seconds from the acceptance of a configuration change until it
            was in force, for each balancer and change.
        misdelivered: Responses and replies from an upstream of another service.
    """

    counts: Counter[str] = field(factory=Counter)
    answered: set[str] = field(factory=set)
    not_run: set[str] = field(factory=set)
    unknown: set[str] = field(factory=set)
    broken_owners: list[str] = field(factory=list)
    config_seconds: list[float] = field(factory=list)
    misdelivered: list[str] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def add(self, name: str, amount: int = 1) -> None:
        """Counts an event.

        Args:
            name: Name of the event.
            amount: Number of occurrences.
        """
        with self._lock:
            self.counts[name] += amount

    def record_broken_flow(self, owner: str, reason: str) -> None:
        """Records a flow that its caller did not end.

        Args:
            owner: Upstream that owned the flow; empty if it was never established.
            reason: What the caller observed.
        """
        with self._lock:
            if owner:
                self.broken_owners.append(owner)
            else:
                self.counts["flows_not_established"] += 1
            self.counts[f"ended.{reason}"] += 1

    def check_upstream(self, service_id: str, upstream: str) -> None:
        """Records a misdelivery if the upstream belongs to another service.

        Args:
            service_id: Service that the caller requested.
            upstream: Name of the upstream in the response or reply.
        """
        if not upstream.startswith(service_id):
            with self._lock:
                self.misdelivered.append(f"{service_id}: {upstream}")
