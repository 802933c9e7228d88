"""The platform's routers: `steady` hashing over the nodes that are in rotation."""

from __future__ import annotations

import hashlib
import http.client
import threading


PROBE_S = 0.5
MAX_MISSES = 2


class Router:
    """Probes the nodes and chooses one for each packet."""

    def __init__(self, hosts: list[str], *, packets_port: int, ready_port: int) -> None:
        """Starts to probe.

        Args:
            hosts: Addresses of the nodes, all in one zone.
            packets_port: Their port for packets.
            ready_port: Their port for the probes.
        """
        self._hosts = hosts
        self._packets_port = packets_port
        self._ready_port = ready_port
        self._misses = dict.fromkeys(hosts, MAX_MISSES)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._probe, args=(host,), daemon=True)
            for host in hosts
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the probes."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(2.0)

    @property
    def in_rotation(self) -> list[str]:
        """The nodes that get packets."""
        ready = [h for h in self._hosts if self._misses[h] < MAX_MISSES]
        return ready if 2 * len(ready) >= len(self._hosts) else self._hosts

    def choose(self, datagram: bytes) -> tuple[str, int] | None:
        """Returns where a client's packet goes."""
        flow = datagram[4:16]
        host = max(
            self.in_rotation,
            key=lambda h: hashlib.blake2b(h.encode() + flow, digest_size=8).digest(),
        )
        return host, self._packets_port

    def is_ready(self, host: str) -> bool:
        """Whether a node answered the newest probe with 200."""
        return self._misses[host] == 0

    def _probe(self, host: str) -> None:
        while not self._stopping.is_set():
            connection = http.client.HTTPConnection(
                host, self._ready_port, timeout=PROBE_S
            )
            try:
                connection.request("GET", "/ready")
                is_ready = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                is_ready = False
            finally:
                connection.close()
            self._misses[host] = 0 if is_ready else self._misses[host] + 1
            self._stopping.wait(PROBE_S)
