"""Callers of services of mode `datagram`: plain UDP sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from siskinshift.messages.core import Endpoint
from siskinshift.standins.upstream import SEPARATOR


if TYPE_CHECKING:
    import threading

    from siskinshift.demo.ledger import Ledger


ANSWER_TIMEOUT_SECONDS = 1.0
# Datagrams may be lost while a balancer is dead and the fabric still sends to it;
# a flow counts as broken when none of these gets an answer.
TRIES = 6
PAUSE_SECONDS = 0.8


class DatagramCaller:
    """Holds one flow and notes which upstream answers it.

    Attributes:
        owners: Upstreams that answered, in the order of their first answer.
        unanswered: Exchanges without an answer after all tries.
        wrong: Answers that belong to another question.
    """

    def __init__(
        self,
        address: Endpoint,
        *,
        service_id: str = "",
        answer_timeout: float = ANSWER_TIMEOUT_SECONDS,
    ) -> None:
        """Opens the socket.

        Args:
            address: Service address to call.
            service_id: Name of the service, written into each question.
            answer_timeout: Seconds to wait before a question is sent again.
        """
        self.owners: list[str] = []
        self.unanswered = 0
        self.wrong = 0
        self._number = 0
        self._prefix = f"{service_id}/" if service_id else ""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.settimeout(answer_timeout)
        self._socket.connect((address.host, address.port))

    @property
    def endpoint(self) -> Endpoint:
        """Where the caller sends from."""
        return Endpoint(*self._socket.getsockname())

    def exchange(self, tries: int = TRIES) -> bool:
        """Asks once, with retries as UDP callers do, and checks the answer.

        Args:
            tries: How often the question is sent.

        Returns:
            Whether an answer came.
        """
        self._number += 1
        question = f"{self._prefix}question {self._number}".encode()
        for _ in range(tries):
            self._socket.send(question)
            if self._take_answer(question):
                return True
        self.unanswered += 1
        return False

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _take_answer(self, question: bytes) -> bool:
        while True:
            try:
                answer = self._socket.recv(65535)
            except OSError:
                return False
            owner, _, echoed = answer.partition(SEPARATOR)
            if owner.decode() not in self.owners:
                self.owners.append(owner.decode())
            if echoed == question:
                return True
            if not echoed.startswith(self._prefix.encode()):
                self.wrong += 1
            # A late answer to a question that was sent again.


class FeedCaller:
    """Holds a listing feed: one datagram flow for the whole demo."""

    def __init__(self, address: Endpoint, owner_class: str) -> None:
        """Prepares the caller.

        Args:
            address: Service address.
            owner_class: Class of the upstreams that may answer; they check it too.
        """
        self._address = address
        self._owner_class = owner_class

    def run(self, stopping: threading.Event, ledger: Ledger) -> None:
        """Asks again and again on one flow; opens a new one when it broke.

        Args:
            stopping: Ends the task when set.
            ledger: Where to count.
        """
        caller = self._open(ledger)
        while not stopping.wait(PAUSE_SECONDS):
            is_answered = caller.exchange()
            ledger.add("datagrams")
            if is_answered and len(caller.owners) == 1:
                continue
            how = "owner changed" if is_answered else "feed silent"
            ledger.flow_ended(caller.owners[0] if caller.owners else "", how)
            self._close(caller, ledger)
            caller = self._open(ledger)
        self._close(caller, ledger)

    def _open(self, ledger: Ledger) -> DatagramCaller:
        ledger.add("flows_opened")
        return DatagramCaller(self._address, service_id=self._owner_class)

    def _close(self, caller: DatagramCaller, ledger: Ledger) -> None:
        for owner in caller.owners:
            ledger.answered_by(self._owner_class, owner)
        ledger.add("answers_wrong", caller.wrong)
        caller.close()
