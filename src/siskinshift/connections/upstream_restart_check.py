"""Whether the upstream that an agent first hears began after the process before it.

Pattern of load: all power is lost, and callers go on to use hundreds of flows that are
in no list. Each agent has to say that it does not hold them. One that can't tell
whether its upstream lived on has to hand each of them to the upstream to see; on links
of a few Mbit/s those packets alone leave the searches no room, and none of them ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.connections.incarnation import Incarnation
    from siskinshift.connections.upstream_life import Heartbeat


class UpstreamRestartCheck:
    """Compares the first heartbeat with the list that the process before wrote.

    An upstream that is another start than the list names, and still cold, holds no flow
    that this process has not seen: all flows of an upstream pass through its agent, and
    an agent names a new start in its list as soon as it hears of it. Without a list
    nothing is known: the process before may have ended before it wrote one.
    """

    def __init__(self) -> None:
        """Has neither a heartbeat nor a list."""
        self._heard: Heartbeat | None = None
        self._listed: Incarnation | None = None

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Takes a heartbeat; those after the first change nothing.

        Args:
            heartbeat: The heartbeat.

        Returns:
            Whether it is known now that its upstream is new.
        """
        if self._heard is not None:
            return False
        self._heard = heartbeat
        return self._is_new

    def on_snapshot_read(self, incarnation: Incarnation | None) -> bool:
        """Takes note of whose flows the list of the process before names.

        Args:
            incarnation: The start of the upstream; None if the list names none.

        Returns:
            Whether it is known now that the upstream is new.
        """
        self._listed = incarnation
        return self._is_new

    @property
    def _is_new(self) -> bool:
        if self._heard is None:
            return False
        is_other = self._listed not in (None, self._heard.incarnation)
        return is_other and self._heard.cold_seconds > 0
