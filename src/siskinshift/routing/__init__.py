"""Selection of the agent for a flow."""

from __future__ import annotations
