"""Datagrams behind a PROXY protocol v2 header."""

from __future__ import annotations
