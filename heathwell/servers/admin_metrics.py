"""The Prometheus metrics of a broker. Names, help texts and labels are a stable interface."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from heathwell.broker.replies import Reply
from heathwell.servers.memcached import MemcachedServer
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.service_records import ServiceQuery

DURATION_BUCKETS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.2, 1.5, 2.0, 3.0)
AGE_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300, 3600, 86_400)
WEIGHT_BUCKETS = (0.25, 0.5, 0.7, 0.75, 0.8, 0.9, 0.999)


@dataclass(frozen=True, slots=True)
class CounterSpec:
    """A metric over the broker's counters of one kind; their keys are the kind, then the label values."""

    name: str
    help: str
    labels: tuple[str, ...]


COUNTERS = {
    "final": CounterSpec(
        "heathwell_queries",
        "Final answers by class and kind, and whether in the aim",
        ("class", "kind", "time"),
    ),
    "attempt": CounterSpec("heathwell_attempts", "Attempts by class and outcome", ("class", "outcome")),
    "probe": CounterSpec("heathwell_probes", "Probes by outcome", ("outcome",)),
    "news": CounterSpec("heathwell_discovery_news", "Discovery's words by kind", ("kind",)),
    "door": CounterSpec("heathwell_refused_at_door", "Queries refused before the module", ("class", "why")),
    "left": CounterSpec("heathwell_clients_left", "Queries whose client left", ("class",)),
    "turned down": CounterSpec(
        "heathwell_turned_down", "Answers turned down for their data's age", ("class", "why")
    ),
    "link": CounterSpec("heathwell_link_changes", "Changes of a link's state", ("region", "state")),
    "zone probe": CounterSpec(
        "heathwell_zone_probes", "Probes of hosts in zones that the fleet has left", ()
    ),
    "link probe": CounterSpec("heathwell_link_probes", "Probes over links that are down", ()),
    "overdue": CounterSpec("heathwell_overdue", "Queries that the deadline ended: a fault", ()),
    "storm": CounterSpec("heathwell_storm_changes", "Changes of the storm decider's state", ("state",)),
    "asked as": CounterSpec(
        "heathwell_asked_as",
        "Queries by what kind of ask the storm decider takes them for",
        ("kind",),
    ),
    "crowded": CounterSpec(
        "heathwell_crowded",
        "Queries refused as their front's turn would come too late",
        ("front", "class"),
    ),
    "malformed": CounterSpec("heathwell_malformed", "Answers with rows that no sound host gives", ("class",)),
    "moot": CounterSpec(
        "heathwell_moot", "Parts not waited for, as they could not change the answer", ("class",)
    ),
    "lacked": CounterSpec(
        "heathwell_lacked",
        "Uses of a budget of the whole fleet for which there was no room",
        ("budget",),
    ),
    "unmergeable": CounterSpec("heathwell_unmergeable", "Answers whose parts could not be merged", ()),
}


class MetricsCollector:
    """Collects a broker's metrics: histograms as answers are sent, the rest from its state at each scrape."""

    def __init__(self, broker: ServiceBroker, server: MemcachedServer) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._broker = broker
        self._server = server
        duration = self._histogram(
            "heathwell_query_seconds", "Time to the final answer", DURATION_BUCKETS_SECONDS
        )
        weight = self._histogram(
            "heathwell_answer_weight", "Share of the first step's weight in an answer", WEIGHT_BUCKETS
        )
        self._age = self._histogram(
            "heathwell_answer_age_seconds", "Greatest age that an answer's data can have", AGE_BUCKETS_SECONDS
        )
        self._unknown_age = Counter(
            "heathwell_answer_age_unknown",
            "Answers whose age has no bound",
            ("class",),
            registry=self.registry,
        )
        self.registry.register(self)
        # Cached, as looking up the child of a label costs more than the observation.
        classes = broker.settings.classes
        self._duration_by_class = {spec.name: duration.labels(spec.name) for spec in classes}
        self._weight_by_class = {spec.name: weight.labels(spec.name) for spec in classes}
        broker.on_final = self.on_reply

    def on_reply(self, _query: ServiceQuery, reply: Reply, duration_us: int) -> None:
        """Record a final answer in the histograms."""
        self._duration_by_class[reply.query_class].observe(duration_us / 1e6)
        if reply.coverage.requested_parts:
            self._weight_by_class[reply.query_class].observe(reply.coverage.weight)
        if reply.age is None:
            return
        if reply.age.bound_us is None:
            self._unknown_age.labels(reply.query_class).inc()
        else:
            self._age.labels(reply.query_class).observe(reply.age.bound_us / 1e6)

    def collect(self) -> Iterator[Metric]:
        """Yield the counters and gauges, read from the broker's state."""
        yield from self._counters()
        yield from self._gauges()
        yield from self._region_metrics()
        yield from self._budget_metrics()
        yield from self._admission_metrics()
        late_answers = sum(link.late_answers for link in self._broker.links.values())
        yield CounterMetricFamily(
            "heathwell_late_results", "Results after their attempt's end", value=late_answers
        )

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(name, text, ("class",), registry=self.registry, buckets=buckets)

    def _counters(self) -> Iterator[Metric]:
        families = {
            kind: CounterMetricFamily(spec.name, spec.help, labels=spec.labels)
            for kind, spec in COUNTERS.items()
        }
        for key, count in self._broker.counters.items():
            families[key[0]].add_metric(key[1:], count)
        yield from families.values()

    def _gauges(self) -> Iterator[Metric]:
        broker = self._broker
        endpoints = broker.aggregator.endpoints.values()
        live = sum(endpoint.live for endpoint in endpoints)
        ejected = sum(bool(endpoint.ejections) for endpoint in endpoints)
        connected = sum(link.up for link in broker.links.values())
        decision_seconds = broker.decision_time_ns / 1e9
        yield GaugeMetricFamily("heathwell_held", "Queries and parts held", value=broker.open_count)
        yield GaugeMetricFamily("heathwell_hosts_live", "Hosts listed as live", value=live)
        yield GaugeMetricFamily("heathwell_hosts_ejected", "Hosts ejected", value=ejected)
        yield GaugeMetricFamily(
            "heathwell_clients", "Client connections", value=len(self._server.clients.connections)
        )
        yield GaugeMetricFamily("heathwell_host_connections", "Connections to hosts", value=connected)
        yield GaugeMetricFamily(
            "heathwell_module_seconds", "Time spent in the module", value=decision_seconds
        )

    def _region_metrics(self) -> Iterator[Metric]:
        broker = self._broker
        if broker.region_links is None:
            return
        crossed = CounterMetricFamily("heathwell_crossed", "Attempts over a link", labels=("region", "which"))
        for link in broker.region_links.links.values():
            first_count = link.crossed_count - link.additional_crossed_count
            crossed.add_metric((link.region, "first"), first_count)
            crossed.add_metric((link.region, "further"), link.additional_crossed_count)
        yield crossed
        answerable = GaugeMetricFamily(
            "heathwell_answerable", "Share of a class's queries that can be answered now", labels=("class",)
        )
        for index, spec in enumerate(broker.settings.classes):
            answerable.add_metric((spec.name,), broker.reachability.answerable_query_fraction(index))
        yield answerable
        yield CounterMetricFamily(
            "heathwell_clients_let_go",
            "Idle clients closed while cut off or in a left zone",
            value=broker.client_drain.closed_count,
        )

    def _budget_metrics(self) -> Iterator[Metric]:
        if self._broker.quota_gate is None:
            return
        quotas = GaugeMetricFamily(
            "heathwell_budget_share",
            "What may be used of the fleet's budget: units, of a rate a second",
            labels=("budget",),
        )
        uses = CounterMetricFamily(
            "heathwell_budget_uses",
            "Units asked for, by whether there was room",
            labels=("budget", "room"),
        )
        for name, statistics in self._broker.quota_gate.agent.statistics().items():
            quotas.add_metric((name,), statistics.quota)
            uses.add_metric((name, "yes"), statistics.admitted)
            uses.add_metric((name, "no"), statistics.rejected)
        yield quotas
        yield uses

    def _admission_metrics(self) -> Iterator[Metric]:
        storms = self._broker.storm_controller
        if storms is not None:
            yield GaugeMetricFamily(
                "heathwell_storm_rate",
                "Work let in a second while not calm (s); 0 while calm",
                value=0.0 if storms.state == "calm" else storms.work_rate_us / 1e6,
            )
        gate = self._broker.fair_queue
        if gate is None:
            return
        work = GaugeMetricFamily(
            "heathwell_front_work_seconds",
            "Work of a front: out at hosts, waiting",
            labels=("front", "where"),
        )
        for name, flow in gate.flows.items():
            work.add_metric((name, "out"), flow.in_flight_us / 1e6)
            work.add_metric((name, "waiting"), flow.queued_us / 1e6)
        yield work
        yield GaugeMetricFamily(
            "heathwell_window_seconds",
            "Work that may be out at once",
            value=gate.limiter.limit_us / 1e6,
        )
