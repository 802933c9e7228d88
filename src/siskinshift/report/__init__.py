"""Reports for operators."""

from __future__ import annotations
