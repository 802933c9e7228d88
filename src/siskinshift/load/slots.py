"""Table of the slots of an upstream and the requests that hold them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.load.adaptive_limit import AdaptiveLimit


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.load.work import WorkItem


class SlotTable:
    """Tracks the slots in use; each request holds at most one.

    Attributes:
        limit: Adaptive limit of the slots in use.
    """

    def __init__(self, slots: int) -> None:
        """Initializes the table with all slots free.

        Args:
            slots: Configured slots of the upstream.
        """
        self._configured = slots
        self._work_by_id: dict[int, WorkItem] = {}
        self.limit = AdaptiveLimit(slots)

    def __len__(self) -> int:
        return len(self._work_by_id)

    @property
    def configured(self) -> int:
        """Configured slots of the upstream."""
        return self._configured

    @property
    def has_free_slot(self) -> bool:
        """Whether a request may start."""
        return len(self._work_by_id) < self.limit.current

    def assign(self, work: WorkItem) -> None:
        """Assigns a slot to a request.

        Args:
            work: A request without a slot.
        """
        self._work_by_id[work.request.request_id] = work

    def release(self, work: WorkItem) -> bool:
        """Releases the slot of a request.

        Args:
            work: The request.

        Returns:
            Whether it held a slot.
        """
        return self._work_by_id.pop(work.request.request_id, None) is not None

    def holders(self) -> Iterable[WorkItem]:
        """Returns the requests that hold slots.

        Returns:
            The requests in the order of assignment.
        """
        return tuple(self._work_by_id.values())
