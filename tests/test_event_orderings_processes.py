"""Signals at each point of a broker's life, on processes of `run`; what clients and nodes saw is judged."""

from __future__ import annotations

import json
import signal
import socket
import threading

import pytest

from heathwell.eventloop import ConnectError, StreamBrokenError, sleep, socket_loop
from heathwell.gateway.config import read
from heathwell.gateway.process import Process
from heathwell.testing.simulation.platform_config import encode_config
from heathwell.testing.simulation.platform_fleet import PlatformFleet
from heathwell.testing.standins.platform_node import PlatformNode

from .event_ordering_world import SETTINGS_VARIANTS, settings_variant

# Signals itself once the configuration is read, before there is a listener or a loop.
BEFORE_THE_LOOP = """
import os, runpy, signal, sys
import heathwell.gateway.process as process
real = process.load
def load(environment):
    process.load = real
    config = real(environment)
    for number in {numbers}:
        os.kill(os.getpid(), number)
    return config
process.load = load
sys.argv = ["heathwell.gateway"]
runpy.run_module("heathwell.gateway", run_name="__main__")
"""


@pytest.fixture
def running(tmp_path):
    worlds = []

    def build(**more):
        worlds.append(PlatformFleet(tmp_path, **more))
        for node in worlds[-1].nodes:
            node.work_us = 1
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()


def one_part(world, name, kind, client=None):
    key = "k1" if kind["idempotency"] == "idempotency_key" else ""
    return (client or world.client()).send_query(name, kind["name"], [3], timeout_ms=60_000, key=key)


def until(world, point):
    for _ in range(30_000):  # a minute and more: a point that never comes is a failure, not a hang
        if point():
            return
        yield from sleep(world.loop, 2_000)
    raise AssertionError(f"never reached: {world.log_path.read_text()}")


@pytest.mark.parametrize(
    "numbers",
    [
        [signal.SIGTERM],
        [signal.SIGTERM, signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGTERM, signal.SIGHUP],
    ],
)
def test_signals_between_the_configuration_and_the_listener_are_carried_out(running, numbers):
    code = BEFORE_THE_LOOP.format(numbers=[int(number) for number in numbers])
    world = running(program=("-c", code), wait_until_ready=False)
    assert world.run(world.wait_for_exit()) == 0
    assert "ended" in world.log_path.read_text() and "Traceback" not in world.log_path.read_text()


def test_a_hangup_before_the_listener_is_carried_out_and_it_serves(running):
    world = running(program=("-c", BEFORE_THE_LOOP.format(numbers=[int(signal.SIGHUP)])))

    def main():
        yield from world.wait_for_log("configuration read")
        return (yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])).status

    assert world.run(main()) == 200


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_at_sigterm_what_hangs_is_answered_and_the_process_ends_by_itself(running, name):
    """All nodes hang; one customer's longest class has 4 s, more than the 3.7 s after which SIGKILL
    may come.
    """
    settings = settings_variant(name)
    world = running(settings=settings)
    for node in world.nodes:
        node.silent = True

    def main():
        tasks = [
            world.loop.spawn(one_part(world, f"q{n}", kind), "q")
            for n, kind in enumerate(settings["classes"])
        ]
        yield from until(world, lambda: sum(len(node.parts) for node in world.nodes) >= len(tasks))
        world.process.send_signal(signal.SIGTERM)
        yield from world.wait_for_log("terminating")
        tasks += [
            world.loop.spawn(one_part(world, f"r{n}", kind), "r")
            for n, kind in enumerate(settings["classes"])
        ]
        statuses = []
        for task in tasks:
            statuses.append((yield from task.join()).status)
        return statuses, (yield from world.wait_for_exit())

    statuses, code = world.run(main())
    wanted = [500 if kind["idempotency"] == "non_idempotent" else 503 for kind in settings["classes"]]
    assert (statuses, code) == (wanted * 2, 0)
    assert "open='0'" in world.log_path.read_text() and "overdue" not in world.log_path.read_text()


def test_a_request_half_read_when_the_listener_closes_is_finished_and_answered(running):
    world = running()
    body = json.dumps({"parts": [{"id": 3, "w": 1.0}], "expr": "c41e77d0"}).encode()
    request = (
        f"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: q1\r\nReq-Kind: price-search\r\n"
        f"Req-Deadline: 500m\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body

    def main():
        stream = yield from world.net.connect(world.address, 1_000_000)
        stream.write(request[:50])
        assert (
            yield from world.client().send_query("q0", "price-search", [3])
        ).status == 200  # the half is read by now
        world.process.send_signal(signal.SIGTERM)
        while True:
            try:
                other = yield from world.net.connect(world.address, 1_000_000)
            except ConnectError:
                break
            other.close()
            yield from sleep(world.loop, 5_000)
        stream.write(request[50:])
        data = b""
        while more := (yield from stream.read()):
            data += more
        return data, (yield from world.wait_for_exit())

    data, code = world.run(main())
    assert data.startswith(b"HTTP/1.1 200") and code == 0


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_clients_that_go_on_sending_at_the_end_lose_nothing_that_was_sent_on(running, name):
    """Five clients send one request after another on what stays open, and connect anew while that can be, up
    to the end: whatever any node saw was answered to its client.
    """
    settings = settings_variant(name)
    world = running(settings=settings)
    kind = settings["classes"][0]
    answered, crossed = set(), set()

    def goes_on(c):
        client, n = world.client(), 0
        while True:
            n += 1
            query = f"c{c}-{n}"
            try:
                response = yield from one_part(world, query, kind, client)
            except StreamBrokenError:
                crossed.add(query)
                client = world.client()
                continue
            except ConnectError:
                return
            answered.add(query)
            if not client.side.reusable:  # the answer said that it closes
                client = world.client()
            assert response.status in (200, 503)
            yield from sleep(world.loop, 3_000)

    def main():
        tasks = [world.loop.spawn(goes_on(c), "client") for c in range(5)]
        yield from until(world, lambda: len(answered) > 20)
        world.process.send_signal(signal.SIGTERM)
        for task in tasks:
            yield from task.join()
        return (yield from world.wait_for_exit())

    assert world.run(main()) == 0
    seen = {part.id.partition(".")[0] for node in world.nodes for part in node.parts}
    assert len(seen) > 20 and not (seen - answered), (seen - answered, crossed)


@pytest.mark.parametrize("point", ["connecting", "half an answer", "twice", "while it ends"])
def test_sighup_at_any_point_of_the_watch_moves_it_and_ends_nothing(running, point):
    world = running(has_discovery=False)
    heard = []

    def serve(stream):
        heard.append((yield from stream.read()))
        if point == "half an answer":
            stream.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n{"rev": 9, ')
        yield from stream.read()

    def main():
        old = world.net.listen("127.0.0.1:0", serve, "old")
        world.write_config(old.address)
        world.process.send_signal(signal.SIGHUP)
        if point != "connecting":
            yield from until(world, lambda: heard)
        world.write_config(world.discoveries[1].address)
        if point == "while it ends":
            world.process.send_signal(signal.SIGTERM)
            yield from world.wait_for_log("terminating")
        world.process.send_signal(signal.SIGHUP)
        if point == "twice":
            world.process.send_signal(signal.SIGHUP)
        yield from until(world, lambda: world.discoveries[1].queries)
        status = (yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])).status
        if point != "while it ends":
            assert world.process.poll() is None
            world.process.send_signal(signal.SIGTERM)
        return status, (yield from world.wait_for_exit())

    assert world.run(main()) == (200, 0)


def test_sighup_leaves_all_but_discovery_as_it_was_at_the_start_and_says_what_waits(running):
    world = running()
    other = {**world.settings["classes"][0], "name": "other", "hard-limit-us": 9_000_000}
    settings = {**world.settings, "classes": [other]}

    def main():
        world.config_path.write_bytes(
            encode_config(
                listen="127.0.0.1:0",
                discovery=world.discoveries[1].address,
                settings={
                    **settings,
                    "specifics": {
                        **settings["specifics"],
                        "class-fetch": [0],
                        "class-need": [1.0],
                        "min-share": [1.0],
                        "incomplete-worth": [0.9],
                    },
                },
            )
        )
        world.process.send_signal(signal.SIGHUP)
        yield from until(world, lambda: world.discoveries[1].queries)
        yield from world.wait_for_log("from_the_next_start='settings'")
        one = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])
        other = yield from world.client().send_query("q2", "other", [0])
        return one.status, other.status

    assert world.run(main()) == (200, 404)


def test_what_waits_in_the_backlog_when_the_listener_closes_is_served_before_the_end():
    """In one process, as the kernel's queue is filled between two lines: connected and asked, and the broker
    has accepted nothing of it yet. Its end was looked for in the same turn, before their tasks had begun.
    """
    loop, net, _ = socket_loop()
    node = PlatformNode(loop, net, "127.0.0.1:0", "s3", 3, work_us=1)
    config = read(
        encode_config(
            listen="127.0.0.1:0",
            discovery="127.0.0.1:1",
            known={"rev": 1, "all": True, "targets": [node.entry]},
        )
    )
    process = Process(config, {})
    process.listener = process.net.listen(config.listen, process.front.serve, "client", 64)
    process.loop.turn()
    process.terminate()
    host, port = process.listener.address.split(":")
    body = json.dumps({"parts": [{"id": 3, "w": 1.0}], "expr": "c41e77d0"}).encode()
    socks = []

    def crosses():
        for n in range(3):
            socks.append(socket.create_connection((host, int(port))))
            socks[-1].send(
                (
                    f"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: q{n}\r\nReq-Kind: price-search\r\n"
                    f"Req-Deadline: 500m\r\nContent-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
        process._stop_accepting()

    process.loop.call_soon(crosses)
    beside = threading.Thread(target=loop.run, daemon=True)
    beside.start()
    process.loop.run()
    loop.call_threadsafe(loop.stop)
    beside.join(60)
    for sock in socks:
        sock.settimeout(60)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        sock.close()
    process.poller.close()
    loop.shutdown()
