"""Detects failed members by the age of their last message to this balancer.

A watched member that sends nothing is probed, then suspected, then expelled. Both
timeouts are stretched while a network partition is the likelier cause.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.settings.generated import MembershipSettings


# A member is late only after a heartbeat and one quick retry are missing.
LATE_INTERVALS = 1.3
# Fewer late members than this are unrelated failures, not a network partition.
MIN_PARTITION_MEMBERS = 3
# A member sends heartbeats to a new watcher only after another watcher has announced
# the new one to it.
TAKEOVER_GRACE_SECONDS = 2.5
# A longer pause between two checks means that this process itself was stopped;
# a shorter one is ordinary scheduling delay.
MAX_CHECK_PAUSE_SECONDS = 0.75
PROBE_INTERVAL_SECONDS = 0.3
# Time for the replies to the first probes to arrive.
PROBE_REPLY_SECONDS = 0.1
# Watchers exchange the age of a member's last message, and the delay of the reply
# makes that message seem more recent. Without this margin two watchers of a failed
# member would refresh each other's timestamp with every query.
LAST_SEEN_MARGIN_SECONDS = 0.25


@define(eq=False)
class _WatchedMember:
    domain: str
    last_seen_at: float
    has_been_seen: bool = False
    probed_at: float = float("-inf")
    first_probed_at: float | None = None
    suspected: bool = False


@frozen
class FailureVerdicts:
    """Result of a check.

    Attributes:
        probe: Members to probe.
        suspect: Members that became suspect.
        expel: Members to expel.
    """

    probe: tuple[str, ...]
    suspect: tuple[str, ...]
    expel: tuple[str, ...]


class FailureDetector:
    """Detects failures among the members that one balancer watches.

    If the watcher's own network or that of a whole failure domain is cut, most
    members appear to fail at once. They would all be expelled and would all rejoin at
    once afterwards. While half or more of a domain's watched members are late, the
    timeouts of that domain are multiplied by `doubt_factor`. They are multiplied for
    all members when half of all are late and these span two domains or more. A
    watcher of few members may not see enough of them to detect a partition, so the
    factor also applies to domains that the caller passes as mostly suspect.
    The time during which this process itself was stopped does not count.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Initializes a detector that watches no member.

        Args:
            settings: Timeouts.
        """
        self._settings = settings
        self._watched_by_id: dict[str, _WatchedMember] = {}
        self._checked_at: float | None = None

    @property
    def watched_ids(self) -> frozenset[str]:
        """Ids of the members being watched."""
        return frozenset(self._watched_by_id)

    def __contains__(self, member_id: str) -> bool:
        return member_id in self._watched_by_id

    def watch(self, member_id: str, *, domain: str, now: float) -> None:
        """Starts watching a member that has not sent this watcher a message yet.

        Args:
            member_id: The member.
            domain: Its region and failure domain.
            now: Clock reading, seconds.
        """
        if member_id not in self._watched_by_id:
            last_seen_at = now + TAKEOVER_GRACE_SECONDS
            self._watched_by_id[member_id] = _WatchedMember(
                domain=domain, last_seen_at=last_seen_at
            )

    def unwatch(self, member_id: str) -> None:
        """Stops watching a member.

        Args:
            member_id: The member.
        """
        self._watched_by_id.pop(member_id, None)

    def mark_seen(self, member_id: str, *, at: float) -> None:
        """Records that a member was alive; an older time than the last is ignored.

        Args:
            member_id: The member.
            at: When its message was received, clock reading, seconds.
        """
        watched = self._watched_by_id.get(member_id)
        if watched is None:
            return
        if (
            watched.has_been_seen
            and at <= watched.last_seen_at + LAST_SEEN_MARGIN_SECONDS
        ):
            return
        watched.last_seen_at = at
        watched.has_been_seen = True
        watched.suspected = False
        watched.first_probed_at = None

    def age(self, member_id: str, *, now: float) -> float | None:
        """Returns the age of a member's last message.

        Args:
            member_id: The member.
            now: Clock reading, seconds.

        Returns:
            Seconds, or None when this watcher never received a message from it.
        """
        watched = self._watched_by_id.get(member_id)
        if watched is None or not watched.has_been_seen:
            return None
        return max(0.0, now - watched.last_seen_at)

    def check(
        self, now: float, *, suspect_domains: frozenset[str] = frozenset()
    ) -> FailureVerdicts:
        """Checks all watched members against the timeouts.

        Args:
            now: Clock reading, seconds.
            suspect_domains: Domains most of whose members are suspect already.

        Returns:
            The verdicts; expelled members are no longer watched.
        """
        self._discount_own_pause(now)
        late = self._late_ids(now)
        if not late:
            return FailureVerdicts((), (), ())
        partitioned = self._partitioned_domains(late) | suspect_domains
        probe = self._ids_to_probe(late, now)
        suspect = []
        expel = []
        for member_id in late:
            watched = self._watched_by_id[member_id]
            if not _had_time_to_reply(watched, now):
                continue
            factor = (
                self._settings.doubt_factor if watched.domain in partitioned else 1.0
            )
            age = now - watched.last_seen_at
            if age >= self._settings.gone_after * factor:
                expel.append(member_id)
                del self._watched_by_id[member_id]
            elif age >= self._settings.suspect_after * factor:
                if not watched.suspected:
                    suspect.append(member_id)
                watched.suspected = True
        return FailureVerdicts(probe, tuple(suspect), tuple(expel))

    def _discount_own_pause(self, now: float) -> None:
        # Otherwise a process that was stopped for seconds would find every member
        # unresponsive when it resumes. The duration of the pause does not count.
        if self._checked_at is not None:
            pause = now - self._checked_at - MAX_CHECK_PAUSE_SECONDS
            if pause > 0:
                for watched in self._watched_by_id.values():
                    watched.last_seen_at += pause
        self._checked_at = now

    def _late_ids(self, now: float) -> list[str]:
        limit = now - self._settings.heartbeat_interval * LATE_INTERVALS
        return [
            member_id
            for member_id, watched in self._watched_by_id.items()
            if watched.last_seen_at < limit
        ]

    def _ids_to_probe(self, late: Iterable[str], now: float) -> tuple[str, ...]:
        probe = []
        for member_id in late:
            watched = self._watched_by_id[member_id]
            if now - watched.probed_at >= PROBE_INTERVAL_SECONDS:
                watched.probed_at = now
                if watched.first_probed_at is None:
                    watched.first_probed_at = now
                probe.append(member_id)
        return tuple(probe)

    def _partitioned_domains(self, late: list[str]) -> set[str]:
        watched_by_id = self._watched_by_id
        watched_by_domain = Counter(
            watched.domain for watched in watched_by_id.values()
        )
        late_by_domain = Counter(watched_by_id[member_id].domain for member_id in late)
        if len(late_by_domain) > 1 and _is_half_or_more(len(late), len(watched_by_id)):
            return set(watched_by_domain)
        return {
            domain
            for domain, count in late_by_domain.items()
            if _is_half_or_more(count, watched_by_domain[domain])
        }


def _had_time_to_reply(watched: _WatchedMember, now: float) -> bool:
    # If two heartbeats are lost in a row, the next check may find the member both late
    # and past the suspicion timeout before any probe was sent. At 10 % loss a fleet of
    # thousands would produce a hundred false suspicions a second.
    first = watched.first_probed_at
    return first is not None and now - first >= PROBE_REPLY_SECONDS


def _is_half_or_more(late: int, watched: int) -> bool:
    return late >= MIN_PARTITION_MEMBERS and late * 2 >= watched
