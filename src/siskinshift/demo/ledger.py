"""What callers and operators saw in a demo; the product has no hand in it."""

from __future__ import annotations

import threading
from collections import Counter

from attrs import define
from attrs import field


@define(eq=False)
class Ledger:
    """Counts that many callers add to.

    Attributes:
        counts: Events by name.
        answered: Request ids that got a whole answer.
        refused: Request ids that were answered "not run".
        unknown: Request ids whose outcome the caller does not know.
        broken_owners: Upstream that owned each flow that broke.
        config_seconds: Time from accepted to in force, for each balancer and change.
        misdelivered: Answers that came from an upstream of another service.
    """

    counts: Counter[str] = field(factory=Counter)
    answered: set[str] = field(factory=set)
    refused: set[str] = field(factory=set)
    unknown: set[str] = field(factory=set)
    broken_owners: list[str] = field(factory=list)
    config_seconds: list[float] = field(factory=list)
    misdelivered: list[str] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def add(self, name: str, amount: int = 1) -> None:
        """Counts an event.

        Args:
            name: Name of the event.
            amount: How often it happened.
        """
        with self._lock:
            self.counts[name] += amount

    def flow_ended(self, owner: str, how: str) -> None:
        """Records a flow that ended against its caller's will.

        Args:
            owner: Upstream that owned it; empty when it was never established.
            how: What the caller saw.
        """
        with self._lock:
            if owner:
                self.broken_owners.append(owner)
            else:
                self.counts["flows_not_established"] += 1
            self.counts[f"ended.{how}"] += 1

    def answered_by(self, service_id: str, upstream: str) -> None:
        """Checks that an answer comes from the service that was called.

        Args:
            service_id: Service called.
            upstream: Name of the upstream in the answer.
        """
        if not upstream.startswith(service_id):
            with self._lock:
                self.misdelivered.append(f"{service_id}: {upstream}")
