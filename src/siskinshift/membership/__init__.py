"""Who is there, and in which state."""

from __future__ import annotations
