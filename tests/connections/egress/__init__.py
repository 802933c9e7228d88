"""Tests of the scheduler of a balancer's link."""

from __future__ import annotations
