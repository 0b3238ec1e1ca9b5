"""Crossings with a time that is up: the loop's clock is set ahead at a named point, so that order
is forced.
"""

from __future__ import annotations

import json

import pytest

from heathwell.eventloop import Event, sleep
from heathwell.testing.standins.platform_frames import encode_answer

from .event_ordering_world import SETTINGS_VARIANTS, World, settings_variant

SHARD = 3
KEYED, SAFE = "idempotency_key", "read_like"


def kinds(name, effect):
    return [n for n, kind in enumerate(settings_variant(name)["classes"]) if kind["idempotency"] == effect]


def cases(effect):
    return [(name, kind) for name in SETTINGS_VARIANTS for kind in kinds(name, effect)]


def responses(sock):
    """What a bare client has been sent so far."""
    data = b""
    while True:
        try:
            more = sock.recv(65_536)
        except BlockingIOError:
            return data
        if not more:
            return data
        data += more


def told(world, sock, data, count=1):
    while data.count(b"HTTP/1.1 ") < count:
        data += responses(sock)
        yield from sleep(world.loop, 200)
    return data


def statuses(data):
    return [int(piece[:3]) for piece in data.split(b"HTTP/1.1 ")[1:]]


# Repeats that wait.


@pytest.mark.parametrize(("name", "kind"), cases(KEYED))
def test_a_keyed_repeat_that_waits_for_its_connect_does_not_leave_after_the_window(name, kind):
    """The repeat is decided within the window of repeats; its connect comes up behind it, and its effect
    would be another one. It is taken back when the window is over, and the client hears of it then.
    """
    world = World(name, width=3)
    window = world.settings["classes"][kind]["dedup-window-us"]
    held = []

    def main():
        for node in world.nodes:
            node.responder = lambda node, stream, part: held.append((node, stream, part))
        asked = world.start_query("q1", SHARD, kind)
        yield from world.wait_until(lambda: held)
        node, stream, part = held[0]
        for other in world.nodes:
            if other is not node:
                world.connect_gate.hold(other.address)
        sent_at = world.loop.now()  # of the first attempt's arrival: it left before
        stream.write(encode_answer(part, 500))
        waits = {other.address for other in world.nodes if other is not node}
        yield from world.wait_until(
            lambda: any(a in waits for a in world.connect_gate.connect_attempts),
            "the repeat waits for its connect",
        )
        world.stall_until(sent_at + window)
        world.connect_gate.open(
            next(a for a in world.connect_gate.connect_attempts if a in waits)
        )  # up in the very turn in which it is over
        response = yield from asked.join()
        return response.status

    assert world.run(main()) == 503
    assert [part.id for node in world.nodes for part in node.parts] == ["q1.3"]


@pytest.mark.parametrize(("name", "kind"), cases(KEYED))
def test_a_keyed_repeat_whose_connect_comes_up_within_the_window_leaves(name, kind):
    world = World(name, width=3)
    held = []

    def main():
        for node in world.nodes:
            node.responder = lambda node, stream, part: held.append((node, stream, part))
        asked = world.start_query("q1", SHARD, kind)
        yield from world.wait_until(lambda: held)
        node, stream, part = held[0]
        for other in world.nodes:
            other.responder = None
            if other is not node:
                world.connect_gate.hold(other.address)
        asked_before = len(world.connect_gate.connect_attempts)
        stream.write(encode_answer(part, 500))
        yield from world.wait_until(lambda: len(world.connect_gate.connect_attempts) > asked_before)
        for other in world.nodes:
            if other is not node:
                world.connect_gate.open(other.address)
        return (yield from asked.join()).status

    assert world.run(main()) == 200
    assert [part.id for node in world.nodes for part in node.parts] == ["q1.3", "q1.3"]


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_part_says_how_long_it_is_waited_for_when_it_leaves_not_when_it_was_decided(name):
    world = World(name)
    limit = world.settings["classes"][0]["hard-limit-us"]

    def main():
        node = world.nodes[SHARD]
        world.connect_gate.hold(node.address)
        asked = world.start_query("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        deadline = world.broker.queries["q1"].deadline_us
        world.stall_until(deadline - limit // 2)
        left = deadline - world.loop.now()
        world.connect_gate.open(node.address)
        yield from asked.join()
        return node.parts, left

    parts, left = world.run(main())
    assert [part.id for part in parts] == ["q1.3"]
    assert 0 < int(parts[0].fields["d"]) * 1000 <= left


# Answers.


@pytest.mark.parametrize("first", ["answer", "deadline"])
@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_an_answer_that_crosses_the_deadline_makes_one_reply(name, first):
    """At hand when the loop wakes behind the deadline, it counts; told after the reply, it is dropped."""
    world = World(name)
    held = []
    kind = next(n for n, fetch in enumerate(world.settings["specifics"]["class-fetch"]) if not fetch)
    unsafe = world.settings["classes"][kind]["idempotency"] == "non_idempotent"

    def main():
        node = world.nodes[SHARD]
        node.responder = lambda node, stream, part: held.append((stream, part))
        sock = world.open_client_socket()
        sock.send(world.request_bytes("q1", SHARD, kind))
        yield from world.wait_until(lambda: held)
        node.responder = None
        stream, part = held[0]
        if first == "answer":
            stream.write(encode_answer(part))
        world.stall_until(world.broker.queries["q1"].deadline_us + 1_000)
        data = yield from told(world, sock, b"")
        if first == "deadline" and not stream.closed:
            stream.write(encode_answer(part))
            yield from world.wait_until(lambda: world.broker.links["s3"].late_answers)
        sock.send(b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")  # the connection is as good as before
        return (yield from told(world, sock, data, 2))

    assert statuses(world.run(main())) == [200 if first == "answer" else 500 if unsafe else 503, 200]
    assert [part.id for part in world.nodes[SHARD].parts] == ["q1.3"]


@pytest.mark.parametrize("first", ["answer", "cancel"])
@pytest.mark.parametrize(
    ("name", "kind"),
    [
        (name, kind)
        for name, kind in cases(SAFE)
        if not settings_variant(name)["specifics"]["class-fetch"][kind]
    ],
)
def test_an_answer_that_crosses_its_late_mark_is_used_once(name, kind, first):
    """At the late mark a part is called off and sent elsewhere, or copied, as the settings allow. An answer
    at hand in that very turn comes first, and nothing is sent; one on its way meets the attempt's end, and is
    dropped or, of a copied part, used.
    """
    world = World(name, width=3)
    copies, cancels = (world.settings["ceilings"][key] for key in ("second-copies", "cancelling"))
    held = []

    def main():
        for node in world.nodes:
            node.responder = lambda node, stream, part: held.append((node, stream, part))
        sock = world.open_client_socket()
        sock.send(world.request_bytes("q1", SHARD, kind))
        yield from world.wait_until(lambda: held)
        node, stream, part = held[0]
        if first == "answer":
            stream.write(encode_answer(part))
        # Half of the aim: the part is late, and its query has time.
        world.stall_until(world.loop.now() + world.settings["classes"][kind]["objective-us"] * 11 // 20)
        if first == "cancel":
            yield from world.wait_until(lambda: len(held) == 2, "a further attempt")
            if cancels and not copies:
                yield from world.wait_until(lambda: node.cancelled_ids)
            stream.write(encode_answer(part))
            if not copies:
                yield from world.wait_until(lambda: world.broker.links[node.uid].late_answers)
                other, stream, part = held[1]
                stream.write(encode_answer(part))
        return (yield from told(world, sock, b""))

    assert statuses(world.run(main())) == [200]
    assert len([part for node in world.nodes for part in node.parts]) == (1 if first == "answer" else 2)


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("first", ["answer", "end"])
def test_an_answer_that_crosses_its_connections_end_counts_if_it_came_first(name, first):
    """Whole and then the end, in one turn of the broker: it is an answer. Half of it and the end: it may have
    run.
    """
    world = World(name)
    kind = next(n for n, fetch in enumerate(world.settings["specifics"]["class-fetch"]) if not fetch)
    effect = world.settings["classes"][kind]["idempotency"]

    def ends(node, stream, part):
        node.responder = None
        whole = encode_answer(part)
        stream.write(whole if first == "answer" else whole[:-3])
        stream.close()

    def main():
        node = world.nodes[SHARD]
        node.responder = ends
        return (yield from world.start_query("q1", SHARD, kind).join()).status

    repeated = first == "end" and effect != "non_idempotent"
    assert world.run(main()) == (500 if first == "end" and not repeated else 200)
    assert [part.id for part in world.nodes[SHARD].parts] == ["q1.3"] * (2 if repeated else 1)


# Lists.


class Scripted:
    """Discovery whose answers are written by a test: each call's stream, in order."""

    def __init__(self, world):
        self.calls = []
        self.never = Event()
        self.listener = world.net.listen("127.0.0.1:0", self._serve, "scripted")
        self.address = self.listener.address

    def _serve(self, stream):
        while data := (yield from stream.read()):
            self.calls.append((stream, data.split(b" ")[1].decode()))


def listed(rev, entries, whole):
    body = json.dumps({"rev": rev, "all": whole, "targets": entries}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("upto", [0, 12, 60], ids=["first byte", "mid-head", "mid-body"])
def test_a_watch_silent_at_any_byte_is_opened_anew_and_what_it_says_afterwards_changes_nothing(name, upto):
    world = World(name, registry=False)
    node = world.nodes[2]
    old = listed(9, [{**node.entry, "state": "up"}], False)

    def main():
        script = Scripted(world)
        world.broker.watch.move(script.address)
        yield from world.wait_until(lambda: script.calls)
        stream, target = script.calls[0]
        assert target == "/api/targets"  # elsewhere: the whole list
        stream.write(listed(5, [each.entry for each in world.nodes], True))
        yield from world.wait_until(lambda: len(script.calls) == 2)
        stream, target = script.calls[1]
        wait_us = int(target.partition("hold_ms=")[2]) * 1000
        stream.write(old[:upto])
        yield from sleep(world.loop, 0)
        world.stall_until(world.loop.now() + wait_us + 1_000_000)
        yield from world.wait_until(lambda: len(script.calls) == 3, "opened anew")
        anew, target = script.calls[2]
        assert anew is not stream and target == "/api/targets?from=5&hold_ms=0"
        if not stream.closed:
            stream.offer(old[upto:])
        anew.write(listed(8, [{**node.entry, "state": "draining"}], False))
        yield from world.wait_until(world.has_change(node, "draining"))
        yield from world.wait_until(lambda: len(script.calls) == 4)
        return script.calls[3][1]

    assert world.run(main()).startswith("/api/targets?from=8&hold_ms=")
    assert not world.broker.aggregator.endpoints["s2"].live


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("discovery", ["answers late", "is down"])
def test_a_new_process_sends_by_an_old_list_only_where_the_list_of_now_does_not_count_yet(name, discovery):
    """Where lists are pushed the agent's counts from a process's first moment, and ``known`` may be older: a
    request that came before its answer went to a node that had long been announced as leaving. Elsewhere what
    is written counts, and while discovery is down nothing does.
    """
    world = World(name, registry=discovery == "answers late")
    pushed = world.settings["registry-mode"] != "ask"
    node = world.nodes[SHARD]
    world.registry.silent = True
    world.publish_change(node, "draining")

    def ready():
        sock = world.open_client_socket()
        sock.send(b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")
        (status,) = statuses((yield from told(world, sock, b"")))
        sock.close()
        return status

    def main():
        if discovery == "answers late":
            yield from world.wait_until(lambda: world.registry.queries)
        waits = pushed and discovery == "answers late"
        if discovery == "is down":
            yield from world.wait_until(lambda: world.broker.counters["news", "failed"] or not pushed)
        assert (yield from ready()) == (503 if waits else 200)
        asked = world.start_query("q1", SHARD)
        yield from world.wait_until(lambda: world.front.counts["requests"])
        if waits:
            yield from sleep(world.loop, 1_000)
            world.registry.silent = False
            yield from world.wait_until(world.has_change(node, "draining"))
            assert (yield from ready()) == 200
        return (yield from asked.join()).status, waits

    status, waits = world.run(main())
    assert status == (503 if waits else 200)
    assert [part.id for part in node.parts] == ([] if waits else ["q1.3"])
