"""Tests of datagram headers."""

from __future__ import annotations
