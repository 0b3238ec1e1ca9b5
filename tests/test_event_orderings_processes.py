"""Signals in each phase of a broker process; what clients and nodes received is checked."""

from __future__ import annotations

import itertools
import json
import signal
import socket
import threading
from typing import Final

import pytest

from heathwell.eventloop import ConnectError, StreamBrokenError, sleep, socket_loop
from heathwell.gateway.config import read
from heathwell.gateway.process import Process
from heathwell.testing.simulation.platform_config import encode_config
from heathwell.testing.simulation.platform_fleet import PlatformFleet
from heathwell.testing.standins.platform_node import PlatformNode

from .event_ordering_world import SETTINGS_VARIANTS, settings_variant

MAX_WAIT_TURNS: Final = 30_000  # of 2 ms
ONE_PART: Final = json.dumps({"parts": [{"id": 3, "w": 1.0}], "expr": "c41e77d0"}).encode()

# A broker program that signals itself once it has read its configuration, before it has a listener or a loop.
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
    """Return a function that starts a fleet with a broker process; all are closed after the test."""
    worlds = []

    def build(**more):
        worlds.append(PlatformFleet(tmp_path, **more))
        for node in worlds[-1].nodes:
            node.work_us = 1
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()


def send_one_part(world, name, query_class, client=None):
    """Send a query of one part; ``query_class`` is the class's entry in the settings."""
    key = "k1" if query_class["idempotency"] == "idempotency_key" else ""
    return (client or world.client()).send_query(name, query_class["name"], [3], timeout_ms=60_000, key=key)


def send_to_all_classes(world, prefix):
    """Start a query of one part for each class and return their tasks."""
    return [
        world.loop.spawn(send_one_part(world, f"{prefix}{index}", query_class), prefix)
        for index, query_class in enumerate(world.settings["classes"])
    ]


def raw_request(name, body):
    """Return the bytes of a price-search request."""
    return (
        f"POST /price-search HTTP/1.1\r\nHost: b\r\nReq-Id: {name}\r\nReq-Kind: price-search\r\n"
        f"Req-Deadline: 500m\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def wait_until(world, condition):
    """Run the loop until ``condition`` is true; raise AssertionError after about a minute."""
    for _ in range(MAX_WAIT_TURNS):
        if condition():
            return
        yield from sleep(world.loop, 2_000)
    raise AssertionError(f"state not reached; the broker's log: {world.log_path.read_text()}")


@pytest.mark.parametrize(
    "numbers",
    [
        [signal.SIGTERM],
        [signal.SIGTERM, signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM],
        [signal.SIGTERM, signal.SIGHUP],
    ],
)
def test_signals_before_the_listener_exists_are_carried_out(running, numbers):
    """A SIGTERM in this phase ends the process with exit code 0."""
    code = BEFORE_THE_LOOP.format(numbers=[int(number) for number in numbers])
    world = running(program=("-c", code), wait_until_ready=False)
    assert world.run(world.wait_for_exit()) == 0
    assert "ended" in world.log_path.read_text() and "Traceback" not in world.log_path.read_text()


def test_a_sighup_before_the_listener_exists_is_carried_out_and_the_broker_serves(running):
    """The broker reads its configuration again and continues its start."""
    world = running(program=("-c", BEFORE_THE_LOOP.format(numbers=[int(signal.SIGHUP)])))

    def main():
        yield from world.wait_for_log("configuration read")
        return (yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])).status

    assert world.run(main()) == 200


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_after_sigterm_queries_to_unresponsive_nodes_are_answered_and_the_process_exits(running, name):
    """In one variant the longest timeout is 4 s, which exceeds the 3.7 s after which SIGKILL may follow."""
    settings = settings_variant(name)
    world = running(settings=settings)
    for node in world.nodes:
        node.silent = True

    def main():
        tasks = send_to_all_classes(world, "q")
        yield from wait_until(world, lambda: sum(len(node.parts) for node in world.nodes) >= len(tasks))
        world.process.send_signal(signal.SIGTERM)
        yield from world.wait_for_log("terminating")
        tasks += send_to_all_classes(world, "r")
        statuses = []
        for task in tasks:
            statuses.append((yield from task.join()).status)
        return statuses, (yield from world.wait_for_exit())

    statuses, code = world.run(main())
    expected = [
        500 if query_class["idempotency"] == "non_idempotent" else 503 for query_class in settings["classes"]
    ]
    assert (statuses, code) == (expected * 2, 0)
    assert "open='0'" in world.log_path.read_text() and "overdue" not in world.log_path.read_text()


def test_a_request_half_read_when_the_listener_closes_is_completed_and_answered(running):
    """The connection was accepted before SIGTERM."""
    world = running()
    request = raw_request("q1", ONE_PART)

    def main():
        stream = yield from world.net.connect(world.address, 1_000_000)
        stream.write(request[:50])
        # Once this is answered, the broker has read the first half of the request.
        assert (yield from world.client().send_query("q0", "price-search", [3])).status == 200
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
def test_during_shutdown_each_query_that_reached_a_node_is_answered(running, name):
    """Five clients send one request after another, and reconnect until the broker accepts no more
    connections.
    """
    settings = settings_variant(name)
    world = running(settings=settings)
    query_class = settings["classes"][0]
    answered = set()
    disconnected = set()

    def send_until_exit(client_number):
        client = world.client()
        for number in itertools.count(1):
            query = f"c{client_number}-{number}"
            try:
                response = yield from send_one_part(world, query, query_class, client)
            except StreamBrokenError:
                disconnected.add(query)
                client = world.client()
                continue
            except ConnectError:
                return
            answered.add(query)
            if not client.side.reusable:  # the response announced a close
                client = world.client()
            assert response.status in (200, 503)
            yield from sleep(world.loop, 3_000)

    def main():
        tasks = [world.loop.spawn(send_until_exit(number), "client") for number in range(5)]
        yield from wait_until(world, lambda: len(answered) > 20)
        world.process.send_signal(signal.SIGTERM)
        for task in tasks:
            yield from task.join()
        return (yield from world.wait_for_exit())

    assert world.run(main()) == 0
    seen = {part.id.partition(".")[0] for node in world.nodes for part in node.parts}
    assert len(seen) > 20 and not (seen - answered), (seen - answered, disconnected)


@pytest.mark.parametrize("phase", ["connecting", "partial response", "twice", "during shutdown"])
def test_sighup_in_each_phase_of_the_watch_moves_it_and_ends_nothing(running, phase):
    """The broker continues to serve, and a shutdown in progress is completed."""
    world = running(has_discovery=False)
    requests = []

    def serve(stream):
        requests.append((yield from stream.read()))
        if phase == "partial response":
            stream.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n{"rev": 9, ')
        yield from stream.read()

    def main():
        old = world.net.listen("127.0.0.1:0", serve, "old")
        world.write_config(old.address)
        world.process.send_signal(signal.SIGHUP)
        if phase != "connecting":
            yield from wait_until(world, lambda: requests)
        world.write_config(world.discoveries[1].address)
        if phase == "during shutdown":
            world.process.send_signal(signal.SIGTERM)
            yield from world.wait_for_log("terminating")
        world.process.send_signal(signal.SIGHUP)
        if phase == "twice":
            world.process.send_signal(signal.SIGHUP)
        yield from wait_until(world, lambda: world.discoveries[1].queries)
        status = (yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])).status
        if phase != "during shutdown":
            assert world.process.poll() is None
            world.process.send_signal(signal.SIGTERM)
        return status, (yield from world.wait_for_exit())

    assert world.run(main()) == (200, 0)


def test_sighup_applies_a_new_discovery_address_alone_and_logs_what_needs_a_restart(running):
    """The query classes remain those of the start."""
    world = running()
    changed_class = {**world.settings["classes"][0], "name": "other", "hard-limit-us": 9_000_000}
    specifics = {
        **world.settings["specifics"],
        "class-fetch": [0],
        "class-need": [1.0],
        "min-share": [1.0],
        "incomplete-worth": [0.9],
    }
    settings = {**world.settings, "classes": [changed_class], "specifics": specifics}

    def main():
        discovery = world.discoveries[1].address
        world.config_path.write_bytes(
            encode_config(listen="127.0.0.1:0", discovery=discovery, settings=settings)
        )
        world.process.send_signal(signal.SIGHUP)
        yield from wait_until(world, lambda: world.discoveries[1].queries)
        yield from world.wait_for_log("from_the_next_start='settings'")
        known = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])
        unknown = yield from world.client().send_query("q2", "other", [0])
        return known.status, unknown.status

    assert world.run(main()) == (200, 404)


def terminating_process(node):
    """Return a broker process in this interpreter that has a listener and has received SIGTERM."""
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
    return process


def test_connections_in_the_backlog_when_the_listener_closes_are_served_before_the_exit():
    """Clients have connected and sent requests, and the broker has not accepted them yet. It accepts them as
    it closes the listener, and must not exit before the tasks of these connections have begun. Broker and
    test share a process, so that the kernel's queue is filled just before the listener closes.
    """
    loop, net, _ = socket_loop()
    node = PlatformNode(loop, net, "127.0.0.1:0", "s3", 3, work_us=1)
    process = terminating_process(node)
    host, port = process.listener.address.split(":")
    socks = []

    def fill_backlog_and_close():
        for number in range(3):
            socks.append(socket.create_connection((host, int(port))))
            socks[-1].send(raw_request(f"q{number}", ONE_PART))
        process._stop_accepting()

    process.loop.call_soon(fill_backlog_and_close)
    node_thread = threading.Thread(target=loop.run, daemon=True)
    node_thread.start()
    process.loop.run()
    loop.call_threadsafe(loop.stop)
    node_thread.join(60)
    for sock in socks:
        sock.settimeout(60)
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        sock.close()
    process.poller.close()
    loop.shutdown()
