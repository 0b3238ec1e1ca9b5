"""Events that coincide with the end of a timeout: the loop's clock is advanced when the broker has reached a
certain state, so that the order is forced.
"""

from __future__ import annotations

import json
from typing import Final

import pytest

from heathwell.eventloop import sleep
from heathwell.testing.standins.platform_frames import encode_answer

from .event_ordering_world import SETTINGS_VARIANTS, World, settings_variant

SHARD: Final = 3
KEYED: Final = "idempotency_key"
IDEMPOTENT: Final = "read_like"


def cases(idempotency):
    """Return the settings variants with the indexes of their classes of this idempotency."""
    return [
        (name, index)
        for name in SETTINGS_VARIANTS
        for index, entry in enumerate(settings_variant(name)["classes"])
        if entry["idempotency"] == idempotency
    ]


def one_step_class(world):
    """Return the index of the first class that has no second step."""
    second_step_parts = world.settings["specifics"]["class-fetch"]
    return next(index for index, parts in enumerate(second_step_parts) if not parts)


def received(sock):
    """Return the bytes that a client's socket has received so far."""
    data = b""
    while True:
        try:
            more = sock.recv(65_536)
        except BlockingIOError:
            return data
        if not more:
            return data
        data += more


def read_responses(world, sock, data, count=1):
    """Read until ``data`` and what follows hold ``count`` responses, and return all of it."""
    while data.count(b"HTTP/1.1 ") < count:
        data += received(sock)
        yield from sleep(world.loop, 200)
    return data


def statuses(data):
    """Return the status codes of the responses in ``data``."""
    return [int(piece[:3]) for piece in data.split(b"HTTP/1.1 ")[1:]]


def start_unanswered_query(world, class_index):
    """Start a query whose first part is left unanswered; return its task and the part."""
    held = world.hold_parts()
    query_task = world.start_query("q1", SHARD, class_index)
    yield from world.wait_until(lambda: held)
    return query_task, held[0]


def send_unanswered_request(world, class_index):
    """Send a request whose parts are left unanswered; return its socket and the list of these parts."""
    held = world.hold_parts()
    sock = world.send_request("q1", SHARD, class_index)
    yield from world.wait_until(lambda: held)
    return sock, held


# Retries that wait to be sent.


@pytest.mark.parametrize(("name", "class_index"), cases(KEYED))
def test_a_keyed_retry_that_waits_for_its_connect_is_not_sent_after_the_idempotency_window(name, class_index):
    """The retry is decided within the idempotency window, but its connect succeeds after the window, when it
    would have a second effect. So it is withdrawn at the end of the window, and the client is answered.
    """
    world = World(name, width=3)
    window_us = world.settings["classes"][class_index]["dedup-window-us"]

    def main():
        query_task, first = yield from start_unanswered_query(world, class_index)
        others = [node.address for node in world.nodes if node is not first.node]
        for address in others:
            world.connect_gate.hold(address)
        sent_at_us = world.loop.now()  # the first attempt has arrived, so that it was sent before this time
        first.stream.write(encode_answer(first.part, 500))
        attempts = world.connect_gate.connect_attempts
        yield from world.wait_until(
            lambda: any(address in others for address in attempts), "the retry waits for its connect"
        )
        world.stall_until(sent_at_us + window_us)
        # The connect succeeds in the very turn in which the window ends.
        world.connect_gate.open(next(address for address in attempts if address in others))
        response = yield from query_task.join()
        return response.status

    assert world.run(main()) == 503
    assert [part.id for node in world.nodes for part in node.parts] == ["q1.3"]


@pytest.mark.parametrize(("name", "class_index"), cases(KEYED))
def test_a_keyed_retry_whose_connect_succeeds_within_the_idempotency_window_is_sent(name, class_index):
    """A repeated key within its window has no second effect."""
    world = World(name, width=3)

    def main():
        query_task, first = yield from start_unanswered_query(world, class_index)
        world.answer_parts()
        others = [node.address for node in world.nodes if node is not first.node]
        for address in others:
            world.connect_gate.hold(address)
        attempts_before = len(world.connect_gate.connect_attempts)
        first.stream.write(encode_answer(first.part, 500))
        yield from world.wait_until(lambda: len(world.connect_gate.connect_attempts) > attempts_before)
        for address in others:
            world.connect_gate.open(address)
        return (yield from query_task.join()).status

    assert world.run(main()) == 200
    assert [part.id for node in world.nodes for part in node.parts] == ["q1.3", "q1.3"]


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_part_carries_the_remaining_time_of_when_it_is_sent_not_of_when_it_was_decided(name):
    """A part may wait for its connect between the decision and the send."""
    world = World(name)
    timeout_us = world.settings["classes"][0]["hard-limit-us"]

    def main():
        node = world.nodes[SHARD]
        world.connect_gate.hold(node.address)
        query_task = world.start_query("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        deadline_us = world.broker.queries["q1"].deadline_us
        world.stall_until(deadline_us - timeout_us // 2)
        remaining_us = deadline_us - world.loop.now()
        world.connect_gate.open(node.address)
        yield from query_task.join()
        return node.parts, remaining_us

    parts, remaining_us = world.run(main())
    assert [part.id for part in parts] == ["q1.3"]
    assert 0 < int(parts[0].fields["d"]) * 1000 <= remaining_us


# Responses.


@pytest.mark.parametrize("first", ["answer", "deadline"])
@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_response_that_coincides_with_the_deadline_leads_to_one_reply(name, first):
    """A response that is in the socket when the loop wakes after the deadline is used. One that arrives after
    the reply is dropped.
    """
    world = World(name)
    class_index = one_step_class(world)
    unsafe = world.settings["classes"][class_index]["idempotency"] == "non_idempotent"

    def main():
        sock, held = yield from send_unanswered_request(world, class_index)
        world.answer_parts()
        stream = held[0].stream
        if first == "answer":
            stream.write(encode_answer(held[0].part))
        world.stall_until(world.broker.queries["q1"].deadline_us + 1_000)
        data = yield from read_responses(world, sock, b"")
        if first == "deadline" and not stream.closed:
            stream.write(encode_answer(held[0].part))
            yield from world.wait_until(lambda: world.broker.links["s3"].late_answers)
        sock.send(b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")  # the connection remains usable
        return (yield from read_responses(world, sock, data, 2))

    assert statuses(world.run(main())) == [200 if first == "answer" else 500 if unsafe else 503, 200]
    assert [part.id for part in world.nodes[SHARD].parts] == ["q1.3"]


@pytest.mark.parametrize("first", ["answer", "cancel"])
@pytest.mark.parametrize(
    ("name", "class_index"),
    [
        (name, index)
        for name, index in cases(IDEMPOTENT)
        if not settings_variant(name)["specifics"]["class-fetch"][index]
    ],
)
def test_a_response_that_coincides_with_its_part_becoming_late_is_used_once(name, class_index, first):
    """A late part is hedged, or cancelled and sent to another replica, as the settings allow. If its response
    is in the socket in the turn in which it becomes late, the response is used and nothing is sent. A later
    response is used if the part was hedged, and dropped if its attempt was cancelled.
    """
    world = World(name, width=3)
    hedges = world.settings["ceilings"]["second-copies"]
    cancels = world.settings["ceilings"]["cancelling"]
    objective_us = world.settings["classes"][class_index]["objective-us"]

    def main():
        sock, held = yield from send_unanswered_request(world, class_index)
        late = held[0]
        if first == "answer":
            late.stream.write(encode_answer(late.part))
        # The part is late after half of its latency objective, and its query still has time.
        world.stall_until(world.loop.now() + objective_us * 11 // 20)
        if first == "cancel":
            yield from world.wait_until(lambda: len(held) == 2, "an additional attempt")
            if cancels and not hedges:
                yield from world.wait_until(lambda: late.node.cancelled_ids)
            late.stream.write(encode_answer(late.part))
            if not hedges:
                yield from world.wait_until(lambda: world.broker.links[late.node.uid].late_answers)
                held[1].stream.write(encode_answer(held[1].part))
        return (yield from read_responses(world, sock, b""))

    assert statuses(world.run(main())) == [200]
    assert len([part for node in world.nodes for part in node.parts]) == (1 if first == "answer" else 2)


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("first", ["answer", "end"])
def test_a_response_followed_by_the_end_of_its_connection_counts_if_it_is_complete(name, first):
    """After an incomplete response the part may have run: it is retried unless non-idempotent."""
    world = World(name)
    class_index = one_step_class(world)
    idempotency = world.settings["classes"][class_index]["idempotency"]

    def respond_and_close(node, stream, part):
        node.responder = None
        response = encode_answer(part)
        stream.write(response if first == "answer" else response[:-3])
        stream.close()

    def main():
        world.nodes[SHARD].responder = respond_and_close
        return (yield from world.start_query("q1", SHARD, class_index).join()).status

    retried = first == "end" and idempotency != "non_idempotent"
    assert world.run(main()) == (500 if first == "end" and not retried else 200)
    assert [part.id for part in world.nodes[SHARD].parts] == ["q1.3"] * (2 if retried else 1)


# Endpoint list.


class ScriptedDiscovery:
    """Discovery whose responses a test writes; ``calls`` holds the stream and target of each call."""

    def __init__(self, world):
        self.calls = []
        self.listener = world.net.listen("127.0.0.1:0", self._serve, "scripted")
        self.address = self.listener.address

    def _serve(self, stream):
        while data := (yield from stream.read()):
            self.calls.append((stream, data.split(b" ")[1].decode()))


def list_response(revision, entries, *, is_complete):
    """Return an HTTP response with an endpoint list or with changes of one."""
    body = json.dumps({"rev": revision, "all": is_complete, "targets": entries}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("upto", [0, 12, 60], ids=["first byte", "mid-head", "mid-body"])
@pytest.mark.parametrize("late_is_first", [True, False], ids=["late first", "reopened first"])
@pytest.mark.parametrize("late_revision", [7, 9], ids=["late is older", "late is newer"])
def test_a_watch_silent_after_any_byte_is_reopened_and_the_latest_revision_counts(
    name, upto, late_is_first, late_revision
):
    """The reopened watch continues from the revision of the last complete response. The silent one is heard
    until that is answered; a list of an earlier revision never undoes a later one.
    """
    world = World(name, registry=False)
    node = world.nodes[2]
    late_state, reopened_state = ("up", "draining") if late_revision < 8 else ("draining", "up")
    late = list_response(late_revision, [{**node.entry, "state": late_state}], is_complete=False)

    def main():
        discovery = ScriptedDiscovery(world)
        world.broker.watch.move(discovery.address)
        yield from world.wait_until(lambda: discovery.calls)
        stream, target = discovery.calls[0]
        assert target == "/api/targets"  # at a new address: the complete list
        stream.write(list_response(5, [each.entry for each in world.nodes], is_complete=True))
        yield from world.wait_until(lambda: len(discovery.calls) == 2)
        stream, target = discovery.calls[1]
        wait_us = int(target.partition("hold_ms=")[2]) * 1000
        stream.write(late[:upto])
        yield from sleep(world.loop, 0)
        world.stall_until(world.loop.now() + wait_us + 1_000_000)
        yield from world.wait_until(lambda: len(discovery.calls) == 3, "reopened")
        reopened, target = discovery.calls[2]
        assert reopened is not stream and target == "/api/targets?from=5&hold_ms=0"
        assert not stream.hung_up and world.broker.watch.rev == 5
        if late_is_first:
            stream.write(late[upto:])
            yield from world.wait_until(lambda: world.broker.watch.rev == late_revision, "late response")
        reopened.write(list_response(8, [{**node.entry, "state": reopened_state}], is_complete=False))
        yield from world.wait_until(lambda: len(discovery.calls) == 4)
        yield from world.wait_until(lambda: stream.hung_up, "the silent watch closed")
        if not late_is_first:
            stream.try_write(late[upto:])
        return discovery.calls[3][1]

    latest_revision = 9 if late_is_first and late_revision == 9 else 8
    latest_state = late_state if latest_revision == late_revision else reopened_state
    assert world.run(main()).startswith(f"/api/targets?from={latest_revision}&hold_ms=")
    assert world.broker.aggregator.endpoints["s2"].live == (latest_state == "up")


@pytest.mark.parametrize("late_is_first", [True, False], ids=["late first", "reopened first"])
def test_a_late_and_a_reopened_watch_of_an_older_revision_lead_to_one_complete_list(late_is_first):
    """Guards against changes being applied, and a revision taken over, without the list that they belong to:
    discovery has restarted with an older list, and both open calls say so.
    """
    world = World(registry=False)
    older = list_response(3, [{**world.nodes[1].entry, "state": "draining"}], is_complete=False)
    complete = [
        {**node.entry, "state": "draining" if node is world.nodes[2] else "up"} for node in world.nodes
    ]

    def main():
        discovery = ScriptedDiscovery(world)
        world.broker.watch.move(discovery.address)
        yield from world.wait_until(lambda: discovery.calls)
        stream, _ = discovery.calls[0]
        stream.write(list_response(5, [each.entry for each in world.nodes], is_complete=True))
        yield from world.wait_until(lambda: len(discovery.calls) == 2)
        silent, target = discovery.calls[1]
        wait_us = int(target.partition("hold_ms=")[2]) * 1000
        world.stall_until(world.loop.now() + wait_us + 1_000_000)
        yield from world.wait_until(lambda: len(discovery.calls) == 3, "reopened")
        reopened, _ = discovery.calls[2]
        if late_is_first:
            silent.write(older)
            yield from world.wait_until(lambda: world.broker.watch.rev is None, "older revision noticed")
        reopened.write(older)
        yield from world.wait_until(lambda: len(discovery.calls) == 4)
        stream, target = discovery.calls[3]
        assert target == "/api/targets" and world.broker.aggregator.endpoints["s1"].live
        stream.write(list_response(3, complete, is_complete=True))
        yield from world.wait_until(world.has_change(world.nodes[2], "draining"))
        yield from world.wait_until(lambda: len(discovery.calls) == 5)
        return discovery.calls[4][1]

    assert world.run(main()).startswith("/api/targets?from=3&hold_ms=")


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("discovery", ["answers late", "is down"])
def test_a_new_process_uses_its_configured_list_until_the_current_one_is_binding(name, discovery):
    """If lists are pushed, the current one is binding from the start of a process, and the configured one may
    be older: a query waits for discovery's first response, so that no part is sent to a draining node. In
    poll mode, and while discovery is down, the configured list applies.
    """
    world = World(name, registry=discovery == "answers late")
    pushed = world.settings["registry-mode"] != "ask"
    node = world.nodes[SHARD]
    world.registry.silent = True
    world.publish_change(node, "draining")

    def ready_status():
        sock = world.open_client_socket()
        sock.send(b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")
        (status,) = statuses((yield from read_responses(world, sock, b"")))
        sock.close()
        return status

    def main():
        if discovery == "answers late":
            yield from world.wait_until(lambda: world.registry.queries)
        waits = pushed and discovery == "answers late"
        if discovery == "is down":
            yield from world.wait_until(lambda: world.broker.counters["news", "failed"] or not pushed)
        assert (yield from ready_status()) == (503 if waits else 200)
        query_task = world.start_query("q1", SHARD)
        yield from world.wait_until(lambda: world.front.counts["requests"])
        if waits:
            yield from sleep(world.loop, 1_000)
            world.registry.silent = False
            yield from world.wait_until(world.has_change(node, "draining"))
            assert (yield from ready_status()) == 200
        return (yield from query_task.join()).status, waits

    status, waits = world.run(main())
    assert status == (503 if waits else 200)
    assert [part.id for part in node.parts] == ([] if waits else ["q1.3"])
