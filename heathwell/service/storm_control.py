"""Protection from retry storms: which queries and connections a broker accepts while clients retry."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from heathwell.broker.driver_contract import DriverContext
from heathwell.eventloop import Listener
from heathwell.service.retry_storms import TICK_INTERVAL_US, StormController, StormLimits, StormState
from heathwell.settings import ServiceSettings

STORM_SEED_MASK = 0x570


class StormEndpoint(Protocol):
    """What the control reads of an endpoint."""

    @property
    def node(self) -> str:
        """Its address."""

    @property
    def live(self) -> bool:
        """Whether it is listed as live."""


class StormBroker(DriverContext, Protocol):
    """What :class:`StormControl` uses of its broker."""

    @property
    def endpoints(self) -> Mapping[str, StormEndpoint]:
        """All listed endpoints, by node."""

    def slow_start_fraction(self, node: str) -> float:
        """The fraction of its capacity that an endpoint has by now."""


class StormControl:
    """The storm decider of one broker, with its clock and its view of the endpoints' capacity."""

    def __init__(self, broker: StormBroker, service_settings: ServiceSettings, seed: int) -> None:
        limits = service_settings.storms
        self._broker = broker
        self._largest_live_count = 1
        self.decider = StormController(
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
        """None where a query is accepted; else after how long (us) its client may retry."""
        verdict = self.decider.admit(self._broker.loop.now(), client, key, cost_us)
        self._broker.counters["asked as", verdict.kind.value] += 1
        return None if verdict.is_admitted else verdict.retry_after_us

    def record_reply(self, cost_us: float, *, is_answer: bool, within_objective: bool) -> None:
        """Record the reply to a query that was accepted."""
        self.decider.record_reply(cost_us, is_answer=is_answer, within_objective=within_objective)

    def retry_after_us(self, client: str, key: str, cost_us: float) -> int:
        """After how long a client whose query is rejected may retry, by the retry schedule."""
        return self.decider.schedule_retry(self._broker.loop.now(), client, key, cost_us)

    def pace(self, listener: Listener) -> None:
        """Limit the rate at which a listener accepts connections."""
        listener.accept_delay_us = lambda: self.decider.accept_delay_us(self._broker.loop.now())
        listener.on_accept = self.decider.on_connection_accepted

    def _tick(self) -> None:
        """Update the decider with the present fraction of the capacity, and log its changes of state."""
        if self._broker.dead:
            return
        now = self._broker.loop.now()
        self._broker.loop.call_at(now + TICK_INTERVAL_US, self._tick)
        change = self.decider.tick(now, self._capacity_fraction())
        if change is None:
            return
        state = change.state.value
        self._broker.counters["storm", state] += 1
        self._broker.events("storm", state=state, why=change.evidence)
        level = "warning" if change.state == StormState.STORM else "info"
        self._broker.log(level, "storm decider", state=state, why=change.evidence)

    def _capacity_fraction(self) -> float:
        """The capacity of the live endpoints as a fraction of that of the most that were ever live."""
        live = [endpoint for endpoint in self._broker.endpoints.values() if endpoint.live]
        self._largest_live_count = max(self._largest_live_count, len(live))
        capacity = sum(self._broker.slow_start_fraction(endpoint.node) for endpoint in live)
        return capacity / self._largest_live_count
