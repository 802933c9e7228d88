"""Encoding of datagrams with a PROXY protocol v2 header."""

from __future__ import annotations
