"""Queues of waiting packets, selected by the traffic class."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.egress.traffic_class import TrafficClass
    from siskinshift.connections.egress.waiting_packet import WaitingPacket


class ClassQueue(Protocol):
    """The waiting packets of one class; each flow's packets stay in order."""

    def __len__(self) -> int: ...

    @property
    def first(self) -> WaitingPacket:
        """The packet that is sent next; the queue must not be empty."""

    def add(self, packet: WaitingPacket) -> None:
        """Adds a packet."""

    def pop_first(self) -> WaitingPacket:
        """Removes and returns the packet that is sent next."""

    def pop_last(self) -> WaitingPacket:
        """Removes and returns the packet that is dropped first."""

    def pop_arrived_before(self, time: float) -> list[WaitingPacket]:
        """Removes and returns the packets that arrived before a time, seconds."""


QueueT = TypeVar("QueueT", bound=ClassQueue)
_queue_types_by_class: dict[TrafficClass, type[ClassQueue]] = {}


def queues(*classes: TrafficClass) -> Callable[[type[QueueT]], type[QueueT]]:
    """Registers a queue for the traffic classes that use it.

    Args:
        classes: The classes.

    Returns:
        Decorator of the queue's class.
    """

    def register(queue_type: type[QueueT]) -> type[QueueT]:
        _queue_types_by_class.update(dict.fromkeys(classes, queue_type))
        return queue_type

    return register


def new_queue(traffic_class: TrafficClass) -> ClassQueue:
    """Returns an empty queue for a traffic class."""
    return _queue_types_by_class[traffic_class]()
