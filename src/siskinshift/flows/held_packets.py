"""Holds envelopes until the claim of their bucket is complete."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define

from siskinshift.core.packets import Envelope


@define(eq=False)
class _HeldEnvelope:
    service_id: str
    bucket: int
    flow_hash: int
    envelope: Envelope
    held_at: float


class HeldPackets:
    """Holds envelopes of flows whose owner is not known yet.

    When an agent fails, its notes are lost and the callers of its buckets keep
    sending. Without the hold, flows whose owners are still alive would break. The
    count and the time are bounded, so that a flood of new flows cannot exhaust memory;
    callers of datagrams retransmit what was dropped.
    """

    def __init__(self, *, limit: int, timeout: float) -> None:
        """Initializes an empty store.

        Args:
            limit: Maximum number of held envelopes.
            timeout: Maximum time that an envelope is held, seconds.
        """
        self._limit = limit
        self._timeout = timeout
        self._last_number = 0
        self._held_by_number: OrderedDict[int, _HeldEnvelope] = OrderedDict()
        self._numbers_by_bucket: dict[tuple[str, int], list[int]] = {}

    def __len__(self) -> int:
        return len(self._held_by_number)

    def hold(
        self,
        *,
        service_id: str,
        bucket: int,
        flow_hash: int,
        envelope: Envelope,
        now: float,
    ) -> bool:
        """Holds an envelope.

        Args:
            service_id: Service of the flow.
            bucket: Bucket of the flow.
            flow_hash: Hash of the flow.
            envelope: The envelope to hold.
            now: Clock reading, seconds.

        Returns:
            False if the limit is reached.
        """
        if len(self._held_by_number) >= self._limit:
            return False
        self._last_number += 1
        held = _HeldEnvelope(service_id, bucket, flow_hash, envelope, now)
        self._held_by_number[self._last_number] = held
        numbers = self._numbers_by_bucket.setdefault((service_id, bucket), [])
        numbers.append(self._last_number)
        return True

    def release(
        self, service_id: str, bucket: int, flows: set[int] | None = None
    ) -> list[Envelope]:
        """Removes and returns the envelopes of a bucket in order of arrival.

        Args:
            service_id: Service of the bucket.
            bucket: The bucket.
            flows: Only the envelopes of these flows; None for all.

        Returns:
            The envelopes.
        """
        numbers = self._numbers_by_bucket.get((service_id, bucket))
        if numbers is None:
            return []
        released = []
        for number in tuple(numbers):
            held = self._held_by_number[number]
            if flows is None or held.flow_hash in flows:
                released.append(held.envelope)
                self._remove(number, held)
        return released

    def expire(self, *, now: float) -> int:
        """Drops envelopes that were held longer than the timeout.

        Args:
            now: Clock reading, seconds.

        Returns:
            The number of dropped envelopes.
        """
        dropped = 0
        while self._held_by_number:
            number, held = next(iter(self._held_by_number.items()))
            if now - held.held_at < self._timeout:
                break
            self._remove(number, held)
            dropped += 1
        return dropped

    def _remove(self, number: int, held: _HeldEnvelope) -> None:
        del self._held_by_number[number]
        key = (held.service_id, held.bucket)
        numbers = self._numbers_by_bucket[key]
        numbers.remove(number)
        if not numbers:
            del self._numbers_by_bucket[key]
