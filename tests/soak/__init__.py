"""Tests; the folders mirror src/siskinshift."""

from __future__ import annotations
