"""Exports metrics through OpenTelemetry.

The data path increments plain counters. The SDK reads them only when an export is due.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from siskinshift.observability.instruments import EVENTS
from siskinshift.observability.instruments import INSTRUMENTS_BY_COUNTER
from siskinshift.observability.instruments import OBJECTIVE_EVENTS
from siskinshift.observability.instruments import REQUEST_DURATION


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from opentelemetry.metrics import CallbackOptions
    from opentelemetry.metrics import Histogram
    from opentelemetry.metrics import Observation
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.metrics.export import MetricReader

    from siskinshift.core.clocks import Clock
    from siskinshift.objectives.recorder import ObjectiveRecorder
    from siskinshift.runtime.counters import Counters
    from siskinshift.settings.generated import MetricsSettings
    from siskinshift.settings.generated import Settings


METER_NAME = "siskinshift"
# From a locally served response to one that its caller no longer waits for.
DURATION_BUCKET_BOUNDS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class MetricsExporter(Protocol):
    """Exports metrics from the process."""

    def open(self) -> MetricReader:
        """Starts the exporter and returns the metric reader that feeds it."""

    def close(self) -> None:
        """Stops what `open` started."""


_exporters_by_name: dict[str, Callable[[MetricsSettings], MetricsExporter]] = {}

ExporterT = TypeVar("ExporterT", bound="Callable[[MetricsSettings], MetricsExporter]")


def register_exporter(name: str) -> Callable[[ExporterT], ExporterT]:
    """Registers the decorated class as an exporter.

    Args:
        name: Value of the setting that selects the exporter.

    Returns:
        The decorator.
    """

    def register(exporter: ExporterT) -> ExporterT:
        _exporters_by_name[name] = exporter
        return exporter

    return register


@register_exporter("prometheus")
class _PrometheusExporter:
    """Serves metrics over HTTP in the Prometheus text format.

    Each exporter uses its own registry instead of the global one.
    """

    def __init__(self, settings: MetricsSettings) -> None:
        self._endpoint = settings.prometheus_endpoint
        self._stop_server: Callable[[], None] | None = None

    def open(self) -> MetricReader:
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from prometheus_client import CollectorRegistry
        from prometheus_client import start_http_server

        registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=registry)
        server, thread = start_http_server(
            self._endpoint.port, addr=self._endpoint.host, registry=registry
        )

        def stop() -> None:
            server.shutdown()
            server.server_close()
            thread.join()

        self._stop_server = stop
        return reader

    def close(self) -> None:
        if self._stop_server is not None:
            self._stop_server()


@register_exporter("otlp")
class _OtlpExporter:
    """Pushes metrics to a collector."""

    def __init__(self, settings: MetricsSettings) -> None:
        self._settings = settings

    def open(self) -> MetricReader:
        from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
            OTLPMetricExporter,
        )
        from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

        exporter = OTLPMetricExporter(endpoint=self._settings.otlp_url)
        interval = self._settings.interval * 1000
        return PeriodicExportingMetricReader(exporter, export_interval_millis=interval)

    def close(self) -> None:
        """Does nothing: the meter provider shuts down the reader and flushes it."""


class Metrics:
    """Exports counters and objectives of a process, unless the exporter is off.

    The data path updates only `Counters`. The SDK reads them when an export is due, so
    its cost depends on the export interval and not on the datagram rate. The SDK is
    imported only when an exporter is configured, because agents have little memory.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        counters: Counters,
        objectives: ObjectiveRecorder,
        clock: Clock,
    ) -> None:
        """Initializes the metrics without starting an exporter.

        Args:
            settings: All settings of the process.
            counters: Counters of the process.
            objectives: Recorder of good and bad events per objective.
            clock: Clock of the process.
        """
        self._settings = settings
        self._counters = counters
        self._objectives = objectives
        self._clock = clock
        self._provider: MeterProvider | None = None
        self._durations: Histogram | None = None
        self._exporter: MetricsExporter | None = None

    def start(self) -> None:
        """Starts the configured exporter."""
        exporter_factory = _exporters_by_name.get(self._settings.metrics.exporter)
        if exporter_factory is None:
            return
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.resources import Resource

        node = self._settings.node
        resource = Resource.create(
            {"service.name": METER_NAME, "service.instance.id": node.node_id}
        )
        self._exporter = exporter_factory(self._settings.metrics)
        self._provider = MeterProvider([self._exporter.open()], resource=resource)
        self._register()

    def stop(self) -> None:
        """Exports a last time and stops the exporter."""
        if self._provider is not None:
            self._provider.shutdown()
        if self._exporter is not None:
            self._exporter.close()

    def record_request(self, service_id: str, group_id: str, seconds: float) -> None:
        """Records the duration of a request.

        Args:
            service_id: Service of the request.
            group_id: Group of the request.
            seconds: Time from arrival to the end of the response.
        """
        if self._durations is not None:
            labels = {"service": service_id, "group": group_id}
            self._durations.record(seconds, labels)

    def _register(self) -> None:
        assert self._provider is not None
        meter = self._provider.get_meter(METER_NAME)
        for counter, instrument in INSTRUMENTS_BY_COUNTER.items():
            meter.create_observable_counter(
                instrument.name,
                [self._make_observer(counter)],
                unit=instrument.unit,
                description=instrument.description,
            )
        meter.create_observable_counter(
            EVENTS.name,
            [self._observe_uncategorized_events],
            unit=EVENTS.unit,
            description=EVENTS.description,
        )
        meter.create_observable_gauge(
            OBJECTIVE_EVENTS.name,
            [self._observe_objectives],
            unit=OBJECTIVE_EVENTS.unit,
            description=OBJECTIVE_EVENTS.description,
        )
        self._durations = meter.create_histogram(
            REQUEST_DURATION.name,
            unit=REQUEST_DURATION.unit,
            description=REQUEST_DURATION.description,
            explicit_bucket_boundaries_advisory=DURATION_BUCKET_BOUNDS_SECONDS,
        )

    def _make_observer(
        self, counter: str
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        from opentelemetry.metrics import Observation

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for name, count in self._counters.snapshot().items():
                prefix, _dot, kind = name.partition(".")
                if prefix == counter:
                    yield Observation(count, {"kind": kind} if kind else {})

        return observe

    def _observe_uncategorized_events(
        self, _: CallbackOptions
    ) -> Iterable[Observation]:
        from opentelemetry.metrics import Observation

        for name, count in self._counters.snapshot().items():
            if name.partition(".")[0] not in INSTRUMENTS_BY_COUNTER:
                yield Observation(count, {"event": name})

    def _observe_objectives(self, _: CallbackOptions) -> Iterable[Observation]:
        from opentelemetry.metrics import Observation

        for sample in self._objectives.samples(now=self._clock()):
            labels = {
                "node": self._settings.node.node_id,
                "objective": sample.key.kind.value,
                "service": sample.key.service_id,
                "group": sample.key.group_id,
                "window": sample.window.name,
            }
            yield Observation(sample.counts.good, labels | {"result": "good"})
            yield Observation(sample.counts.bad, labels | {"result": "bad"})
