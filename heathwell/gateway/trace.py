"""A diagnostic line per second on standard error: the decision module's view beside counters of the sockets.

Written only if ``HEATHWELL_TRACE`` is set. The module's view are its counts of endpoints: known, live,
ejected and in slow start, and their attempts in flight. The counters are those of the links and the front.
:class:`Trace` owns nothing but the previous sample; it reads the broker and the front.
"""

from __future__ import annotations

import sys
import time
from collections import Counter

from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.front import Front

INTERVAL_US = 1_000_000


class Trace:
    """Prints a sample on creation, and then one each ``INTERVAL_US``."""

    def __init__(self, broker: PlatformBroker, front: Front) -> None:
        self.broker = broker
        self.front = front
        self.loop = broker.loop
        self._previous_counters: Counter[str] = Counter()
        self._previous_at_us = self.loop.now()
        self._print_sample()

    def _print_sample(self) -> None:
        now_us = self.loop.now()
        counters = self._counters()
        module_view = self._module_view()
        table_sizes = self._table_sizes()
        passed = self._changes(counters)
        lag_us = now_us - self._previous_at_us - INTERVAL_US
        print(
            f"trace {now_us / 1e6:.2f} lag_us={lag_us} "
            f"believes: {module_view} holds: {table_sizes} passed: {passed}",
            file=sys.stderr,
        )
        self._previous_counters = counters
        self._previous_at_us = now_us
        self.loop.call_at(now_us + INTERVAL_US, self._print_sample)

    def _counters(self) -> Counter[str]:
        counters = Counter(self.broker.closed_link_statistics)
        for link in self.broker.links.values():
            counters.update(link.statistics())
        for kind, count in self.broker.counters.items():
            if kind[0] == "final":
                counters[f"{kind[2]} {kind[3]}"] += count
            elif kind[0] in ("attempt", "probe", "door"):
                counters[f"{kind[0]} {kind[-1]}"] += count
        counters.update(self.front.counts)
        counters["cpu_ms"] = time.process_time_ns() // 1_000_000
        counters["module_ms"] = self.broker.decision_time_ns // 1_000_000
        counters["turns"] = self.loop.turns
        return counters

    def _changes(self, counters: Counter[str]) -> str:
        """Format the counters that changed since the previous sample."""
        return " ".join(
            f"{name.replace(' ', '_')}={count - self._previous_counters[name]}"
            for name, count in sorted(counters.items())
            if count != self._previous_counters[name]
        )

    def _module_view(self) -> str:
        aggregator = self.broker.aggregator
        live = [endpoint for endpoint in aggregator.endpoints.values() if endpoint.live]
        return (
            f"known={len(aggregator.endpoints)} live={len(live)} "
            f"ejected={sum(bool(endpoint.ejections) for endpoint in live)} "
            f"cold={sum(aggregator.slow_start_fraction(endpoint) < 1 for endpoint in live)} "
            f"out={sum(len(endpoint.in_flight) for endpoint in live)}"
        )

    def _table_sizes(self) -> str:
        links = self.broker.links
        return (
            f"queries={len(self.broker.queries)} links={len(links)} "
            f"links_out={sum(len(link.in_flight) for link in links.values())} "
            f"node_conns={self.broker.pool_limit.open} "
            f"single={sum(link.is_single_part for link in links.values())} "
            f"clients={len(self.front.clients)} resting={len(self.front.inactive)} "
            f"tasks={len(self.loop.tasks)}"
        )
