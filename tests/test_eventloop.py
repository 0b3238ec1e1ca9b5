"""The event loop: tasks, cancellation, timers and streams, on sockets and on virtual time."""

from __future__ import annotations

import contextlib
import os
import resource
import signal
from pathlib import Path

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
from heathwell.eventloop.net import MAX_CONSECUTIVE_READS


def echo(stream):
    """Write back what a stream reads until its end."""
    while data := (yield from stream.read()):
        stream.write(data)
        yield from stream.drain()


@pytest.fixture(params=["sockets", "memory"])
def loop_and_network(request):
    """Yield an event loop and its network, once on sockets and once on virtual time."""
    loop, network, *_ = socket_loop() if request.param == "sockets" else virtual_loop(seed=3)
    yield loop, network
    loop.shutdown()


def run(loop, coroutine):
    """Run a coroutine as the main task of a loop and return its result."""
    return loop.run(loop.spawn(coroutine, "main"))


def test_a_stream_keeps_the_order_of_bytes_under_backpressure(loop_and_network):
    loop, network = loop_and_network

    def main():
        listener = network.listen("127.0.0.1:0", echo, "echo")
        stream = yield from network.connect(listener.address, 1_000_000)
        sent = bytes(range(256)) * 4096
        received = bytearray()

        def writer():
            for offset in range(0, len(sent), 10_000):
                stream.write(sent[offset : offset + 10_000])
                yield from stream.drain()
            stream.end()

        loop.spawn(writer(), "writer")
        while data := (yield from stream.read()):
            received += data
        assert bytes(received) == sent
        listener.close()
        with pytest.raises(ConnectError):
            yield from network.connect(listener.address, 100_000)

    run(loop, main())


def test_a_stream_over_its_hard_limit_raises_and_its_peer_reads_a_broken_stream(loop_and_network):
    loop, network = loop_and_network
    errors = []

    def flood(stream):
        stream.hard_limit = 2_000_000
        try:
            while True:
                stream.write(b"x" * 65_536)
                yield from sleep(loop, 0)
        except StreamOverrunError as error:
            errors.append(str(error))

    def main():
        listener = network.listen("127.0.0.1:0", flood, "flood")
        stream = yield from network.connect(listener.address, 1_000_000)
        while not errors:
            yield from sleep(loop, 1000)
        with pytest.raises(StreamBrokenError):
            while (yield from stream.read()):
                pass

    run(loop, main())
    assert "too slowly" in errors[0]


def connected_streams(loop, network):
    """Return the client's and the server's end of a connection that no task reads."""
    accepted = []

    def keep(stream):
        accepted.append(stream)
        yield from sleep(loop, 60_000_000)

    listener = network.listen("127.0.0.1:0", keep, "server")
    client = yield from network.connect(listener.address, 1_000_000)
    while not accepted:
        yield from sleep(loop, 200)
    return client, accepted[0]


def test_a_second_conditional_close_keeps_the_bytes_that_the_first_has_read(loop_and_network):
    """Guards against a close between the read from the transport and the turn of the stream's reader."""
    loop, network = loop_and_network

    def main():
        client, server = yield from connected_streams(loop, network)
        client.write(b"request")
        yield from sleep(loop, 20_000)  # until the bytes have arrived
        assert not server.close_unless_readable()
        assert not server.close_unless_readable()
        assert (yield from server.read()) == b"request"
        assert server.close_unless_readable() and server.closed

    run(loop, main())


@pytest.mark.parametrize("count", [MAX_CONSECUTIVE_READS, MAX_CONSECUTIVE_READS + 1])
def test_bytes_are_not_lost_to_a_close_while_the_reader_lets_other_tasks_run(loop_and_network, count):
    """Guards against a close between the read from the transport and the reader's next turn."""
    loop, network = loop_and_network
    received = bytearray()
    closes = []

    def read_bytes(stream):
        while len(received) < count:
            received.extend((yield from stream.read(1)))

    def main():
        client, server = yield from connected_streams(loop, network)
        for _ in range(count):
            client.write(b"x")
        yield from sleep(loop, 20_000)  # until the bytes have arrived

        def close_each_turn():
            if len(received) < count:
                closes.append(server.close_unless_readable())
                loop.call_soon(close_each_turn)

        reader = loop.spawn(read_bytes(server), "reader")
        loop.call_soon(lambda: loop.call_soon(close_each_turn))  # after the reader's first turn
        yield from reader.join()
        assert not any(closes) and not server.closed

    run(loop, main())


def test_cancellation_runs_cleanup_and_cancels_child_tasks(loop_and_network):
    loop, _network = loop_and_network
    cleaned_up = []
    parent_tasks = []

    def child():
        try:
            yield from sleep(loop, 10_000_000)
        finally:
            cleaned_up.append("child")

    def parent():
        loop.spawn(child(), "child", parent=parent_tasks[0])
        try:
            yield from sleep(loop, 10_000_000)
        finally:
            yield from sleep(loop, 1000)  # waiting is allowed during cleanup
            cleaned_up.append("parent")

    def main():
        parent_tasks.append(loop.spawn(parent(), "parent"))
        yield from sleep(loop, 1000)
        parent_tasks[0].cancel()
        assert (yield from parent_tasks[0].join()) is None
        yield from sleep(loop, 1000)

    run(loop, main())
    assert cleaned_up == ["parent", "child"]


def test_an_error_ends_its_task_alone_and_is_reported_with_the_task_name(loop_and_network):
    loop, network = loop_and_network
    reported = []
    loop.on_error = lambda name, error: reported.append((name.split()[0], str(error)))

    def failing(stream):
        yield from stream.read()
        raise KeyError("oops")

    def main():
        listener = network.listen("127.0.0.1:0", failing, "bad")
        for _ in range(2):
            stream = yield from network.connect(listener.address, 1_000_000)
            stream.write(b"x")
            with contextlib.suppress(StreamBrokenError):
                assert (yield from stream.read()) == b""
        assert listener.open == 0

    run(loop, main())
    assert reported == [("bad", "'oops'")] * 2


def test_timers_fire_in_order_and_cancelled_ones_do_not(loop_and_network):
    loop, _network = loop_and_network
    fired = []

    def main():
        start_us = loop.now()
        timers = [loop.call_at(start_us + 1000 * number, fired.append, number) for number in (3, 1, 2)]
        timers[2].cancel()
        cancelled = [loop.call_at(start_us + 60_000_000, fired.append, "late") for _ in range(3000)]
        for timer in cancelled:
            timer.cancel()
        yield from sleep(loop, 10_000)
        assert len(loop._timers) < 600

    run(loop, main())
    assert fired == [1, 3]


def test_virtual_time_advances_to_the_next_timer_and_a_deadlock_raises_an_error():
    loop, _ = virtual_loop()
    start_us = loop.now()
    run(loop, sleep(loop, 3_600_000_000))
    assert loop.now() - start_us == 3_600_000_000
    with pytest.raises(StalledError):
        run(loop, Event().wait())


def test_a_cut_link_holds_bytes_and_delivers_them_in_order_once_healed():
    loop, network = virtual_loop()

    def main():
        network.listen("b:1", echo, "echo")
        stream = yield from network.connect("b:1", 1_000_000, "a")
        network.cut("b", "a")
        for part in (b"1", b"2", b"3"):
            stream.write(part)
            yield from sleep(loop, 1000)
        with pytest.raises(ConnectError):
            yield from network.connect("b:1", 50_000, "a")
        network.heal("b", "a")
        received = b""
        while len(received) < 3:
            received += yield from stream.read()
        assert received == b"123"

    run(loop, main())


def task_order(seed):
    """Return the order in which eight tasks spawned in one turn run on virtual time."""
    loop, _ = virtual_loop(seed)
    started = []

    def task(number):
        started.append(number)
        yield from sleep(loop, 0)

    for number in range(8):
        loop.spawn(task(number), str(number))
    run(loop, sleep(loop, 10))
    return started


def test_the_seed_determines_the_order_of_tasks_within_a_turn():
    assert (
        task_order(1) == task_order(1)
        and task_order(1) != task_order(2)
        and sorted(task_order(1)) == list(range(8))
    )


def test_a_worker_does_not_block_the_loop_and_passes_on_errors():
    loop, _, _ = socket_loop()
    worker = Worker(loop)
    ticks = []

    def ticker():
        for _ in range(3):
            ticks.append("tick")
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
    assert ticks == ["tick"] * 3


def test_a_signal_wakes_the_loop():
    loop, _, poller = socket_loop()
    received = Event()
    previous_handler = signal.getsignal(signal.SIGUSR1)
    poller.on_signal(signal.SIGUSR1, received.set)
    loop.call_at(loop.now() + 5000, os.kill, os.getpid(), signal.SIGUSR1)
    run(loop, received.wait())
    loop.shutdown()
    signal.signal(signal.SIGUSR1, previous_handler)


def test_accept_backs_off_without_free_descriptors_and_loses_no_connection():
    loop, network, _ = socket_loop()
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)

    def main():
        listener = network.listen("127.0.0.1:0", echo, "echo")
        first = yield from network.connect(listener.address, 1_000_000)
        descriptors = []
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (len(list(Path("/proc/self/fd").iterdir())) + 8, hard_limit)
        )
        second = yield from network.connect(listener.address, 1_000_000)
        yield from sleep(loop, 10_000)
        try:
            while True:
                descriptors.append(os.dup(0))
        except OSError:
            os.close(descriptors.pop())
        third = yield from network.connect(listener.address, 1_000_000)
        while not listener.accept_backoffs:
            yield from sleep(loop, 5000)
        for descriptor in descriptors:
            os.close(descriptor)
        for stream in (first, second, third):
            stream.write(b"hi")
            assert (yield from stream.read()) == b"hi"

    try:
        run(loop, main())
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
        loop.shutdown()
