"""Applies changes and failures to a deployment while its callers send requests."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs

from siskinshift.configuration.changes import SetEvacuation
from siskinshift.configuration.store import new_change_id
from siskinshift.demo.callers import DatagramCaller
from siskinshift.demo.callers import FeedCaller
from siskinshift.demo.deployment import free_datagram_endpoint
from siskinshift.demo.deployment import free_endpoint
from siskinshift.demo.request_callers import DocumentCaller
from siskinshift.demo.request_callers import StreamCaller
from siskinshift.demo.request_callers import WritingCaller


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.demo.caller_statistics import CallerStatistics
    from siskinshift.demo.deployment import Deployment
    from siskinshift.messages.core import Endpoint
    from siskinshift.messages.core import Service


CALLER_THREADS = 512
# The fabric detects a failed balancer by its own checks; until then it sends to it.
FABRIC_DETECTION_SECONDS = 1.0
# A draining upstream must get no new requests after a few seconds: the last one is
# admitted 3.2 s after the drain began and may wait one second for a slot.
NO_NEW_WORK_AFTER_SECONDS = 5.0
CONFIG_TIMEOUT_SECONDS = 15.0
PROBE_TIMEOUT_SECONDS = 0.1
PROBE_FLOWS = 8


@attrs.frozen
class CallerPlan:
    """Callers of one deployment.

    Attributes:
        feed_service: Service of mode `datagram`.
        feed_class: Class of the upstreams of the feed service.
        writing_service: Service that handles saves or bookings and serves streams.
        reading_service: Service that serves documents.
        feeds: Number of callers with a datagram flow.
        streams: Number of callers with an event stream.
        writers: Number of callers that send saves or bookings.
        readers: Number of callers that fetch documents.
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
        runs_after_drain: Number of requests that a drained upstream started too late.
        runs_in_evacuated_domain: Number of requests that upstreams of an evacuated
            domain started too late.
        drained_ids: Upstreams that were drained.
    """

    def __init__(
        self, deployment: Deployment, plan: CallerPlan, statistics: CallerStatistics
    ) -> None:
        """Prepares the scenario.

        Args:
            deployment: A ready deployment.
            plan: Plan of its callers.
            statistics: Where to record the results.
        """
        self.runs_after_drain = 0
        self.runs_in_evacuated_domain = 0
        self.drained_ids: set[str] = set()
        self.deployment = deployment
        self._plan = plan
        self._statistics = statistics
        self._stopping = threading.Event()
        self._stop_draining = threading.Event()
        self._executor = ThreadPoolExecutor(CALLER_THREADS, "caller")
        self._run_counts_by_node_id: dict[str, Counter[str]] = {}

    def start_callers(self) -> None:
        """Starts all callers."""
        plan = self._plan
        for _ in range(plan.feeds):
            feed = FeedCaller(self._address(plan.feed_service), plan.feed_class)
            self._executor.submit(
                self._run_task, feed.run, self._stopping, self._statistics
            )
        self._start_callers(StreamCaller, plan.writing_service, plan.streams, 3.0)
        self._start_callers(WritingCaller, plan.writing_service, plan.writers, 0.8)
        self._start_callers(DocumentCaller, plan.reading_service, plan.readers, 1.0)

    def stop_callers(self) -> None:
        """Signals all callers to stop after their current request."""
        self._stopping.set()
        self._stop_draining.set()

    def join_callers(self) -> None:
        """Waits for all callers to stop and counts requests that started too late."""
        self._executor.shutdown(wait=True)
        for node_id, earlier in self._run_counts_by_node_id.items():
            final = self.deployment.upstreams_by_id[
                node_id
            ].http.run_counts_by_request_id
            self.runs_after_drain += (final - earlier).total()

    def add_balancer(self) -> None:
        """Starts one more balancer."""
        index = len(self.deployment.balancers_by_id)
        self.deployment.start_balancer(index, free_endpoint())

    def kill_balancer(self, index: int) -> None:
        """Kills a balancer without notice; the fabric detects it later."""
        node_id = sorted(self.deployment.balancers_by_id)[index]
        self.deployment.kill_balancer(node_id)
        time.sleep(FABRIC_DETECTION_SECONDS)
        self.deployment.refresh_fabric()

    def remove_balancer(self, index: int) -> None:
        """Shuts a balancer down gracefully."""
        self.deployment.remove_balancer(sorted(self.deployment.balancers_by_id)[index])

    def delay_view_updates(self, index: int) -> Callable[[], None]:
        """Delays view updates of a balancer until the returned function is called."""
        return self.deployment.delay_view_updates(
            sorted(self.deployment.balancers_by_id)[index]
        )

    def drain_upstream(self, node_id: str) -> None:
        """Drains an upstream's agent, as SIGTERM does, until its flows have ended."""
        self.drained_ids.add(node_id)
        agent = self.deployment.agents_by_id[node_id]
        self._executor.submit(self._run_task, agent.leave, self._stop_draining)
        self._executor.submit(self._run_task, self._record_run_counts, node_id)

    def evacuate_domain(self, failure_domain: str, *, seconds: float) -> None:
        """Evacuates a failure domain for all services, and ends this later.

        Args:
            failure_domain: The failure domain.
            seconds: Duration, longer than `NO_NEW_WORK_AFTER_SECONDS`.
        """
        self._set_evacuation(failure_domain, evacuated=True)
        time.sleep(NO_NEW_WORK_AFTER_SECONDS)
        earlier = self._run_counts_in(failure_domain)
        time.sleep(seconds - NO_NEW_WORK_AFTER_SECONDS)
        final = self._run_counts_in(failure_domain)
        self.runs_in_evacuated_domain += (final - earlier).total()
        self._set_evacuation(failure_domain, evacuated=False)

    def kill_upstream(self, node_id: str) -> None:
        """Kills an instance, an upstream with its agent, without notice."""
        self.deployment.kill_upstream(node_id)

    def set_store_available(self, *, available: bool) -> None:
        """Starts or ends an outage of the key-value service."""
        self.deployment.kv.available = available

    def change_configuration(self) -> None:
        """Adds an address and measures the time until each balancer serves it."""
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
                self._measure_config_seconds,
                address,
                b.settings.node.data_endpoint,
                accepted_at,
            )
            for b in balancers
        ]
        for probe in probes:
            self._statistics.config_seconds.append(probe.result())

    def _set_evacuation(self, failure_domain: str, *, evacuated: bool) -> None:
        store = self.deployment.operator_store()
        for service_id in self.deployment.services_by_id:
            change = SetEvacuation(service_id, failure_domain, evacuated)
            store.apply(change, new_change_id())

    def _run_counts_in(self, failure_domain: str) -> Counter[str]:
        run_counts: Counter[str] = Counter()
        for node_id, agent in self.deployment.agents_by_id.items():
            if agent.settings.node.failure_domain == failure_domain:
                upstream = self.deployment.upstreams_by_id[node_id]
                run_counts.update(upstream.http.run_counts_by_request_id)
        return run_counts

    def _measure_config_seconds(
        self, address: Endpoint, balancer: Endpoint, accepted_at: float
    ) -> float:
        # Several flows, as a single one could wait for its bucket after the failure of
        # an instance, independently of the configuration.
        callers = [
            DatagramCaller(
                address,
                service_id=self._plan.feed_class,
                reply_timeout=PROBE_TIMEOUT_SECONDS,
            )
            for _ in range(PROBE_FLOWS)
        ]
        for caller in callers:
            # Through the fabric, but always to the same balancer.
            self.deployment.fabric.balancers_by_caller[caller.endpoint] = balancer
        deadline = accepted_at + CONFIG_TIMEOUT_SECONDS
        for caller in itertools.cycle(callers):
            if caller.exchange(attempts=1) or time.monotonic() >= deadline:
                break
        for caller in callers:
            caller.close()
        return time.monotonic() - accepted_at

    def _start_callers(
        self,
        caller_class: type[StreamCaller | WritingCaller | DocumentCaller],
        service_id: str,
        count: int,
        interval_seconds: float,
    ) -> None:
        for _ in range(count):
            caller = caller_class(
                self._address(service_id),
                service_id,
                executor=self._executor,
                statistics=self._statistics,
            )
            self._executor.submit(
                self._run_task, caller.run, self._stopping, interval_seconds
            )

    def _record_run_counts(self, node_id: str) -> None:
        self._stopping.wait(NO_NEW_WORK_AFTER_SECONDS)
        run_counts = self.deployment.upstreams_by_id[
            node_id
        ].http.run_counts_by_request_id
        self._run_counts_by_node_id[node_id] = Counter(run_counts)

    def _run_task(self, task: Callable[..., object], *args: object) -> None:
        # An exception in a caller must not go unnoticed.
        try:
            task(*args)
        except Exception as error:
            self._statistics.add(f"callers_failed.{error!r}")
            self._statistics.add("callers_failed")

    def _address(self, service_id: str) -> Endpoint:
        return self.deployment.services_by_id[service_id].addresses[0]
