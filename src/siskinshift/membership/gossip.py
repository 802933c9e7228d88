"""Sends updates to linked balancers at once, paced by the control-plane budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from siskinshift.messages.core import Endpoint


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


# An update waits this long for further updates in its batch. While few updates are
# pending, a hop adds no other latency.
BATCH_DELAY_SECONDS = 0.01
# Per link: a change and its retries are sent at once, a flood is paced.
BATCH_BURST = 4.0
BATCHES_PER_SECOND = 2.5
MAX_BATCH_RECORDS = 64
# Per node, over all links. A record takes about 60 bytes when batched and packed, so
# this is 12 KB/s: with incoming updates and heartbeats it stays under 21 KB/s.
RECORD_BURST = 400.0
RECORDS_PER_SECOND = 200.0
RETRY_SECONDS = 0.03
# A new neighbour is sent the updates of this period. They were passed on before the
# link existed, and the neighbour's former links may have failed with their peers.
RECENT_UPDATE_SECONDS = 10.0
MAX_RETRY_SECONDS = 1.0


@frozen
class RecordKey:
    """Identifies a record.

    Attributes:
        is_service: Whether it is a service.
        key: Service id or member id.
    """

    is_service: bool
    key: str


@define(eq=False)
class _TokenBucket:
    tokens: float
    burst: float
    rate: float
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        refilled = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + refilled)
        self.refilled_at = now


@define(eq=False)
class _Link:
    batch_limiter: _TokenBucket = field(
        factory=lambda: _TokenBucket(BATCH_BURST, BATCH_BURST, BATCHES_PER_SECOND)
    )
    pending_service_ids: dict[str, None] = field(factory=dict)
    pending_member_ids: dict[str, None] = field(factory=dict)
    in_flight: tuple[RecordKey, ...] = ()
    next_at: float = 0.0
    failures: int = 0


@frozen
class Batch:
    """Records to send over a link.

    Attributes:
        endpoint: The neighbour.
        keys: Keys of the records.
    """

    endpoint: Endpoint
    keys: tuple[RecordKey, ...]


class Gossip:
    """Tracks which records are pending for each neighbour, by key only.

    A record that changes twice before it is sent is sent once. The keys pending for
    an unreachable neighbour are kept, so that both sides of a partition catch up as
    soon as a link works again. Their number is bounded by the number of records.
    """

    def __init__(self, random: random.Random) -> None:
        """Initializes gossip without neighbours.

        Args:
            random: Source of jitter.
        """
        self._random = random
        self._links_by_endpoint: dict[Endpoint, _Link] = {}
        self._updated_at_by_key: dict[RecordKey, float] = {}
        self._record_limiter = _TokenBucket(
            RECORD_BURST, RECORD_BURST, RECORDS_PER_SECOND
        )

    @property
    def neighbours(self) -> tuple[Endpoint, ...]:
        """Neighbours that updates are sent to."""
        return tuple(self._links_by_endpoint)

    def set_neighbours(self, endpoints: Iterable[Endpoint], *, now: float) -> None:
        """Replaces the neighbours; links that stay keep their pending records.

        Args:
            endpoints: Control endpoints of the neighbours.
            now: Clock reading, seconds.
        """
        self._remove_old_updates(now)
        links = self._links_by_endpoint
        self._links_by_endpoint = {
            endpoint: links.get(endpoint) or self._new_link() for endpoint in endpoints
        }

    def add(
        self, record_key: RecordKey, *, received_from: Endpoint | None, now: float
    ) -> None:
        """Marks a record as pending for every neighbour but its sender.

        Args:
            record_key: The record.
            received_from: The sender, or None when this process made the change.
            now: Clock reading, seconds.
        """
        self._updated_at_by_key.pop(record_key, None)
        self._updated_at_by_key[record_key] = now
        for endpoint, link in self._links_by_endpoint.items():
            if endpoint == received_from:
                # The sender has this state already.
                _pending_keys(link, record_key).pop(record_key.key, None)
                continue
            if (
                not link.pending_service_ids
                and not link.pending_member_ids
                and not link.failures
            ):
                link.next_at = max(link.next_at, now + BATCH_DELAY_SECONDS)
            _pending_keys(link, record_key)[record_key.key] = None

    def mark_known(self, record_key: RecordKey, received_from: Endpoint) -> None:
        """Records that a neighbour has the state held here, as it sent the same one.

        Args:
            record_key: The record.
            received_from: The neighbour.
        """
        link = self._links_by_endpoint.get(received_from)
        if link is not None:
            _pending_keys(link, record_key).pop(record_key.key, None)

    def due(self, now: float) -> list[Batch]:
        """Returns the batches to send now.

        Args:
            now: Clock reading, seconds.

        Returns:
            One batch for each link that may send.
        """
        self._record_limiter.refill(now)
        self._remove_old_updates(now)
        batches = []
        for endpoint, link in self._links_by_endpoint.items():
            if link.in_flight or link.next_at > now:
                continue
            if not link.pending_service_ids and not link.pending_member_ids:
                continue
            keys = self._next_batch(link, now)
            if keys:
                batches.append(Batch(endpoint, keys))
        return batches

    def next_due(self) -> float:
        """Returns when `due` should be called next.

        Returns:
            Clock reading, seconds; infinity when no record is pending.
        """
        return min(
            (
                link.next_at
                for link in self._links_by_endpoint.values()
                if (link.pending_service_ids or link.pending_member_ids)
                and not link.in_flight
            ),
            default=float("inf"),
        )

    def on_reply(self, endpoint: Endpoint, *, now: float) -> None:
        """Records that a neighbour acknowledged its batch.

        Args:
            endpoint: The neighbour.
            now: Clock reading, seconds.
        """
        link = self._links_by_endpoint.get(endpoint)
        if link is None or not link.in_flight:
            return
        link.in_flight = ()
        link.failures = 0
        link.next_at = now + BATCH_DELAY_SECONDS

    def on_failure(self, endpoint: Endpoint, *, now: float) -> None:
        """Marks the records of an unacknowledged batch as pending again.

        Args:
            endpoint: The neighbour.
            now: Clock reading, seconds.
        """
        link = self._links_by_endpoint.get(endpoint)
        if link is None or not link.in_flight:
            return
        for record_key in link.in_flight:
            _pending_keys(link, record_key)[record_key.key] = None
        link.in_flight = ()
        link.failures += 1
        pause = min(RETRY_SECONDS * 2 ** min(link.failures, 10), MAX_RETRY_SECONDS)
        link.next_at = now + pause * self._random.uniform(0.5, 1.0)

    def _new_link(self) -> _Link:
        link = _Link()
        for record_key in self._updated_at_by_key:
            _pending_keys(link, record_key)[record_key.key] = None
        return link

    def _remove_old_updates(self, now: float) -> None:
        # Removes the oldest first, without a copy: there are thousands after a start.
        recent = self._updated_at_by_key
        while recent:
            oldest = next(iter(recent))
            if now - recent[oldest] <= RECENT_UPDATE_SECONDS:
                return
            del recent[oldest]

    def _next_batch(self, link: _Link, now: float) -> tuple[RecordKey, ...]:
        link.batch_limiter.refill(now)
        if link.batch_limiter.tokens < 1.0 and not link.pending_service_ids:
            link.next_at = (
                now + (1.0 - link.batch_limiter.tokens) / link.batch_limiter.rate
            )
            return ()
        if self._record_limiter.tokens < 1.0 and not link.pending_service_ids:
            # The tokens of about half a second make a batch worth its headers.
            link.next_at = now + self._random.uniform(0.25, 0.75)
            return ()
        # Services are few and are sent whatever tokens are left, since a change of
        # one must take effect soon.
        keys = [
            RecordKey(True, key)
            for key in list(link.pending_service_ids)[:MAX_BATCH_RECORDS]
        ]
        member_count = min(
            MAX_BATCH_RECORDS - len(keys), max(0, int(self._record_limiter.tokens))
        )
        keys += [
            RecordKey(False, key)
            for key in list(link.pending_member_ids)[:member_count]
        ]
        for record_key in keys:
            del _pending_keys(link, record_key)[record_key.key]
        link.batch_limiter.tokens -= 1.0
        self._record_limiter.tokens -= len(keys)
        link.in_flight = tuple(keys)
        return link.in_flight


def _pending_keys(link: _Link, record_key: RecordKey) -> dict[str, None]:
    return (
        link.pending_service_ids if record_key.is_service else link.pending_member_ids
    )
