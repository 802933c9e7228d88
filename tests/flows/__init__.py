"""Tests of flow ownership and handover."""

from __future__ import annotations
