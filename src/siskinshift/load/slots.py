"""The slots of an upstream and who has them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.load.adaptive_limit import AdaptiveLimit


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.load.work import Work


class SlotTable:
    """Counts slots; each piece of work holds one at most.

    Attributes:
        limit: How many of the slots are used.
    """

    def __init__(self, slots: int) -> None:
        """Starts with all slots free.

        Args:
            slots: Configured slots of the upstream.
        """
        self._slots = slots
        self._work_by_id: dict[int, Work] = {}
        self.limit = AdaptiveLimit(slots)

    def __len__(self) -> int:
        return len(self._work_by_id)

    @property
    def configured(self) -> int:
        """Configured slots of the upstream."""
        return self._slots

    @property
    def has_free(self) -> bool:
        """Whether work may start."""
        return len(self._work_by_id) < self.limit.limit

    def take(self, work: Work) -> None:
        """Gives a slot to work.

        Args:
            work: Work that has none.
        """
        self._work_by_id[work.request.request_id] = work

    def free(self, work: Work) -> bool:
        """Takes the slot back.

        Args:
            work: The work.

        Returns:
            Whether it had one.
        """
        return self._work_by_id.pop(work.request.request_id, None) is not None

    def holders(self) -> Iterable[Work]:
        """Lists who has slots.

        Returns:
            The work, in the order in which the slots were taken.
        """
        return tuple(self._work_by_id.values())
