"""Records when a datagram has left the balancer's link."""

from __future__ import annotations

from attrs import define


@define(eq=False)
class Departure:
    """Departure of one datagram.

    Attributes:
        left_at: When the link has sent the datagram, as computed from its rate, or when
            the scheduler dropped it, seconds; None while it waits.
        was_dropped: Whether the scheduler dropped the datagram.
    """

    left_at: float | None = None
    was_dropped: bool = False
