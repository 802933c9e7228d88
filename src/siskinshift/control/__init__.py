"""HTTP with JSON between the system's processes."""

from __future__ import annotations
