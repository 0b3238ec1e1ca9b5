"""Random schedules of requests, idle connections and new clients at the gateway.

On virtual time the order of tasks within a turn is random too, but a reader always runs before its connection
can be closed. On sockets bytes also wait in the kernel.

Guards against dropping a request that was read: whatever closes its connection, each request whose bytes were
all taken from the transport gets a response. A request that was still in the transport may be lost with its
connection, as its client sends it again.
"""

from __future__ import annotations

import socket
from collections import defaultdict
from random import Random
from typing import Final

import pytest

from heathwell.eventloop import Coro, Stream, StreamBrokenError, sleep
from heathwell.eventloop.net import Listener
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

    def __init__(self, stream: Stream, local_address: str, earlier: int) -> None:
        self.stream = stream
        self.local_address = local_address
        self.earlier = earlier  # number of connections that were made from the same address before
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


class TakenBytes:
    """Counts the bytes that a listener's accepted streams take from their transport.

    Each stream is counted for itself: an address of the other end does not name a connection, as the kernel
    uses one local port for connections to several listeners, and uses it again once a connection has ended.
    """

    def __init__(self, listener: Listener, transport: type[Stream], monkeypatch: pytest.MonkeyPatch) -> None:
        self._accepted: defaultdict[str, list[Stream]] = defaultdict(list)  # by peer, the earliest first
        self._by_stream: dict[Stream, int] = {}
        serve = listener.handler
        receive = transport._receive

        def record_and_serve(stream: Stream) -> Coro[None]:
            self._accepted[stream.peer].append(stream)
            self._by_stream[stream] = 0
            return serve(stream)

        def receive_and_count(stream: Stream, size: int) -> bytes | None:
            data = receive(stream, size)
            if stream in self._by_stream:
                self._by_stream[stream] += len(data or b"")
            return data

        monkeypatch.setattr(listener, "handler", record_and_serve)
        monkeypatch.setattr(transport, "_receive", receive_and_count)

    def of_client(self, address: str, earlier: int) -> int:
        """Return the bytes taken of a client's connection; ``earlier`` ones were made from its address."""
        accepted = self._accepted[address]
        return self._by_stream[accepted[earlier]] if earlier < len(accepted) else 0


class RandomClients:
    """Clients that send requests whole, split or pipelined, rest, and connect again when they are closed."""

    def __init__(self, network: str, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.random = Random(seed)
        self.world = Platform(seed=seed) if network == "memory" else World()
        self.world.front.max_clients = MAX_CLIENTS
        self.world.front.max_kept_alive = MAX_KEPT_ALIVE
        self.connections: list[Connection] = []
        transport: type[Stream] = VirtualStream if network == "memory" else SocketStream
        self.taken_bytes = TakenBytes(self.world.listener, transport, monkeypatch)

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
            local_address = stream.local_address
        else:
            stream = yield from self.world.net.connect(address, 1_000_000)
            host, port = stream._sock.getsockname()
            local_address = f"{host}:{port}"
        earlier = sum(other.local_address == local_address for other in self.connections)
        connection = Connection(stream, local_address, earlier)
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
        taken_bytes = clients.taken_bytes.of_client(connection.local_address, connection.earlier)
        assert taken_bytes <= sum(map(len, connection.requests))  # else they are another connection's
        assert connection.response_count() >= connection.read_count(taken_bytes), connection.requests


def test_bytes_from_the_same_port_to_another_listener_are_not_counted(monkeypatch):
    """Guards against counting bytes by the address of the other end, as this file once did."""
    world = World()
    taken = TakenBytes(world.listener, SocketStream, monkeypatch)
    others = []

    def serve_other(stream):
        others.append((yield from stream.read()))

    def main():
        other_listener = world.net.listen("127.0.0.1:0", serve_other, "other")
        first, second = socket.socket(), socket.socket()
        for sock in (first, second):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        first.bind(("127.0.0.1", 0))
        second.bind(first.getsockname())
        for sock, listener in ((first, world.listener), (second, other_listener)):
            host, port = listener.address.split(":")
            sock.connect((host, int(port)))
        first.send(HEALTH_CHECK)
        second.send(2 * HEALTH_CHECK)
        host, port = first.getsockname()
        assert second.getsockname() == (host, port)
        yield from world.wait_until(lambda: others and taken.of_client(f"{host}:{port}", 0), "both read")
        assert others == [2 * HEALTH_CHECK]
        assert taken.of_client(f"{host}:{port}", 0) == len(HEALTH_CHECK)
        for sock in (first, second):
            sock.close()

    world.run(main())
