"""A randomized run of the real programs under faults injected from the outside.

The seed determines the kinds, order and targets of the faults, but not how threads and
processes are scheduled, so reproducing a failed seed may take several runs. A run
checks only what callers and upstreams observe.
"""

from __future__ import annotations

import sys
import threading
import time
import zlib
from collections import deque
from http import HTTPStatus
from ipaddress import IPv4Address
from itertools import count
from pathlib import Path
from tempfile import mkdtemp

from attrs import Factory
from attrs import define

from siskinshift.standins.connection_ends import ConnectionCaller
from siskinshift.standins.connection_ends import FlowReset
from siskinshift.standins.connection_ends import FlowTimeout
from siskinshift.standins.connection_ends import UpstreamRecord
from tests.connections.deployment import PORTS_BY_SERVICE
from tests.connections.deployment import Deployment
from tests.soak.evacuation_oracle import EvacuationOracle
from tests.soak.faults import FAULT_KINDS
from tests.soak.faults import HOSTS_BY_BALANCER
from tests.soak.faults import INJECTORS_BY_KIND
from tests.soak.faults import INSTANCES_BY_NAME
from tests.soak.faults import REMOTE_DOMAIN
from tests.soak.faults import REMOTE_INSTANCES
from tests.soak.faults import UNUSED_ROUTE_COUNT
from tests.soak.leave_oracle import LeaveOracle
from tests.soak.plan import draw_plan
from tests.soak.proxy import LinkFault
from tests.soak.proxy import StoreProxy
from tests.soak.store_faults import StoreFaults


CALLER_COUNT = 4
FIRST_CALLER_HOST = int(IPv4Address("127.0.3.1"))
# A reset is a violation only if the upstream is running and no fault has started or
# ended for this long. Unresponsive peers are removed after 2.6 s.
MIN_UNDISTURBED_SECONDS = 4.0
# All services must respond again within this time after the last fault.
RECOVERY_SECONDS = 12.0
PROBE_SECONDS = 0.25
# Time for which a leaving upstream repeats its heartbeat until it is acknowledged.
MAX_ACKNOWLEDGEMENT_SECONDS = 1.5
REQUESTS_PER_FLOW = 6
# Delay before a caller opens its next flow after a reset.
RESET_PAUSE_SECONDS = 0.05
# Requests of the final checks, which may run any number of times.
REPEATED_REQUESTS = frozenset({b"after all faults", b"added route"})


@define(eq=False)
class Outcome:
    """The result of a run.

    Attributes:
        violations: Violated guarantees, with their times.
        timeline: Faults, with their times.
        answered: Number of requests with a response.
        timeouts: Number of flows that ended with a timeout.
        resets: Number of flows that were reset.
    """

    violations: list[str] = Factory(list)
    timeline: list[str] = Factory(list)
    answered: int = 0
    timeouts: int = 0
    resets: int = 0


class Soak:
    """One run of a seed."""

    def __init__(self, seed: int, *, seconds: float, folder: Path) -> None:
        """Starts the deployment.

        Args:
            seed: Seed of the timeline of faults.
            seconds: Length of the timeline.
            folder: Folder for settings and logs.
        """
        self.outcome = Outcome()
        self._seed = seed
        self._seconds = seconds
        # Half of the seeds have a store with generations, which can be restored.
        era = 1 if seed % 2 else None
        self.deployment = Deployment(folder, seed=seed, era=era)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._ready: set[str] = set()
        self._last_fault_at = 0.0
        self._records: list[UpstreamRecord] = []
        self._remote_records: list[UpstreamRecord] = []
        self._is_evacuated = False
        self.store_faults = StoreFaults()
        self._evacuation_oracle = EvacuationOracle(self.store_faults)
        self._leave_oracle = LeaveOracle()
        self._caller_hosts = count(FIRST_CALLER_HOST)
        # Hosts and ports of ended flows, from which callers open further ones.
        self._used_ports: deque[tuple[str, int]] = deque()
        self._proxies_by_name: dict[str, StoreProxy] = {}

    def run(self) -> Outcome:
        """Injects the faults under traffic, then stops all that it started.

        Returns:
            The outcome of the run.
        """
        try:
            self._start()
            threads = [
                threading.Thread(target=self._run_caller, args=(index,), daemon=True)
                for index in range(CALLER_COUNT)
            ]
            threads.append(threading.Thread(target=self._probe_balancers, daemon=True))
            for thread in threads:
                thread.start()
            self._inject_faults()
            self._check_recovery()
            self._check_lost_watches()
            self._check_configuration()
            self._stopping.set()
            for thread in threads:
                thread.join()
            self._check_upstreams()
        finally:
            self._stopping.set()
            self.deployment.stop()
            for proxy in self._proxies_by_name.values():
                proxy.stop()
        return self.outcome

    def _start(self) -> None:
        for name in (*HOSTS_BY_BALANCER, *INSTANCES_BY_NAME):
            proxy = StoreProxy(self.deployment.store.port)
            self._proxies_by_name[name] = proxy
            self.deployment.store_ports_by_name[name] = proxy.port
        for name, host in HOSTS_BY_BALANCER.items():
            self.deployment.add_balancer(name, host)
        for name, (host, service) in INSTANCES_BY_NAME.items():
            domain = REMOTE_DOMAIN if name in REMOTE_INSTANCES else "a"
            self.deployment.add_instance(name, host, service, domain=domain)
            self._track_record(name)
        self.deployment.wait_until_ready()

    def replace_upstream(self, name: str, *, keeps_id: bool) -> None:
        """Crashes an upstream and starts another one in its place.

        Args:
            name: Name of the instance.
            keeps_id: Whether the new upstream has the id of the former one.
        """
        instance = self.deployment.instances_by_name[name]
        instance.replace_upstream(keeps_id=keeps_id)
        instance.is_silent = False
        self._track_record(name)

    def _track_record(self, name: str) -> None:
        record = self.deployment.instances_by_name[name].upstream.record
        self._records.append(record)
        if name in REMOTE_INSTANCES:
            self._remote_records.append(record)

    def leave(self, name: str) -> None:
        """Lets an upstream report that it leaves; its heartbeats end with that.

        Args:
            name: Name of the instance.
        """
        instance = self.deployment.instances_by_name[name]
        record = instance.upstream.record
        instance.is_silent = True
        instance.state = "draining"
        deadline = time.monotonic() + MAX_ACKNOWLEDGEMENT_SECONDS
        while time.monotonic() < deadline:
            if instance.send("Heartbeat") == HTTPStatus.OK:
                self._leave_oracle.record_leave(record, now=time.monotonic())
                return
            time.sleep(PROBE_SECONDS)

    def evacuate(self, *, is_evacuated: bool) -> None:
        """Evacuates the remote domain or ends its evacuation.

        Args:
            is_evacuated: Whether the domain gets no new flows from now on.
        """
        self._is_evacuated = is_evacuated
        if is_evacuated:
            self.deployment.evacuate(REMOTE_DOMAIN)
            self._evacuation_oracle.record_start(now=time.monotonic())
        else:
            self._evacuation_oracle.record_end(now=time.monotonic())
            self.deployment.end_evacuation(REMOTE_DOMAIN)

    def restore_store(self, *, age: float, pause: float) -> None:
        """Restores the store from a copy; then the operators write again.

        Args:
            age: Age of the copy, seconds.
            pause: Time during which the store does not respond, seconds.
        """
        if self.deployment.store.state.era is None:
            return
        started_at = time.monotonic()
        self.deployment.store.restore(age=age, pause=pause)
        time.sleep(pause)
        self.deployment.configure(PORTS_BY_SERVICE)
        if self._is_evacuated:
            self.deployment.evacuate(REMOTE_DOMAIN)
        else:
            self.deployment.end_evacuation(REMOTE_DOMAIN)
        self.store_faults.record("restore", started_at, time.monotonic())

    def set_link_fault(self, names: tuple[str, ...], fault: LinkFault) -> None:
        """Sets the fault of the connections between nodes and the store.

        Args:
            names: Names of the nodes.
            fault: The fault from now on.
        """
        for name in names:
            self._proxies_by_name[name].set_fault(fault)

    def record_violation(self, text: str) -> None:
        """Records a violated guarantee with the current time.

        Args:
            text: Description that names the flow, request or node.
        """
        self.outcome.violations.append(f"{time.monotonic():.2f} {text}")

    @property
    def is_stopping(self) -> bool:
        """Whether the run is stopping."""
        return self._stopping.is_set()

    def _inject_faults(self) -> None:
        for step in draw_plan(
            tuple(FAULT_KINDS), seed=self._seed, seconds=self._seconds
        ):
            self._last_fault_at = time.monotonic()
            self.outcome.timeline.append(f"{self._last_fault_at:.2f} {step}")
            INJECTORS_BY_KIND[step.kind](self, step)
            ended_at = time.monotonic()
            self.store_faults.record(step.kind, self._last_fault_at, ended_at)
            self._last_fault_at = ended_at
            time.sleep(step.pause_seconds)
        self.evacuate(is_evacuated=False)

    def _probe_balancers(self) -> None:
        """Selects the balancers that receive packets, as routers do.

        A balancer is removed after two consecutive failed probes. If none is left, all
        balancers are used.
        """
        failures = dict.fromkeys(HOSTS_BY_BALANCER, 0)
        while not self._stopping.wait(PROBE_SECONDS):
            for name in HOSTS_BY_BALANCER:
                failures[name] = (
                    0 if self.deployment.is_ready(name) else failures[name] + 1
                )
            ready = {name for name, count in failures.items() if count < 2}
            self._ready = ready or set(HOSTS_BY_BALANCER)

    def _run_caller(self, index: int) -> None:
        flow_number = 0
        while not self._stopping.is_set():
            flow_number += 1
            service = "dossiers" if index == 0 else "editor"
            self._run_flow(service, f"{index}-{flow_number}")

    def _run_flow(self, service: str, flow_id: str) -> None:
        caller = self._create_caller(service)
        upstream_id = ""
        started_ms_by_upstream = self._started_ms_by_upstream()
        try:
            caller.open()
            for number in range(REQUESTS_PER_FLOW):
                self._route(caller)
                request = f"{flow_id}-{number}"
                response = caller.request(request.encode()).decode()
                upstream_id, _, echoed = response.partition("|")
                if echoed != request or not upstream_id.startswith(service):
                    self.record_violation(
                        f"request {request} to {service} got response {response}"
                    )
                self.outcome.answered += 1
                time.sleep(0.05)
        except FlowReset:
            self.outcome.resets += 1
            self._check_reset(
                upstream_id, flow_id, started_ms_by_upstream.get(upstream_id)
            )
            time.sleep(RESET_PAUSE_SECONDS)
        except FlowTimeout:
            self.outcome.timeouts += 1
        finally:
            caller.close()
            self._used_ports.append((caller.host, caller.port))

    def _check_reset(
        self, upstream_id: str, flow_id: str, started_ms: int | None
    ) -> None:
        # An upstream that restarted under the same id has lost its flows.
        is_running = started_ms is not None and (
            self._started_ms_by_upstream().get(upstream_id) == started_ms
        )
        is_undisturbed = (
            time.monotonic() - self._last_fault_at > MIN_UNDISTURBED_SECONDS
        )
        if is_running and is_undisturbed:
            self.record_violation(
                f"flow {flow_id} was reset although {upstream_id} is running"
            )

    def _started_ms_by_upstream(self) -> dict[str, int]:
        instances = self.deployment.instances_by_name.values()
        return {instance.upstream_id: instance.started_ms for instance in instances}

    def _create_caller(self, service: str) -> ConnectionCaller:
        with self._lock:
            # Each flow has its own host, since balancers reply to one port of a host.
            if len(self._used_ports) > CALLER_COUNT:
                host, port = self._used_ports.popleft()
            else:
                host, port = str(IPv4Address(next(self._caller_hosts))), 0
            caller = self.deployment.caller(service, "balancer-1", host=host, port=port)
        self._route(caller)
        return caller

    def _route(self, caller: ConnectionCaller) -> None:
        names = sorted(self._ready) or sorted(HOSTS_BY_BALANCER)
        # Unlike hash(), crc32 is the same in every process.
        balancer = names[zlib.crc32(caller.flow) % len(names)]
        caller.router = (HOSTS_BY_BALANCER[balancer], self.deployment.caller_port)

    def _check_recovery(self) -> None:
        deadline = time.monotonic() + RECOVERY_SECONDS
        for service in ("editor", "dossiers"):
            while True:
                caller = self._create_caller(service)
                try:
                    caller.open()
                    caller.request(b"after all faults")
                    break
                except (FlowReset, FlowTimeout):
                    if time.monotonic() > deadline:
                        self.record_violation(
                            f"{service} did not recover after the last fault"
                        )
                        break
                finally:
                    caller.close()

    def _check_lost_watches(self) -> None:
        """Checks that balancers serve a route whose watch responses were lost."""
        self.deployment.configure(PORTS_BY_SERVICE)
        self._check_unused_route(0, is_served=False)
        faults = self.deployment.store.state.faults
        faults.lose_watch_responses = len(HOSTS_BY_BALANCER)
        self.deployment.configure(PORTS_BY_SERVICE, unused=1)
        self._check_unused_route(0, is_served=True)
        faults.lose_watch_responses = 0

    def _check_configuration(self) -> None:
        """Checks that balancers behind thin links serve a newly added route.

        The store drops its history, so that they read the whole configuration again.
        The time is measured from the view of callers: a balancer with an old
        configuration refuses the route.
        """
        state = self.deployment.store.state
        self.set_link_fault(tuple(HOSTS_BY_BALANCER), LinkFault.THIN)
        self.deployment.configure(PORTS_BY_SERVICE, unused=UNUSED_ROUTE_COUNT)
        state.compact()
        self.deployment.configure(PORTS_BY_SERVICE, unused=UNUSED_ROUTE_COUNT + 1)
        state.compact()
        self._check_unused_route(UNUSED_ROUTE_COUNT, is_served=True)

    def _check_unused_route(self, number: int, *, is_served: bool) -> None:
        deadline = time.monotonic() + RECOVERY_SECONDS
        for balancer in HOSTS_BY_BALANCER:
            while self._serves_unused_route(balancer, number) is not is_served:
                if time.monotonic() > deadline:
                    change = "added" if is_served else "removed"
                    self.record_violation(f"{balancer} has no {change} route")
                    break

    def _serves_unused_route(self, balancer: str, number: int) -> bool:
        host = str(IPv4Address(next(self._caller_hosts)))
        caller = self.deployment.caller("editor", balancer, host=host, unused=number)
        try:
            caller.open()
            caller.request(b"added route")
        except (FlowReset, FlowTimeout):
            time.sleep(PROBE_SECONDS)
            return False
        finally:
            caller.close()
        return True

    def _check_upstreams(self) -> None:
        for record in self._remote_records:
            for opened_at in self._evacuation_oracle.find_violations(record.opened_at):
                self.record_violation(
                    f"an evacuated upstream got a new flow at {opened_at:.2f}"
                )
        for opened_at in self._leave_oracle.find_violations():
            self.record_violation(
                f"a leaving upstream got a new flow at {opened_at:.2f}"
            )
        seen_requests: set[bytes] = set()
        for record in self._records:
            if record.corrupted:
                self.record_violation(f"changed packets: {record.corrupted[:1]}")
            for request in record.executed:
                if request in seen_requests and request not in REPEATED_REQUESTS:
                    self.record_violation(f"{request!r} ran twice")
                seen_requests.add(request)


def main(arguments: list[str]) -> int:
    """Runs seeds and prints their results.

    Args:
        arguments: Seconds per seed, then the seeds.

    Returns:
        Exit status: 1 if a guarantee was violated.
    """
    seconds, *seeds = arguments
    failed = 0
    for seed in seeds:
        folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
        outcome = Soak(int(seed), seconds=float(seconds), folder=folder).run()
        print(
            f"seed {seed}: {outcome.answered} answered, {outcome.resets} resets, "
            f"{outcome.timeouts} silent, {len(outcome.timeline)} faults"
        )
        if outcome.violations:
            failed += 1
            print(f"  again: make soak SECONDS={seconds} SEEDS={seed}; logs: {folder}")
            for line in sorted(outcome.timeline + outcome.violations):
                print(f"  {line}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
