"""What a broker did for its clients, by class, for those who compare brokers: retries count with their first
try.
"""

from __future__ import annotations

import os
import time
from collections import OrderedDict
from pathlib import Path
from typing import Any

from heathwell import policy
from heathwell.broker.replies import ANSWERED, MISS, REFUSED, Reply

KEPT = 4_096  # first tries that a retry is recognised by
FIGURES = ("asked", "worth", "in_aim", "refused", "failed", "partial")


class ServiceStatistics:
    """Sums since the start. A query's worth is its share of a whole answer in its aim, as its class says. It
    is counted as it ends, so that worth and queries of a span are of the same ones.
    """

    def __init__(self, classes: tuple[policy.QueryClass, ...]) -> None:
        self.classes = {spec.name: spec for spec in classes}
        self.sums: dict[str, dict[str, float]] = {spec.name: dict.fromkeys(FIGURES, 0.0) for spec in classes}
        self._first: OrderedDict[tuple[str, str], tuple[int, float]] = (
            OrderedDict()
        )  # when it came, and its worth yet

    def asked(self, now: int, who: str, key: str, query_class: str) -> None:
        """A query came in; the same of the same client within its class's limit is a retry of the first."""
        first = self._first.get((who, key))
        if first is not None and now - first[0] <= self.classes[query_class].timeout_us:
            return
        self._first.pop((who, key), None)
        self._first[who, key] = now, -1.0
        while len(self._first) > KEPT:
            self._first.popitem(last=False)

    def ended(self, now: int, who: str, key: str, reply: Reply) -> None:
        """Its reply, also one at the door. A retry adds what it brought beyond the try before."""
        spec, sums = self.classes[reply.query_class], self.sums[reply.query_class]
        began, given = self._first.get((who, key), (now, -1.0))
        sums["asked"] += given < 0
        worth, in_aim = 0.0, now - began <= spec.latency_objective_us
        if reply.kind not in (ANSWERED, MISS):
            sums["refused" if reply.kind == REFUSED else "failed"] += 1
        else:
            worth = 1.0 if in_aim else spec.late_weight
            if not reply.complete and reply.kind == ANSWERED:
                sums["partial"] += 1
                worth *= spec.partial_weight
            sums["in_aim"] += in_aim
        sums["worth"] += max(0.0, worth - max(given, 0.0))
        if (who, key) in self._first:
            self._first[who, key] = began, max(worth, given)

    def page(self) -> dict[str, Any]:
        """For the machine's agent: sums by class, processor (us) and memory (bytes) of this process."""
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "classes": self.sums,
            "cpu_us": time.process_time_ns() // 1000,
            "memory": pages * os.sysconf("SC_PAGE_SIZE"),
        }
