"""What logs and metrics cost a datagram: on against off in one run.

Two small deployments of one balancer and one agent run in one process. Rounds of
exchanges alternate between them, so that what else the machine does hits both.
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
from siskinshift.bench.dataplane_paths import wait_for_answers
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
# Far more often than a collector asks.
SCRAPE_SECONDS = 1.0
GOAL = 0.05


@frozen
class TelemetryFigures:
    """Cost of one exchange.

    Attributes:
        rounds: Rounds each way.
        off_microseconds: All threads of the process, logs and metrics off, us.
        on_microseconds: The same with logs at info and metrics asked for, us.
        product_microseconds: Threads of balancer and agent alone, both off, us.
        added: What being on adds, as a part of the product's own time.
        goal: Part allowed.
    """

    rounds: int
    off_microseconds: float
    on_microseconds: float
    product_microseconds: float
    added: float
    goal: float


class _MeteredDeployment(Deployment):
    """A deployment whose processes serve metrics."""

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
    """Asks for the metrics, as a collector does, while a round is on."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self._endpoints = endpoints
        self.is_on = threading.Event()
        self.ending = threading.Event()

    def run(self) -> None:
        """Asks until told to end."""
        while not self.ending.wait(SCRAPE_SECONDS):
            for endpoint in self._endpoints if self.is_on.is_set() else ():
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
    costs: dict[bool, list[float]] = {False: [], True: []}
    product: list[float] = []
    try:
        plain.start()
        metered.start()
        thread.start()
        callers = {
            is_on: Callers(deployment.services_by_id[PLAN.service_id].addresses[0])
            for is_on, deployment in ((False, plain), (True, metered))
        }
        for one in callers.values():
            wait_for_answers(one)
        for number in range(2 * ROUNDS):
            is_on = number % 2 == 1
            used, own = _round(callers[is_on], scraper, plain, is_on)
            costs[is_on].append(used)
            if not is_on:
                product.append(own)
        for one in callers.values():
            one.close()
    finally:
        scraper.ending.set()
        if thread.is_alive():
            thread.join()
        configure_logs(LogsSettings(level="off"))
        metered.stop()
        plain.stop()
    off = statistics.median(costs[False])
    on = statistics.median(costs[True])
    own = statistics.median(product)
    return TelemetryFigures(ROUNDS, off, on, own, (on - off) / own, GOAL)


def _round(
    callers: Callers, scraper: _Scraper, plain: Deployment, is_on: bool
) -> tuple[float, float]:
    configure_logs(LogsSettings(level="info" if is_on else "off"), io.StringIO())
    if is_on:
        scraper.is_on.set()
    before = time.process_time()
    own_before = _product_seconds(plain)
    answered = max(1, callers.exchange(ROUND_SECONDS))
    used = time.process_time() - before
    own = _product_seconds(plain) - own_before
    scraper.is_on.clear()
    return used / answered * 1e6, own / answered * 1e6


def _product_seconds(deployment: Deployment) -> float:
    names = (*deployment.balancers_by_id, *deployment.agents_by_id)
    return sum(thread_seconds(name) for name in names)


def main() -> None:
    """Measures and prints a table and JSON."""
    figures = measure()
    for name, value in asdict(figures).items():
        print(f"{name:18} {value:>12.4g}")
    print(orjson.dumps(asdict(figures)).decode())


if __name__ == "__main__":
    main()
