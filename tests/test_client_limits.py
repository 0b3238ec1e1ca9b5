"""What clients may make a broker hold and do: read-ahead, share of the loop, memory."""

from __future__ import annotations

import json
from collections import Counter

import h11

from heathwell.eventloop import StreamBrokenError, sleep, virtual_loop
from heathwell.gateway.client_connection import MAX_READ_AHEAD_BYTES, MAX_STEPS_PER_TURN, READ_BYTES
from heathwell.gateway.discovery_call import READ_BYTES as DISCOVERY_READ_BYTES
from heathwell.gateway.discovery_call import DiscoveryConnection
from heathwell.gateway.front import MAX_PARSED_PER_TURN
from heathwell.testing.standins.platform_frames import encode_answer

from .platform import Platform
from .test_gateway_front import RAW_HEAD, raw_request

SECOND_US = 1_000_000


def write_endlessly(world, stream, data, until_us):
    """Write the same bytes again and again, as fast as the broker takes them."""
    try:
        while world.loop.now() < until_us:
            stream.write(data() if callable(data) else data)
            yield from stream.drain()
            yield from sleep(world.loop, 100)
    except StreamBrokenError:
        pass  # the reader sees the close


def read_all(stream):
    """Return what is received up to the close."""
    received = bytearray()
    try:
        while data := (yield from stream.read()):
            received += data
    except StreamBrokenError:
        pass
    return bytes(received)


def test_pipelined_requests_are_kept_within_the_read_ahead_however_many_have_been_served():
    """Guards against 64 KB more of read-ahead with each served request, up to the end of the memory."""
    world = Platform()
    held = []
    numbers = iter(range(1_000_000))

    def batch():
        return b"".join(raw_request(b"p%d" % next(numbers)) for _ in range(50))

    def main():
        stream = yield from world.net.connect("broker:7070", SECOND_US, "pipelines")
        reader = world.loop.spawn(read_all(stream), "reads")
        writing = write_endlessly(world, stream, batch, world.loop.now() + 5 * SECOND_US)
        world.loop.spawn(writing, "writes")
        yield from sleep(world.loop, 10_000)
        while not reader.done:
            held.extend(client.side.held_bytes for client in world.front.clients if client.side)
            yield from sleep(world.loop, 10_000)
        return reader.result

    received = world.run(main())
    assert max(held) <= MAX_READ_AHEAD_BYTES + READ_BYTES, max(held)
    # What was kept is served; then the client is told that the rest was not read.
    served = received.count(b"HTTP/1.1 200")
    assert served >= MAX_READ_AHEAD_BYTES // 2 // len(raw_request(b"p1000"))
    assert received.count(b"HTTP/1.1") == served + 1 and received.count(b"HTTP/1.1 429") == 1
    assert world.front.counts["requests"] == served


def test_bodies_of_one_byte_chunks_take_a_bounded_share_of_each_turn(monkeypatch):
    """Guards against a loop that parses a hundred thousand chunks of bad clients while others wait."""
    world = Platform()
    clients = 2 * MAX_PARSED_PER_TURN
    events_by_turn = Counter()
    next_event = h11.Connection.next_event

    def counted(connection):
        events_by_turn[world.loop.turns] += 1
        return next_event(connection)

    def send_chunks(number):
        stream = yield from world.net.connect("broker:7070", SECOND_US, f"chunks{number}")
        stream.write(RAW_HEAD % b"c%d" % number + b"Transfer-Encoding: chunked\r\n\r\n")
        yield from sleep(world.loop, 10_000)
        stream.write(b"1\r\na\r\n" * 2_000 + b"0\r\n\r\n")
        return (yield from read_all(stream))

    def main():
        tasks = [world.loop.spawn(send_chunks(number), "chunks") for number in range(clients)]
        yield from sleep(world.loop, 5_000)
        monkeypatch.setattr(h11.Connection, "next_event", counted)
        for task in tasks:
            yield from task.join()
        return [task.result for task in tasks]

    received = world.run(main())
    assert all(data.startswith(b"HTTP/1.1 400") for data in received)  # complete, and no JSON
    # In the worst turn each connection has new bytes, and others go on with earlier ones.
    assert max(events_by_turn.values()) <= (clients + MAX_PARSED_PER_TURN) * MAX_STEPS_PER_TURN
    assert events_by_turn.total() >= clients * 2_000


def test_a_request_of_many_chunks_is_served():
    """The share of a turn bounds no request as a whole."""
    world = Platform()
    body = raw_request(b"q1").partition(b"\r\n\r\n")[2]
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"

    def main():
        stream = yield from world.net.connect("broker:7070", SECOND_US, "chunks")
        stream.write(RAW_HEAD % b"q1" + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + chunks)
        return (yield from read_all(stream))

    assert world.run(main()).startswith(b"HTTP/1.1 200")


def bytes_kept_by_tasks(loop):
    """Return the length of each piece of bytes in a local variable of a waiting task but the test's own."""
    kept = []
    for task in (task for task in loop.tasks if task.name != "main"):
        generator = task._gen
        while generator is not None and hasattr(generator, "gi_frame"):
            if generator.gi_frame is not None:
                values = generator.gi_frame.f_locals.values()
                kept.extend(len(value) for value in values if isinstance(value, bytes | bytearray))
            generator = generator.gi_yieldfrom
    return kept


def test_no_task_keeps_the_bytes_that_it_has_handled_while_it_waits_for_the_next():
    """Guards against 64 KB more for each connection to a client, a node or discovery."""
    world = Platform()
    assert world.registry is not None
    handled_bytes = 4_096  # much less than the pieces below, and more than any name

    def answer_with_copies(_node, stream, part):
        stream.write(encode_answer(part, 200) * 1_000)  # copies within a second are dropped

    world.respond_with(answer_with_copies)

    def main():
        stream = yield from world.net.connect("broker:7070", SECOND_US, "half")
        stream.write(RAW_HEAD % b"h1" + b"Content-Length: 65536\r\n\r\n" + b"a" * 60_000)
        response = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])
        yield from sleep(world.loop, 100_000)
        return response.status, bytes_kept_by_tasks(world.loop)

    status, kept = world.run(main())
    assert status == 200 and max(kept, default=0) < handled_bytes, kept


def test_an_answer_of_discovery_in_chunks_of_one_byte_takes_a_bounded_share_of_each_turn(monkeypatch):
    """Guards against a list in small chunks that holds up the clients for a second."""
    events_by_turn = Counter()
    loop, net = virtual_loop()
    next_event = h11.Connection.next_event

    def counted(connection):
        events_by_turn[loop.turns] += 1
        return next_event(connection)

    listing = json.dumps({"rev": 1, "all": True, "targets": []}, indent=2).encode().ljust(20_000)

    def serve(stream):
        yield from stream.read()
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in listing)
        stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
        yield from sleep(loop, SECOND_US)

    def main():
        stream = yield from net.connect("discovery:8500", SECOND_US)
        return (yield from DiscoveryConnection("discovery:8500", stream).get("/api/targets"))

    net.listen("discovery:8500", serve, "discovery")
    monkeypatch.setattr(h11.Connection, "next_event", counted)
    targets = loop.run(loop.spawn(main(), "main"))
    assert targets is not None and targets.rev == 1
    bytes_of_a_chunk = len(b"1\r\na\r\n")
    assert max(events_by_turn.values()) <= DISCOVERY_READ_BYTES // bytes_of_a_chunk + 3
