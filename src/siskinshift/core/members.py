"""Facts about members that every part shares."""

from __future__ import annotations


# Weights are thousandths of a full agent.
FULL_WEIGHT = 1000
