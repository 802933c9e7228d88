"""Measures the cost of logs and metrics for a datagram, on against off in one run.

Two small deployments of one balancer and one agent run in one process. Rounds of
exchanges alternate between them, so that other load on the machine affects both.
"""

from __future__ import annotations

import io
import statistics
import threading
import time
import urllib.request

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.bench.dataplane_paths import Callers
from siskinshift.bench.dataplane_paths import thread_seconds
from siskinshift.bench.dataplane_paths import wait_for_replies
from siskinshift.core.endpoints import format_endpoint
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.deployment import free_endpoint
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import ServiceMode
from siskinshift.observability.logs import configure_logs
from siskinshift.settings.generated import LogsSettings


PLAN = ServicePlan("editor", 1, 1, ServiceMode.DATAGRAM)
ROUNDS = 12
ROUND_SECONDS = 2.0
# Much shorter than the scrape interval of a typical collector.
SCRAPE_SECONDS = 1.0
MAX_ADDED_FRACTION = 0.05


@frozen
class TelemetryFigures:
    """Processor time of one exchange.

    Attributes:
        rounds: Number of rounds with and without logs and metrics.
        off_microseconds: Time of all threads of the process, logs and metrics off.
        on_microseconds: The same with logs at level info and scraped metrics.
        product_microseconds: Time of the balancer and agent threads alone, both off.
        added: Additional time as a fraction of the product time.
        goal: Largest acceptable fraction.
    """

    rounds: int
    off_microseconds: float
    on_microseconds: float
    product_microseconds: float
    added: float
    goal: float


class _MeteredDeployment(Deployment):
    """A deployment whose processes export metrics."""

    def __init__(self) -> None:
        super().__init__(name="metered", plans=(PLAN,), balancers=1)
        self.endpoints: list[Endpoint] = []

    def balancer_settings_lines(self) -> list[str]:
        return self._lines()

    def agent_settings_lines(self) -> list[str]:
        return self._lines()

    def _lines(self) -> list[str]:
        self.endpoints.append(free_endpoint())
        text = format_endpoint(self.endpoints[-1])
        return ["[metrics]", "exporter = prometheus", f"prometheus_endpoint = {text}"]


class _Scraper:
    """Scrapes the metrics during a round, as a collector does."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self._endpoints = endpoints
        self.is_enabled = threading.Event()
        self.stopping = threading.Event()

    def run(self) -> None:
        """Scrapes until `stopping` is set."""
        while not self.stopping.wait(SCRAPE_SECONDS):
            for endpoint in self._endpoints if self.is_enabled.is_set() else ():
                url = f"http://{format_endpoint(endpoint)}/metrics"
                with urllib.request.urlopen(url) as response:
                    response.read()


def measure() -> TelemetryFigures:
    """Runs all rounds.

    Returns:
        The figures.
    """
    plain = Deployment(name="plain", plans=(PLAN,), balancers=1)
    metered = _MeteredDeployment()
    scraper = _Scraper(metered.endpoints)
    thread = threading.Thread(target=scraper.run)
    costs_by_enabled: dict[bool, list[float]] = {False: [], True: []}
    product_costs: list[float] = []
    try:
        plain.start()
        metered.start()
        thread.start()
        callers_by_enabled = {
            is_enabled: Callers(deployment.services_by_id[PLAN.service_id].addresses[0])
            for is_enabled, deployment in ((False, plain), (True, metered))
        }
        for caller_set in callers_by_enabled.values():
            wait_for_replies(caller_set)
        for number in range(2 * ROUNDS):
            is_enabled = number % 2 == 1
            used, product_used = _run_round(
                callers_by_enabled[is_enabled], scraper, plain, is_enabled
            )
            costs_by_enabled[is_enabled].append(used)
            if not is_enabled:
                product_costs.append(product_used)
        for caller_set in callers_by_enabled.values():
            caller_set.close()
    finally:
        scraper.stopping.set()
        if thread.is_alive():
            thread.join()
        configure_logs(LogsSettings(level="off"))
        metered.stop()
        plain.stop()
    off_cost = statistics.median(costs_by_enabled[False])
    on_cost = statistics.median(costs_by_enabled[True])
    product_cost = statistics.median(product_costs)
    return TelemetryFigures(
        ROUNDS,
        off_cost,
        on_cost,
        product_cost,
        (on_cost - off_cost) / product_cost,
        MAX_ADDED_FRACTION,
    )


def _run_round(
    callers: Callers, scraper: _Scraper, plain: Deployment, is_enabled: bool
) -> tuple[float, float]:
    configure_logs(LogsSettings(level="info" if is_enabled else "off"), io.StringIO())
    if is_enabled:
        scraper.is_enabled.set()
    used_before = time.process_time()
    product_before = _product_seconds(plain)
    answered = max(1, callers.exchange(ROUND_SECONDS))
    used = time.process_time() - used_before
    product_used = _product_seconds(plain) - product_before
    scraper.is_enabled.clear()
    return used / answered * 1e6, product_used / answered * 1e6


def _product_seconds(deployment: Deployment) -> float:
    names = (*deployment.balancers_by_id, *deployment.agents_by_id)
    return sum(thread_seconds(name) for name in names)


def main() -> None:
    """Runs the measurement and prints a table and JSON."""
    figures = measure()
    for name, value in asdict(figures).items():
        print(f"{name:18} {value:>12.4g}")
    print(orjson.dumps(asdict(figures)).decode())


if __name__ == "__main__":
    main()
