"""Many of the platform's brokers on virtual time, with one discovery that serves them in turn: what does no
harm in one broker and harm in all of them is seen here.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import msgspec

from heathwell.eventloop import ConnectError, Coro, Listener, StreamBrokenError, sleep, virtual_loop
from heathwell.gateway.broker import PlatformBroker
from heathwell.gateway.config import Config, read
from heathwell.gateway.front import Front
from heathwell.testing.simulation.platform_config import encode_config, platform_settings
from heathwell.testing.standins.platform_client import PlatformClient
from heathwell.testing.standins.platform_discovery import PlatformDiscovery
from heathwell.testing.standins.platform_node import PlatformNode

UNIX_US = 1_700_000_000_000_000


class MultiBrokerScenario:
    """``brokers`` brokers, ``nodes`` nodes of a cell each; discovery spends ``line_us`` on a line and on a
    call.
    """

    def __init__(self, brokers: int, nodes: int, seed: int, *, line_us: int = 0) -> None:
        self.loop, self.net = virtual_loop(seed)
        self.draw = random.Random(seed)
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        self.cells = nodes
        self.nodes = [self._node(cell, cell) for cell in range(nodes)]
        self.registry = PlatformDiscovery(
            self.loop, self.net.at("registry"), "registry:8500", self.nodes, entry_work_us=line_us
        )
        self.known = {"rev": 1, "all": True, "targets": [node.entry for node in self.nodes]}
        self.brokers: list[PlatformBroker] = []
        self._fronts: list[tuple[Front, Listener]] = []
        self.told: Counter[int] = Counter()  # answers by status; 0: none came
        self._asked = self._made = 0
        for number in range(brokers):
            self._start(number, brokers)

    def _node(self, number: int, cell: int) -> PlatformNode:
        uid = f"s{number}"
        return PlatformNode(self.loop, self.net.at(uid), f"{uid}:7070", uid, cell)

    def _config(self, number: int, brokers: int) -> Config:
        return read(
            encode_config(
                name=f"n{number}",
                listen=f"b{number}:7070",
                seed=f"{self.draw.getrandbits(64):016x}",
                known=self.known,
                settings=platform_settings(replica_groups=self.cells, shards=2 * self.cells, brokers=brokers),
            )
        )

    def _start(self, number: int, brokers: int) -> None:
        config = self._config(number, brokers)
        net = self.net.at(f"b{number}")
        broker = PlatformBroker(self.loop, net, config, log=lambda *_a, **_k: None, unix_us=lambda: UNIX_US)
        front = Front(broker, config.client_sockets, config.kept_clients, lambda *_a, **_k: None)
        self.brokers[number : number + 1] = [broker]
        self._fronts[number : number + 1] = [(front, net.listen(config.listen, front.serve, "client"))]

    def restart(self, number: int) -> None:
        """As SIGKILL and a start at the same address, with the list as the broker was first given it."""
        front, listener = self._fronts[number]
        listener.close()
        self.brokers[number].kill()
        for client in list(front.clients):
            client.stream.abort()
        self._start(number, len(self.brokers))

    def replace(self, cell: int) -> None:
        """A cell's node is replaced by a new one of another id."""
        old = self.nodes[cell]
        self._made += 1
        self.nodes[cell] = self._node(self.cells + self._made, cell)
        self.registry.publish({**old.entry, "state": "removed"})
        self.registry.publish(self.nodes[cell].entry)
        old.kill()

    def unaware(self) -> int:
        """How many brokers don't know the nodes of now."""
        wanted = {node.uid for node in self.nodes}
        return sum(
            {server.node for server in broker.aggregator.endpoints.values() if server.live} != wanted
            for broker in self.brokers
        )

    def load(self, rate: float, until_us: int) -> Coro[None]:
        """Queries of four parts each, so many a second over all brokers, until then."""
        while self.loop.now() < until_us:
            self._asked += 1
            self.loop.spawn(self._query(self._asked, self.draw.randrange(len(self.brokers))), "query")
            yield from sleep(self.loop, int(self.draw.expovariate(rate) * 1e6))

    def _query(self, number: int, broker: int) -> Coro[None]:
        client = PlatformClient(self.loop, self.net.at(f"c{number}"), f"b{broker}:7070")
        first = self.draw.randrange(2 * self.cells)
        try:
            response = yield from client.send_query(
                f"q{number}", "price-search", [(first + step) % (2 * self.cells) for step in range(4)]
            )
        except (StreamBrokenError, ConnectError):
            self.told[0] += 1
            return
        self.told[response.status] += 1
        if response.status == 200 and len(msgspec.json.decode(response.body)["rows"]) < 3:
            raise AssertionError(f"q{number}: an answer under its floor")
        if client.stream is not None:
            client.stream.close()

    def run(self, gen: Coro[Any]) -> Any:
        """Run a coroutine to its end."""
        return self.loop.run(self.loop.spawn(gen, "main"))
