"""Connects a service broker to endpoints, by one connection each or by a pool within the fleet's quota."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from heathwell.eventloop import Net
from heathwell.service.host_link import AttemptObserver, HostLink
from heathwell.service.host_pool import HostPool
from heathwell.service.quota_gate import CONNECTIONS, QuotaGate
from heathwell.service.service_context import ServiceContext
from heathwell.settings.schema import Limits

ADDITIONAL_IDLE_TIMEOUT_US = 2_000_000  # The longest idle timeout of the connections in a pool.


@dataclass(frozen=True, slots=True)
class ConnectionQuota:
    """Functions that acquire, if possible, and release quota for an additional connection to an endpoint."""

    acquire: Callable[[], bool]
    release: Callable[[], None]


class EndpointConnections:
    """Creates the connections of one broker; ``observer`` is notified of the ends of attempts and probes."""

    def __init__(
        self, broker: ServiceContext, observer: AttemptObserver, net: Net, quota_gate: QuotaGate | None
    ) -> None:
        self._broker = broker
        self._observer = observer
        self._net = net
        self._quota_gate = quota_gate
        self._linger_us = quota_gate.linger_us if quota_gate is not None else 0

    def connect(self, node: str) -> HostLink | HostPool:
        """Return a connection to an endpoint, or a pool if the settings allow several."""
        limits = self._broker.service_settings.limits
        if limits.host_connections == 1:
            return self._make_link(node, limits, limits.idle_close)
        idle_timeout_us = min(limits.idle_close, ADDITIONAL_IDLE_TIMEOUT_US)
        quota = self._quota_of(node)
        return HostPool(
            self._broker.loop,
            lambda on_closed: self._make_link(node, limits, idle_timeout_us, on_closed),
            maximum_connections=limits.host_connections,
            busy_at=limits.busy_connection,
            linger_us=self._linger_us,
            acquire=quota.acquire,
            release=quota.release,
        )

    def _quota_of(self, node: str) -> ConnectionQuota:
        """Return the quota of additional connections to an endpoint."""
        quota_gate = self._quota_gate
        if quota_gate is None or not quota_gate.has_budget(CONNECTIONS):
            return ConnectionQuota(_always, _nothing)
        return ConnectionQuota(
            partial(quota_gate.acquire_connection, node), partial(quota_gate.release_connection, node)
        )

    def _make_link(
        self,
        node: str,
        limits: Limits,
        idle_timeout_us: int,
        on_closed: Callable[[bool], None] | None = None,
    ) -> HostLink:
        return HostLink(
            self._broker.loop,
            self._net,
            node,
            self._broker.name,
            self._observer,
            connect_timeout_us=limits.connect_timeout,
            probe_timeout_us=limits.probe_timeout,
            idle_timeout_us=idle_timeout_us,
            log=self._broker.log,
            endpoint_idle_timeout_us=self._linger_us,
            on_closed=on_closed,
        )


def _always() -> bool:
    return True


def _nothing() -> None:
    return None
