"""Tools for developers of siskinshift."""

from __future__ import annotations
