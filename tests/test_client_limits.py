"""What clients may make a broker hold and do: read-ahead, share of the loop, memory."""

from __future__ import annotations

from heathwell.eventloop import StreamBrokenError, sleep
from heathwell.gateway.client_connection import MAX_READ_AHEAD_BYTES, READ_BYTES

from .platform import Platform
from .test_gateway_front import raw_request

SECOND_US = 1_000_000
READABLE_BYTES = 65_536  # of a stream's read


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
