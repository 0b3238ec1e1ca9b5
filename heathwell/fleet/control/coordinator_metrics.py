"""A keeper's pages: ``/healthz`` and ``/metrics``."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from heathwell.codec.http import Request, Response
from heathwell.fleet.control.quota_coordinator import QuotaCoordinatorServer
from heathwell.fleet.membership import MemberState
from heathwell.kernel import Coro, Stream
from heathwell.observability.http_pages import PROMETHEUS, serve_pages


class CoordinatorAdminPages:
    """Serves the admin port of a keeper."""

    def __init__(self, server: QuotaCoordinatorServer) -> None:
        self.server = server
        self.registry = CollectorRegistry(auto_describe=False)
        self.registry.register(self)

    def serve(self, stream: Stream) -> Coro[None]:
        """One connection."""
        yield from serve_pages(stream, self.answer)

    def answer(self, request: Request) -> Response:
        """The page of a request."""
        if request.path == "/metrics":
            return Response(200, generate_latest(self.registry), PROMETHEUS)
        if request.path == "/healthz":
            owned = self.server.coordinator.held_fractions(self.server.loop.now())
            return Response(200 if owned else 503, f"owns {len(owned)} fractions\n".encode())
        return Response(404, b"pages: /healthz /metrics\n")

    def collect(self) -> Iterator[Metric]:
        """Read when asked for."""
        server, keeper, now = self.server, self.server.coordinator, self.server.loop.now()
        members = GaugeMetricFamily("heathwell_members", "Members by state", labels=("state",))
        states = [entry.state for entry in keeper.membership.entries.values()]
        for state in MemberState:
            members.add_metric((state.value,), states.count(state))
        yield members
        yield GaugeMetricFamily(
            "heathwell_fractions_owned",
            "Fractions that this keeper may lend of",
            value=len(keeper.held_fractions(now)),
        )
        given = GaugeMetricFamily(
            "heathwell_budget_given",
            "What members may hold of this keeper's fractions; of a rate thousandths a second",
            labels=("budget", "fraction"),
        )
        for (name, fraction), ledger in keeper.ledgers.items():
            given.add_metric((name, str(fraction)), ledger.total_charge(now))
        yield given
        changes = CounterMetricFamily("heathwell_member_changes", "Members' changes of state", labels=("to",))
        for key, count in server.counts.items():
            if key[0] == "member":
                changes.add_metric((key[1],), count)
        yield changes
        yield CounterMetricFamily("heathwell_renewals", "Renewals answered", value=server.counts["renewals",])
        yield CounterMetricFamily(
            "heathwell_control_garbled",
            "Connections that spoke another wire",
            value=server.counts["garbled",],
        )
