"""What the broker believes beside what passed on its sockets, a line a second; off unless ``HEATHWELL_TRACE``
is set.

Beliefs are the module's: own counts, ejections, cold and draining nodes. Facts are the links' and the
front's.
"""

from __future__ import annotations

import sys
import time
from collections import Counter

from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.front import Front

EVERY_US = 1_000_000


class Trace:
    """Prints once a second."""

    def __init__(self, broker: PlatformBroker, front: Front) -> None:
        self.broker, self.front, self.loop = broker, front, broker.loop
        self._before: Counter[str] = Counter()
        self._at = self.loop.now()
        self._look()

    def _facts(self) -> Counter[str]:
        facts = Counter(self.broker.passed)
        for link in self.broker.links.values():
            facts.update(link.figures())
        for kind, figure in self.broker.counters.items():
            if kind[0] == "final":
                facts[f"{kind[2]} {kind[3]}"] += figure
            elif kind[0] in ("attempt", "probe", "door"):
                facts[f"{kind[0]} {kind[-1]}"] += figure
        facts.update(self.front.counts)
        facts["cpu_ms"] = time.process_time_ns() // 1_000_000
        facts["module_ms"] = self.broker.decision_time_ns // 1_000_000
        facts["turns"] = self.loop.turns
        return facts

    def _look(self) -> None:
        now, facts, broker = self.loop.now(), self._facts(), self.broker
        module, links = broker.aggregator, broker.links
        passed = " ".join(
            f"{name.replace(' ', '_')}={figure - self._before[name]}"
            for name, figure in sorted(facts.items())
            if figure != self._before[name]
        )
        servers = [server for server in module.endpoints.values() if server.live]
        believed = (
            f"known={len(module.endpoints)} live={len(servers)} "
            f"ejected={sum(bool(s.ejections) for s in servers)} "
            f"cold={sum(module.slow_start_fraction(s) < 1 for s in servers)} "
            f"out={sum(len(s.in_flight) for s in servers)}"
        )
        held = (
            f"queries={len(broker.queries)} links={len(links)} "
            f"links_out={sum(len(k.out) for k in links.values())} "
            f"node_conns={broker.room.open} single={sum(k.single for k in links.values())} "
            f"clients={len(self.front.clients)} resting={len(self.front.resting)} "
            f"tasks={len(self.loop.tasks)}"
        )
        lag = now - self._at - EVERY_US
        print(
            f"trace {now / 1e6:.2f} lag_us={lag} believes: {believed} holds: {held} passed: {passed}",
            file=sys.stderr,
        )
        self._before, self._at = facts, now
        self.loop.call_at(now + EVERY_US, self._look)
