"""Types and errors that every part shares."""

from __future__ import annotations
