"""The admin HTTP server: ``/healthz``, ``/metrics``, ``/state``, ``/explain`` and ``/service``.

The texts of the pages and the names of their fields are a stable interface for operators' tools.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from urllib.parse import parse_qsl

import msgspec
from prometheus_client import generate_latest

from heathwell.codec.http import Request, Response
from heathwell.eventloop import Coro, Stream
from heathwell.observability.http_pages import PROMETHEUS_CONTENT_TYPE, serve_pages
from heathwell.servers.admin_metrics import MetricsCollector
from heathwell.servers.admin_state import broker_state
from heathwell.servers.memcached import MemcachedServer
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.service_statistics import ServiceStatistics
from heathwell.service.shard_reachability import MINIMUM_REACHABLE_FRACTION

JSON_CONTENT_TYPE = "application/json"
MAX_NAMED_QUERIES = 10  # recent query ids listed in the error for an unknown one


class AdminServer:
    """Serves the pages of one broker; ``/service`` exists only where the broker keeps service statistics."""

    def __init__(self, broker: ServiceBroker, server: MemcachedServer) -> None:
        self._broker = broker
        self._metrics = MetricsCollector(broker, server)
        self._pages: dict[str, Callable[[], Response]] = {
            "/healthz": self._health_page,
            "/metrics": self._metrics_page,
            "/state": self._state_page,
        }
        if broker.service_statistics is not None:
            self._pages["/service"] = partial(self._service_page, broker.service_statistics)

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection until it ends."""
        yield from serve_pages(stream, self.answer)

    def answer(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == "/healthz" and request.query:
            return self._class_health_page(request.query)
        if request.path == "/explain":
            return self._explain_page(request.query)
        page = self._pages.get(request.path)
        if page is None:
            return Response(404, ("pages: " + " ".join(self._pages) + " /explain?id=\n").encode())
        if request.method not in ("GET", "HEAD"):
            return Response(405, b"GET only\n", headers=(("allow", "GET"),))
        return page()

    def _health_page(self) -> Response:
        problem = self._health_problem()
        if problem is None:
            return Response(200, b"ok\n")
        return Response(503, f"{problem}\n".encode())

    def _health_problem(self) -> str | None:
        """Return why load balancers should send the broker no clients; None if it is healthy."""
        broker = self._broker
        if broker.stopping:
            return "stopping"
        if not any(endpoint.live for endpoint in broker.aggregator.endpoints.values()):
            return "no hosts"
        if broker.zone_observer is not None and broker.zone_observer.is_evacuated():
            return "the fleet leaves this zone"
        if broker.is_cut_off:
            return "cut off from most shards"
        return None

    def _class_health_page(self, query: str) -> Response:
        """Serve ``/healthz?class=NAME``: 200 if most queries of the class can be answered now, else 503."""
        name = dict(parse_qsl(query)).get("class", "")
        names = [spec.name for spec in self._broker.settings.classes]
        if name not in names:
            return Response(404, f"no class '{name}'; there are {', '.join(names)}\n".encode())
        if self._broker.stopping:
            return Response(503, b"stopping\n")
        fraction = self._broker.reachability.answerable_query_fraction(names.index(name))
        status = 200 if fraction >= MINIMUM_REACHABLE_FRACTION else 503
        return Response(status, f"{fraction:.0%} of {name} queries can be answered\n".encode())

    def _service_page(self, statistics: ServiceStatistics) -> Response:
        page = {
            **statistics.page(),
            "held": self._broker.open_count,
            "settings": self._broker.current_version.version,
        }
        return Response(200, msgspec.json.encode(page), JSON_CONTENT_TYPE)

    def _metrics_page(self) -> Response:
        return Response(200, generate_latest(self._metrics.registry), PROMETHEUS_CONTENT_TYPE)

    def _explain_page(self, query: str) -> Response:
        query_id = dict(parse_qsl(query)).get("id", "")
        explanation = self._broker.explain(query_id)
        if explanation is None:
            recent = ", ".join(self._broker.explanations.query_ids[-MAX_NAMED_QUERIES:])
            return Response(404, f"no recent query '{query_id}'; the latest are {recent}\n".encode())
        return _formatted_json(explanation)

    def _state_page(self) -> Response:
        return _formatted_json(broker_state(self._broker))


def _formatted_json(value: object) -> Response:
    return Response(200, msgspec.json.format(msgspec.json.encode(value)) + b"\n", JSON_CONTENT_TYPE)
