"""Probes whether the process of an agent's upstream is running."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.core.clocks import Clock
    from siskinshift.observability.event_log import EventLog


PROBE_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 0.3


class UpstreamProbe:
    """Connects to the upstream's port, one probe at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        *,
        spawn: Callable[[Callable[[], None]], object],
        on_reachable: Callable[[], object],
        on_refused: Callable[[float], object],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Initializes the probe.

        Args:
            address: Host and port of the upstream.
            spawn: Runs a task on another thread.
            on_reachable: Called on that thread after a connection.
            on_refused: Called on that thread if the port has no listener, with the time
                at which the probe started, seconds.
            clock: Clock of the process.
            log: Event log.
        """
        self._address = address
        self._spawn = spawn
        self._on_reachable = on_reachable
        self._on_refused = on_refused
        self._clock = clock
        self._log = log
        self._started_at = float("-inf")
        self._is_running = False

    def start_if_due(self, *, now: float) -> None:
        """Starts a probe unless one is running or has just started.

        Args:
            now: Clock reading, seconds.
        """
        if not self._is_running and now - self._started_at >= PROBE_INTERVAL_SECONDS:
            self._started_at = now
            self._is_running = True
            self._spawn(self._probe)

    def _probe(self) -> None:
        started_at = self._clock()
        try:
            connection = socket.create_connection(self._address, PROBE_TIMEOUT_SECONDS)
            connection.close()
            self._on_reachable()
        except ConnectionRefusedError:
            self._on_refused(started_at)
        except OSError as error:
            # Inconclusive: the upstream or the instance may be slow.
            self._log.fact("upstream probe failed", error=str(error))
        finally:
            self._is_running = False
