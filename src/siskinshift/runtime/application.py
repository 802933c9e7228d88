"""Base class of processes that are configured by the settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.runtime.life_cycle import LifeCycle


if TYPE_CHECKING:
    from siskinshift.settings.generated import Settings


class Application(LifeCycle):
    """Base class of processes configured by the settings file.

    Attributes:
        settings: All settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(name=settings.node.node_id)
        self.settings = settings
