"""Statistics of the service that a broker gave its clients, by query class, so that brokers can be compared.

A query and the client's retries of it count as one.
"""

from __future__ import annotations

import os
import time
from collections import OrderedDict
from collections.abc import Sequence
from pathlib import Path
from typing import TypedDict

from heathwell import policy
from heathwell.broker.replies import Reply, ReplyKind

MAXIMUM_FIRST_REQUESTS = 4_096  # First requests that are kept to recognize retries.
COUNTER_NAMES = ("asked", "worth", "in_aim", "refused", "failed", "partial")


class ServicePage(TypedDict):
    """The page that a node agent reads from a broker: sums by class, processor time, and memory (bytes)."""

    classes: dict[str, dict[str, float]]
    cpu_us: int
    memory: int


class ServiceStatistics:
    """Sums since the start, by the names that the statistics page uses.

    The sum ``worth`` adds up the weights of replies: 1 for a complete reply within the latency objective,
    less for a late or partial one, as the query class specifies. A weight is added when the query ends, so
    that the weights and the number of queries in an interval belong to the same queries.
    """

    def __init__(self, classes: Sequence[policy.QueryClass]) -> None:
        self.classes = {spec.name: spec for spec in classes}
        self.sums: dict[str, dict[str, float]] = {
            spec.name: dict.fromkeys(COUNTER_NAMES, 0.0) for spec in classes
        }
        # By client and key: when the first request arrived, and the weight added so far (-1: no reply yet).
        self._first_requests: OrderedDict[tuple[str, str], tuple[int, float]] = OrderedDict()

    def record_query(self, now: int, client_id: str, key: str, query_class: str) -> None:
        """Record a query's arrival.

        It is a retry if the client requested the same key within the class's timeout before.
        """
        first = self._first_requests.get((client_id, key))
        if first is not None and now - first[0] <= self.classes[query_class].timeout_us:
            return
        self._first_requests.pop((client_id, key), None)
        self._first_requests[client_id, key] = now, -1.0
        while len(self._first_requests) > MAXIMUM_FIRST_REQUESTS:
            self._first_requests.popitem(last=False)

    def record_reply(self, now: int, client_id: str, key: str, reply: Reply) -> None:
        """Record a reply or a rejection at admission.

        The reply to a retry only adds the weight by which it exceeds earlier replies to the same query.
        """
        query_class = self.classes[reply.query_class]
        sums = self.sums[reply.query_class]
        arrived_at_us, credited = self._first_requests.get((client_id, key), (now, -1.0))
        sums["asked"] += credited < 0
        weight = 0.0
        within_objective = now - arrived_at_us <= query_class.latency_objective_us
        if reply.kind not in (ReplyKind.ANSWERED, ReplyKind.MISS):
            sums["refused" if reply.kind == ReplyKind.REFUSED else "failed"] += 1
        else:
            weight = 1.0 if within_objective else query_class.late_weight
            if not reply.complete and reply.kind == ReplyKind.ANSWERED:
                sums["partial"] += 1
                weight *= query_class.partial_weight
            sums["in_aim"] += within_objective
        sums["worth"] += max(0.0, weight - max(credited, 0.0))
        if (client_id, key) in self._first_requests:
            self._first_requests[client_id, key] = arrived_at_us, max(weight, credited)

    def page(self) -> ServicePage:
        """Return sums by class, processor time (us) and memory (bytes), for the node agent."""
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        return {
            "classes": self.sums,
            "cpu_us": time.process_time_ns() // 1000,
            "memory": pages * os.sysconf("SC_PAGE_SIZE"),
        }
