"""The endpoint list: live, draining and gone endpoints, restrictions, and polling with backoff.

Constants that end in ``OBJECTIVES`` are durations in multiples of the shortest latency objective.
"""

from __future__ import annotations

from collections.abc import Collection

from heathwell.policy.actions import WatchEndpoints
from heathwell.policy.context import DecisionContext
from heathwell.policy.events import (
    EndpointEntry,
    EndpointState,
    EndpointUpdate,
    RestrictionUpdate,
    UpdateKind,
)
from heathwell.policy.operator_events import DiscoveryDegraded
from heathwell.policy.records import ALL_CLASSES, Endpoint, Part, TimerKind

# Initial backoff, doubled before each wait, as a fraction of the time within which changes must be known.
POLL_BACKOFF_FIRST_FRACTION = 0.1
# Longest backoff, as a fraction of the same time, so that two calls fit into it.
POLL_BACKOFF_MAXIMUM_FRACTION = 0.45
# Smallest fraction of a backoff that is waited; the jitter is drawn between it and 1.
POLL_JITTER_MINIMUM = 0.5
# Least time for which the record of an endpoint is kept after the endpoint left the list.
ENDPOINT_RETENTION_OBJECTIVES = 20


class EndpointTable:
    """Owns the known endpoints, by node and by replica group, and the polling of discovery."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        settings = context.settings
        self.by_node: dict[str, Endpoint] = {}
        self.by_group: dict[int, list[Endpoint]] = {}
        # Pushed changes count as known at once, so the time lost to a broken watch reduces the drain grace.
        within_us = settings.max_poll_interval_us if settings.poll_mode else settings.drain_grace_us
        self._backoff_first_us = max(int(within_us * POLL_BACKOFF_FIRST_FRACTION), settings.tick_us)
        self._backoff_maximum_us = max(int(within_us * POLL_BACKOFF_MAXIMUM_FRACTION), settings.tick_us)
        self._backoff_us = self._backoff_first_us
        self._polled_at_us: int | None = None

    def __len__(self) -> int:
        """Return the number of known endpoints."""
        return len(self.by_node)

    def all(self) -> list[Endpoint]:
        """Return the known endpoints in the order in which they were first listed."""
        return list(self.by_node.values())

    def get(self, node: str) -> Endpoint | None:
        """Return an endpoint, or None if it is not known."""
        return self.by_node.get(node)

    def live(self) -> list[Endpoint]:
        """Return the endpoints that are neither draining nor gone."""
        return [endpoint for endpoint in self.by_node.values() if endpoint.live]

    def live_rating(self) -> float:
        """Return the sum of the live endpoints' capacity ratings."""
        return sum(endpoint.rating for endpoint in self.by_node.values() if endpoint.live)

    @property
    def maximum_memory_us(self) -> float:
        """The longest time for which samples of an endpoint count."""
        return self._context.settings.slow_start_duration_us or self._minimum_retention_us

    @property
    def _minimum_retention_us(self) -> int:
        return ENDPOINT_RETENTION_OBJECTIVES * self._context.shortest_objective_us

    def replicas(self, part: Part) -> list[Endpoint]:
        """Return the endpoints of the part's replica groups in any state."""
        settings = self._context.settings
        replicas: list[Endpoint] = []
        for step in range(settings.groups_per_shard):
            group = (part.shard + step) % settings.replica_groups
            replicas.extend(self.by_group.get(group, ()))
        return replicas

    # Restrictions

    def restrict(self, event: RestrictionUpdate) -> None:
        """Replace the restrictions of one class, or those that hold for all classes."""
        key = ALL_CLASSES if event.query_class is None else event.query_class
        for endpoint in self.by_node.values():
            endpoint.restrict(key, event.deprioritized, event.excluded)

    def has_only_excluded_replicas(self, part: Part) -> bool:
        """Return whether a part has live replicas and all of them are excluded."""
        class_keys = {ALL_CLASSES, part.query.query_class}
        live = [endpoint for endpoint in self.replicas(part) if endpoint.live]
        return bool(live) and all(endpoint.excluded_for & class_keys for endpoint in live)

    # Updates

    def on_update(self, update: EndpointUpdate) -> None:
        """Apply a message from discovery; in poll mode, poll again."""
        if update.kind == UpdateKind.FAILED:
            self._retry_poll()
            return
        if update.kind == UpdateKind.FULL:
            self._mark_unlisted_as_gone(update.endpoints)
        for entry in update.endpoints:
            self._apply_entry(entry)
        self._drop_expired()
        self._rebuild_groups()
        if update.requested:
            self._polled_at_us = None
            self._backoff_us = self._backoff_first_us
        elif self._context.settings.poll_mode:
            self._poll()

    def _mark_unlisted_as_gone(self, entries: Collection[EndpointEntry]) -> None:
        listed = {entry.node for entry in entries}
        for endpoint in self.by_node.values():
            if endpoint.node not in listed:
                endpoint.live = False
                endpoint.gone_at_us = endpoint.gone_at_us or self._context.now_us

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.by_node.get(entry.node)
        if endpoint is None:
            if entry.state != EndpointState.LIVE:
                return
            endpoint = Endpoint.from_entry(entry)
            self.by_node[entry.node] = endpoint
        elif entry.started_at_us and entry.started_at_us != endpoint.started_at_us:
            endpoint.restart(entry.started_at_us)
        endpoint.update(entry, self._context.now_us)

    def _drop_expired(self) -> None:
        """Drop idle endpoints that left the list so long ago that slow start would be over by now."""
        retention_us = max(self._context.settings.slow_start_duration_us, self._minimum_retention_us)
        edge_us = self._context.now_us - retention_us
        for endpoint in self.all():
            if endpoint.gone_before(edge_us) and not endpoint.in_flight:
                del self.by_node[endpoint.node]

    def _rebuild_groups(self) -> None:
        self.by_group = {}
        for endpoint in self.by_node.values():
            self.by_group.setdefault(endpoint.replica_group, []).append(endpoint)

    # Polling

    def on_poll_due(self) -> None:
        """Call discovery when a backoff has ended."""
        self._poll()

    def on_poll_timeout(self) -> None:
        """Call discovery again if the present call has had no reply for the longest backoff."""
        polled_at_us = self._polled_at_us or self._context.now_us
        if self._context.now_us >= polled_at_us + self._backoff_maximum_us:
            self._poll()

    def _poll(self) -> None:
        self._polled_at_us = self._context.now_us
        self._context.emit(WatchEndpoints())
        self._context.schedule(self._context.now_us + self._backoff_maximum_us, TimerKind.POLL_TIMEOUT)

    def _retry_poll(self) -> None:
        """Schedule a call after a backoff with jitter: the drain grace can't be kept without updates."""
        context = self._context
        self._polled_at_us = None
        self._backoff_us = min(self._backoff_us * 2, self._backoff_maximum_us)
        wait_us = int(self._backoff_us * context.random.uniform(POLL_JITTER_MINIMUM, 1.0))
        context.schedule(context.now_us + wait_us, TimerKind.POLL)
        context.notify_operators("discovery", DiscoveryDegraded(wait_us))
