"""What the operators want."""

from __future__ import annotations
