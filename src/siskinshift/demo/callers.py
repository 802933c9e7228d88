"""Callers of the demo: plain UDP sockets that check who answers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from siskinshift.standins.upstream import SEPARATOR


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


ANSWER_TIMEOUT_SECONDS = 1.0
TRIES = 3


class DatagramCaller:
    """Holds one flow and notes which upstream answers it.

    Attributes:
        owners: Upstreams that answered, in the order of their first answer.
        lost: Exchanges without an answer after all tries.
        wrong: Answers that belong to another question.
    """

    def __init__(self, address: Endpoint) -> None:
        """Opens the socket.

        Args:
            address: Service address to call.
        """
        self.owners: list[str] = []
        self.lost = 0
        self.wrong = 0
        self._number = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.settimeout(ANSWER_TIMEOUT_SECONDS)
        self._socket.connect((address.host, address.port))

    def exchange(self) -> None:
        """Asks once, with retries as UDP callers do, and checks the answer."""
        self._number += 1
        question = f"question {self._number}".encode()
        for _ in range(TRIES):
            self._socket.send(question)
            try:
                answer = self._socket.recv(65535)
            except OSError:
                continue
            self._check(answer, question)
            return
        self.lost += 1

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _check(self, answer: bytes, question: bytes) -> None:
        owner, _, echoed = answer.partition(SEPARATOR)
        if echoed != question:
            self.wrong += 1
        if owner.decode() not in self.owners:
            self.owners.append(owner.decode())
