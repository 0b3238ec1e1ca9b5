"""The admin pages of a quota coordinator: ``/healthz`` and ``/metrics``.

The pages read the server's state at each request; the module owns only a metrics registry. Imports: the quota
coordinator's server, `prometheus_client` and the HTTP pages of `heathwell.observability`.
"""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from heathwell.codec.http import Request, Response
from heathwell.eventloop import Coro, Stream
from heathwell.fleet.control.quota_coordinator import QuotaCoordinatorServer
from heathwell.fleet.membership import MemberState
from heathwell.observability.http_pages import PROMETHEUS_CONTENT_TYPE, serve_pages


class CoordinatorAdminPages:
    """Serves the admin port of a quota coordinator, and collects its metrics."""

    def __init__(self, server: QuotaCoordinatorServer) -> None:
        self.server = server
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def serve(self, stream: Stream) -> Coro[None]:
        """Serve one connection until it ends."""
        yield from serve_pages(stream, self.answer)

    def answer(self, request: Request) -> Response:
        """Return the page of a request; ``/healthz`` has status 503 while no fraction's lease is held."""
        if request.path == "/metrics":
            return Response(200, generate_latest(self.registry), PROMETHEUS_CONTENT_TYPE)
        if request.path == "/healthz":
            held = self.server.coordinator.held_fractions(self.server.loop.now())
            return Response(200 if held else 503, f"owns {len(held)} fractions\n".encode())
        return Response(404, b"pages: /healthz /metrics\n")

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics."""
        coordinator = self.server.coordinator
        now = self.server.loop.now()
        members = GaugeMetricFamily("heathwell_members", "Members by state", labels=("state",))
        states = [entry.state for entry in coordinator.membership.entries.values()]
        for state in MemberState:
            members.add_metric((state.value,), states.count(state))
        yield members
        yield GaugeMetricFamily(
            "heathwell_fractions_owned",
            "Fractions of which this coordinator may grant",
            value=len(coordinator.held_fractions(now)),
        )
        granted = GaugeMetricFamily(
            "heathwell_budget_given",
            "What members may hold of this coordinator's fractions; of a rate thousandths a second",
            labels=("budget", "fraction"),
        )
        for (name, fraction), ledger in coordinator.ledgers.items():
            granted.add_metric((name, str(fraction)), ledger.total_charge(now))
        yield granted
        changes = CounterMetricFamily("heathwell_member_changes", "Members' changes of state", labels=("to",))
        for labels, count in self.server.counts.items():
            if labels[0] == "member":
                changes.add_metric((labels[1],), count)
        yield changes
        yield CounterMetricFamily(
            "heathwell_renewals", "Renewals answered", value=self.server.counts["renewals",]
        )
        yield CounterMetricFamily(
            "heathwell_control_garbled",
            "Connections that spoke another wire",
            value=self.server.counts["garbled",],
        )
