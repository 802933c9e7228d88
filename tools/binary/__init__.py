"""Builds the product as one binary."""

from __future__ import annotations
