"""The admin port: ``/healthz``, ``/metrics`` and ``/state``, over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from urllib.parse import parse_qsl

import msgspec
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from heathwell.broker.replies import Reply
from heathwell.codec.http import Request, Response
from heathwell.eventloop import Coro, Stream
from heathwell.observability.http_pages import PROMETHEUS, serve_pages
from heathwell.servers.memcached import MemcachedFront
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.service_records import ServiceQuery
from heathwell.service.shard_reachability import MINIMUM_REACHABLE_FRACTION

JSON = "application/json"
SPANS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.2, 1.5, 2.0, 3.0)
AGES = (0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300, 3600, 86_400)
WEIGHTS = (0.25, 0.5, 0.7, 0.75, 0.8, 0.9, 0.999)
COUNTS = {
    "final": (
        "heathwell_queries",
        "Final answers by class and kind, and whether in the aim",
        ("class", "kind", "time"),
    ),
    "attempt": ("heathwell_attempts", "Attempts by class and outcome", ("class", "outcome")),
    "probe": ("heathwell_probes", "Probes by outcome", ("outcome",)),
    "news": ("heathwell_discovery_news", "Discovery's words by kind", ("kind",)),
    "door": ("heathwell_refused_at_door", "Queries refused before the module", ("class", "why")),
    "left": ("heathwell_clients_left", "Queries whose client left", ("class",)),
    "turned down": ("heathwell_turned_down", "Answers turned down for their data's age", ("class", "why")),
    "link": ("heathwell_link_changes", "Changes of a link's state", ("region", "state")),
    "zone probe": ("heathwell_zone_probes", "Probes of hosts in zones that the fleet has left", ()),
    "link probe": ("heathwell_link_probes", "Probes over links that are down", ()),
    "overdue": ("heathwell_overdue", "Queries that the deadline ended: a fault", ()),
    "storm": ("heathwell_storm_changes", "Changes of the storm decider's state", ("state",)),
    "asked as": (
        "heathwell_asked_as",
        "Queries by what kind of ask the storm decider takes them for",
        ("kind",),
    ),
    "crowded": (
        "heathwell_crowded",
        "Queries refused as their front's turn would come too late",
        ("front", "class"),
    ),
    "malformed": ("heathwell_malformed", "Answers with rows that no sound host gives", ("class",)),
    "moot": ("heathwell_moot", "Parts not waited for, as they could not change the answer", ("class",)),
    "lacked": (
        "heathwell_lacked",
        "Uses of a budget of the whole fleet for which there was no room",
        ("budget",),
    ),
    "unmergeable": ("heathwell_unmergeable", "Answers whose parts could not be merged", ()),
}


class Figures:
    """Collects a broker's figures for the metrics page."""

    def __init__(self, broker: ServiceBroker, front: MemcachedFront) -> None:
        self.broker, self.front = broker, front
        self.registry = CollectorRegistry(auto_describe=False)
        self.took = Histogram(
            "heathwell_query_seconds",
            "Time to the final answer",
            ("class",),
            registry=self.registry,
            buckets=SPANS,
        )
        self.weight = Histogram(
            "heathwell_answer_weight",
            "Share of the first step's weight in an answer",
            ("class",),
            registry=self.registry,
            buckets=WEIGHTS,
        )
        self.age = Histogram(
            "heathwell_answer_age_seconds",
            "Greatest age that an answer's data can have",
            ("class",),
            registry=self.registry,
            buckets=AGES,
        )
        self.unknown_age = Counter(
            "heathwell_answer_age_unknown",
            "Answers whose age has no bound",
            ("class",),
            registry=self.registry,
        )
        self.registry.register(self)
        # Looked up once: finding a label's child costs more than counting.
        self._children = {
            spec.name: (self.took.labels(spec.name), self.weight.labels(spec.name))
            for spec in broker.settings.classes
        }
        broker.on_final = self.final

    def final(self, _query: ServiceQuery, reply: Reply, took_us: int) -> None:
        """One final answer."""
        took, weight = self._children[reply.query_class]
        took.observe(took_us / 1e6)
        if reply.coverage.requested_parts:
            weight.observe(reply.coverage.weight)
        if reply.age is not None:
            if reply.age.bound_us is None:
                self.unknown_age.labels(reply.query_class).inc()
            else:
                self.age.labels(reply.query_class).observe(reply.age.bound_us / 1e6)

    def collect(self) -> Iterator[Metric]:
        """Counters and gauges, read when asked for."""
        families = {name: CounterMetricFamily(*COUNTS[name][:2], labels=COUNTS[name][2]) for name in COUNTS}
        for key, count in self.broker.counters.items():
            families[key[0]].add_metric(key[1:], count)
        yield from families.values()
        broker, servers = self.broker, self.broker.aggregator.endpoints.values()
        for name, text, figure in (
            ("heathwell_held", "Queries and parts held", broker.open_count),
            ("heathwell_hosts_live", "Hosts listed as live", sum(s.live for s in servers)),
            ("heathwell_hosts_ejected", "Hosts ejected", sum(bool(s.ejections) for s in servers)),
            ("heathwell_clients", "Client connections", len(self.front.connections)),
            (
                "heathwell_host_connections",
                "Connections to hosts",
                sum(link.up for link in broker.links.values()),
            ),
            ("heathwell_module_seconds", "Time spent in the module", broker.decision_time_ns / 1e9),
        ):
            yield GaugeMetricFamily(name, text, value=figure)
        if broker.regions is not None:
            crossed = CounterMetricFamily(
                "heathwell_crossed", "Attempts over a link", labels=("region", "which")
            )
            for way in broker.regions.links.values():
                crossed.add_metric((way.region, "first"), way.crossed_count - way.additional_crossed_count)
                crossed.add_metric((way.region, "further"), way.additional_crossed_count)
            yield crossed
            shares = GaugeMetricFamily(
                "heathwell_answerable",
                "Share of a class's queries that can be answered now",
                labels=("class",),
            )
            for index, spec in enumerate(broker.settings.classes):
                shares.add_metric((spec.name,), broker.reachability.served_fraction(index))
            yield shares
            yield CounterMetricFamily(
                "heathwell_clients_let_go",
                "Idle clients closed while cut off or in a left zone",
                value=broker.client_drain.closed_count,
            )
        if broker.quota_gate is not None:
            shares = GaugeMetricFamily(
                "heathwell_budget_share",
                "What may be used of the fleet's budget: units, of a rate a second",
                labels=("budget",),
            )
            uses = CounterMetricFamily(
                "heathwell_budget_uses",
                "Units asked for, by whether there was room",
                labels=("budget", "room"),
            )
            for name, statistics in broker.quota_gate.agent.statistics().items():
                shares.add_metric((name,), statistics.quota)
                uses.add_metric((name, "yes"), statistics.admitted)
                uses.add_metric((name, "no"), statistics.rejected)
            yield shares
            yield uses
        if broker.storms is not None:
            yield GaugeMetricFamily(
                "heathwell_storm_rate",
                "Work let in a second while not calm (s); 0 while calm",
                value=0.0 if broker.storms.state == "calm" else broker.storms.work_rate_us / 1e6,
            )
        if broker.gate is not None:
            lanes = GaugeMetricFamily(
                "heathwell_front_work_seconds",
                "Work of a front: out at hosts, waiting",
                labels=("front", "where"),
            )
            for name, lane in broker.gate.flows.items():
                lanes.add_metric((name, "out"), lane.in_flight_us / 1e6)
                lanes.add_metric((name, "waiting"), lane.queued_us / 1e6)
            yield lanes
            yield GaugeMetricFamily(
                "heathwell_window_seconds",
                "Work that may be out at once",
                value=broker.gate.limiter.limit_us / 1e6,
            )
        late = sum(link.late_answers for link in broker.links.values())
        yield CounterMetricFamily("heathwell_late_results", "Results after their attempt's end", value=late)


class AdminFront:
    """Serves the admin port."""

    def __init__(self, broker: ServiceBroker, front: MemcachedFront) -> None:
        self.broker, self.figures = broker, Figures(broker, front)
        self.pages: dict[str, Callable[[], Response]] = {
            "/healthz": self._health,
            "/metrics": self._metrics,
            "/state": self._state,
        }
        if broker.service_statistics is not None:
            self.pages["/service"] = self._service

    def serve(self, stream: Stream) -> Coro[None]:
        """One connection."""
        yield from serve_pages(stream, self.answer)

    def answer(self, request: Request) -> Response:
        """The page of a request."""
        if request.path == "/healthz" and request.query:
            return self._class_health(request.query)
        if request.path == "/explain":
            return self._explain(request.query)
        page = self.pages.get(request.path)
        if page is None:
            return Response(404, ("pages: " + " ".join(self.pages) + " /explain?id=\n").encode())
        if request.method not in ("GET", "HEAD"):
            return Response(405, b"GET only\n", headers=(("allow", "GET"),))
        return page()

    def _health(self) -> Response:
        broker = self.broker
        live = sum(server.live for server in broker.aggregator.endpoints.values())
        word = "stopping" if broker.stopping else "no hosts" if not live else "ok"
        if word == "ok" and broker.zone_observer is not None and broker.zone_observer.is_evacuated():
            word = "the fleet leaves this zone"
        if word == "ok" and broker.cut_off:
            word = "cut off from most shards"
        return Response(200 if word == "ok" else 503, f"{word}\n".encode())

    def _class_health(self, query: str) -> Response:
        """``/healthz?class=NAME``: whether most of that class's queries can be answered now."""
        wanted = dict(parse_qsl(query)).get("class", "")
        names = [spec.name for spec in self.broker.settings.classes]
        if wanted not in names:
            return Response(404, f"no class '{wanted}'; there are {', '.join(names)}\n".encode())
        if self.broker.stopping:
            return Response(503, b"stopping\n")
        share = self.broker.reachability.served_fraction(names.index(wanted))
        return Response(
            200 if share >= MINIMUM_REACHABLE_FRACTION else 503,
            f"{share:.0%} of {wanted} queries can be answered\n".encode(),
        )

    def _service(self) -> Response:
        assert self.broker.service_statistics is not None
        return Response(
            200,
            msgspec.json.encode(
                {
                    **self.broker.service_statistics.page(),
                    "held": self.broker.open_count,
                    "settings": self.broker.current_version.version,
                }
            ),
            JSON,
        )

    def _metrics(self) -> Response:
        return Response(200, generate_latest(self.figures.registry), PROMETHEUS)

    def _explain(self, query: str) -> Response:
        wanted = dict(parse_qsl(query)).get("id", "")
        told = self.broker.explain(wanted)
        if told is None:
            recent = self.broker.explanations.query_ids[-10:]
            return Response(404, f"no recent query '{wanted}'; the latest are {', '.join(recent)}\n".encode())
        return Response(200, msgspec.json.format(msgspec.json.encode(told)) + b"\n", JSON)

    def _state(self) -> Response:
        broker, now = self.broker, self.broker.loop.now()
        hosts = [
            {
                "node": server.node,
                "cell": server.replica_group,
                "zone": server.zone,
                "live": server.live,
                "out": len(server.in_flight),
                "pace": round(server.relative_latency.value, 3),
                "ejected": {
                    "all" if key < 0 else broker.settings.classes[key].name: {
                        "for_ms": max(0, bar.ejected_at_us + bar.duration_us - now) // 1000,
                        "trial": bar.half_open,
                        "dead": bar.disconnect_reason,
                    }
                    for key, bar in server.ejections.items()
                },
                "last_ok_ms": (now - server.last_answer_at_us) // 1000
                if server.last_answer_at_us >= 0
                else None,
                "connected": (link := broker.links.get(server.node)) is not None and link.up,
            }
            for server in broker.aggregator.endpoints.values()
        ]
        links = (
            []
            if broker.regions is None
            else [
                {
                    "region": link.region,
                    "state": link.state,
                    "for_ms": (now - link.since_us) // 1000 if link.since_us else None,
                    "why": link.evidence,
                    "crossed": link.crossed_count,
                    "further_crossed": link.additional_crossed_count,
                }
                for link in broker.regions.links.values()
            ]
        )
        state = {
            "name": broker.name,
            "links": links,
            "stopping": broker.stopping,
            "held": broker.open_count,
            "queries": len(broker.queries),
            "hosts": hosts,
            "counts": {"/".join(key): count for key, count in sorted(broker.counters.items())},
        }
        return Response(200, msgspec.json.format(msgspec.json.encode(state)) + b"\n", JSON)
