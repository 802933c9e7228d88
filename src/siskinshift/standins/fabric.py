"""Stand-in for the fabric: hands each datagram to a random balancer."""

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


THREADS_MAXIMUM = 64


class FabricStandIn:
    """Owns the sockets of the service addresses and one for answers.

    Attributes:
        balancers: Data endpoints that datagrams are sprayed over; replace at will.
        balancers_by_caller: Balancers that the datagrams of some callers are pinned to.
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
            return_endpoint: Where agents send answers.
            balancers: Data endpoints of balancers.
            seed: Seed of the spraying.
        """
        self.balancers = tuple(balancers)
        self.balancers_by_caller: dict[Endpoint, Endpoint] = {}
        self._random = random.Random(seed)
        self._codec = PacketCodec()
        self._stopping = threading.Event()
        self._return_socket = DatagramSocket(return_endpoint)
        self._sockets_by_address = {a: DatagramSocket(a) for a in addresses}
        self._executor = ThreadPoolExecutor(THREADS_MAXIMUM, "fabric")

    @property
    def return_endpoint(self) -> Endpoint:
        """Where agents send answers."""
        return self._return_socket.endpoint

    def start(self) -> None:
        """Starts to pass datagrams on."""
        for address, sock in self._sockets_by_address.items():
            self._serve(address, sock)
        self._executor.submit(
            self._return_socket.receive_until, self._stopping, self._return
        )

    def add_address(self, address: Endpoint) -> None:
        """Begins to serve one more service address.

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
        handle = partial(self._spray, address)
        self._executor.submit(sock.receive_until, self._stopping, handle)

    def _spray(
        self, address: Endpoint, datagram: bytes, source: tuple[str, int]
    ) -> None:
        caller = Endpoint(*source)
        target = self.balancers_by_caller.get(caller)
        if target is None:
            balancers = self.balancers
            if not balancers:
                return
            target = self._random.choice(balancers)
        packet = Packet(caller, address, datagram)
        self._return_socket.send(self._codec.pack(packet), target)

    def _return(self, datagram: bytes, _source: tuple[str, int]) -> None:
        answer = self._codec.unpack(datagram)
        sock = self._sockets_by_address.get(answer.caller)
        if sock is not None:
            sock.send(answer.payload, answer.service_address)
