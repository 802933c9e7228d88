"""Schedules what a balancer sends over its own link."""

from __future__ import annotations
