"""Life cycle, event loop, sockets and HTTP of a process."""

from __future__ import annotations
