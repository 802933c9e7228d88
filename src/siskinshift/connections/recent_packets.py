"""Packets that a balancer sent to agents a moment ago, for an agent that restarts.

Pattern: an agent restarts beside a living upstream, planned or killed, and is away for
half a second to a second. Callers' packets of that time are lost, and callers send
them again after 0.2, 0.4, 0.8 s: a request that came early in the gap waits for the
next copy although the agent is back. Sent again at once they cost the caller the gap
and no more; an upstream that has them already takes them as copies.
"""

from __future__ import annotations

from collections import deque

from attrs import frozen


# An agent is back within a second; callers have sent older packets again by then.
KEEP_SECONDS = 1.5
# 1.2 KB each, so 0.6 MB at most; a balancer of the largest fleet passes on about 500
# packets with data in that time.
PACKETS_MAXIMUM = 512


@frozen
class _Sent:
    sent_at: float
    member_id: str
    datagram: bytes


class RecentPackets:
    """A bounded list of the last packets with data."""

    def __init__(self) -> None:
        self._sent: deque[_Sent] = deque(maxlen=PACKETS_MAXIMUM)

    def add(self, member_id: str, datagram: bytes, *, now: float) -> None:
        """Remembers a packet.

        Args:
            member_id: The agent it was sent to.
            datagram: The packet.
            now: Clock reading, seconds.
        """
        self._sent.append(_Sent(now, member_id, datagram))

    def take(self, member_id: str, *, since: float, now: float) -> list[bytes]:
        """Gives what an agent may have missed, once.

        Args:
            member_id: The agent.
            since: When it was last heard, seconds.
            now: Clock reading, seconds.

        Returns:
            The packets, oldest first.
        """
        after = max(since, now - KEEP_SECONDS)
        missed = [
            sent.datagram
            for sent in self._sent
            if sent.member_id == member_id and sent.sent_at >= after
        ]
        self._sent = deque(
            (sent for sent in self._sent if sent.member_id != member_id),
            maxlen=PACKETS_MAXIMUM,
        )
        return missed
