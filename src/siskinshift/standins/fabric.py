"""Stand-in for the fabric: forwards each datagram to a random balancer."""

from __future__ import annotations

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING

from siskinshift.core.packets import Packet
from siskinshift.messages.core import Endpoint
from siskinshift.runtime.datagrams import DatagramSocket
from siskinshift.wire.codec import PacketCodec


if TYPE_CHECKING:
    from collections.abc import Sequence


MAX_THREADS = 64


class FabricStandIn:
    """Receives on the service addresses and sends replies back to callers.

    Attributes:
        balancers: Data endpoints of the balancers to choose from; may be replaced.
        balancers_by_caller: Fixed balancers for the datagrams of some callers.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[Endpoint],
        return_endpoint: Endpoint,
        balancers: Sequence[Endpoint],
        seed: int,
    ) -> None:
        """Binds all sockets.

        Args:
            addresses: Service addresses.
            return_endpoint: Endpoint to which agents send replies.
            balancers: Data endpoints of balancers.
            seed: Seed of the random choice.
        """
        self.balancers = tuple(balancers)
        self.balancers_by_caller: dict[Endpoint, Endpoint] = {}
        self._random = random.Random(seed)
        self._codec = PacketCodec()
        self._stopping = threading.Event()
        self._return_socket = DatagramSocket(return_endpoint)
        self._sockets_by_address = {a: DatagramSocket(a) for a in addresses}
        self._executor = ThreadPoolExecutor(MAX_THREADS, "fabric")

    @property
    def return_endpoint(self) -> Endpoint:
        """Endpoint to which agents send replies."""
        return self._return_socket.endpoint

    def start(self) -> None:
        """Starts forwarding datagrams."""
        for address, sock in self._sockets_by_address.items():
            self._serve(address, sock)
        self._executor.submit(
            self._return_socket.receive_until, self._stopping, self._send_reply
        )

    def add_address(self, address: Endpoint) -> None:
        """Adds a service address.

        Args:
            address: The address.
        """
        sock = self._sockets_by_address[address] = DatagramSocket(address)
        self._serve(address, sock)

    def stop(self) -> None:
        """Stops and closes all sockets."""
        self._stopping.set()
        self._executor.shutdown(wait=True)
        for sock in (*self._sockets_by_address.values(), self._return_socket):
            sock.close()

    def _serve(self, address: Endpoint, sock: DatagramSocket) -> None:
        on_datagram = partial(self._spray, address)
        self._executor.submit(sock.receive_until, self._stopping, on_datagram)

    def _spray(
        self, address: Endpoint, datagram: bytes, source: tuple[str, int]
    ) -> None:
        caller = Endpoint(*source)
        balancer = self.balancers_by_caller.get(caller)
        if balancer is None:
            balancers = self.balancers
            if not balancers:
                return
            balancer = self._random.choice(balancers)
        packet = Packet(caller, address, datagram)
        self._return_socket.send(self._codec.pack(packet), balancer)

    def _send_reply(self, datagram: bytes, _source: tuple[str, int]) -> None:
        reply = self._codec.unpack(datagram)
        sock = self._sockets_by_address.get(reply.caller)
        if sock is not None:
            sock.send(reply.payload, reply.service_address)
