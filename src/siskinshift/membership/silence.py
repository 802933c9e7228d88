"""Turns the silence of watched members into suspicion and expulsion."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.settings.generated import MembershipSettings


# A heartbeat and one quick retry may be missing before a member counts as late.
LATE_INTERVALS = 1.3
# Fewer late members than this are an ordinary day's failures, not a cut.
DOUBT_MINIMUM = 3
# A new watcher's member first has to hear of it from the others.
TAKEOVER_GRACE_SECONDS = 2.5
# Longest pause between two checks that is the machine's and not a stop.
PAUSE_SECONDS = 0.75
PROBE_PAUSE_SECONDS = 0.3
# Time for the answers to the first probes to come back.
PROBE_WAIT_SECONDS = 0.1
# Watchers tell each other how long a member has been silent, and the way of the answer
# makes its last sign seem later. Without this margin two watchers of a dead member
# would refresh each other's knowledge with every question.
SAME_SIGN_SECONDS = 0.25


@define(eq=False)
class _Watched:
    domain: str
    heard_at: float
    has_spoken: bool = False
    probed_at: float = float("-inf")
    first_probed_at: float | None = None
    suspected: bool = False


@frozen
class SilenceVerdicts:
    """What a check concluded.

    Attributes:
        probe: Members to ask for a sign of life.
        suspect: Members that are suspect now.
        expel: Members that are gone.
    """

    probe: tuple[str, ...]
    suspect: tuple[str, ...]
    expel: tuple[str, ...]


class SilenceWatch:
    """Judges the members that one balancer watches.

    It doubts itself. Failure: the watcher's own network, or that of a whole failure
    domain, is cut; most members seem to die at once and would all be expelled, to
    come back as a storm. While half or more of a domain's watched members are late,
    each silence is stretched by `doubt_factor`; so it is for all when half of all
    are late in two domains or more. A watcher of few members may see too few to
    tell; it doubts as well where the suspects that others named are most of a domain.
    A watcher that was stopped itself blames nobody for the time it slept.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Prepares a watch of nobody.

        Args:
            settings: Times of silence.
        """
        self._settings = settings
        self._watched_by_id: dict[str, _Watched] = {}
        self._checked_at: float | None = None

    @property
    def watched_ids(self) -> frozenset[str]:
        """Members watched now."""
        return frozenset(self._watched_by_id)

    def __contains__(self, member_id: str) -> bool:
        return member_id in self._watched_by_id

    def watch(self, member_id: str, *, domain: str, now: float) -> None:
        """Begins to watch a member that has not spoken to this watcher yet.

        Args:
            member_id: The member.
            domain: Its region and failure domain.
            now: Clock reading, seconds.
        """
        if member_id not in self._watched_by_id:
            heard_at = now + TAKEOVER_GRACE_SECONDS
            self._watched_by_id[member_id] = _Watched(domain=domain, heard_at=heard_at)

    def unwatch(self, member_id: str) -> None:
        """Ends the watch of a member.

        Args:
            member_id: The member.
        """
        self._watched_by_id.pop(member_id, None)

    def heard(self, member_id: str, *, at: float) -> None:
        """Takes a sign of life; one that is older than the last changes nothing.

        Args:
            member_id: The member.
            at: When it was given, clock reading, seconds.
        """
        watched = self._watched_by_id.get(member_id)
        if watched is None:
            return
        if watched.has_spoken and at <= watched.heard_at + SAME_SIGN_SECONDS:
            return
        watched.heard_at = at
        watched.has_spoken = True
        watched.suspected = False
        watched.first_probed_at = None

    def age(self, member_id: str, *, now: float) -> float | None:
        """Tells how long a member has been silent.

        Args:
            member_id: The member.
            now: Clock reading, seconds.

        Returns:
            Seconds, or None when it never spoke to this watcher.
        """
        watched = self._watched_by_id.get(member_id)
        if watched is None or not watched.has_spoken:
            return None
        return max(0.0, now - watched.heard_at)

    def check(
        self, now: float, *, doubted_elsewhere: frozenset[str] = frozenset()
    ) -> SilenceVerdicts:
        """Judges all watched members.

        Args:
            now: Clock reading, seconds.
            doubted_elsewhere: Domains most of whose members are suspect already.

        Returns:
            The verdicts; expelled members are no longer watched.
        """
        self._excuse_own_pause(now)
        late = self._late(now)
        if not late:
            return SilenceVerdicts((), (), ())
        doubted = self._doubted_domains(late) | doubted_elsewhere
        probe = self._to_probe(late, now)
        suspect = []
        expel = []
        for member_id in late:
            watched = self._watched_by_id[member_id]
            if not _had_time_to_answer(watched, now):
                continue
            factor = self._settings.doubt_factor if watched.domain in doubted else 1.0
            silence = now - watched.heard_at
            if silence >= self._settings.gone_after * factor:
                expel.append(member_id)
                del self._watched_by_id[member_id]
            elif silence >= self._settings.suspect_after * factor:
                if not watched.suspected:
                    suspect.append(member_id)
                watched.suspected = True
        return SilenceVerdicts(probe, tuple(suspect), tuple(expel))

    def _excuse_own_pause(self, now: float) -> None:
        # Failure: this process was stopped for seconds and finds every member
        # silent at its return. The time slept is not held against them.
        if self._checked_at is not None:
            slept = now - self._checked_at - PAUSE_SECONDS
            if slept > 0:
                for watched in self._watched_by_id.values():
                    watched.heard_at += slept
        self._checked_at = now

    def _late(self, now: float) -> list[str]:
        limit = now - self._settings.heartbeat_interval * LATE_INTERVALS
        return [
            member_id
            for member_id, watched in self._watched_by_id.items()
            if watched.heard_at < limit
        ]

    def _to_probe(self, late: Iterable[str], now: float) -> tuple[str, ...]:
        probe = []
        for member_id in late:
            watched = self._watched_by_id[member_id]
            if now - watched.probed_at >= PROBE_PAUSE_SECONDS:
                watched.probed_at = now
                if watched.first_probed_at is None:
                    watched.first_probed_at = now
                probe.append(member_id)
        return tuple(probe)

    def _doubted_domains(self, late: list[str]) -> set[str]:
        watched_by_id = self._watched_by_id
        watched = Counter(one.domain for one in watched_by_id.values())
        late_by_domain = Counter(watched_by_id[one].domain for one in late)
        if len(late_by_domain) > 1 and _is_most(len(late), len(watched_by_id)):
            return set(watched)
        return {
            domain
            for domain, count in late_by_domain.items()
            if _is_most(count, watched[domain])
        }


def _had_time_to_answer(watched: _Watched, now: float) -> bool:
    # Failure: two heartbeats are lost in a row and the next check finds the member
    # late and suspect at once, before anybody was asked; at 10 % loss a fleet of
    # thousands names a hundred false suspects a second.
    first = watched.first_probed_at
    return first is not None and now - first >= PROBE_WAIT_SECONDS


def _is_most(late: int, watched: int) -> bool:
    return late >= DOUBT_MINIMUM and late * 2 >= watched
