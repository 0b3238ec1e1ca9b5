"""Crossings at the client protocols: an idle connection is to be closed as its next request arrives.

Broker, front and bare client sockets share one loop, so that the order is forced: the request's bytes are in
the socket before the closer runs, and nothing of the broker runs between the two.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest

from heathwell.eventloop import sleep, socket_loop
from heathwell.settings import loads
from heathwell.testing.simulation.local_fleet import LocalFleet

from .event_ordering_world import MAX_LOOP_TURNS
from .fleet import MARKET

SEARCHES = """
(across (let-go 1s))
(collection goods (class price-search) (size 8) (points 40))
(vector (listen 127.0.0.1:0) (idle 60s))
"""
MARKET_WITH_LIMITS = MARKET.replace("(limits (attempts 4)", "(limits (clients 3) (attempts 4)") + SEARCHES
GET = b"get sale:anna:17\r\n"
COLLECTIONS = b"GET /collections HTTP/1.1\r\nHost: b\r\n\r\n"


class Servers:
    """One broker with its memcached and its vector front, on sockets."""

    def __init__(self) -> None:
        self.loop, self.net, _ = socket_loop()
        self.errors: list[tuple[str, BaseException]] = []
        self.loop.on_error = lambda task, error: self.errors.append((task, error))
        self.fleet = LocalFleet(self.loop, lambda _name: self.net, loads(MARKET_WITH_LIMITS))
        self.running = self.fleet.brokers[0]
        self.sockets: list[socket.socket] = []
        self.new_streams: list[Any] = []

    def run(self, generator) -> None:
        try:
            self.loop.run(self.loop.spawn(generator, "main"))
            assert not self.errors, self.errors
        finally:
            for sock in self.sockets:
                sock.close()
            self.loop.shutdown()

    def connect(self, address: str, host: str = "127.0.0.1") -> socket.socket:
        """A client's bare socket; `host` is the address that it comes from."""
        target, port = address.split(":")
        sock = socket.create_connection((target, int(port)), source_address=(host, 0))
        sock.setblocking(False)
        self.sockets.append(sock)
        return sock

    def accept_one_elsewhere(self, host: str):
        """Take a connection that no front has seen yet, into `new_streams`."""
        count = len(self.new_streams)

        def keep(stream):
            self.new_streams.append(stream)
            yield from sleep(self.loop, 60_000_000)

        listener = self.net.listen("127.0.0.1:0", keep, "elsewhere")
        self.connect(listener.address, host)
        yield from self.until(lambda: len(self.new_streams) > count)

    def until(self, point: Callable[[], Any]):
        for _ in range(MAX_LOOP_TURNS):
            if point():
                return
            yield from sleep(self.loop, 200)
        raise AssertionError("never reached")

    def received(self, sock: socket.socket, end: bytes):
        """What the client reads until `end`; less where its connection is closed before."""
        data = b""
        while not data.endswith(end):
            try:
                more = sock.recv(65_536)
            except BlockingIOError:
                yield from sleep(self.loop, 200)
                continue
            except ConnectionResetError:
                return data + b"<reset>"
            if not more:
                return data + b"<closed>"
            data += more
        return data


class Memcached:
    """The memcached front as the script needs it."""

    request, end = GET, b"END\r\n"
    closers = ("cut off", "room for another", "the end")

    def __init__(self, servers: Servers) -> None:
        self.servers = servers
        self.front, self.address = servers.running.memcached_server, servers.running.address

    def connections(self) -> list[Any]:
        return list(self.front.connections)

    def close(self, by: str) -> None:
        if by == "the end":
            self.front.hand_over()
            return
        now = self.servers.loop.now()
        drain = self.front.broker.client_drain
        drain.spread_us = 1
        drain.tick(now - 5_000_000, is_cut_off=True)
        drain.tick = lambda _now_us, is_cut_off: None
        for connection in self.connections():
            connection.opened_at_us = now - 6_000_000
        self.front._drain_idle_clients()


class Vector:
    """The vector front as the script needs it."""

    request, end = COLLECTIONS, b"}"
    closers = ("its patience", "room for another")

    def __init__(self, servers: Servers) -> None:
        self.servers = servers
        self.front, self.address = servers.running.vector_server, servers.running.vector_address

    def connections(self) -> list[Any]:
        return list(self.front.clients.connections.values())

    def close(self, by: str) -> None:
        assert by == "its patience"
        for connection in self.connections():
            connection._quiet_since_us = -(1 << 60)
            connection._check_timeouts()


CASES = [(front, by) for front in (Memcached, Vector) for by in front.closers]


def three_idle_clients(servers, front):
    """As many clients as there may be, all of one address, each answered once."""
    socks = [servers.connect(front.address) for _ in range(3)]
    for sock in socks:
        sock.send(front.request)
        data = yield from servers.received(sock, front.end)
        assert data.endswith(front.end), data
    yield from servers.until(lambda: all(connection.is_idle for connection in front.connections()))
    return socks


def close_by(servers, front, by):
    """Let the closer run; for a new client it is the one that the front makes room for."""
    if by == "room for another":
        servers.loop.spawn(front.front.serve(servers.new_streams.pop()), "another client")
    else:
        front.close(by)


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize(("front", "by"), CASES)
def test_a_request_in_the_socket_as_its_idle_connection_is_to_close_is_answered(front, by, times):
    """Also where two closers run, one after the other, before the task that reads."""
    servers = Servers()
    front = front(servers)

    def main():
        socks = yield from three_idle_clients(servers, front)
        for _ in range(times):
            yield from servers.accept_one_elsewhere("127.0.0.2")
        for sock in socks:
            sock.send(front.request)  # from here to the closer nothing of the broker runs
        for _ in range(times):
            close_by(servers, front, by)
        for sock in socks:
            data = yield from servers.received(sock, front.end)
            assert data.endswith(front.end), data

    servers.run(main())


@pytest.mark.parametrize(("front", "by"), CASES)
def test_an_idle_connection_with_nothing_in_its_socket_is_closed(front, by):
    servers = Servers()
    front = front(servers)

    def main():
        socks = yield from three_idle_clients(servers, front)
        yield from servers.accept_one_elsewhere("127.0.0.2")
        connections = front.connections()
        close_by(servers, front, by)
        yield from sleep(servers.loop, 0)
        closed = [connection.stream.closed for connection in connections]
        assert closed == ([True, False, False] if by == "room for another" else [True] * 3)
        data = yield from servers.received(socks[0], front.end)
        assert data == b"<closed>"

    servers.run(main())
