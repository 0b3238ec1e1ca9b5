"""Enforces the fleet's quotas in a broker.

There are quotas for additional attempts, for parts to endpoints in slow start, and for connections to one
endpoint. Before each batch of events the decision module is told how much it may send
(:class:`~heathwell.policy.QuotaUpdate`). Units are acquired only when an attempt is sent, at the time of the
clock then, so that no attempt uses a grant that has expired in the meantime.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, DriverContext
from heathwell.service.host_pool import HostPool

# The names of the budgets in settings and metrics.
ADDITIONAL_ATTEMPTS = "further"
SLOW_START_PARTS = "cold"
CONNECTIONS = "connections"

UNIT_MILLIUNITS = 1_000
TICK_INTERVAL_US = 50_000  # The interval at which slow start and connections beyond the quota are checked.
RATE_WINDOW_US = 2_000_000  # The window over which the mean rate of parts to an endpoint is measured.
MICROSECONDS_PER_SECOND = 1_000_000


class Holder(Protocol):
    """This broker's side of one budget (:class:`heathwell.fleet.quotas.QuotaHolder`)."""

    in_use: int
    baseline_demand: int

    def capacity(self, now: int) -> int:
        """Return what could be acquired now: milliunits of a rate, units of a count."""

    def record_unmet_demand(self, milliunits: int = UNIT_MILLIUNITS) -> None:
        """Record a use that the quota did not cover."""

    def excess(self, now: int) -> int:
        """Return the number of units held beyond the quota."""

    def overdue(self, now: int) -> int:
        """Return the number of units that must be returned now."""

    def first_expiry_in_us(self, now: int) -> int | None:
        """Return the time until the first of its grants expires; None without a grant."""


class Budget(Protocol):
    """What the gate reads of a fleet-wide budget (:class:`heathwell.fleet.quotas.Budget`)."""

    @property
    def linger_timeout_us(self) -> int:
        """The time for which an endpoint may keep what a dead holder held."""


class BudgetStatistics(Protocol):
    """What the metrics page shows of a budget (:class:`heathwell.fleet.quotas.BudgetStatistics`)."""

    @property
    def quota(self) -> float:
        """What may be used now: units, or units a second of a rate."""

    @property
    def admitted(self) -> int:
        """The number of admitted uses."""

    @property
    def rejected(self) -> int:
        """The number of rejected uses."""


class Agent(Protocol):
    """Obtains quotas for this broker (:class:`heathwell.fleet.control.fleet_agent.FleetAgent`)."""

    def check_incarnation(self) -> int:
        """Expire grants, before anything is used; return the current time (us)."""

    def acquire(self, budget: str, milliunits: int = UNIT_MILLIUNITS) -> bool:
        """Acquire milliunits for use now; return whether the quota covers them."""

    def release(self, budget: str) -> None:
        """Give back a unit of a count."""

    def holder(self, budget: str) -> Holder | None:
        """Return this broker's side of one budget; ``None`` if it is unknown."""

    def budget(self, name: str) -> Budget | None:
        """Return the fleet-wide budget of this name; ``None`` if it is not configured."""

    def statistics(self) -> Mapping[str, BudgetStatistics]:
        """Return this broker's statistics by budget, summed over a budget's endpoints."""


class QuotaEndpoint(Protocol):
    """What the gate reads of an endpoint."""

    @property
    def node(self) -> str:
        """Its address."""

    @property
    def live(self) -> bool:
        """Whether it is listed as live."""


class QuotaBroker(DriverContext, Protocol):
    """What the gate uses of its broker."""

    @property
    def links(self) -> Mapping[str, object]:
        """By node, its connection or its :class:`HostPool`."""

    @property
    def endpoints(self) -> Mapping[str, QuotaEndpoint]:
        """All listed endpoints, by node."""

    @property
    def slow_start_capacity(self) -> float:
        """The fraction of its capacity that an endpoint has when it starts."""

    def slow_start_fraction(self, node: str) -> float:
        """Return the fraction of its capacity that an endpoint has now."""


class QuotaGate:
    """Enforces the three budgets in one broker."""

    def __init__(self, broker: QuotaBroker, agent: Agent) -> None:
        self.agent = agent
        self._broker = broker
        self._budgets = frozenset(
            name
            for name in (ADDITIONAL_ATTEMPTS, SLOW_START_PARTS, CONNECTIONS)
            if agent.budget(name) is not None
        )
        connections = agent.budget(CONNECTIONS)
        self.linger_us = connections.linger_timeout_us if connections is not None else 0
        self._slow_start_price_milliunits: dict[str, int] = {}
        self._sendable_until_us: dict[AttemptKey, int] = {}
        self._sent_in_window = 0
        self._window_started_at_us = broker.loop.now()
        self._mean_rate_milliunits = 0
        broker.loop.call_at(broker.loop.now() + TICK_INTERVAL_US, self._tick)

    def has_budget(self, name: str) -> bool:
        """Return whether a budget of this name is configured."""
        return name in self._budgets

    # Attempts.

    def quota_update(self) -> policy.QuotaUpdate | None:
        """Return what the decision module may send now; ``None`` if no budget limits attempts."""
        now = self.agent.check_incarnation()
        if not self._budgets & {ADDITIONAL_ATTEMPTS, SLOW_START_PARTS}:
            return None
        return policy.QuotaUpdate(self._additional_attempts(now), self._slow_start_parts(now))

    def _additional_attempts(self, now: int) -> int | None:
        """Return how many additional attempts may be sent; ``None`` without such a budget."""
        if not self.has_budget(ADDITIONAL_ATTEMPTS):
            return None
        holder = self.agent.holder(ADDITIONAL_ATTEMPTS)
        return holder.capacity(now) // UNIT_MILLIUNITS if holder is not None else None

    def _slow_start_parts(self, now: int) -> dict[str, int] | None:
        """Return, by endpoint in slow start, how many parts may be sent; ``None`` without such a budget."""
        if not self.has_budget(SLOW_START_PARTS):
            return None
        parts: dict[str, int] = {}
        for node, price in self._slow_start_price_milliunits.items():
            holder = self.agent.holder(_endpoint_budget(SLOW_START_PARTS, node))
            if holder is not None:
                parts[node] = holder.capacity(now) // price
        return parts

    def acquire(self, send: policy.Send, key: AttemptKey) -> bool:
        """Acquire the quota that an attempt needs; return whether the quotas cover it.

        A grant may have expired since the decision module got its update.
        """
        self._sent_in_window += 1
        budgets: list[str] = []
        if send.slow_start:
            budget = _endpoint_budget(SLOW_START_PARTS, send.node)
            price = self._slow_start_price_milliunits.get(send.node, UNIT_MILLIUNITS)
            if not self.agent.acquire(budget, price):
                return False
            budgets.append(budget)
        if send.is_additional and self.has_budget(ADDITIONAL_ATTEMPTS):
            if not self.agent.acquire(ADDITIONAL_ATTEMPTS):
                return False
            budgets.append(ADDITIONAL_ATTEMPTS)
        self._record_expiry(key, budgets)
        return True

    def _record_expiry(self, key: AttemptKey, budgets: list[str]) -> None:
        """Record when the first of the grants that an attempt uses expires."""
        now = self._broker.loop.now()
        expiries_in_us: list[int] = []
        for budget in budgets:
            holder = self.agent.holder(budget)
            expires_in_us = holder.first_expiry_in_us(now) if holder is not None else None
            if expires_in_us is not None:
                expiries_in_us.append(expires_in_us)
        if expiries_in_us:
            self._sendable_until_us[key] = now + min(expiries_in_us)

    def may_still_send(self, key: AttemptKey) -> bool:
        """Return whether an attempt that waited for its connection may still be sent."""
        now = self.agent.check_incarnation()
        until_us = self._sendable_until_us.get(key)
        return until_us is None or now < until_us

    def forget_attempt(self, key: AttemptKey) -> None:
        """Drop the record of an attempt that has ended."""
        self._sendable_until_us.pop(key, None)

    def record_exhausted(self) -> None:
        """Count an additional attempt that the quota did not cover as unmet demand."""
        holder = self.agent.holder(ADDITIONAL_ATTEMPTS)
        if holder is not None:
            holder.record_unmet_demand()
            self._broker.counters["lacked", ADDITIONAL_ATTEMPTS] += 1

    # Connections.

    def acquire_connection(self, node: str) -> bool:
        """Acquire a unit for one more connection to an endpoint; return whether the quota covers it."""
        acquired = self.agent.acquire(_endpoint_budget(CONNECTIONS, node))
        if not acquired:
            self._broker.counters["lacked", CONNECTIONS] += 1
        return acquired

    def release_connection(self, node: str) -> None:
        """Give back the unit of a connection that has ended."""
        self.agent.release(_endpoint_budget(CONNECTIONS, node))

    # Periodic work.

    def _tick(self) -> None:
        """Update the prices and mean rates of slow start, and close connections beyond the quota."""
        if self._broker.dead:
            return
        now = self.agent.check_incarnation()
        self._broker.loop.call_at(now + TICK_INTERVAL_US, self._tick)
        if self.has_budget(SLOW_START_PARTS):
            self._measure_mean_rate(now)
            self._price_slow_start()
        if self.has_budget(CONNECTIONS):
            self._close_excess_connections(now)

    def _measure_mean_rate(self, now: int) -> None:
        """Measure once a window the mean milliunits a second that this broker sends to a live endpoint."""
        elapsed_us = now - self._window_started_at_us
        if elapsed_us < RATE_WINDOW_US:
            return
        live_count = max(1, sum(endpoint.live for endpoint in self._broker.endpoints.values()))
        sent_milliunits = self._sent_in_window * UNIT_MILLIUNITS
        self._mean_rate_milliunits = sent_milliunits * MICROSECONDS_PER_SECOND // (live_count * elapsed_us)
        self._sent_in_window = 0
        self._window_started_at_us = now

    def _price_slow_start(self) -> None:
        """Update the price of a part by endpoint in slow start.

        A part costs one unit while the endpoint has the capacity it starts with, and less as that grows.
        """
        self._slow_start_price_milliunits = {}
        for endpoint in self._broker.endpoints.values():
            if not endpoint.live:
                continue
            fraction = self._broker.slow_start_fraction(endpoint.node)
            if fraction >= 1:
                continue
            price = int(UNIT_MILLIUNITS * self._broker.slow_start_capacity / fraction)
            self._slow_start_price_milliunits[endpoint.node] = max(1, price)
            holder = self.agent.holder(_endpoint_budget(SLOW_START_PARTS, endpoint.node))
            if holder is not None:
                holder.baseline_demand = self._mean_rate_milliunits

    def _close_excess_connections(self, now: int) -> None:
        """Close connections beyond the quota once they are idle, and overdue ones at once."""
        for node, link in self._broker.links.items():
            if not isinstance(link, HostPool) or not link.has_additional:
                continue
            holder = self.agent.holder(_endpoint_budget(CONNECTIONS, node))
            if holder is not None:
                link.shrink(holder.excess(now))
                link.drop(holder.overdue(now))


def _endpoint_budget(budget: str, node: str) -> str:
    """Return the name of the budget of one endpoint."""
    return f"{budget}@{node}"
