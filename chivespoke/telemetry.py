"""OpenTelemetry metrics of a process, exported to Prometheus over HTTP."""

import collections.abc

from aiohttp import web
from opentelemetry.exporter import prometheus
from opentelemetry import metrics as metrics_interface
from opentelemetry.sdk import metrics
from opentelemetry.sdk.metrics import view
import prometheus_client

from chivespoke import web as chivespoke_web

METER_NAME = 'chivespoke'
# Bucket bounds of the latency histograms.
LATENCY_BUCKETS_SECONDS = (
    *(0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.025),
    *(0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0, 30.0),
)
# Bucket bounds of the number of records in an append.
APPEND_BUCKETS_RECORDS = (1, 2, 3, 5, 10, 20, 50, 100, 200, 500)


class Telemetry(chivespoke_web.RouteProvider):
    """Own the metrics of one process or embedded application."""

    __slots__ = (
        '_registry',
        '_provider',
        'meter',
        'request_latency',
        'queue_wait',
        'requests',
        'retries',
        'dropped_messages',
        'expired_in_queue',
        'refusals',
        'deadly_requests',
        'store_latency',
        'append_records',
        'append_wait',
        'start_wait',
        'idle_time',
        'run_ends',
        'order_outcomes',
        'worker_crashes',
        'standing_changes',
        'filler_polls',
        'learned_samples',
        'learned_record_age',
    )

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            registry=self._registry, scope_info_enabled=False
        )
        latencies = view.View(
            instrument_unit='s',
            aggregation=view.ExplicitBucketHistogramAggregation(
                LATENCY_BUCKETS_SECONDS
            ),
            instrument_name='chivespoke_*',
        )
        self._provider = metrics.MeterProvider(
            metric_readers=(reader,),
            views=(latencies,),
            shutdown_on_exit=False,
        )
        self.meter: metrics_interface.Meter = self._provider.get_meter(
            METER_NAME
        )
        self._make_instruments()

    def list_routes(self) -> collections.abc.Sequence[web.RouteDef]:
        return (web.get('/metrics', self._handle_scrape),)

    def format_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def add_gauge(
        self,
        name: str,
        description: str,
        measure: collections.abc.Callable[[], float],
    ) -> None:
        """Add a gauge that is measured at each scrape."""

        def observe(
            options: metrics_interface.CallbackOptions,
        ) -> collections.abc.Iterable[metrics_interface.Observation]:
            del options
            return (metrics_interface.Observation(measure()),)

        self.meter.create_observable_gauge(
            name, callbacks=(observe,), description=description
        )

    def _make_instruments(self) -> None:
        self.request_latency = self.meter.create_histogram(
            'chivespoke_request_latency',
            unit='s',
            description='Caller request to answer, by tenant and class',
        )
        self.queue_wait = self.meter.create_histogram(
            'chivespoke_queue_wait',
            unit='s',
            description='Wait for a slot of a backend server, by class',
        )
        self.requests = self.meter.create_counter(
            'chivespoke_requests',
            description='Requests by service, class and outcome',
        )
        self.retries = self.meter.create_counter(
            'chivespoke_retries', description='Second attempts, by cause'
        )
        self.refusals = self.meter.create_counter(
            'chivespoke_refusals', description='Refused requests, by cause'
        )
        self.deadly_requests = self.meter.create_counter(
            'chivespoke_deadly_requests',
            description='Requests kept from crashing servers, by decision',
        )
        self.expired_in_queue = self.meter.create_counter(
            'chivespoke_expired_in_queue',
            description='Accepted requests whose deadline passed in a queue',
        )
        self.store_latency = self.meter.create_histogram(
            'chivespoke_store_latency',
            unit='s',
            description='Append of the leader to its answer',
        )
        self.append_records = self.meter.create_histogram(
            'chivespoke_append_records',
            description='Records of callers in one append of an entry',
            explicit_bucket_boundaries_advisory=APPEND_BUCKETS_RECORDS,
        )
        self.append_wait = self.meter.create_histogram(
            'chivespoke_append_wait',
            unit='s',
            description='Arrival of a record of a caller to its outcome',
        )
        self.start_wait = self.meter.create_histogram(
            'chivespoke_start_wait',
            unit='s',
            description='Acceptance of a job to its first start, by queue',
        )
        self.idle_time = self.meter.create_histogram(
            'chivespoke_idle_time',
            unit='s',
            description='Lasting tasks between two runs, by part of the time',
        )
        self.run_ends = self.meter.create_counter(
            'chivespoke_run_ends', description='Ends of runs, by cause'
        )
        self.order_outcomes = self.meter.create_counter(
            'chivespoke_order_outcomes',
            description='Orders to the worker, by what came of them',
        )
        self.worker_crashes = self.meter.create_counter(
            'chivespoke_worker_crashes',
            description='Crashes of workers, by what they are put down to',
        )
        self.standing_changes = self.meter.create_counter(
            'chivespoke_standing_changes',
            description='Jobs that got another standing, by the new one',
        )
        self.filler_polls = self.meter.create_counter(
            'chivespoke_filler_polls',
            description='Fillers seen at polls, by standing and whether held',
        )
        self.learned_samples = self.meter.create_counter(
            'chivespoke_learned_samples',
            description='Samples that the leader learned from, by model',
        )
        # Without a unit, since that of a histogram is seconds.
        self.learned_record_age = self.meter.create_gauge(
            'chivespoke_learned_record_age_seconds',
            description='Age of what a new leader took up as learned',
        )
        self.dropped_messages = self.meter.create_counter(
            'chivespoke_dropped_messages',
            description='Messages dropped, by cause',
        )

    async def _handle_scrape(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.format_metrics(), content_type='text/plain'
        )
