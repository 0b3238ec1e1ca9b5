"""Clients that send a request again until it is answered, each by its own rule, in memory or on sockets."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from heathwell.eventloop import ConnectError, Coro, Loop, Net, Stream, StreamBrokenError, sleep
from heathwell.service.key_spaces import KeySpaces
from heathwell.settings import ServiceSettings
from heathwell.settings.records.queries import QueryClass
from heathwell.testing.simulation.memcached_values import MemcachedValue, read_values
from heathwell.testing.simulation.outage_record import ClientBehavior, ClientRequest, OutageRecord
from heathwell.testing.simulation.simulated_scenario import CompletedQuery
from heathwell.testing.standins.units import US_PER_SECOND

ABANDON_AFTER_US: Final = 8_000_000
"""A client that has no answer to a request by then abandons it."""
CONNECT_TIMEOUT_US: Final = 1_000_000
MIN_BACKOFF_US: Final = 100_000
MAX_BACKOFF_US: Final = 300_000
TRADER_COUNT: Final = 60
RECORDS_PER_CLIENT: Final = 9_000


FIXED_DELAYS_US: Final = {
    ClientBehavior.IGNORES_RETRY_AFTER: 100_000,
    ClientBehavior.FIXED_BACKOFF: 500_000,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class PopulationParameters:
    """A population of clients.

    Each waits an exponentially distributed time between its requests, of ``think_seconds`` in the mean. A
    client ignores retry-after with the probability ``ignoring_fraction``; the others have ``behavior``.
    """

    clients: int
    think_seconds: float
    ignoring_fraction: float
    seed: int
    behavior: ClientBehavior = ClientBehavior.OBEYS_RETRY_AFTER


class RetryingClients:
    """The clients of a run, which record their requests in ``record``.

    ``client_net`` returns the network of a client by its number, ``broker_addresses`` the addresses of the
    brokers now. ``load_factor`` is what the mean time between requests is divided by now.
    """

    def __init__(
        self,
        loop: Loop,
        service_settings: ServiceSettings,
        record: OutageRecord,
        parameters: PopulationParameters,
        *,
        client_net: Callable[[int], Net],
        broker_addresses: Callable[[], list[str]],
        load_factor: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.loop = loop
        self.service_settings = service_settings
        self.record = record
        self.parameters = parameters
        self.client_net = client_net
        self.broker_addresses = broker_addresses
        self.load_factor = load_factor
        self.key_spaces = KeySpaces(service_settings)
        self._random = random.Random(parameters.seed + 3)

    def start(self, until_us: int) -> None:
        """Start all clients; none starts a request at or after that time of the loop."""
        for number in range(self.parameters.clients):
            client = _RetryingClient(self, number, self._draw_behavior())
            self.loop.spawn(client.run(until_us), "client")

    def _draw_behavior(self) -> ClientBehavior:
        if self._random.random() < self.parameters.ignoring_fraction:
            return ClientBehavior.IGNORES_RETRY_AFTER
        return self.parameters.behavior

    def query_class(self, key: str) -> QueryClass:
        """Return the query class of a key."""
        plan = self.key_spaces.plan(key)
        assert plan is not None, key
        return self.service_settings.classes[plan.query_class]


class _RetryingClient:
    """One client, with at most one connection and one request at a time."""

    def __init__(self, population: RetryingClients, number: int, behavior: ClientBehavior) -> None:
        self._population = population
        self._loop = population.loop
        self._number = number
        self._behavior = behavior
        self._random = random.Random(population.parameters.seed * 100_000 + number)
        self._stream: Stream | None = None

    def run(self, until_us: int) -> Coro[None]:
        """Send requests until a time of the loop."""
        population = self._population
        while self._loop.now() < until_us:
            rate = population.load_factor() / population.parameters.think_seconds
            yield from sleep(self._loop, int(self._random.expovariate(rate) * US_PER_SECOND))
            if self._loop.now() >= until_us:
                return
            key = self._draw_key()
            query_class = population.query_class(key)
            request = ClientRequest(self._loop.now(), query_class.name, self._behavior)
            population.record.requests.append(request)
            yield from self._request(request, key, query_class)

    def _draw_key(self) -> str:
        search_key = f"price:t{self._random.randrange(TRADER_COUNT)}"
        record_key = f"sale:t{self._number}:{self._random.randrange(RECORDS_PER_CLIENT)}"
        return self._random.choice([search_key, record_key])

    def _request(self, request: ClientRequest, key: str, query_class: QueryClass) -> Coro[None]:
        """Attempt a request until it is answered or abandoned."""
        while self._loop.now() - request.started_at_us < ABANDON_AFTER_US:
            request.attempts += 1
            backoff_us = self._random.randrange(MIN_BACKOFF_US, MAX_BACKOFF_US)
            try:
                values = yield from self._attempt(key, request.attempts)
            except (ConnectError, StreamBrokenError):
                self._stream = None
                yield from sleep(self._loop, backoff_us)
                continue
            body = values[0].body if values else None
            duration_us = self._loop.now() - request.started_at_us
            if body is None or body.is_answer:
                request.duration_us = duration_us
                request.outcome = CompletedQuery(key, query_class, body, duration_us).outcome
                return
            retry_after_us = body.retry_after_ms * 1000
            delay_us = FIXED_DELAYS_US.get(self._behavior, retry_after_us)
            yield from sleep(self._loop, delay_us or backoff_us)

    def _attempt(self, key: str, attempt: int) -> Coro[list[MemcachedValue]]:
        """Send a request once and return the values of its reply; another attempt takes another broker.

        Raise ConnectError or StreamBrokenError where the broker can't be reached, or the connection is lost.
        """
        if self._stream is None or self._stream.closed:
            addresses = self._population.broker_addresses()
            address = addresses[(self._number + attempt) % len(addresses)]
            net = self._population.client_net(self._number)
            self._stream = yield from net.connect(address, CONNECT_TIMEOUT_US)
        self._stream.write(f"get {key}\r\n".encode())
        return (yield from read_values(self._stream))
