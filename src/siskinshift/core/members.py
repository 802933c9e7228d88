"""Constants of members shared by all packages."""

from __future__ import annotations


# Weights are in thousandths of a full agent.
FULL_WEIGHT = 1000
