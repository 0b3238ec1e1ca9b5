"""The link's stand-in on sockets and in memory: delay, rate, cut and heal, one way, resets, flaps."""

from __future__ import annotations

import pytest

from heathwell.codec import frames
from heathwell.eventloop import ConnectError, StreamBrokenError, sleep, socket_loop, virtual_loop
from heathwell.testing.standins.errors import UnknownFaultError
from heathwell.testing.standins.relay import Relay, RoutedNet


def echo(stream):
    while data := (yield from stream.read()):
        stream.write(data)
        yield from stream.drain()


def world():
    loop, net = virtual_loop(4)
    errors = []
    loop.on_error = lambda name, error: errors.append((name, error))
    host = net.listen("127.0.0.1:0", echo, "echo")
    relay = Relay(loop, net.at("127.0.0.1"), [host.address])
    relay.start()
    return loop, RoutedNet(net, relay.routes), relay, host.address, errors


def order(relay, kind, value=0.0, seconds=0.0):
    assert relay.order(frames.FaultCommand(kind, value, int(seconds * 1e6))) is None


def ask(loop, stream, data=b"hi"):
    began, got = loop.now(), b""
    stream.write(data)
    while len(got) < len(data):
        more = yield from stream.read()
        if not more:
            raise StreamBrokenError("end")
        got += more
    assert got == data
    return loop.now() - began


def run(loop, gen, errors):
    loop.run(loop.spawn(gen, "main"))
    assert not errors, errors


def test_delay_is_paid_each_way_and_ends():
    loop, net, relay, address, errors = world()

    def main():
        stream = yield from net.connect(address, 1_000_000)
        assert (yield from ask(loop, stream)) < 5_000
        order(relay, "delay", 0.1, 2.0)
        assert 170_000 < (yield from ask(loop, stream)) < 240_000
        yield from sleep(loop, 2_500_000)
        assert (yield from ask(loop, stream)) < 5_000

    run(loop, main(), errors)


def test_a_rate_limits_what_is_carried():
    loop, net, relay, address, errors = world()

    def main():
        stream = yield from net.connect(address, 1_000_000)
        order(relay, "rate", 100_000.0, 60.0)
        assert 900_000 < (yield from ask(loop, stream, b"x" * 100_000)) < 2_500_000

    run(loop, main(), errors)


@pytest.mark.parametrize("kind", ["cut", "oneway", "flap"])
def test_what_a_cut_holds_goes_on_after_it_in_order(kind):
    loop, net, relay, address, errors = world()

    def main():
        stream = yield from net.connect(address, 1_000_000)
        yield from ask(loop, stream)
        order(relay, kind, 2.0 if kind == "flap" else 0.0, 2.0)
        assert (yield from ask(loop, stream, bytes(range(200)))) >= 1_990_000
        if kind == "cut":
            order(relay, kind, 0.0, 2.0)
            other = yield from net.connect(address, 500_000)  # the door itself is near: taken, and silent
            other.write(b"x")
            yield from sleep(loop, 1_000_000)
            other.abort()

    run(loop, main(), errors)


def test_a_reset_breaks_all_and_new_connections_pass():
    loop, net, relay, address, errors = world()

    def main():
        stream = yield from net.connect(address, 1_000_000)
        yield from ask(loop, stream)
        order(relay, "reset")
        with pytest.raises(StreamBrokenError):
            yield from ask(loop, stream)
        again = yield from net.connect(address, 1_000_000)
        assert (yield from ask(loop, again)) < 5_000

    run(loop, main(), errors)
    with pytest.raises(UnknownFaultError, match="unknown trouble"):
        relay.order(frames.FaultCommand("nonsense"))


def test_over_real_sockets():
    loop, net, _ = socket_loop()
    host = net.listen("127.0.0.1:0", echo, "echo")
    relay = Relay(loop, net, [host.address])
    relay.start()
    routed = RoutedNet(net, relay.routes)

    def main():
        stream = yield from routed.connect(host.address, 1_000_000)
        yield from ask(loop, stream, bytes(range(256)) * 2000)
        order(relay, "cut", 0.0, 0.3)
        assert (yield from ask(loop, stream)) >= 290_000
        stream.end()
        assert (yield from stream.read()) == b""
        host.close()
        refused = yield from routed.connect(host.address, 1_000_000)
        with pytest.raises((StreamBrokenError, ConnectError)):
            yield from ask(loop, refused)

    loop.run(loop.spawn(main(), "main"))
    loop.shutdown()
