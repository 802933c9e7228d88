"""Sends news to linked balancers at once, paced under the control budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from siskinshift.messages.core import Endpoint


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


# News waits this long for company; a hop costs no more in the quiet state.
GATHER_SECONDS = 0.01
# One link: a change with its retries goes at once, a flood is paced.
BATCHES_BURST = 4.0
BATCHES_PER_SECOND = 2.5
BATCH_RECORDS = 64
# One node over all links. A record takes about 60 bytes when batched and packed, so
# this is 12 KB/s: with what comes in and heartbeats it stays under 21 KB/s.
RECORDS_BURST = 400.0
RECORDS_PER_SECOND = 200.0
RETRY_SECONDS = 0.03
# A new neighbour is owed the news of this while: it was passed on before the link
# was there, and the neighbour's former links may have gone with their other ends.
RECENT_SECONDS = 10.0
RETRY_MAXIMUM_SECONDS = 1.0


@frozen
class NewsKey:
    """Names a record; services sort first: a change must be in force soon.

    Attributes:
        is_service: Whether it is a service.
        key: Service id or member id.
    """

    is_service: bool
    key: str


@define(eq=False)
class _Allowance:
    amount: float
    burst: float
    rate: float
    at: float = 0.0

    def refill(self, now: float) -> None:
        gained = max(0.0, now - self.at) * self.rate
        self.amount = min(self.burst, self.amount + gained)
        self.at = now


@define(eq=False)
class _Link:
    batches: _Allowance = field(
        factory=lambda: _Allowance(BATCHES_BURST, BATCHES_BURST, BATCHES_PER_SECOND)
    )
    services: dict[str, None] = field(factory=dict)
    members: dict[str, None] = field(factory=dict)
    sending: tuple[NewsKey, ...] = ()
    next_at: float = 0.0
    failures: int = 0


@frozen
class Batch:
    """Records to send over a link.

    Attributes:
        endpoint: The neighbour.
        keys: Names of the records.
    """

    endpoint: Endpoint
    keys: tuple[NewsKey, ...]


class Gossip:
    """Keeps what each neighbour has yet to hear; only the names, not the states.

    A record that changes twice before it is sent goes out once. A neighbour that
    can't be reached keeps its names, so that both sides of a cut catch up as soon
    as a link works again; the names are bounded by the number of records.
    """

    def __init__(self, random: random.Random) -> None:
        """Prepares gossip without neighbours.

        Args:
            random: Source of jitter.
        """
        self._random = random
        self._links_by_endpoint: dict[Endpoint, _Link] = {}
        self._recent_by_news: dict[NewsKey, float] = {}
        self._records = _Allowance(RECORDS_BURST, RECORDS_BURST, RECORDS_PER_SECOND)

    @property
    def neighbours(self) -> tuple[Endpoint, ...]:
        """Neighbours that news goes to."""
        return tuple(self._links_by_endpoint)

    def link_to(self, endpoints: Iterable[Endpoint], *, now: float) -> None:
        """Takes the neighbours; links that stay keep what they owe.

        Args:
            endpoints: Control endpoints of the neighbours.
            now: Clock reading, seconds.
        """
        self._forget_old(now)
        links = self._links_by_endpoint
        self._links_by_endpoint = {
            endpoint: links.get(endpoint) or self._new_link() for endpoint in endpoints
        }

    def add(self, news: NewsKey, *, heard_from: Endpoint | None, now: float) -> None:
        """Owes a record to every neighbour but the one it came from.

        Args:
            news: The record.
            heard_from: Where it came from, or None for this process's own.
            now: Clock reading, seconds.
        """
        self._recent_by_news.pop(news, None)
        self._recent_by_news[news] = now
        for endpoint, link in self._links_by_endpoint.items():
            if endpoint == heard_from:
                # That neighbour holds it; don't tell it what it told.
                _pending(link, news).pop(news.key, None)
                continue
            if not link.services and not link.members and not link.failures:
                link.next_at = max(link.next_at, now + GATHER_SECONDS)
            _pending(link, news)[news.key] = None

    def heard(self, news: NewsKey, heard_from: Endpoint) -> None:
        """Takes note that a neighbour holds what it told, though it was no news.

        Args:
            news: The record, in the state held here.
            heard_from: The neighbour.
        """
        link = self._links_by_endpoint.get(heard_from)
        if link is not None:
            _pending(link, news).pop(news.key, None)

    def due(self, now: float) -> list[Batch]:
        """Lists the batches to send now.

        Args:
            now: Clock reading, seconds.

        Returns:
            One batch for each link that may send.
        """
        self._records.refill(now)
        self._forget_old(now)
        batches = []
        for endpoint, link in self._links_by_endpoint.items():
            if link.sending or link.next_at > now:
                continue
            if not link.services and not link.members:
                continue
            keys = self._take(link, now)
            if keys:
                batches.append(Batch(endpoint, keys))
        return batches

    def next_due(self) -> float:
        """Tells when `due` should be called next.

        Returns:
            Clock reading, seconds; infinity when nothing is owed.
        """
        return min(
            (
                link.next_at
                for link in self._links_by_endpoint.values()
                if (link.services or link.members) and not link.sending
            ),
            default=float("inf"),
        )

    def on_reply(self, endpoint: Endpoint, *, now: float) -> None:
        """Takes note that a neighbour took a batch.

        Args:
            endpoint: The neighbour.
            now: Clock reading, seconds.
        """
        link = self._links_by_endpoint.get(endpoint)
        if link is None or not link.sending:
            return
        link.sending = ()
        link.failures = 0
        link.next_at = now + GATHER_SECONDS

    def on_failure(self, endpoint: Endpoint, *, now: float) -> None:
        """Owes a batch again that was not answered.

        Args:
            endpoint: The neighbour.
            now: Clock reading, seconds.
        """
        link = self._links_by_endpoint.get(endpoint)
        if link is None or not link.sending:
            return
        for news in link.sending:
            _pending(link, news)[news.key] = None
        link.sending = ()
        link.failures += 1
        pause = min(RETRY_SECONDS * 2 ** min(link.failures, 10), RETRY_MAXIMUM_SECONDS)
        link.next_at = now + pause * self._random.uniform(0.5, 1.0)

    def _new_link(self) -> _Link:
        link = _Link()
        for news in self._recent_by_news:
            _pending(link, news)[news.key] = None
        return link

    def _forget_old(self, now: float) -> None:
        # Oldest first, without a copy: after a start there are thousands.
        recent = self._recent_by_news
        while recent:
            oldest = next(iter(recent))
            if now - recent[oldest] <= RECENT_SECONDS:
                return
            del recent[oldest]

    def _take(self, link: _Link, now: float) -> tuple[NewsKey, ...]:
        link.batches.refill(now)
        if link.batches.amount < 1.0 and not link.services:
            link.next_at = now + (1.0 - link.batches.amount) / link.batches.rate
            return ()
        if self._records.amount < 1.0 and not link.services:
            # Half a second of allowance at once makes a batch worth its headers.
            link.next_at = now + self._random.uniform(0.25, 0.75)
            return ()
        # Services are few and go whatever the allowance: they must be in force soon.
        keys = [NewsKey(True, key) for key in list(link.services)[:BATCH_RECORDS]]
        room = min(BATCH_RECORDS - len(keys), max(0, int(self._records.amount)))
        keys += [NewsKey(False, key) for key in list(link.members)[:room]]
        for news in keys:
            del _pending(link, news)[news.key]
        link.batches.amount -= 1.0
        self._records.amount -= len(keys)
        link.sending = tuple(keys)
        return link.sending


def _pending(link: _Link, news: NewsKey) -> dict[str, None]:
    return link.services if news.is_service else link.members
