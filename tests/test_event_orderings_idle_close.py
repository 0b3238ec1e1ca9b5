"""Requests that arrive as the gateway is about to close their idle connection, in a forced order of events.

The same for the memcached and the vector search server: ``test_event_orderings_servers.py``.
"""

from __future__ import annotations

import itertools
import socket
from typing import Final

import pytest

from heathwell.eventloop import sleep
from heathwell.testing.standins.platform_frames import encode_answer

from .event_ordering_world import HEALTH_CHECK, World, read_until

SHARD: Final = 3  # node 3 is its only replica where the width is one
LONG_AGO_US: Final = -(1 << 60)
CAUSES: Final = ("shutdown", "idle timeout", "too many idle connections", "new connection")


def serve_one_request(world, sock, name="q1"):
    """Send a request, read its response and leave the connection idle."""
    kept_alive_count = len(world.front.kept_alive)
    sock.send(world.request_bytes(name, SHARD))
    yield from world.wait_until(lambda: len(world.front.kept_alive) > kept_alive_count)
    sock.recv(65_536)


def read_responses(world, sock, count=1):
    """Return what a client reads up to the end of ``count`` response heads, or up to the connection's end."""

    def is_complete(data):
        return data.count(b"\r\n\r\n") >= count

    return (yield from read_until(world.loop, sock, is_complete))


def prepare_close(world, client, cause):
    """Make an idle client due to be closed for a cause."""
    if cause == "idle timeout":
        client.since_us = LONG_AGO_US
    if cause == "too many idle connections":
        world.front.max_kept_alive = 0
    if cause == "new connection":
        world.front.max_clients = 1
    if cause == "shutdown":
        world.front.drain()


def close_idle_client(world, client, cause):
    """Run the code that closes idle clients for a cause."""
    if cause == "shutdown":
        world.front.close_idle()
    elif cause == "idle timeout":
        world.front._check_timeouts()
    elif cause == "too many idle connections":
        world.front.on_answered(client)
    else:
        has_made_room = world.front._make_room()
        assert has_made_room == client.stream.closed


@pytest.mark.parametrize(
    "causes",
    [*itertools.product(CAUSES, repeat=1), *itertools.product(CAUSES, repeat=2)],
    ids=" then ".join,
)
def test_a_request_in_the_socket_as_its_idle_connection_is_to_close_is_served(causes):
    """Guards against dropping a request that the first of two closes in a turn has read from the socket.

    The broker has not read the request before. If it closed the connection, the client would have to retry,
    during shutdown at another broker.
    """
    world = World()

    def main():
        sock = world.open_client_socket()
        yield from serve_one_request(world, sock)
        (client,) = world.front.clients
        for cause in causes:
            prepare_close(world, client, cause)
        sock.send(world.request_bytes("q2", SHARD))  # the broker does not run between here and the closes
        for cause in causes:
            close_idle_client(world, client, cause)
        assert not client.stream.closed
        yield from world.wait_until(lambda: len(world.nodes[SHARD].parts) == 2)
        return (yield from read_responses(world, sock))

    assert world.run(main()).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("cause", CAUSES)
def test_an_idle_connection_with_nothing_in_its_socket_is_closed(cause):
    """The causes of the close are the same four."""
    world = World()

    def main():
        sock = world.open_client_socket()
        yield from serve_one_request(world, sock)
        (client,) = world.front.clients
        prepare_close(world, client, cause)
        close_idle_client(world, client, cause)
        assert client.stream.closed
        yield from sleep(world.loop, 0)

    world.run(main())


def test_no_request_is_dropped_while_idle_clients_occupy_all_connections():
    """Guards against dropping a read request if several new connections need room in the same turn."""
    world = World()
    client_count = 4
    world.front.max_clients = 2 * client_count
    silent: list[socket.socket] = []

    def main():
        clients = [world.open_client_socket() for _ in range(client_count)]
        for number, sock in enumerate(clients):
            yield from serve_one_request(world, sock, f"first{number}")
        silent.extend(world.open_client_socket() for _ in range(client_count))
        yield from world.wait_until(lambda: len(world.front.clients) == world.front.max_clients)
        # All of these arrive within one turn, the new connections before the requests.
        silent.extend(world.open_client_socket() for _ in range(client_count))
        for number, sock in enumerate(clients):
            sock.send(world.request_bytes(f"second{number}", SHARD))
        responses = []
        for sock in clients:
            responses.append((yield from read_responses(world, sock)))
        return responses

    try:
        responses = world.run(main())
    finally:
        for sock in silent:
            sock.close()
    assert [response[:12] for response in responses] == [b"HTTP/1.1 200"] * 4


def test_a_pipelined_request_is_served_as_an_answer_makes_its_connection_the_oldest_idle_one():
    """Guards against dropping a request in the parser's buffer when another client is answered."""
    world = World()
    world.front.max_kept_alive = 1
    held = world.hold_parts()

    def main():
        pipelining = world.open_client_socket()
        other = world.open_client_socket()
        pipelining.send(world.request_bytes("q1", SHARD) + world.request_bytes("q2", SHARD))
        yield from world.wait_until(lambda: len(held) == 1)
        other.send(world.request_bytes("q3", SHARD))
        yield from world.wait_until(lambda: len(held) == 2)
        world.answer_parts()
        for call in held:  # both are answered in one turn, the pipelining client first
            call.stream.write(encode_answer(call.part, 200))
        return (yield from read_responses(world, pipelining, 2))

    assert world.run(main()).count(b"HTTP/1.1 200") == 2


def test_a_request_pipelined_behind_a_health_check_is_served_if_a_new_connection_needs_room():
    """Guards against dropping a request in the parser's buffer before the turn in which it is parsed."""
    world = World()
    world.front.max_clients = 1

    def main():
        pipelining = world.open_client_socket()
        yield from world.wait_until(lambda: world.broker.ready and world.front.clients)
        pipelining.send(HEALTH_CHECK + world.request_bytes("q1", SHARD))
        with world.open_client_socket():  # arrives in the same turn, behind the requests
            return (yield from read_responses(world, pipelining, 2))

    assert world.run(main()).count(b"HTTP/1.1 200") == 2


def test_pipelined_requests_that_have_been_read_are_answered_during_shutdown():
    """Guards against closing with the answer to the first of them; the last answer announces the close."""
    world = World()
    held = world.hold_parts()

    def main():
        sock = world.open_client_socket()
        sock.send(world.request_bytes("q1", SHARD) + world.request_bytes("q2", SHARD))
        yield from world.wait_until(lambda: len(held) == 1)
        world.front.drain()
        world.answer_parts()
        held[0].stream.write(encode_answer(held[0].part, 200))
        return (yield from read_responses(world, sock, 3))  # there are two, and then the end

    data = world.run(main())
    assert data.count(b"HTTP/1.1 200") == 2 and data.endswith(b"<closed>")
    assert data.lower().count(b"connection: close") == 1


def test_a_request_whose_last_bytes_are_in_the_socket_is_served_if_a_new_connection_needs_room():
    """Guards against closing a connection with a partly read request although the rest has arrived."""
    world = World()
    world.front.max_clients = 1
    request = world.request_bytes("q1", SHARD)

    def main():
        sock = world.open_client_socket()
        sock.send(request[:-5])
        yield from world.wait_until(lambda: world.front.receiving)
        sock.send(request[-5:])  # the broker does not run between here and the close
        assert not world.front._make_room()
        return (yield from read_responses(world, sock))

    assert world.run(main()).startswith(b"HTTP/1.1 200")


def test_a_partly_received_request_makes_room_for_a_new_connection():
    """A connection whose request does not go on is closed, the oldest first."""
    world = World()
    request = world.request_bytes("q1", SHARD)

    def main():
        socks = [world.open_client_socket() for _ in range(2)]
        for count, sock in enumerate(socks, start=1):
            sock.send(request[:-5])
            yield from world.wait_until(lambda expected=count: len(world.front.receiving) == expected)
        oldest, newest = world.front.clients
        assert world.front._make_room()
        return oldest.stream.closed, newest.stream.closed

    assert world.run(main()) == (True, False)


def test_a_request_behind_a_close_is_not_sent_to_nodes_while_the_answer_before_is_still_being_sent():
    """Guards against running a request whose answer can't be written any more."""
    world = World()
    unsent_answer = b"x" * 200_000

    def main():
        sock = world.open_client_socket(receive_buffer_bytes=4096)
        yield from serve_one_request(world, sock)
        (client,) = world.front.clients
        client.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.stream.write(unsent_answer)
        assert client.stream.unsent and world.front._make_room()
        assert not client.stream.closed
        sock.send(world.request_bytes("q2", SHARD))
        data = yield from read_responses(world, sock, 1)
        assert data == unsent_answer + b"<closed>"
        return (yield from world.start_query("after", SHARD).join()).status

    assert world.run(main()) == 200
    assert [part.id for part in world.nodes[SHARD].parts] == ["q1.3", "after.3"]


def test_a_request_that_waits_until_its_client_has_taken_the_last_answer_is_not_closed_over():
    """Guards against dropping a request that was read while an answer is unsent, as others need room."""
    world = World()
    unsent_answer = b"x" * 200_000

    def main():
        sock = world.open_client_socket(receive_buffer_bytes=4096)
        yield from serve_one_request(world, sock)
        (client,) = world.front.clients
        client.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.stream.write(unsent_answer)
        assert client.stream.unsent
        sock.send(world.request_bytes("q2", SHARD))
        yield from world.wait_until(lambda: client.side.has_partial_request)
        assert not world.front._make_room()
        world.front.max_kept_alive = 0
        other = world.open_client_socket()
        other.send(world.request_bytes("q3", SHARD))
        yield from read_responses(world, other)  # with it, one too many is kept alive
        data = yield from read_until(world.loop, sock, lambda data: data.count(b"HTTP/1.1 200") == 1)
        return data[: len(unsent_answer)] == unsent_answer

    assert world.run(main())
    assert sorted(part.id for part in world.nodes[SHARD].parts) == ["q1.3", "q2.3", "q3.3"]
