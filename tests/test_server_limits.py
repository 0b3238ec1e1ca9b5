"""What clients of the memcached and the vector search server may make a broker do in a turn, and keep."""

from __future__ import annotations

from collections import Counter

import h11
import pytest

from heathwell.eventloop import sleep
from heathwell.servers.memcached_connection import MAX_COMMANDS_PER_TURN, MemcachedConnection
from heathwell.servers.vector_connection import MAX_STEPS_PER_TURN

from .test_client_limits import bytes_kept_by_tasks
from .test_event_orderings_servers import Memcached, Servers, Vector

NOOP = b"mn\r\n"
VECTOR_HEAD = b"POST /collections/goods/points/search HTTP/1.1\r\nHost: b\r\n"


def count_by_turn(monkeypatch, loop, owner, name):
    """Count the calls of a method by the turn of the loop in which they are made."""
    calls_by_turn = Counter()
    method = getattr(owner, name)

    def counted(self, *args):
        calls_by_turn[loop.turns] += 1
        return method(self, *args)

    monkeypatch.setattr(owner, name, counted)
    return calls_by_turn


def test_commands_that_are_answered_at_once_take_a_bounded_share_of_each_turn(monkeypatch):
    """Guards against one memcached client that keeps the loop with a buffer of short commands."""
    servers = Servers()
    executed_by_turn = count_by_turn(monkeypatch, servers.loop, MemcachedConnection, "_execute")

    def main():
        sock = servers.connect(Memcached(servers).address)
        sent = sock.send(NOOP * 10_000)
        yield from servers.wait_until(lambda: executed_by_turn.total() >= sent // len(NOOP))

    servers.run(main())
    assert executed_by_turn.total() > 1_000 and max(executed_by_turn.values()) <= MAX_COMMANDS_PER_TURN


def test_a_search_in_chunks_of_one_byte_takes_a_bounded_share_of_each_turn(monkeypatch):
    """Guards against one client of the vector search server that keeps the loop with a chunked body."""
    servers = Servers()
    events_by_turn = count_by_turn(monkeypatch, servers.loop, h11.Connection, "next_event")

    def main():
        sock = servers.connect(Vector(servers).address)
        sock.send(VECTOR_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 5_000 + b"0\r\n\r\n")
        return (yield from servers.received(sock, b"}"))

    servers.run(main())
    assert events_by_turn.total() > 5_000 and max(events_by_turn.values()) <= MAX_STEPS_PER_TURN


@pytest.mark.parametrize(
    ("server", "data"),
    [
        (Memcached, b"get " + b"a" * 50_000),
        (Vector, VECTOR_HEAD + b"Content-Length: 900000\r\n\r\n" + b"a" * 50_000),
    ],
)
def test_no_task_of_a_server_keeps_the_bytes_that_it_has_handled(server, data):
    """Guards against a second copy of what each client has sent of a request."""
    servers = Servers()
    target = server(servers)
    kept = []

    def main():
        sock = servers.connect(target.address)
        yield from servers.wait_until(target.connections)
        sock.send(data)
        (connection,) = target.connections()
        yield from servers.wait_until(lambda: not connection.is_idle)
        for _ in range(20):  # until all has been read
            yield from sleep(servers.loop, 1_000)
            kept.append(max(bytes_kept_by_tasks(servers.loop), default=0))

    servers.run(main())
    assert kept[-1] < 4_096, kept
