"""Quotas of the fleet at the point of use in a broker: additional attempts, parts to endpoints in slow
start, and connections to one endpoint.

The decision module receives before each batch how much it may send (:class:`~heathwell.policy.QuotaUpdate`).
A unit is acquired at the moment an attempt is sent, by the clock of that moment, so that no attempt uses a
grant that has expired meanwhile.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, DriverContext
from heathwell.service.host_pool import HostPool

# Names of the budgets, as settings and metrics have them.
ADDITIONAL_ATTEMPTS = "further"
SLOW_START_PARTS = "cold"
CONNECTIONS = "connections"

UNIT_MILLIUNITS = 1_000
TICK_INTERVAL_US = 50_000  # between two checks of slow start and of connections beyond the quota
RATE_WINDOW_US = 2_000_000  # over which the usual number of parts an endpoint is counted
MICROSECONDS_PER_SECOND = 1_000_000


class Holder(Protocol):
    """This broker's side of one budget (:class:`heathwell.fleet.quotas.QuotaHolder`)."""

    in_use: int
    baseline_demand: int

    def capacity(self, now: int) -> int:
        """What could be taken now: milliunits of a rate, units of a count."""

    def record_unmet_demand(self, milliunits: int = UNIT_MILLIUNITS) -> None:
        """Record a use that the quota did not cover."""

    def excess(self, now: int) -> int:
        """Units beyond the quota."""

    def overdue(self, now: int) -> int:
        """Units that must be returned now."""

    def first_expiry_in_us(self, now: int) -> int | None:
        """How long the first of its grants lasts yet."""


class Budget(Protocol):
    """What the gate reads of a fleet-wide budget (:class:`heathwell.fleet.quotas.Budget`)."""

    @property
    def linger_timeout_us(self) -> int:
        """How long an endpoint may keep what a dead holder held."""


class BudgetStatistics(Protocol):
    """What the metrics page shows of a budget (:class:`heathwell.fleet.quotas.BudgetStatistics`)."""

    @property
    def quota(self) -> float:
        """What may be used now: units, of a rate a second."""

    @property
    def admitted(self) -> int:
        """Uses admitted."""

    @property
    def rejected(self) -> int:
        """Uses rejected."""


class Agent(Protocol):
    """What obtains quotas for this broker (:class:`heathwell.fleet.control.fleet_agent.FleetAgent`)."""

    def check_incarnation(self) -> int:
        """Expire grants before anything is used; returns the time (us)."""

    def acquire(self, budget: str, milliunits: int = UNIT_MILLIUNITS) -> bool:
        """Use so many milliunits now."""

    def release(self, budget: str) -> None:
        """Return a unit of a count."""

    def holder(self, budget: str) -> Holder | None:
        """This broker's side of one budget."""

    def budget(self, name: str) -> Budget | None:
        """Return the fleet-wide budget of this name; ``None`` where it is not set."""

    def statistics(self) -> Mapping[str, BudgetStatistics]:
        """This broker's statistics by budget; those of a budget's endpoints summed."""


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
        """The fraction of its capacity that an endpoint starts with."""

    def slow_start_fraction(self, node: str) -> float:
        """The fraction of its capacity that an endpoint has by now."""


class QuotaGate:
    """The three budgets of one broker."""

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
        """Whether such a budget is set."""
        return name in self._budgets

    # Attempts.

    def quota_update(self) -> policy.QuotaUpdate | None:
        """Return what the decision module may send now; ``None`` where no budget concerns attempts."""
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
        """Acquire what an attempt needs; false where a quota does not cover it.

        Time may have passed since the decision module got its update, so a grant may have expired.
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
        """Record when the first of the grants expires that an attempt was acquired from."""
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
        """Whether an attempt that waited for its connection may leave."""
        now = self.agent.check_incarnation()
        until_us = self._sendable_until_us.get(key)
        return until_us is None or now < until_us

    def forget_attempt(self, key: AttemptKey) -> None:
        """Drop the record of an attempt that has ended."""
        self._sendable_until_us.pop(key, None)

    def record_exhausted(self) -> None:
        """Count an additional attempt that the quota did not cover: it is demand."""
        holder = self.agent.holder(ADDITIONAL_ATTEMPTS)
        if holder is not None:
            holder.record_unmet_demand()
            self._broker.counters["lacked", ADDITIONAL_ATTEMPTS] += 1

    # Connections.

    def acquire_connection(self, node: str) -> bool:
        """Acquire a unit for one more connection to an endpoint; false where the quota does not cover it."""
        acquired = self.agent.acquire(_endpoint_budget(CONNECTIONS, node))
        if not acquired:
            self._broker.counters["lacked", CONNECTIONS] += 1
        return acquired

    def release_connection(self, node: str) -> None:
        """Return the unit of a connection that has ended."""
        self.agent.release(_endpoint_budget(CONNECTIONS, node))

    # Periodic work.

    def _tick(self) -> None:
        """Update prices and usual rates of slow start, and close connections beyond the quota."""
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
        """Once a window: the milliunits a second that a live endpoint usually gets of this broker."""
        elapsed_us = now - self._window_started_at_us
        if elapsed_us < RATE_WINDOW_US:
            return
        live_count = max(1, sum(endpoint.live for endpoint in self._broker.endpoints.values()))
        sent_milliunits = self._sent_in_window * UNIT_MILLIUNITS
        self._mean_rate_milliunits = sent_milliunits * MICROSECONDS_PER_SECOND // (live_count * elapsed_us)
        self._sent_in_window = 0
        self._window_started_at_us = now

    def _price_slow_start(self) -> None:
        """The price of a part by endpoint in slow start, in milliunits of one at its start's capacity."""
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
        """Close connections beyond the quota: idle ones where there is time, any where there is none."""
        for node, link in self._broker.links.items():
            if not isinstance(link, HostPool) or not link.has_additional:
                continue
            holder = self.agent.holder(_endpoint_budget(CONNECTIONS, node))
            if holder is not None:
                link.shrink(holder.excess(now))
                link.drop(holder.overdue(now))


def _endpoint_budget(budget: str, node: str) -> str:
    """The name of an endpoint's own budget."""
    return f"{budget}@{node}"
