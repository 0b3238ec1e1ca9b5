"""Concurrent events in a forced order: parts that wait to be sent, clients that disconnect, and shutdown.

What nodes and clients receive is checked.
"""

from __future__ import annotations

import contextlib
import json
import socket
from typing import Final

import pytest

from heathwell import policy
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import Event, StreamBrokenError, sleep
from heathwell.gateway import node_pool
from heathwell.testing.standins.platform_frames import decode_call, encode_answer
from heathwell.testing.standins.platform_node import PlatformNode

from .event_ordering_world import DISCONNECTS, SETTINGS_VARIANTS, World, settings_variant
from .platform import Platform, node_request

SHARD: Final = 3  # node 3 is its only replica where the width is one
NEVER_US: Final = 1 << 50


@pytest.fixture
def without_silence_timeout(monkeypatch):
    """Keep silent connections open for the whole test, however slow the machine."""
    for timeout_limit in ("MIN_SILENCE_TIMEOUT_US", "MAX_SILENCE_TIMEOUT_US"):
        monkeypatch.setattr(node_pool, timeout_limit, NEVER_US)


class PausedReader:
    """A node's listener that reads nothing until ``resume`` is set, and then collects the ids of the received
    parts in order. ``ends`` lists how its connections ended: "end" or "reset".
    """

    def __init__(self, world, number):
        self.resume = Event()
        self.ids = []
        self.ends = []
        self.listener = world.net.listen("127.0.0.1:0", self._serve, "deaf")
        self.listener._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.address = self.listener.address
        world.connect_gate.small_send_buffer_addresses.add(self.address)
        world.registry.publish({**world.nodes[number].entry, "endpoint": self.address})

    def _serve(self, stream):
        yield from self.resume.wait()
        data = b""
        try:
            while more := (yield from stream.read()):
                data += more
            self.ends.append("end")
        except StreamBrokenError:
            self.ends.append("reset")
        finally:
            self._read_calls(data)

    def _read_calls(self, data):
        """Collect the part ids of all complete call frames."""
        while len(data) >= 5 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
            if data[4:5] == nf.CALL:
                self.ids += [part.id for part in decode_call(data[5 : 4 + size])]
            data = data[4 + size :]


def fill_socket(world, node):
    """Move a node to a paused reader, fill the socket of its link, and return the reader."""
    reader = PausedReader(world, SHARD)
    yield from world.wait_until(world.has_change(node, reader.address))
    link = world.broker._link(node.uid)
    link.send([node_request("full.0", 0, 0, b"x" * 4_000_000)])  # a part of no query
    yield from world.wait_until(
        lambda: link.connections and link.connections[0].stream and link.connections[0].stream.unsent,
        "a full socket",
    )
    return reader


def block_sends(world, node, wait):
    """Make attempts to a node wait: for its "connect", a "second connect" or a "full socket".

    Return the paused reader at the other end of the full socket, else None.
    """
    if wait == "full socket":
        return (yield from fill_socket(world, node))
    world.connect_gate.hold(node.address)
    if wait == "second connect":
        world.connect_gate.connect_errors[node.address] = ["ECONNRESET"]
    return None


# Parts that wait to be sent.


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("change", ["draining", "gone", "moved"])
@pytest.mark.parametrize("wait", ["connect", "second connect", "full socket"])
@pytest.mark.usefixtures("without_silence_timeout")
def test_a_waiting_part_is_not_sent_to_a_node_that_drains_is_removed_or_moves(name, change, wait):
    """No part may be sent to a node after the drain grace, and the wait for a connect may outlast it."""
    world = World(name)
    node = world.nodes[SHARD]

    def main():
        reader = yield from block_sends(world, node, wait)
        query_task = world.start_query("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        if wait == "second connect":
            yield from world.wait_until(lambda: world.connect_gate.connect_attempts.count(node.address) == 2)
        other = PlatformNode(world.loop, world.net, "127.0.0.1:0", node.uid, node.replica_group, work_us=1)
        published = other.address if change == "moved" else change
        world.publish_change(node, published)
        yield from world.wait_until(world.has_change(node, published))
        yield from sleep(world.loop, 0)
        if reader is not None:
            reader.resume.set()
        else:
            world.connect_gate.open(node.address)
        response = yield from query_task.join()
        link = world.broker.links.get(node.uid)
        for connection in list(link.connections) if link is not None else []:
            connection.close()
        if reader is not None:
            yield from world.wait_until(lambda: reader.ends)
        return response.status, other, reader

    status, other, reader = world.run(main())
    seen = reader.ids if reader is not None else [part.id for part in node.parts]
    assert not [part for part in seen if part.startswith("q1")]
    # A moved node receives the part at its new address. Otherwise the shard has no replica left: the query is
    # rejected with 503, which states that nothing has run and a retry is safe.
    assert (status, [part.id for part in other.parts]) == (
        (200, ["q1.3"]) if change == "moved" else (503, [])
    )


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("change", ["draining", "restarted"])
def test_a_withdrawn_unsent_part_is_sent_to_another_replica_even_if_non_idempotent(name, change):
    """A restarted node is in slow start, so that it no longer has the state for which it was selected."""
    world = World(name, width=3)

    def main():
        for node in world.nodes:
            world.connect_gate.hold(node.address)
        query_task = world.start_query("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        (first,) = {uid for uid, link in world.broker.links.items() if link.in_flight}
        chosen = next(node for node in world.nodes if node.uid == first)
        world.publish_change(chosen, change)
        yield from world.wait_until(world.has_change(chosen, change))
        yield from world.wait_until(
            lambda: any(link.in_flight for uid, link in world.broker.links.items() if uid != first)
        )
        for node in world.nodes:
            world.connect_gate.open(node.address)
        response = yield from query_task.join()
        return response.status, chosen

    status, chosen = world.run(main())
    assert status == 200 and not chosen.parts
    assert [part.id for node in world.nodes for part in node.parts] == ["q1.3"]  # received once in total


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("wait", ["connect", "second connect", "full socket"])
@pytest.mark.usefixtures("without_silence_timeout")
def test_a_waiting_part_is_not_sent_after_its_client_disconnected(name, disconnect, wait):
    """The part waits for a connect or behind a full socket when the client disconnects."""
    world = World(name)
    node = world.nodes[SHARD]

    def main():
        reader = yield from block_sends(world, node, wait)
        sock = world.send_request("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        DISCONNECTS[disconnect](sock)
        yield from world.wait_until(lambda: world.broker.counters["left", world.class_names[0]])
        if reader is not None:
            for connection in list(world.broker.links[node.uid].connections):
                reader.resume.set()
                yield from sleep(world.loop, 0)
                connection.close()
            yield from world.wait_until(lambda: reader.ends)
            return reader.ids
        world.connect_gate.open(node.address)
        response = yield from world.start_query("q2", SHARD).join()  # over the connection that q1 waited for
        assert response.status == 200
        return [part.id for part in node.parts]

    seen = world.run(main())
    assert not [part for part in seen if part.startswith("q1")]


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("between", ["steps", "attempts"])
def test_no_second_step_and_no_retry_is_sent_after_the_client_disconnected(disconnect, between):
    """The response that would lead to it is held back until the broker has noticed the disconnect."""
    world = World(width=3)
    fetches = world.settings["specifics"]["class-fetch"]
    class_index = next(index for index, fetch in enumerate(fetches) if bool(fetch) == (between == "steps"))

    def main():
        held = world.hold_parts()
        sock = world.send_request("q1", SHARD, class_index)
        yield from world.wait_until(lambda: held)
        DISCONNECTS[disconnect](sock)
        yield from world.wait_until(lambda: world.broker.counters["left", world.class_names[class_index]])
        (call,) = held
        world.answer_parts()
        if not call.stream.closed:
            call.stream.write(encode_answer(call.part, 200 if between == "steps" else 500))
        return (yield from world.start_query("q2", SHARD).join()).status

    assert world.run(main()) == 200
    assert [part.id for node in world.nodes for part in node.parts if part.id.startswith("q1")] == ["q1.3"]


@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_a_disconnect_is_noticed_behind_more_requests_than_are_read_ahead(disconnect):
    """A client may pipeline hundreds of requests and disconnect. The broker keeps no more than its limit of
    read-ahead bytes, before the end of the stream, and must still notice the disconnect: no request after the
    first is sent to a node.
    """
    world = World()
    node = world.nodes[SHARD]
    node.silent = True

    def main():
        sock = world.open_client_socket()
        data = b"".join(world.request_bytes(f"q{n}", SHARD) for n in range(1000))
        sent = sock.send(data)
        assert sent > 100_000  # more than is read ahead: the rest stays in the socket
        yield from world.wait_until(world.part_in_flight("q0"))
        yield from world.wait_until(lambda: next(iter(world.front.clients)).is_overrun)
        DISCONNECTS[disconnect](sock)
        yield from world.wait_until(
            lambda: world.broker.counters["left", world.class_names[0]], "the end is seen"
        )
        yield from world.wait_until(lambda: not world.front.clients)
        node.silent = False
        response = yield from world.start_query("after", SHARD).join()
        return response.status

    assert world.run(main()) == 200
    assert [part.id for part in node.parts] == ["q0.3", "after.3"]


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_requests_that_a_client_left_unread_behind_served_ones_are_not_sent_after_its_disconnect(disconnect):
    """Guards against requests that are left in the socket in front of the disconnect, and run for nobody.

    On loopback the response to a closed socket is answered with a reset at once. A half-close isn't, as a
    close over a network isn't for a round trip.
    """
    world = World()
    node = world.nodes[SHARD]
    numbers = iter(range(1_000_000))

    def pipeline_until_full(sock):
        """Send up to 30,000 requests, and read responses, until the socket takes no more for a while."""
        data = b""
        refused_sends = 0
        while refused_sends < 100 and next(numbers) < 30_000:
            data = data or b"".join(world.request_bytes(f"q{next(numbers)}", SHARD) for _ in range(1000))
            try:
                data = data[sock.send(data) :]
                refused_sends = 0
            except BlockingIOError:
                refused_sends += 1
            with contextlib.suppress(BlockingIOError):
                sock.recv(1 << 20)
            yield from sleep(world.loop, 200)

    def main():
        sock = world.open_client_socket()
        yield from pipeline_until_full(sock)
        assert len(node.parts) > 1
        with contextlib.suppress(BlockingIOError):
            sock.recv(1 << 20)  # unread responses would turn a close into a reset
        DISCONNECTS[disconnect](sock)
        yield from sleep(world.loop, 100_000)  # a client that left is noticed within this
        parts_at_disconnect = len(node.parts)
        yield from sleep(world.loop, 500_000)
        return parts_at_disconnect, len(node.parts)

    parts_at_disconnect, parts_at_end = world.run(main())
    assert parts_at_disconnect == parts_at_end


def test_a_request_received_together_with_its_clients_disconnect_is_not_sent():
    """The request and the end of the stream are both in the socket before the broker reads."""
    world = World()

    def main():
        sock = world.open_client_socket()
        yield from world.wait_until(lambda: world.front.clients)
        sock.send(world.request_bytes("q1", SHARD))
        sock.close()  # both arrive before the loop's next turn
        yield from world.wait_until(lambda: not world.front.clients)
        return (yield from world.start_query("q2", SHARD).join()).status

    assert world.run(main()) == 200
    assert [part.id for part in world.nodes[SHARD].parts] == ["q2.3"]


def start_repeatable_query(world, shards):
    """Send a query of the first class that is not non-idempotent and return its task."""
    entry = next(each for each in world.settings["classes"] if each["idempotency"] != "non_idempotent")
    key = "k1" if entry["idempotency"] == "idempotency_key" else ""
    return world.loop.spawn(
        world.client().send_query("q1", entry["name"], shards, timeout_ms=60_000, key=key), "q1"
    )


def send_second_attempt(world, query, part, node):
    """Send a second attempt of a part in place of the driver, for settings that allow no hedges."""
    part.attempt_count = 2
    query.in_flight[part.id, 1] = node.uid
    world.broker._link(node.uid).send([world.broker.attempt_request(query, part, 1, 100_000)])


def send_part_after(world, nodes):
    """Once the links to the nodes are connected, send a part over each and wait until one is received."""
    links = [link for link in world.broker.links.values() if link.node in nodes]
    yield from world.wait_until(
        lambda: all(connection.stream for link in links for connection in link.connections)
    )
    for link in links:
        link.send([node_request("after.3", 0, 3, b"x")])
    yield from world.wait_until(
        lambda: any(part.id == "after.3" for node in world.nodes for part in node.parts)
    )


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_waiting_additional_attempt_is_not_sent_once_the_first_is_answered(name):
    """Another part is then sent over the same connection, which shows that the connection is usable."""
    world = World(name, width=3)

    def main():
        held = world.hold_parts()
        query_task = start_repeatable_query(world, [SHARD, 0])
        yield from world.wait_until(lambda: len(held) == 2)
        held.sort(key=lambda call: call.part.shard != SHARD)
        first = held[0].node
        others = [node for node in world.nodes if node.replica_group in (3, 4, 5) and node is not first]
        for node in others:
            world.connect_gate.hold(node.address)
        query = next(iter(world.broker.queries.values()))
        part = query.parts["q1.3"]
        if world.settings["ceilings"]["second-copies"]:
            yield from world.wait_until(lambda: part.attempt_count == 2)  # the hedge of a late part
        else:
            send_second_attempt(world, query, part, others[0])
        world.answer_parts()
        first.finish_work(held[0].stream, held[0].part)
        yield from world.wait_until(lambda: part.data is not None)  # the query's other part is in flight
        yield from sleep(world.loop, 0)
        for address in list(world.connect_gate.held_addresses):
            world.connect_gate.open(address)
        yield from send_part_after(world, {node.uid for node in others})
        held[1].node.finish_work(held[1].stream, held[1].part)
        return (yield from query_task.join()).status

    assert world.run(main()) == 200
    assert [part.id for node in world.nodes for part in node.parts if part.id == "q1.3"] == ["q1.3"]


@pytest.mark.usefixtures("without_silence_timeout")
def test_cancelling_an_attempt_behind_a_full_socket_resets_the_connection():
    """A CANCEL frame that waits behind a full socket does not cancel the attempt, and the part is sent to
    another replica meanwhile. The reset keeps the node from receiving the rest.
    """
    world = World()
    ended = []

    def main():
        reader = PausedReader(world, SHARD)
        yield from world.wait_until(world.has_change(world.nodes[SHARD], reader.address))
        link = world.broker._link("s3")
        world.broker.on_attempt_result = lambda _node, key, outcome, _result: ended.append((key[0], outcome))
        link.send([node_request("q1.3", 0, 3, b"x")])
        yield from world.wait_until(
            lambda: link.connections[0].stream and link.connections[0].in_flight["q1.3"].frame_end
        )
        link.send([node_request("q2.3", 0, 3, b"x" * 4_000_000)])
        yield from world.wait_until(lambda: link.connections[0].stream.unsent)
        assert link.abandon(("q1.3", 0))
        reader.resume.set()
        yield from world.wait_until(lambda: reader.ends)
        yield from world.wait_until(lambda: ended)
        return reader

    reader = world.run(main())
    assert reader.ends == ["reset"] and "q2.3" not in reader.ids
    assert ended == [("q2.3", policy.Outcome.NEVER_SENT)]  # it was not written completely


# Connections of nodes that end.


@pytest.mark.parametrize("first", ["write", "end"])
def test_a_connection_that_ends_during_a_write_does_not_make_its_node_unreachable(first):
    """A part that the kernel accepted before the end may have run: its connection was lost. A part that is
    written after the end was never sent.
    """
    world = World(width=1)

    def main():
        assert (yield from world.start_query("q1", SHARD).join()).status == 200
        link = world.broker.links["s3"]
        ended = []
        world.broker.on_attempt_result = lambda _node, _key, outcome, _result: ended.append(outcome)

        def abort_connections():
            for stream in list(world.nodes[SHARD].streams):
                stream.abort()

        if first == "end":
            abort_connections()  # the broker has not noticed it yet
        link.send([node_request("q2.3", 0, 3, b"x")])
        if first == "write":
            abort_connections()
        yield from world.wait_until(lambda: ended)
        return ended

    assert world.run(main()) == [
        policy.Outcome.CONNECTION_LOST if first == "write" else policy.Outcome.NEVER_SENT
    ]


# Shutdown.


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_every_query_is_answered_before_the_shutdown_deadline(name):
    """A timeout of a class that is longer than the 3 s after which SIGKILL may follow is shortened to these.
    Runs on virtual time.
    """
    settings = settings_variant(name)
    world = Platform(settings=settings)
    for node in world.nodes:
        node.silent = True
    classes = {entry["name"]: entry for entry in settings["classes"]}
    longest_timeout_us = max(entry["hard-limit-us"] for entry in classes.values())
    answered = {}

    def send_query(class_name, number):
        key = "k1" if classes[class_name]["idempotency"] == "idempotency_key" else ""
        client = world.client(f"c{number}")
        response = yield from client.send_query(f"q{number}", class_name, [3], timeout_ms=60_000, key=key)
        answered[number] = (world.loop.now(), response.status, class_name)

    def main():
        tasks = [world.loop.spawn(send_query(name, index), "q") for index, name in enumerate(classes)]
        yield from sleep(world.loop, 100_000)
        deadline_us = world.loop.now() + min(longest_timeout_us, 3_000_000) + 500_000
        world.broker.start_shutdown(deadline_us)
        yield from sleep(world.loop, 300_000)
        tasks += [world.loop.spawn(send_query(name, 10 + index), "q") for index, name in enumerate(classes)]
        for task in tasks:
            yield from task.join()
        return deadline_us

    deadline_us = world.run(main())
    assert (
        len(answered) == 2 * len(classes) and max(at for at, _, _ in answered.values()) <= deadline_us + 1000
    )
    non_idempotent = {name for name, entry in classes.items() if entry["idempotency"] == "non_idempotent"}
    assert all(
        status == (500 if class_name in non_idempotent else 503)
        for _, status, class_name in answered.values()
    )
    assert not any("overdue" in line for line in world.lines)


# Settings.


def test_a_tenant_is_identified_by_the_settings_accounts():
    """A query of an unknown account, or of none, belongs to no tenant and can't exceed a tenant's quota."""
    world = World("push mode, non-idempotent, no cancellation, tenants")
    seen = []
    handle = world.broker.aggregator.handle

    def record_tenants(now_us, events):
        seen.extend(event.tenant for event in events if isinstance(event, policy.QueryArrived))
        return handle(now_us, events)

    world.broker.aggregator.handle = record_tenants

    def main():
        for number, owner in enumerate(("valley", "harbour", "nobody", None)):
            client = world.client()
            headers = [("Req-Id", f"q{number}"), ("Req-Kind", "visit-note"), ("Req-Deadline", "60000m")]
            headers += [("Req-Owner", owner)] if owner else []
            body = json.dumps({"parts": [{"id": SHARD, "w": 1.0}], "expr": "c41e77d0"}).encode()
            assert (yield from client.post("/visit-note", headers, body)).status == 200

    world.run(main())
    assert seen == [0, 1, 2, 2]  # 2 stands for none of the two accounts


@pytest.mark.parametrize(
    ("ceilings", "limits"),
    [
        ({}, (1, 1 << 53, 500_000)),
        ({"streams-per-conn": 0, "conn-idle-us": 0, "connect-timeout-us": 0}, (1, 1 << 53, 500_000)),
        (
            {"streams-per-conn": 7, "conn-idle-us": 9_000_000, "connect-timeout-us": 90_000},
            (7, 9_000_000, 90_000),
        ),
    ],
)
def test_connection_limits_that_the_settings_leave_out_have_safe_defaults(ceilings, limits):
    """A limit of zero is treated as absent."""
    world = Platform(settings={"ceilings": {"max-attempts": 3, **ceilings}})
    connections = world.config.connections
    assert (connections.streams, connections.idle_us, connections.connect_us) == limits
