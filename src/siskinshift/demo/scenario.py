"""What happens to a deployment while its callers work."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs

from siskinshift.demo.callers import DatagramCaller
from siskinshift.demo.callers import FeedCaller
from siskinshift.demo.deployment import free_datagram_endpoint
from siskinshift.demo.deployment import free_endpoint
from siskinshift.demo.request_callers import DocumentCaller
from siskinshift.demo.request_callers import StreamCaller
from siskinshift.demo.request_callers import WritingCaller


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.demo.deployment import Deployment
    from siskinshift.demo.ledger import Ledger
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Service


CALLER_THREADS = 512
# A fabric finds a dead balancer by its own checks; until then it goes on sending.
FABRIC_NOTICE_SECONDS = 1.0
# "An upstream that is leaving gets no new work after a few seconds": the last request
# is taken 3.2 s after a drain began, and may wait one second for a slot.
NO_NEW_WORK_AFTER_SECONDS = 5.0
CONFIG_TIMEOUT_SECONDS = 15.0
PROBE_TIMEOUT_SECONDS = 0.1
PROBE_FLOWS = 8


@attrs.frozen
class CallerPlan:
    """Callers of one deployment.

    Attributes:
        feed_service: Service of mode `datagram`.
        feed_class: Class of its upstreams.
        writing_service: Service that takes saves or bookings and serves streams.
        reading_service: Service that serves documents.
        feeds: Callers that hold datagram flows.
        streams: Callers that hold event streams.
        writers: Callers that send saves or bookings.
        readers: Callers that fetch documents.
    """

    feed_service: str
    feed_class: str
    writing_service: str
    reading_service: str
    feeds: int
    streams: int
    writers: int
    readers: int


class Scenario:
    """Runs the callers of one deployment and the changes to it.

    Attributes:
        deployment: The deployment.
        work_after_drain: Requests that began at a drained upstream too late.
        drained: Upstreams that were drained.
    """

    def __init__(
        self, deployment: Deployment, plan: CallerPlan, ledger: Ledger
    ) -> None:
        """Prepares the scenario.

        Args:
            deployment: A ready deployment.
            plan: Its callers.
            ledger: Where to count.
        """
        self.work_after_drain = 0
        self.drained: set[str] = set()
        self.deployment = deployment
        self._plan = plan
        self._ledger = ledger
        self._stopping = threading.Event()
        self._stop_draining = threading.Event()
        self._executor = ThreadPoolExecutor(CALLER_THREADS, "caller")
        self._runs_at_drain: dict[str, Counter[str]] = {}

    def start_callers(self) -> None:
        """Starts all callers."""
        plan = self._plan
        for _ in range(plan.feeds):
            feed = FeedCaller(self._address(plan.feed_service), plan.feed_class)
            self._executor.submit(self._guard, feed.run, self._stopping, self._ledger)
        self._start(StreamCaller, plan.writing_service, plan.streams, 3.0)
        self._start(WritingCaller, plan.writing_service, plan.writers, 0.8)
        self._start(DocumentCaller, plan.reading_service, plan.readers, 1.0)

    def end_callers(self) -> None:
        """Lets callers end what they do."""
        self._stopping.set()
        self._stop_draining.set()

    def join_callers(self) -> None:
        """Waits until all callers have ended, and counts late work."""
        self._executor.shutdown(wait=True)
        for node_id, before in self._runs_at_drain.items():
            now = self.deployment.upstreams_by_id[node_id].http.run_counts_by_request_id
            self.work_after_drain += (now - before).total()

    def add_balancer(self) -> None:
        """Starts one more balancer."""
        index = len(self.deployment.balancers_by_id)
        self.deployment.start_balancer(index, free_endpoint())

    def kill_balancer(self, index: int) -> None:
        """Ends a balancer without a word; the fabric notices later."""
        node_id = sorted(self.deployment.balancers_by_id)[index]
        self.deployment.kill_balancer(node_id)
        time.sleep(FABRIC_NOTICE_SECONDS)
        self.deployment.refresh_fabric()

    def remove_balancer(self, index: int) -> None:
        """Lets a balancer leave in the planned way."""
        self.deployment.remove_balancer(sorted(self.deployment.balancers_by_id)[index])

    def hold_views(self, index: int) -> Callable[[], None]:
        """Keeps news from one balancer until the returned function is called."""
        return self.deployment.hold_views(
            sorted(self.deployment.balancers_by_id)[index]
        )

    def drain_upstream(self, node_id: str) -> None:
        """Lets an upstream's agent leave, as SIGTERM does; it ends with its flows."""
        self.drained.add(node_id)
        agent = self.deployment.agents_by_id[node_id]
        self._executor.submit(self._guard, agent.leave, self._stop_draining)
        self._executor.submit(self._guard, self._note_runs, node_id)

    def kill_upstream(self, node_id: str) -> None:
        """Ends an upstream's instance with its agent without a word."""
        self.deployment.kill_upstream(node_id)

    def cut_store(self, *, available: bool) -> None:
        """Cuts the key-value service off, or brings it back."""
        self.deployment.kv.available = available

    def change_configuration(self) -> None:
        """Adds an address and times until each balancer serves callers of it."""
        deployment = self.deployment
        service_id = self._plan.feed_service
        address = free_datagram_endpoint()
        deployment.fabric.add_address(address)
        store = deployment.operator_store()
        current = {s.service_id: s for s in store.read_all()}[service_id]
        changed: Service = attrs.evolve(
            current, addresses=(*current.addresses, address)
        )
        store.write(changed)
        accepted_at = time.monotonic()
        balancers = tuple(deployment.balancers_by_id.values())
        probes = [
            self._executor.submit(
                self._probe, address, b.settings.node.data_endpoint, accepted_at
            )
            for b in balancers
        ]
        for probe in probes:
            self._ledger.config_seconds.append(probe.result())

    def _probe(
        self, address: Endpoint, balancer: Endpoint, accepted_at: float
    ) -> float:
        # Several flows: one alone might wait for its bucket after an instance died,
        # which says nothing about the configuration.
        callers = [
            DatagramCaller(
                address,
                service_id=self._plan.feed_class,
                answer_timeout=PROBE_TIMEOUT_SECONDS,
            )
            for _ in range(PROBE_FLOWS)
        ]
        for caller in callers:
            # Through the fabric, but always by the same balancer.
            self.deployment.fabric.balancers_by_caller[caller.endpoint] = balancer
        until = accepted_at + CONFIG_TIMEOUT_SECONDS
        for caller in itertools.cycle(callers):
            if caller.exchange(tries=1) or time.monotonic() >= until:
                break
        for caller in callers:
            caller.close()
        return time.monotonic() - accepted_at

    def _start(
        self,
        caller_class: type[StreamCaller | WritingCaller | DocumentCaller],
        service_id: str,
        count: int,
        pause: float,
    ) -> None:
        for _ in range(count):
            caller = caller_class(
                self._address(service_id),
                service_id,
                executor=self._executor,
                ledger=self._ledger,
            )
            self._executor.submit(self._guard, caller.run, self._stopping, pause)

    def _note_runs(self, node_id: str) -> None:
        self._stopping.wait(NO_NEW_WORK_AFTER_SECONDS)
        runs = self.deployment.upstreams_by_id[node_id].http.run_counts_by_request_id
        self._runs_at_drain[node_id] = Counter(runs)

    def _guard(self, task: Callable[..., object], *args: object) -> None:
        # A caller that fails by itself must not pass for one that is content.
        try:
            task(*args)
        except Exception as error:
            self._ledger.add(f"callers_failed.{error!r}")
            self._ledger.add("callers_failed")

    def _address(self, service_id: str) -> Endpoint:
        return self.deployment.services_by_id[service_id].addresses[0]
