"""Many of the platform's brokers in virtual time, with one discovery that serves their requests in turn.

It shows the load that all brokers together put on discovery, which a single broker doesn't.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, TypeVar

import msgspec

from heathwell.eventloop import ConnectError, Coro, Listener, StreamBrokenError, sleep, virtual_loop
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import Config, read
from heathwell.gateway.front import Front
from heathwell.testing.simulation.errors import SimulationError
from heathwell.testing.simulation.platform_config import encode_config, platform_settings
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode
from heathwell.testing.standins.units import US_PER_SECOND

T = TypeVar("T")

UNIX_TIME_US: Final = 1_700_000_000_000_000
SHARDS_PER_REPLICA_GROUP: Final = 2
QUERY_CLASS: Final = "price-search"
QUERY_PARTS: Final = 4
MINIMUM_ANSWERED_PARTS: Final = 3
NO_RESPONSE: Final = 0
"""The status under which queries are counted whose connection broke."""


class AnswerBelowMinimumError(SimulationError):
    """A query was answered with fewer parts than its class requires."""

    def __init__(self, query: str, answered_parts: int) -> None:
        super().__init__(f"{query}: answered with {answered_parts} parts, below its minimum")
        self.query = query
        self.answered_parts = answered_parts


@dataclass(frozen=True, slots=True)
class _BrokerProcess:
    """A broker with its server for clients."""

    broker: PlatformBroker
    front: Front
    listener: Listener

    def kill(self) -> None:
        """End it as SIGKILL does."""
        self.listener.close()
        self.broker.kill()
        for client in list(self.front.clients):
            client.stream.abort()


class MultiBrokerScenario:
    """``brokers`` brokers and ``nodes`` nodes, each of a replica group of its own.

    Discovery works ``entry_work_us`` on each request and on each entry that it sends. ``status_counts`` are
    the numbers of queries by the status of their response; ``errors`` are the tasks that failed.
    """

    def __init__(self, brokers: int, nodes: int, seed: int, *, entry_work_us: int = 0) -> None:
        self.loop, self.net = virtual_loop(seed)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.nodes = [self._make_node(group, group) for group in range(nodes)]
        self.registry = PlatformDiscovery(
            self.loop, self.net.at("registry"), "registry:8500", self.nodes, entry_work_us=entry_work_us
        )
        self.status_counts: Counter[int] = Counter()
        self._draws = random.Random(seed)
        self._replica_groups = nodes
        self._shards = SHARDS_PER_REPLICA_GROUP * nodes
        self._initial_endpoints = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        self._query_count = 0
        self._replacement_count = 0
        self._broker_count = brokers
        self._processes = [self._start(number) for number in range(brokers)]

    @property
    def brokers(self) -> list[PlatformBroker]:
        """Return the brokers that run now, by number."""
        return [process.broker for process in self._processes]

    def _make_node(self, number: int, replica_group: int) -> PlatformNode:
        uid = f"s{number}"
        return PlatformNode(self.loop, self.net.at(uid), f"{uid}:7070", uid, replica_group)

    def _config(self, number: int) -> Config:
        return read(
            encode_config(
                name=f"n{number}",
                listen=f"b{number}:7070",
                seed=f"{self._draws.getrandbits(64):016x}",
                known=self._initial_endpoints,
                settings=platform_settings(
                    replica_groups=self._replica_groups, shards=self._shards, brokers=self._broker_count
                ),
            )
        )

    def _start(self, number: int) -> _BrokerProcess:
        """Start a broker with the endpoints that the scenario began with."""
        config = self._config(number)
        net = self.net.at(f"b{number}")
        broker = PlatformBroker(self.loop, net, config, log=_discard_log, unix_us=lambda: UNIX_TIME_US)
        front = Front(broker, config.client_sockets, config.max_kept_alive_clients, _discard_log)
        return _BrokerProcess(broker, front, net.listen(config.listen, front.serve, "client"))

    def restart(self, number: int) -> None:
        """Kill a broker and start its successor at the same address."""
        self._processes[number].kill()
        self._processes[number] = self._start(number)

    def replace(self, replica_group: int) -> None:
        """Replace the node of a replica group by one of another id."""
        old = self.nodes[replica_group]
        self._replacement_count += 1
        new = self._make_node(self._replica_groups + self._replacement_count, replica_group)
        self.nodes[replica_group] = new
        self.registry.publish({**old.entry, "state": "removed"})
        self.registry.publish(new.entry)
        old.kill()

    def outdated_broker_count(self) -> int:
        """Return how many brokers have other endpoints than the nodes that run now."""
        running = {node.uid for node in self.nodes}
        return sum(_live_nodes(broker) != running for broker in self.brokers)

    def load(self, rate: float, until_us: int) -> Coro[None]:
        """Send ``rate`` queries a second to random brokers until this time of the loop."""
        while self.loop.now() < until_us:
            self._query_count += 1
            broker = self._draws.randrange(len(self._processes))
            self.loop.spawn(self._query(f"q{self._query_count}", self._query_count, broker), "query")
            yield from sleep(self.loop, int(self._draws.expovariate(rate) * US_PER_SECOND))

    def _query(self, query: str, client_number: int, broker: int) -> Coro[None]:
        """Send a query on a connection of its own and count its response."""
        client = PlatformClient(self.loop, self.net.at(f"c{client_number}"), f"b{broker}:7070")
        first_shard = self._draws.randrange(self._shards)
        shards = [(first_shard + step) % self._shards for step in range(QUERY_PARTS)]
        try:
            response = yield from client.send_query(query, QUERY_CLASS, shards)
        except (StreamBrokenError, ConnectError):
            self.status_counts[NO_RESPONSE] += 1
            return
        self.status_counts[response.status] += 1
        if response.status == HTTPStatus.OK:
            answered_parts = len(msgspec.json.decode(response.body)["rows"])
            if answered_parts < MINIMUM_ANSWERED_PARTS:
                raise AnswerBelowMinimumError(query, answered_parts)
        if client.stream is not None:
            client.stream.close()

    def run(self, main: Coro[T]) -> T | None:
        """Run a coroutine to its end and return its result."""
        return self.loop.run(self.loop.spawn(main, "main"))


def _live_nodes(broker: PlatformBroker) -> set[str]:
    return {endpoint.node for endpoint in broker.aggregator.endpoints.values() if endpoint.live}


def _discard_log(*_arguments: object, **_fields: object) -> None:
    """Drop a line of a broker's log."""
