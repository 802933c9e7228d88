"""Overload control at an agent: admission, fair queueing, handover to peers, retries.

The package does no I/O. `gate.LoadGate` combines the modules; each module documents
the load pattern that it handles, the failure it prevents and the reason for its
thresholds.
"""

from __future__ import annotations
