"""The event loop: tasks, cancel, timers, streams, on sockets and on virtual time."""

from __future__ import annotations

import contextlib
import os
import resource
import signal

import pytest

from heathwell.eventloop import (
    ConnectError,
    Event,
    StalledError,
    StreamBrokenError,
    StreamOverrunError,
    Worker,
    sleep,
    socket_loop,
    virtual_loop,
)


def echo(stream):
    while data := (yield from stream.read()):
        stream.write(data)
        yield from stream.drain()


@pytest.fixture(params=["sockets", "memory"])
def world(request):
    loop, net, *_ = socket_loop() if request.param == "sockets" else virtual_loop(seed=3)
    yield loop, net
    loop.shutdown()


def run(loop, gen):
    return loop.run(loop.spawn(gen, "main"))


def test_bytes_come_back_in_order_through_small_buffers(world):
    loop, net = world

    def main():
        listener = net.listen("127.0.0.1:0", echo, "echo")
        stream = yield from net.connect(listener.address, 1_000_000)
        sent, got = bytes(range(256)) * 4096, bytearray()

        def writer():
            for at in range(0, len(sent), 10_000):
                stream.write(sent[at : at + 10_000])
                yield from stream.drain()
            stream.end()

        loop.spawn(writer(), "writer")
        while data := (yield from stream.read()):
            got += data
        assert bytes(got) == sent
        listener.close()
        with pytest.raises(ConnectError):
            yield from net.connect(listener.address, 100_000)

    run(loop, main())


def test_a_slow_reader_is_bounded_and_a_reset_is_told(world):
    loop, net = world
    fate = []

    def flood(stream):
        stream.hard_limit = 2_000_000
        try:
            while True:
                stream.write(b"x" * 65_536)
                yield from sleep(loop, 0)
        except StreamOverrunError as problem:
            fate.append(str(problem))

    def main():
        listener = net.listen("127.0.0.1:0", flood, "flood")
        stream = yield from net.connect(listener.address, 1_000_000)
        while not fate:
            yield from sleep(loop, 1000)
        with pytest.raises(StreamBrokenError):
            while (yield from stream.read()):
                pass

    run(loop, main())
    assert "too slowly" in fate[0]


def test_cancel_runs_cleanup_and_reaches_children(world):
    loop, _net = world
    seen = []

    def child():
        try:
            yield from sleep(loop, 10_000_000)
        finally:
            seen.append("child")

    def parent():
        loop.spawn(child(), "child", parent=me[0])
        try:
            yield from sleep(loop, 10_000_000)
        finally:
            yield from sleep(loop, 1000)  # cleanup may wait
            seen.append("parent")

    def main():
        me.append(loop.spawn(parent(), "parent"))
        yield from sleep(loop, 1000)
        me[0].cancel()
        assert (yield from me[0].join()) is None
        yield from sleep(loop, 1000)

    me = []
    run(loop, main())
    assert seen == ["parent", "child"]


def test_an_error_ends_its_task_alone_and_is_told_with_its_name(world):
    loop, net = world
    told = []
    loop.on_error = lambda name, error: told.append((name.split()[0], str(error)))

    def bad(stream):
        yield from stream.read()
        raise KeyError("oops")

    def main():
        listener = net.listen("127.0.0.1:0", bad, "bad")
        for _ in range(2):
            stream = yield from net.connect(listener.address, 1_000_000)
            stream.write(b"x")
            with contextlib.suppress(StreamBrokenError):
                assert (yield from stream.read()) == b""
        assert listener.open == 0

    run(loop, main())
    assert told == [("bad", "'oops'")] * 2


def test_timers_fire_in_order_and_cancelled_ones_do_not(world):
    loop, _net = world
    seen = []

    def main():
        start = loop.now()
        timers = [loop.call_at(start + 1000 * n, seen.append, n) for n in (3, 1, 2)]
        timers[2].cancel()
        many = [loop.call_at(start + 60_000_000, seen.append, "late") for _ in range(3000)]
        for timer in many:
            timer.cancel()
        yield from sleep(loop, 10_000)
        assert len(loop._timers) < 600

    run(loop, main())
    assert seen == [1, 3]


def test_virtual_time_jumps_and_a_standstill_is_told():
    loop, _ = virtual_loop()
    start = loop.now()
    run(loop, sleep(loop, 3_600_000_000))
    assert loop.now() - start == 3_600_000_000
    with pytest.raises(StalledError):
        run(loop, Event().wait())


def test_a_cut_way_holds_bytes_and_heals_in_order():
    loop, net = virtual_loop()

    def main():
        net.listen("b:1", echo, "echo")
        stream = yield from net.connect("b:1", 1_000_000, "a")
        net.cut("b", "a")
        for part in (b"1", b"2", b"3"):
            stream.write(part)
            yield from sleep(loop, 1000)
        with pytest.raises(ConnectError):
            yield from net.connect("b:1", 50_000, "a")
        net.heal("b", "a")
        got = b""
        while len(got) < 3:
            got += yield from stream.read()
        assert got == b"123"

    run(loop, main())


def test_the_seed_decides_the_order_within_a_turn():
    def order(seed):
        loop, _ = virtual_loop(seed)
        seen = []

        def task(n):
            seen.append(n)
            yield from sleep(loop, 0)

        for n in range(8):
            loop.spawn(task(n), str(n))
        run(loop, sleep(loop, 10))
        return seen

    assert order(1) == order(1) and order(1) != order(2) and sorted(order(1)) == list(range(8))


def test_the_worker_blocks_nobody_and_hands_back_errors():
    loop, _, _ = socket_loop()
    worker = Worker(loop)
    seen = []

    def ticker():
        for _ in range(3):
            seen.append("tick")
            yield from sleep(loop, 1000)

    def main():
        loop.spawn(ticker(), "ticker")
        assert (yield from worker.run(lambda: sum(range(10)))) == 45
        with pytest.raises(ZeroDivisionError):
            yield from worker.run(lambda: 1 // 0)
        yield from sleep(loop, 20_000)

    run(loop, main())
    worker.close()
    loop.shutdown()
    assert seen == ["tick"] * 3


def test_a_signal_wakes_the_loop():
    loop, _, poller = socket_loop()
    came = Event()
    old = signal.getsignal(signal.SIGUSR1)
    poller.on_signal(signal.SIGUSR1, came.set)
    loop.call_at(loop.now() + 5000, os.kill, os.getpid(), signal.SIGUSR1)
    run(loop, came.wait())
    loop.shutdown()
    signal.signal(signal.SIGUSR1, old)


def test_accept_backs_off_while_descriptors_run_out_and_loses_nobody():
    loop, net, _ = socket_loop()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def main():
        listener = net.listen("127.0.0.1:0", echo, "echo")
        first = yield from net.connect(listener.address, 1_000_000)
        held = []
        resource.setrlimit(resource.RLIMIT_NOFILE, (len(os.listdir("/proc/self/fd")) + 8, hard))
        waiting = yield from net.connect(listener.address, 1_000_000)
        yield from sleep(loop, 10_000)
        try:
            while True:
                held.append(os.dup(0))
        except OSError:
            os.close(held.pop())
        late = yield from net.connect(listener.address, 1_000_000)
        while not listener.accept_backoffs:
            yield from sleep(loop, 5000)
        for fd in held:
            os.close(fd)
        for stream in (first, waiting, late):
            stream.write(b"hi")
            assert (yield from stream.read()) == b"hi"

    try:
        run(loop, main())
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        loop.shutdown()
