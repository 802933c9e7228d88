"""Names of reservations that peers made here; each is used once.

Failure: messages between agents come late, twice or out of order. A reservation that
comes after its release would hold a slot for nobody; a run that comes twice (the client
of the control messages repeats on a kept connection that broke) would run a request
twice. So names that were released, used or timed out are remembered and refused. They
are remembered for at least the ten minutes that a message can be under way between two
live processes, and 65,536 at most.
"""

from __future__ import annotations

from collections import OrderedDict


ENDED_REMEMBERED = 65536
ENDED_REMEMBERED_SECONDS = 600.0


class Reservations:
    """Reservations by name, waiting or granted, and names that are used up."""

    def __init__(self) -> None:
        self._work_ids_by_reservation: dict[str, int] = {}
        self._ended_at_by_reservation: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._work_ids_by_reservation)

    def is_new(self, reservation_id: str) -> bool:
        """Says whether a name was never seen.

        Args:
            reservation_id: The name.

        Returns:
            False when it is open or was used up.
        """
        return (
            reservation_id not in self._work_ids_by_reservation
            and reservation_id not in self._ended_at_by_reservation
        )

    def open(self, reservation_id: str, work_id: int) -> None:
        """Takes a new reservation.

        Args:
            reservation_id: Its name.
            work_id: Local id of the work that stands for it.
        """
        self._work_ids_by_reservation[reservation_id] = work_id

    def find(self, reservation_id: str) -> int | None:
        """Finds an open reservation.

        Args:
            reservation_id: Its name.

        Returns:
            Local id of its work, or None.
        """
        return self._work_ids_by_reservation.get(reservation_id)

    def end(self, reservation_id: str, *, now: float) -> None:
        """Uses a name up, also one that was never opened.

        Args:
            reservation_id: The name.
            now: Clock reading, seconds.
        """
        self._work_ids_by_reservation.pop(reservation_id, None)
        self._ended_at_by_reservation[reservation_id] = now
        while self._ended_at_by_reservation:
            oldest, ended_at = next(iter(self._ended_at_by_reservation.items()))
            is_old = now - ended_at > ENDED_REMEMBERED_SECONDS
            if not is_old and len(self._ended_at_by_reservation) <= ENDED_REMEMBERED:
                return
            del self._ended_at_by_reservation[oldest]
