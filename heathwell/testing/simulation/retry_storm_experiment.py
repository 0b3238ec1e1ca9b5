"""An experiment on retry storms: an outage and the retries after it, in virtual time.

Clients differ in when they send refused requests again, see
:class:`~heathwell.testing.simulation.outage_record.ClientBehavior`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

from heathwell.eventloop import Coro, HostNet, sleep
from heathwell.service.retry_storms import StormState
from heathwell.settings import loads
from heathwell.testing.simulation.demo_settings import (
    PRICE_KEYS,
    RULES,
    SALE_KEYS,
    discovery_section,
    fleet_section,
    limits_section,
    price_search_class,
    sale_record_class,
    settings_text,
)
from heathwell.testing.simulation.outage_record import ClientBehavior, OutageRecord
from heathwell.testing.simulation.retrying_clients import (
    ABANDON_AFTER_US,
    PopulationParameters,
    RetryingClients,
)
from heathwell.testing.simulation.simulated_scenario import SETTLE_US, SimulatedScenario
from heathwell.testing.standins.units import US_PER_SECOND

LAST_ANSWER_US: Final = 4_000_000
"""The time after the last request may have been abandoned."""

RETRY_STORM_SECTION: Final = "(storms (on yes) (first-rate 4s) (first-accepts 100) (accepts 2000))"


def retry_storm_settings(
    *, shards: int = 32, replica_groups: int = 16, replicas: int = 2, brokers: int = 3
) -> str:
    """Return the settings without retry storm control, with a leaf for each replica group."""
    return settings_text(
        price_search_class(),
        sale_record_class(),
        SALE_KEYS,
        PRICE_KEYS,
        fleet_section(
            shards=shards,
            replica_groups=replica_groups,
            replicas=replicas,
            zones=("hki-1", "hki-2", "espoo-1"),
            leaves=replica_groups,
            brokers=brokers,
        ),
        RULES,
        limits_section(max_in_flight=2000, max_retry_after_ms=500),
        "(leaf (slots 3) (queue 24))",
        discovery_section(),
    )


RETRY_STORM_SETTINGS: Final = retry_storm_settings()


class Variant(enum.StrEnum):
    """What limits the retries."""

    DECISION_MODULE = "module alone"
    """The brokers' decision module, without retry storm control."""
    FIXED_BACKOFF = "fixed backoff"
    """The same, and clients that wait a fixed time."""
    STORM_CONTROL = "damped"
    """The brokers' retry storm control."""

    @property
    def client_behavior(self) -> ClientBehavior:
        """The behavior of the clients that don't ignore retry-after."""
        if self is Variant.FIXED_BACKOFF:
            return ClientBehavior.FIXED_BACKOFF
        return ClientBehavior.OBEYS_RETRY_AFTER

    def settings_text(self, base: str) -> str:
        """Return the base settings with what the variant adds."""
        return base + (RETRY_STORM_SECTION if self is Variant.STORM_CONTROL else "")


VARIANTS: Final = tuple(Variant)


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryStormParameters:
    """The size and the course of a run.

    Without an outage, ``outage_seconds`` is 0. ``load_factor`` multiplies the clients' rate of requests
    during it. ``broker_restart_after_seconds``: one broker is restarted once more so long after the outage,
    never if 0. ``client_addresses``: clients share so many addresses, each has its own if 0.
    """

    clients: int = 600
    think_seconds: float = 12.0
    ignoring_fraction: float = 0.33
    before_seconds: float = 12.0
    outage_seconds: float = 20.0
    after_seconds: float = 40.0
    load_factor: float = 1.0
    broker_restart_after_seconds: float = 0.0
    client_addresses: int = 0
    settings: str = RETRY_STORM_SETTINGS

    @property
    def duration_seconds(self) -> float:
        """The time in which clients start requests."""
        return self.before_seconds + self.outage_seconds + self.after_seconds


DEFAULT_PARAMETERS: Final = RetryStormParameters()


@dataclass(frozen=True, slots=True)
class StormStateChange:
    """A broker's change to another state of its retry storm control, in seconds from the outage's end."""

    at_seconds: float
    broker: str
    state: StormState


class RetryStormScenario(SimulatedScenario):
    """One run, in which all hosts and brokers are lost at once and restarted cold.

    ``record`` holds the clients' requests.
    """

    def __init__(
        self, variant: Variant, seed: int = 1, parameters: RetryStormParameters = DEFAULT_PARAMETERS
    ) -> None:
        super().__init__(
            loads(variant.settings_text(parameters.settings)),
            seed,
            duration_seconds=parameters.duration_seconds,
            arrival_rate=1.0,
            fault_rate=0.0,
            poison_fraction=0.0,
        )
        self.variant = variant
        self.parameters = parameters
        self.record = OutageRecord()

    def _main(self) -> Coro[None]:
        yield from sleep(self.loop, SETTLE_US)
        started_at_us = self.loop.now()
        self._schedule_outage(started_at_us)
        until_us = started_at_us + int(self.duration_seconds * US_PER_SECOND)
        self._clients().start(until_us)
        yield from sleep(self.loop, until_us - self.loop.now() + ABANDON_AFTER_US + LAST_ANSWER_US)

    def _schedule_outage(self, started_at_us: int) -> None:
        parameters = self.parameters
        outage_started_at_us = started_at_us + int(parameters.before_seconds * US_PER_SECOND)
        self.record.outage_started_at_us = outage_started_at_us
        self.record.outage_ended_at_us = outage_started_at_us + int(parameters.outage_seconds * US_PER_SECOND)
        if parameters.outage_seconds:
            self.loop.spawn(self._inject_outage(), "outage")

    def _clients(self) -> RetryingClients:
        population = PopulationParameters(
            clients=self.parameters.clients,
            think_seconds=self.parameters.think_seconds,
            ignoring_fraction=self.parameters.ignoring_fraction,
            seed=self.seed,
            behavior=self.variant.client_behavior,
        )
        return RetryingClients(
            self.loop,
            self.service_settings,
            self.record,
            population,
            client_net=self._client_net,
            broker_addresses=self._broker_addresses,
            load_factor=self._load_factor,
        )

    def _client_net(self, number: int) -> HostNet:
        addresses = self.parameters.client_addresses or self.parameters.clients
        return self.net.at(f"c{number % addresses}")

    def _broker_addresses(self) -> list[str]:
        return [broker.address for broker in self.fleet.brokers]

    def _load_factor(self) -> float:
        is_outage = self.record.outage_started_at_us <= self.loop.now() < self.record.outage_ended_at_us
        return self.parameters.load_factor if is_outage else 1.0

    def _inject_outage(self) -> Coro[None]:
        """Lose all hosts and brokers, and restart them at the same time, cold."""
        yield from sleep(self.loop, self.record.outage_started_at_us - self.loop.now())
        for broker in self.fleet.brokers:
            broker.kill()
        for leaf in self.fleet.leaves:
            leaf.crash()
        yield from sleep(self.loop, int(self.parameters.outage_seconds * US_PER_SECOND))
        for leaf in self.fleet.leaves:
            leaf.start()
        for number in range(len(self.fleet.brokers)):
            self.fleet.restart_broker(number)
        if self.parameters.broker_restart_after_seconds:
            yield from sleep(self.loop, int(self.parameters.broker_restart_after_seconds * US_PER_SECOND))
            self.fleet.restart_broker(0)

    def state_changes(self) -> list[StormStateChange]:
        """Return the state changes of all brokers' retry storm control, in order."""
        return [
            StormStateChange(
                (event["t"] - self.record.outage_ended_at_us) / 1e6, event["who"], StormState(event["state"])
            )
            for event in self.events
            if event["ev"] == "storm"
        ]


class TrafficBurstScenario(RetryStormScenario):
    """A burst of first attempts in place of the outage: ``load_factor`` applies, and nothing is lost."""

    def _inject_outage(self) -> Coro[None]:
        yield from ()
