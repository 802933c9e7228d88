"""Operators' configuration of services: records, changes and reading."""

from __future__ import annotations
