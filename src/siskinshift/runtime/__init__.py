"""Life cycle, clocks and threads of a process."""

from __future__ import annotations
