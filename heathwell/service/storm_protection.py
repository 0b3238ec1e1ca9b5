"""Protects a broker from retry storms by limits on the queries and connections that it accepts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from heathwell.broker.driver_contract import DriverContext
from heathwell.eventloop import Listener
from heathwell.service.retry_storms import TICK_INTERVAL_US, StormController, StormLimits, StormState
from heathwell.settings import ServiceSettings

STORM_SEED_MASK = 0x570


class StormEndpoint(Protocol):
    """What :class:`StormProtection` reads of an endpoint."""

    @property
    def node(self) -> str:
        """Its address."""

    @property
    def live(self) -> bool:
        """Whether it is listed as live."""


class StormBroker(DriverContext, Protocol):
    """What :class:`StormProtection` uses of its broker."""

    @property
    def endpoints(self) -> Mapping[str, StormEndpoint]:
        """All listed endpoints, by node."""

    def slow_start_fraction(self, node: str) -> float:
        """Return the fraction of its capacity that an endpoint has now."""


class StormProtection:
    """Runs the storm controller of one broker, with the broker's clock and the capacity of its endpoints."""

    def __init__(self, broker: StormBroker, service_settings: ServiceSettings, seed: int) -> None:
        limits = service_settings.storms
        self._broker = broker
        self._largest_live_count = 1
        self.controller = StormController(
            StormLimits(
                limits.longest_retry_after_us,
                limits.repeat_interval_us,
                limits.accept_rate,
                limits.initial_accept_rate,
                float(limits.initial_work_rate_us),
            ),
            broker.loop.now(),
            seed ^ STORM_SEED_MASK,
        )
        broker.loop.call_at(broker.loop.now() + TICK_INTERVAL_US, self._tick)

    def check(self, client: str, key: str, cost_us: float) -> int | None:
        """Return None if a query is accepted, else after how long (us) its client may retry."""
        verdict = self.controller.admit(self._broker.loop.now(), client, key, cost_us)
        self._broker.counters["asked as", verdict.kind.value] += 1
        return None if verdict.is_admitted else verdict.retry_after_us

    def record_reply(self, cost_us: float, *, is_answer: bool, within_objective: bool) -> None:
        """Record the reply to an accepted query."""
        self.controller.record_reply(cost_us, is_answer=is_answer, within_objective=within_objective)

    def retry_after_us(self, client: str, key: str, cost_us: float) -> int:
        """Return after how long (us) the client of a rejected query may retry, by the retry schedule."""
        return self.controller.schedule_retry(self._broker.loop.now(), client, key, cost_us)

    def pace_accepts(self, listener: Listener) -> None:
        """Limit the rate at which a listener accepts connections."""
        listener.accept_delay_us = lambda: self.controller.accept_delay_us(self._broker.loop.now())
        listener.on_accept = self.controller.on_connection_accepted

    def _tick(self) -> None:
        """Update the controller with the current fraction of the capacity, and log its change of state."""
        if self._broker.dead:
            return
        now = self._broker.loop.now()
        self._broker.loop.call_at(now + TICK_INTERVAL_US, self._tick)
        change = self.controller.tick(now, self._capacity_fraction())
        if change is None:
            return
        state = change.state.value
        self._broker.counters["storm", state] += 1
        self._broker.events("storm", state=state, why=change.evidence)
        level = "warning" if change.state == StormState.STORM else "info"
        self._broker.log(level, "retry storm state changed", state=state, why=change.evidence)

    def _capacity_fraction(self) -> float:
        """Return the capacity of the live endpoints as a fraction of that of the most ever live at once."""
        live = [endpoint for endpoint in self._broker.endpoints.values() if endpoint.live]
        self._largest_live_count = max(self._largest_live_count, len(live))
        capacity = sum(self._broker.slow_start_fraction(endpoint.node) for endpoint in live)
        return capacity / self._largest_live_count
