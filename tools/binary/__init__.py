"""Sources of the single-file binary."""

from __future__ import annotations
