"""Choice of an agent for a flow."""

from __future__ import annotations
