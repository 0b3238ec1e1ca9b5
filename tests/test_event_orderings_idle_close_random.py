"""Random schedules of requests, idle connections and new clients at the gateway.

On virtual time the order of tasks within a turn is random too, but a reader always runs before its connection
can be closed. On sockets bytes also wait in the kernel.

Guards against dropping a request that was read: whatever closes its connection, each request whose bytes were
all taken from the transport gets a response. A request that was still in the transport may be lost with its
connection, as its client sends it again.
"""

from __future__ import annotations

from random import Random
from typing import Final

import pytest

from heathwell.eventloop import Stream, StreamBrokenError, sleep
from heathwell.eventloop.sockets import SocketStream
from heathwell.eventloop.virtual import VirtualStream

from .event_ordering_world import HEALTH_CHECK, World
from .platform import Platform
from .test_gateway_front import raw_request

CLIENT_COUNT: Final = 10
MAX_CLIENTS: Final = 6  # of the gateway, so that new connections close idle ones
MAX_KEPT_ALIVE: Final = 3
REQUESTS_PER_CLIENT: Final = 12
PAUSES_US: Final = (0, 0, 100, 300, 2_000)  # between the segments of a client
SILENT_BURST: Final = 3  # connections
SILENT_BURST_PROBABILITY: Final = 0.3
SETTLE_US: Final = 1_000_000  # longer than the timeout of each query
RESPONSE: Final = b"HTTP/1.1 "


class Connection:
    """One connection of a client: the requests that were written, and the bytes that came back."""

    def __init__(self, stream: Stream, local_address: str) -> None:
        self.stream = stream
        self.local_address = local_address
        self.requests: list[bytes] = []
        self.received = bytearray()

    def response_count(self) -> int:
        """Return the number of responses received."""
        return self.received.count(RESPONSE)

    def read_count(self, taken_bytes: int) -> int:
        """Return the number of requests that the first ``taken_bytes`` contain whole."""
        count = 0
        for request in self.requests:
            taken_bytes -= len(request)
            count += taken_bytes >= 0
        return count


class RandomClients:
    """Clients that send requests whole, split or pipelined, rest, and connect again when they are closed."""

    def __init__(self, network: str, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.random = Random(seed)
        self.world = Platform(seed=seed) if network == "memory" else World()
        self.world.front.max_clients = MAX_CLIENTS
        self.world.front.max_kept_alive = MAX_KEPT_ALIVE
        self.connections: list[Connection] = []
        self.taken_bytes: dict[str, int] = {}  # from the transport, by the address of the other end
        self._record_taken_bytes(VirtualStream if network == "memory" else SocketStream, monkeypatch)

    def _record_taken_bytes(self, transport: type[Stream], monkeypatch: pytest.MonkeyPatch) -> None:
        receive = transport._receive

        def receive_and_count(stream: Stream, size: int) -> bytes | None:
            data = receive(stream, size)
            self.taken_bytes[stream.peer] = self.taken_bytes.get(stream.peer, 0) + len(data or b"")
            return data

        monkeypatch.setattr(transport, "_receive", receive_and_count)

    def play(self):
        """Run all clients to their end."""
        clients = [
            self.world.loop.spawn(self._run(number), f"client {number}") for number in range(CLIENT_COUNT)
        ]
        for client in clients:
            yield from client.join()
        yield from sleep(self.world.loop, SETTLE_US)

    def _run(self, number: int):
        connection = None
        sent = 0
        while sent < REQUESTS_PER_CLIENT:
            if connection is None or connection.stream.closed or connection.stream.hung_up:
                connection = yield from self._connect(number)
            batch = []
            for _ in range(self.random.choice((1, 1, 1, 2, 3))):
                is_health_check = self.random.random() < 0.2
                batch.append(HEALTH_CHECK if is_health_check else raw_request(b"q%d-%d" % (number, sent)))
                sent += 1
            if self.random.random() < SILENT_BURST_PROBABILITY:
                self._connect_silently(number)
            yield from self._send(connection, batch)
            yield from sleep(self.world.loop, self.random.choice((0, 1_000, 20_000, 60_000)))

    def _connect_silently(self, number: int) -> None:
        """Open connections at once that send nothing, as the client sends a request."""
        for _ in range(SILENT_BURST):
            self.world.loop.spawn(self._connect(number), "connects silently")

    def _connect(self, number: int):
        address = self.world.listener.address
        if isinstance(self.world, Platform):
            stream = yield from self.world.net.connect(address, 1_000_000, f"client{number}")
            connection = Connection(stream, stream.local_address)
        else:
            stream = yield from self.world.net.connect(address, 1_000_000)
            host, port = stream._sock.getsockname()
            connection = Connection(stream, f"{host}:{port}")
        self.connections.append(connection)
        self.world.loop.spawn(self._read(connection), "reads")
        return connection

    def _read(self, connection: Connection):
        try:
            while data := (yield from connection.stream.read()):
                connection.received += data
        except StreamBrokenError:
            pass  # the close of the other side, over unread bytes or not

    def _send(self, connection: Connection, batch: list[bytes]):
        """Write requests in one to three segments."""
        data = b"".join(batch)
        connection.requests += batch
        cuts = sorted(self.random.sample(range(1, len(data)), self.random.choice((0, 0, 1, 2))))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            connection.stream.try_write(data[start:end])
            yield from sleep(self.world.loop, self.random.choice(PAUSES_US))


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("network", ["memory", "sockets"])
def test_each_request_that_was_read_is_answered_whatever_closes_idle_connections(network, seed, monkeypatch):
    """The client's own end is not part of the schedules: a client that has left gets no response."""
    clients = RandomClients(network, seed, monkeypatch)
    clients.world.run(clients.play())
    counts = clients.world.front.counts
    assert counts["closed for another"] + counts["let go"] > 0  # the schedule does close idle connections
    for connection in clients.connections:
        taken_bytes = clients.taken_bytes.get(connection.local_address, 0)
        assert connection.response_count() >= connection.read_count(taken_bytes), connection.requests
