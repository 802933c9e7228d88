"""Reservations of peers at this agent; each id is valid once.

Messages between agents may be late, duplicated or reordered. A reservation that arrives
after its release would hold a slot for no request. A run message that arrives twice
(the client of the control messages repeats it if a kept connection breaks) would run a
request twice. So ids that were released, used or timed out are recorded and refused.
They are kept for at least the ten minutes that a message can be in transit between two
live processes, and at most 65,536 are kept.
"""

from __future__ import annotations

from collections import OrderedDict


MAX_ENDED_RESERVATIONS = 65536
ENDED_RETENTION_SECONDS = 600.0


class Reservations:
    """Tracks open reservations and the ids of ended ones."""

    def __init__(self) -> None:
        self._work_ids_by_reservation_id: dict[str, int] = {}
        self._end_times_by_reservation_id: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._work_ids_by_reservation_id)

    def is_new(self, reservation_id: str) -> bool:
        """Returns whether an id was never used.

        Args:
            reservation_id: The id.

        Returns:
            False if the reservation is open or has ended.
        """
        return (
            reservation_id not in self._work_ids_by_reservation_id
            and reservation_id not in self._end_times_by_reservation_id
        )

    def open(self, reservation_id: str, work_id: int) -> None:
        """Adds a new reservation.

        Args:
            reservation_id: Its id.
            work_id: Local id of its request.
        """
        self._work_ids_by_reservation_id[reservation_id] = work_id

    def find(self, reservation_id: str) -> int | None:
        """Returns the request of an open reservation.

        Args:
            reservation_id: Its id.

        Returns:
            Local id of its request, or None.
        """
        return self._work_ids_by_reservation_id.get(reservation_id)

    def end(self, reservation_id: str, *, now: float) -> None:
        """Records an id as ended, even if it was never opened.

        Args:
            reservation_id: The id.
            now: Clock reading, seconds.
        """
        self._work_ids_by_reservation_id.pop(reservation_id, None)
        self._end_times_by_reservation_id[reservation_id] = now
        while self._end_times_by_reservation_id:
            oldest, ended_at = next(iter(self._end_times_by_reservation_id.items()))
            is_old = now - ended_at > ENDED_RETENTION_SECONDS
            if (
                not is_old
                and len(self._end_times_by_reservation_id) <= MAX_ENDED_RESERVATIONS
            ):
                return
            del self._end_times_by_reservation_id[oldest]
