"""Messages between processes, generated from schema/messages."""

from __future__ import annotations
