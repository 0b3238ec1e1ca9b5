"""The relay that injects network faults: delay, rate, partitions, resets and flapping."""

from __future__ import annotations

import pytest

from heathwell.codec import frames
from heathwell.eventloop import ConnectError, StreamBrokenError, sleep, socket_loop, virtual_loop
from heathwell.testing.standins.errors import UnknownFaultError
from heathwell.testing.standins.relay import Relay, RoutedNet


def echo(stream):
    """Write received data back until the stream ends."""
    while data := (yield from stream.read()):
        stream.write(data)
        yield from stream.drain()


class RelayedEcho:
    """An echo server behind a relay, on virtual time."""

    def __init__(self):
        self.loop, network = virtual_loop(4)
        self.errors = []
        self.loop.on_error = lambda name, error: self.errors.append((name, error))
        server = network.listen("127.0.0.1:0", echo, "echo")
        self.address = server.address
        self.relay = Relay(self.loop, network.at("127.0.0.1"), [server.address])
        self.relay.start()
        self.network = RoutedNet(network, self.relay.routes)

    def connect(self, timeout_us=1_000_000):
        """Connect to the server through the relay."""
        return self.network.connect(self.address, timeout_us)

    def run(self, steps):
        """Run a coroutine to completion and check that no task of the loop failed."""
        self.loop.run(self.loop.spawn(steps, "main"))
        errors = self.errors
        assert not errors, errors


def inject_fault(relay, kind, value=0.0, seconds=0.0):
    """Inject a fault at the relay."""
    assert relay.inject_fault(frames.FaultCommand(kind, value, int(seconds * 1e6))) is None


def round_trip_us(loop, stream, data=b"hi"):
    """Send data and return the time until its echo. Raise StreamBrokenError if the stream ends before."""
    sent_at_us = loop.now()
    received = b""
    stream.write(data)
    while len(received) < len(data):
        chunk = yield from stream.read()
        if not chunk:
            raise StreamBrokenError("the stream ended before the echo")
        received += chunk
    assert received == data
    return loop.now() - sent_at_us


def test_a_delay_is_added_in_each_direction_until_it_ends():
    echo_server = RelayedEcho()
    loop = echo_server.loop

    def main():
        stream = yield from echo_server.connect()
        assert (yield from round_trip_us(loop, stream)) < 5_000
        inject_fault(echo_server.relay, "delay", 0.1, 2.0)
        assert 170_000 < (yield from round_trip_us(loop, stream)) < 240_000
        yield from sleep(loop, 2_500_000)
        assert (yield from round_trip_us(loop, stream)) < 5_000

    echo_server.run(main())


def test_a_rate_limits_the_throughput():
    echo_server = RelayedEcho()
    loop = echo_server.loop

    def main():
        stream = yield from echo_server.connect()
        inject_fault(echo_server.relay, "rate", 100_000.0, 60.0)
        assert 900_000 < (yield from round_trip_us(loop, stream, b"x" * 100_000)) < 2_500_000

    echo_server.run(main())


@pytest.mark.parametrize("kind", ["cut", "oneway", "flap"])
def test_data_held_by_a_partition_is_delivered_in_order_after_it(kind):
    echo_server = RelayedEcho()
    loop = echo_server.loop

    def main():
        stream = yield from echo_server.connect()
        yield from round_trip_us(loop, stream)
        inject_fault(echo_server.relay, kind, 2.0 if kind == "flap" else 0.0, 2.0)
        assert (yield from round_trip_us(loop, stream, bytes(range(200)))) >= 1_990_000
        if kind == "cut":
            inject_fault(echo_server.relay, kind, 0.0, 2.0)
            other = yield from echo_server.connect(500_000)  # accepted by the relay, but no data passes
            other.write(b"x")
            yield from sleep(loop, 1_000_000)
            other.abort()

    echo_server.run(main())


def test_a_reset_breaks_open_connections_and_new_ones_are_relayed():
    echo_server = RelayedEcho()
    loop = echo_server.loop

    def main():
        stream = yield from echo_server.connect()
        yield from round_trip_us(loop, stream)
        inject_fault(echo_server.relay, "reset")
        with pytest.raises(StreamBrokenError):
            yield from round_trip_us(loop, stream)
        reconnected = yield from echo_server.connect()
        assert (yield from round_trip_us(loop, reconnected)) < 5_000

    echo_server.run(main())
    with pytest.raises(UnknownFaultError, match="unknown trouble"):
        echo_server.relay.inject_fault(frames.FaultCommand("nonsense"))


def test_over_sockets_a_cut_delays_data_and_a_closed_server_ends_connections():
    loop, network, _ = socket_loop()
    host = network.listen("127.0.0.1:0", echo, "echo")
    relay = Relay(loop, network, [host.address])
    relay.start()
    routed = RoutedNet(network, relay.routes)

    def main():
        stream = yield from routed.connect(host.address, 1_000_000)
        yield from round_trip_us(loop, stream, bytes(range(256)) * 2000)
        inject_fault(relay, "cut", 0.0, 0.3)
        assert (yield from round_trip_us(loop, stream)) >= 290_000
        stream.end()
        assert (yield from stream.read()) == b""
        host.close()
        refused = yield from routed.connect(host.address, 1_000_000)
        with pytest.raises((StreamBrokenError, ConnectError)):
            yield from round_trip_us(loop, refused)

    loop.run(loop.spawn(main(), "main"))
    loop.shutdown()
