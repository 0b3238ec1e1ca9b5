"""What comes between two lines: parts that wait, clients that leave, idle ends, lists and signals; order is
forced.
"""

from __future__ import annotations

import json
import socket

import pytest

from heathwell import policy
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import Event, StreamBrokenError, sleep
from heathwell.gateway import node_pool
from heathwell.gateway.discovery import longest_wait
from heathwell.testing.standins.platform_discovery import PublishedEntry
from heathwell.testing.standins.platform_frames import decode_call, encode_answer
from heathwell.testing.standins.platform_node import PlatformNode

from .event_ordering_world import DISCONNECTS, SETTINGS_VARIANTS, World, settings_variant
from .platform import Platform, node_request

SHARD = 3  # held by node 3 alone where the width is one


@pytest.fixture
def trusting(monkeypatch):
    """However slow the machine: a connection that says nothing is not given up for another while a test is
    on.
    """
    for timeout_limit in ("MIN_SILENCE_TIMEOUT_US", "MAX_SILENCE_TIMEOUT_US"):
        monkeypatch.setattr(node_pool, timeout_limit, 1 << 50)


class Deaf:
    """A node's listener that reads nothing until it is told to; then the ids of the parts that come, in
    order.
    """

    def __init__(self, world, number):
        self.loop, self.hears, self.ids, self.ends = world.loop, Event(), [], []
        self.listener = world.net.listen("127.0.0.1:0", self._serve, "deaf")
        self.listener._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.address = self.listener.address
        world.connect_gate.small_send_buffer_addresses.add(self.address)
        world.registry.publish({**world.nodes[number].entry, "endpoint": self.address})

    def _serve(self, stream):
        yield from self.hears.wait()
        data = b""
        try:
            while more := (yield from stream.read()):
                data += more
            self.ends.append("end")
        except StreamBrokenError:
            self.ends.append("reset")
        finally:
            while len(data) >= 5 and len(data) >= 4 + (size := int.from_bytes(data[:4], "big")):
                if data[4:5] == nf.CALL:
                    self.ids += [part.id for part in decode_call(data[5 : 4 + size])]
                data = data[4 + size :]


# Parts that wait.


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("how", ["draining", "gone", "moved"])
@pytest.mark.parametrize("wait", ["connect", "second connect", "full socket"])
def test_a_node_that_is_told_of_while_a_part_waits_for_it_never_sees_it(name, how, wait, trusting):
    """The grace runs to the first byte: a part that waits for a connect (up to twice its time) left
    after it.
    """
    world = World(name)
    node = world.nodes[SHARD]

    def main():
        deaf, where = None, node
        if wait == "full socket":
            deaf = Deaf(world, SHARD)
            yield from world.wait_until(world.has_change(node, deaf.address))
            link = world.broker._link(node.uid)
            link.send([node_request("full.0", 0, 0, b"x" * 4_000_000)])  # nobody's: it fills
            yield from world.wait_until(
                lambda: link.connections and link.connections[0].stream and link.connections[0].stream.unsent,
                "a full socket",
            )
        else:
            world.connect_gate.hold(node.address)
            if wait == "second connect":
                world.connect_gate.connect_errors[node.address] = ["ECONNRESET"]
        asked = world.start_query("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        if wait == "second connect":
            yield from world.wait_until(lambda: world.connect_gate.connect_attempts.count(node.address) == 2)
        other = PlatformNode(world.loop, world.net, "127.0.0.1:0", node.uid, node.replica_group, work_us=1)
        word = other.address if how == "moved" else how
        world.publish_change(where, word)
        yield from world.wait_until(world.has_change(node, word))
        yield from sleep(world.loop, 0)
        if deaf is not None:
            deaf.hears.set()
        else:
            world.connect_gate.open(node.address)
        response = yield from asked.join()
        for connection in (
            list(world.broker.links[node.uid].connections) if node.uid in world.broker.links else []
        ):
            connection.close()
        if deaf is not None:
            yield from world.wait_until(lambda: deaf.ends)
        return response.status, other, deaf

    status, other, deaf = world.run(main())
    seen = deaf.ids if deaf is not None else [part.id for part in node.parts]
    assert not [part for part in seen if part.startswith("q1")]
    # Where it moved it is asked at the new address; else nobody holds the shard, and the client hears that at
    # once or at its time, as the class allows: nothing has run, so a repeat is harmless.
    assert (status, [part.id for part in other.parts]) == ((200, ["q1.3"]) if how == "moved" else (503, []))


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("word", ["draining", "restarted"])
def test_what_is_taken_back_is_placed_at_a_holder_that_stays_also_where_a_repeat_is_forbidden(name, word):
    """Another process at a node's address is cold: what waited for the old one is not what it was
    chosen for.
    """
    world = World(name, width=3)

    def main():
        for node in world.nodes:
            world.connect_gate.hold(node.address)
        asked = world.start_query("q1", SHARD)
        yield from world.wait_until(world.part_in_flight("q1"))
        (first,) = {uid for uid, link in world.broker.links.items() if link.in_flight}
        chosen = next(node for node in world.nodes if node.uid == first)
        world.publish_change(chosen, word)
        yield from world.wait_until(world.has_change(chosen, word))
        yield from world.wait_until(
            lambda: any(link.in_flight for uid, link in world.broker.links.items() if uid != first)
        )
        for node in world.nodes:
            world.connect_gate.open(node.address)
        response = yield from asked.join()
        return response.status, chosen

    status, chosen = world.run(main())
    assert status == 200 and not chosen.parts
    assert [part.id for node in world.nodes for part in node.parts] == ["q1.3"]  # once, by all nodes together


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("leaves", DISCONNECTS)
@pytest.mark.parametrize("wait", ["connect", "second connect", "full socket"])
def test_nothing_leaves_for_a_client_that_left_while_its_part_waited(name, leaves, wait, trusting):
    world = World(name)
    node = world.nodes[SHARD]

    def main():
        deaf = None
        if wait == "full socket":
            deaf = Deaf(world, SHARD)
            yield from world.wait_until(world.has_change(node, deaf.address))
            link = world.broker._link(node.uid)
            link.send([node_request("full.0", 0, 0, b"x" * 4_000_000)])
            yield from world.wait_until(
                lambda: link.connections and link.connections[0].stream and link.connections[0].stream.unsent,
                "a full socket",
            )
        else:
            world.connect_gate.hold(node.address)
            if wait == "second connect":
                world.connect_gate.connect_errors[node.address] = ["ECONNRESET"]
        sock = world.open_client_socket()
        sock.send(world.request_bytes("q1", SHARD))
        yield from world.wait_until(world.part_in_flight("q1"))
        DISCONNECTS[leaves](sock)
        yield from world.wait_until(lambda: world.broker.counters["left", world.class_names[0]])
        if deaf is not None:
            for connection in list(link.connections):
                deaf.hears.set()
                yield from sleep(world.loop, 0)
                connection.close()
            yield from world.wait_until(lambda: deaf.ends)
            return deaf.ids
        world.connect_gate.open(node.address)
        response = yield from world.start_query("q2", SHARD).join()  # over the connection that q1 waited for
        assert response.status == 200
        return [part.id for part in node.parts]

    seen = world.run(main())
    assert not [part for part in seen if part.startswith("q1")]


@pytest.mark.parametrize("leaves", DISCONNECTS)
@pytest.mark.parametrize("between", ["steps", "attempts"])
def test_no_second_step_and_no_repeat_leaves_for_a_client_that_left_before_it(leaves, between):
    """The answer that would bring it is held until the broker has seen the client's end."""
    world = World(width=3)
    fetches = world.settings["specifics"]["class-fetch"]
    kind = next(n for n, fetch in enumerate(fetches) if bool(fetch) == (between == "steps"))
    held = []

    def main():
        for node in world.nodes:
            node.responder = lambda node, stream, part: held.append((node, stream, part))
        sock = world.open_client_socket()
        sock.send(world.request_bytes("q1", SHARD, kind))
        yield from world.wait_until(lambda: held)
        DISCONNECTS[leaves](sock)
        yield from world.wait_until(lambda: world.broker.counters["left", world.class_names[kind]])
        ((node, stream, part),) = held
        for each in world.nodes:
            each.responder = None
        if not stream.closed:
            stream.write(encode_answer(part, 200 if between == "steps" else 500))
        return (yield from world.start_query("q2", SHARD).join()).status

    assert world.run(main()) == 200
    assert [part.id for node in world.nodes for part in node.parts if part.id.startswith("q1")] == ["q1.3"]


@pytest.mark.parametrize("leaves", ["close", "reset"])
def test_a_client_that_left_is_noticed_behind_more_than_is_read_ahead(leaves):
    """Bad clients send hundreds of requests at once and go: what they sent filled the bound of what is read
    ahead, the end behind it was not seen, and one request after another was sent on for nobody.
    """
    world = World()
    node = world.nodes[SHARD]
    node.silent = True

    def main():
        sock = world.open_client_socket()
        data = b"".join(world.request_bytes(f"q{n}", SHARD) for n in range(1000))
        sent = sock.send(data)
        assert sent > 100_000  # more than is read ahead: the rest lies unread
        yield from world.wait_until(world.part_in_flight("q0"))
        yield from world.wait_until(lambda: next(iter(world.front.clients))._read_ahead_bytes > 65_536)
        DISCONNECTS[leaves](sock)
        yield from world.wait_until(
            lambda: world.broker.counters["left", world.class_names[0]], "the end is seen"
        )
        yield from world.wait_until(lambda: not world.front.clients)
        node.silent = False
        response = yield from world.start_query("after", SHARD).join()
        return response.status

    assert world.run(main()) == 200
    assert [part.id for part in node.parts] == ["q0.3", "after.3"]


def test_a_request_that_comes_together_with_its_clients_end_is_not_sent_on():
    world = World()

    def main():
        sock = world.open_client_socket()
        yield from world.wait_until(lambda: world.front.clients)
        sock.send(world.request_bytes("q1", SHARD))
        sock.close()  # both are at hand before the broker's next turn
        yield from world.wait_until(lambda: not world.front.clients)
        return (yield from world.start_query("q2", SHARD).join()).status

    assert world.run(main()) == 200
    assert [part.id for part in world.nodes[SHARD].parts] == ["q2.3"]


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_further_attempt_that_waits_is_not_sent_once_the_first_is_answered(name):
    world = World(name, width=3)
    kind = next(
        n for n, entry in enumerate(world.settings["classes"]) if entry["idempotency"] != "non_idempotent"
    )

    def main():
        held = []
        for node in world.nodes:
            node.responder = lambda node, stream, part: held.append((stream, node, part))
        entry = world.settings["classes"][kind]
        key = "k1" if entry["idempotency"] == "idempotency_key" else ""
        asked = world.loop.spawn(
            world.client().send_query("q1", entry["name"], [SHARD, 0], timeout_ms=60_000, key=key), "q1"
        )
        yield from world.wait_until(lambda: len(held) == 2)
        held.sort(key=lambda one: one[2].shard != SHARD)
        first = held[0][1].uid
        for node in world.nodes:
            if node.replica_group in (3, 4, 5) and node.uid != first:
                world.connect_gate.hold(node.address)
        query = next(iter(world.broker.queries.values()))
        part = query.parts["q1.3"]
        if world.settings["ceilings"][
            "second-copies"
        ]:  # late: a copy is decided, and waits for its connection
            yield from world.wait_until(lambda: part.attempt_count == 2)
        else:  # no copy may be out beside it: driven by the driver's own door
            other = next(
                node for node in world.nodes if node.uid != first and node.replica_group in (3, 4, 5)
            )
            key = (part.id, 1)
            part.attempt_count = 2
            query.in_flight[key] = other.uid
            world.broker._link(other.uid).send([world.broker.attempt_request(query, part, 1, 100_000)])
        for node in world.nodes:
            node.responder = None
        stream, node, called = held[0]
        node.finish_work(stream, called)
        yield from world.wait_until(lambda: part.data is not None)  # its query goes on: another part is out
        yield from sleep(world.loop, 0)
        for address in list(world.connect_gate.held_addresses):
            world.connect_gate.open(address)
        links = [
            link
            for link in world.broker.links.values()
            if link.node in ("s3", "s4", "s5") and link.node != first
        ]
        yield from world.wait_until(lambda: all(c.stream for link in links for c in link.connections))
        for link in links:  # behind it on the connection that it waited for
            link.send([node_request("after.3", 0, 3, b"x")])
        yield from world.wait_until(
            lambda: any(part.id == "after.3" for node in world.nodes for part in node.parts)
        )
        stream, node, called = held[1]
        node.finish_work(stream, called)
        return (yield from asked.join()).status

    assert world.run(main()) == 200
    assert [part.id for node in world.nodes for part in node.parts if part.id == "q1.3"] == ["q1.3"]


def test_what_is_given_up_behind_a_full_socket_ends_with_its_connection(trusting):
    """A frame that gives up an attempt and can't leave gives up nothing, while the part is sent elsewhere."""
    world = World()
    ended = []

    def main():
        deaf = Deaf(world, SHARD)
        yield from world.wait_until(world.has_change(world.nodes[SHARD], deaf.address))
        link = world.broker._link("s3")
        world.broker.on_attempt_result = lambda node, key, outcome, result: ended.append((key[0], outcome))
        link.send([node_request("q1.3", 0, 3, b"x")])
        yield from world.wait_until(
            lambda: link.connections[0].stream and link.connections[0].in_flight["q1.3"].frame_end
        )
        link.send([node_request("q2.3", 0, 3, b"x" * 4_000_000)])
        yield from world.wait_until(lambda: link.connections[0].stream.unsent)
        assert link.abandon(("q1.3", 0))
        deaf.hears.set()
        yield from world.wait_until(lambda: deaf.ends)
        yield from world.wait_until(lambda: ended)
        return deaf

    deaf = world.run(main())
    assert deaf.ends == ["reset"] and "q2.3" not in deaf.ids
    assert ended == [("q2.3", policy.Outcome.NEVER_SENT)]  # it was not written whole


# Idle ends.


def served(world, sock):
    """One request of a bare client, answered; the connection rests then."""
    sock.send(world.request_bytes("q1", SHARD))
    yield from world.wait_until(lambda: world.front.kept_alive)
    sock.recv(65_536)


@pytest.mark.parametrize("by", ["the end", "its patience", "too many at rest", "room for another"])
def test_a_request_at_hand_when_its_idle_connection_is_to_close_is_served(by):
    """The kernel holds its bytes, the broker has not read them: closed then, the client would have to come
    again (and, at the end, to somebody else).
    """
    world = World()

    def main():
        sock = world.open_client_socket()
        yield from served(world, sock)
        (client,) = world.front.clients
        if by == "its patience":
            client.since_us = -(1 << 60)
        if by == "too many at rest":
            world.front.max_kept_alive = 0
        if by == "room for another":
            world.front.max_clients = 1
        sock.send(world.request_bytes("q2", SHARD))  # from here to the call nothing of the broker runs
        if by == "the end":
            world.front.drain()
            world.front.close_idle()
        elif by == "its patience":
            world.front._check_timeouts()
        elif by == "too many at rest":
            world.front.on_answered(client)
        else:
            assert not world.front._make_room()
        assert not client.stream.closed
        yield from world.wait_until(lambda: len(world.nodes[SHARD].parts) == 2)
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                data += sock.recv(65_536)
            except BlockingIOError:
                yield from sleep(world.loop, 200)
        return data

    assert world.run(main()).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("by", ["the end", "its patience", "too many at rest", "room for another"])
def test_an_idle_connection_with_nothing_at_hand_is_closed(by):
    world = World()

    def main():
        sock = world.open_client_socket()
        yield from served(world, sock)
        (client,) = world.front.clients
        if by == "the end":
            world.front.close_idle()
        elif by == "its patience":
            client.since_us = -(1 << 60)
            world.front._check_timeouts()
        elif by == "too many at rest":
            world.front.max_kept_alive = 0
            world.front.on_answered(client)
        else:
            assert world.front._make_room()
        assert client.stream.closed
        yield from sleep(world.loop, 0)

    world.run(main())


@pytest.mark.parametrize("first", ["write", "end"])
def test_a_node_that_closes_in_the_instant_of_a_write_is_no_word_on_the_node(first):
    """Bytes given to the kernel are not bytes unsent: they may have run. What the kernel refused provably
    never left; but it was told as a node that can't be met, and the node was ejected and fed as cold.
    """
    world = World(width=1)

    def main():
        assert (yield from world.start_query("q1", SHARD).join()).status == 200
        link = world.broker.links["s3"]
        ended = []
        world.broker.on_attempt_result = lambda node, key, outcome, result: ended.append(outcome)

        def ends():
            for stream in list(world.nodes[SHARD].streams):
                stream.abort()

        if first == "end":
            ends()  # on its way; the broker has not heard of it
        link.send([node_request("q2.3", 0, 3, b"x")])
        if first == "write":
            ends()
        yield from world.wait_until(lambda: ended)
        return ended

    assert world.run(main()) == [
        policy.Outcome.CONNECTION_LOST if first == "write" else policy.Outcome.NEVER_SENT
    ]


# Lists.


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_the_list_is_watched_from_the_start_and_again_after_a_loss_whether_asked_or_pushed(name):
    """Where lists are pushed nothing ever asked for them, and the broker served from the list of its start
    for good.
    """
    world = World(name)

    def main():
        world.publish_change(world.nodes[0], "draining")
        yield from world.wait_until(world.has_change(world.nodes[0], "draining"))
        for stream in list(world.registry.streams):
            stream.abort()
        world.publish_change(world.nodes[1], "gone")
        yield from world.wait_until(world.has_change(world.nodes[1], "gone"))

    world.run(main())
    module = world.broker.aggregator
    told = world.settings["invariants"][
        "must-ask-in-us" if world.settings["registry-mode"] == "ask" else "drain-grace-us"
    ]
    assert (
        module.endpoint_table._backoff_first_us == told // 10
        and module.endpoint_table._backoff_maximum_us <= told // 2
    )


def test_a_discovery_that_refuses_is_not_asked_turn_after_turn_where_no_time_to_ask_is_stated():
    world = Platform(settings={"registry-mode": "push", "invariants": {"drain-grace-us": 0}})
    world.registry.down = True
    world.wait(1.0)
    assert 3 <= len(world.registry.queries) <= 500


@pytest.mark.parametrize("grace_us", [0, 250_000, 400_000, 999_999, 1_000_000, 3_000_000])
def test_a_watch_waits_no_longer_than_a_silence_can_be_made_good(grace_us):
    """The page's times added up: silence as the call begins, noticed a second after its wait, half a second
    to connect, one and a half for the answer; told after six seconds or two past the wait, binding a grace
    later.
    """
    for wait in (longest_wait(grace_us), longest_wait(grace_us) // 2):
        assert wait + 1_000_000 + 500_000 + 1_500_000 <= max(6_000_000, wait + 2_000_000) + grace_us
    assert longest_wait(grace_us) >= 3_000_000


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_a_silence_from_the_first_byte_is_made_good_before_it_binds_with_a_slow_discovery(name):
    """On virtual time, as it takes seconds: discovery answers the watch that is opened anew in 1.4 of its 1.5
    s.
    """
    settings = settings_variant(name)
    world = Platform(settings=settings)
    registry = world.registry
    grace = settings["invariants"]["drain-grace-us"]
    world.wait(0.01)
    wait_us = int(registry.queries[-1].partition("hold_ms=")[2]) * 1000
    silent_at = world.loop.now()
    registry.mute_connections()
    registry.entry_work_us = 700_000  # a call and its line
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    told = max(silent_at + 6_000_000, registry.last_request_at_us + wait_us + 2_000_000)
    world.wait((told + grace - world.loop.now()) / 1e6)
    assert not world.broker.aggregator.endpoints["s4"].live


@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("failing", ["refused", "503"])
def test_a_failure_of_the_watch_opened_anew_is_made_good_before_it_binds(failing, draw):
    """Discovery is back a moment after the change counts as told. The module alone asks one to two seconds
    after a failure, then two to four: after the grace, by its shorter and its middle draws.
    """
    world = Platform()
    world.broker.aggregator.random.uniform = lambda low, high: low + draw * (high - low)
    registry = world.registry
    world.wait(0.01)
    wait_us = int(registry.queries[-1].partition("hold_ms=")[2]) * 1000
    silent_at, called = world.loop.now(), registry.last_request_at_us
    registry.mute_connections()
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    if failing == "503":
        registry.down = True
    else:
        kept = world.net.listeners.pop("registry:8500")
    told = max(silent_at + 6_000_000, called + wait_us + 2_000_000)
    world.wait((told + 50_000 - world.loop.now()) / 1e6)
    registry.down = False
    if failing == "refused":
        world.net.listeners["registry:8500"] = kept
    world.wait(0.85)  # a grace of one second: one call every 0.8 s at the most
    assert not world.broker.aggregator.endpoints["s4"].live


def test_discovery_that_moved_is_asked_again_soon_however_long_the_old_one_failed():
    """The module's waits had grown to 4.5 s while the old address failed; what the new one has counts after 4
    s.
    """
    world = Platform()
    registry = world.registry
    registry.down = True
    world.wait(30.0)
    calls = len(registry.queries)
    world.broker.watch.move("registry:8500")
    world.wait(2.0)
    assert len(registry.queries) >= calls + 3
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    registry.down = False
    world.wait(1.0)
    assert not world.broker.aggregator.endpoints["s4"].live


@pytest.mark.parametrize("rev", [1, 2, 50])
def test_a_discovery_that_comes_back_with_an_older_an_equal_or_a_newer_version_is_taken_as_it_is(rev):
    """On virtual time: that a version went back shows only once the wait of the first call after it
    is over.
    """
    world = Platform(known=False)
    registry = world.registry
    world.wait(0.1)
    registry.publish({**world.nodes[5].entry, "state": "draining"})
    registry.publish({**world.nodes[5].entry, "state": "up"})
    world.wait(0.1)
    registry.down = True
    registry.notify_watches()
    world.wait(0.5)
    registry.revision = rev
    registry.entries["s2"] = PublishedEntry(rev, {**world.nodes[2].entry, "state": "draining"})
    if rev == 2:  # ours was 3: the whole list comes once more
        registry.entries = {
            uid: PublishedEntry(min(published.revision, rev), published.entry)
            for uid, published in registry.entries.items()
        }
    registry.down = False
    world.wait(12.0)
    assert not world.broker.aggregator.endpoints["s2"].live and world.broker.aggregator.endpoints["s5"].live
    assert world.broker.watch.rev == rev


def test_lists_may_come_indented():
    world = World(registry=False)
    body = json.dumps(
        {"rev": 2, "all": False, "targets": [{**world.nodes[2].entry, "state": "draining"}]}, indent=4
    )

    def main():
        def serve(stream):
            yield from stream.read()
            stream.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body.encode())
            yield from stream.read()

        listener = world.net.listen("127.0.0.1:0", serve, "indented")
        world.broker.watch.move(listener.address)
        yield from world.wait_until(world.has_change(world.nodes[2], "draining"))

    world.run(main())


@pytest.mark.parametrize("point", ["connecting", "half an answer", "waiting"])
def test_discovery_moves_whatever_its_watch_is_about_and_an_old_answer_changes_nothing(point):
    world = World(registry=False)
    asked, other = [], []

    def main():
        def serve(stream):
            asked.append((yield from stream.read()))
            if point == "half an answer":
                stream.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n{"rev": 9, ')
                other.append(stream)
            yield from stream.read()

        listener = world.net.listen("127.0.0.1:0", serve, "old")
        if point == "connecting":
            world.connect_gate.hold(listener.address)
        world.broker.watch.move(listener.address)
        yield from world.wait_until(
            lambda: (
                listener.address in world.connect_gate.connect_attempts if point == "connecting" else asked
            )
        )
        if point == "half an answer":
            yield from world.wait_until(lambda: other)
        world.publish_change(world.nodes[2], "draining")
        world.broker.watch.move(world.registry.address)
        world.broker.watch.move(world.registry.address)  # twice in a row is once
        yield from world.wait_until(world.has_change(world.nodes[2], "draining"))
        if point == "connecting":
            world.connect_gate.open(listener.address)
        assert (yield from world.start_query("q1", SHARD).join()).status == 200
        return len(asked)

    assert world.run(main()) == (0 if point == "connecting" else 1)
    assert world.broker.watch.rev == world.registry.revision


# The end.


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_at_the_end_every_query_has_its_answer_before_a_sigkill_may_come(name):
    """On virtual time. A class's time may be longer than the 3 s that SIGKILL counts: it is cut then."""
    settings = settings_variant(name)
    world = Platform(settings=settings)
    for node in world.nodes:
        node.silent = True
    kinds = {entry["name"]: entry for entry in settings["classes"]}
    longest = max(entry["hard-limit-us"] for entry in kinds.values())
    answered = {}

    def one(kind, n):
        key = "k1" if kinds[kind]["idempotency"] == "idempotency_key" else ""
        response = yield from world.client(f"c{n}").send_query(f"q{n}", kind, [3], timeout_ms=60_000, key=key)
        answered[n] = (world.loop.now(), response.status, kind)

    def main():
        tasks = [world.loop.spawn(one(kind, n), "q") for n, kind in enumerate(kinds)]
        yield from sleep(world.loop, 100_000)
        began = world.loop.now()
        until = began + min(longest, 3_000_000) + 500_000
        world.broker.start_shutdown(until)
        yield from sleep(world.loop, 300_000)
        tasks += [world.loop.spawn(one(kind, 10 + n), "q") for n, kind in enumerate(kinds)]
        for task in tasks:
            yield from task.join()
        return until

    until = world.run(main())
    assert len(answered) == 2 * len(kinds) and max(at for at, _, _ in answered.values()) <= until + 1000
    unsafe = {kind for kind, entry in kinds.items() if entry["idempotency"] == "non_idempotent"}
    assert all(status == (500 if kind in unsafe else 503) for _, status, kind in answered.values())
    assert not any("overdue" in line for line in world.lines)


# Settings.


def test_an_owner_is_known_by_the_settings_accounts():
    world = World("pushed, unsafe, no cancels, tenants")
    seen, handle = [], world.broker.aggregator.handle

    def noted(now, events):
        seen.extend(event.tenant for event in events if isinstance(event, policy.QueryArrived))
        return handle(now, events)

    world.broker.aggregator.handle = noted

    def main():
        for n, owner in enumerate(("valley", "harbour", "nobody", None)):
            client = world.client()
            headers = [("Req-Id", f"q{n}"), ("Req-Kind", "visit-note"), ("Req-Deadline", "60000m")]
            headers += [("Req-Owner", owner)] if owner else []
            body = json.dumps({"parts": [{"id": SHARD, "w": 1.0}], "expr": "c41e77d0"}).encode()
            assert (yield from client.post("/visit-note", headers, body)).status == 200

    world.run(main())
    assert seen == [0, 1, 2, 2]  # two accounts: whoever is none of them is over nobody's share


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
def test_figures_that_no_settings_state_are_no_other_customers(ceilings, limits):
    world = Platform(settings={"ceilings": {"max-attempts": 3, **ceilings}})
    figures = world.config.connections
    assert (figures.streams, figures.idle_us, figures.connect_us) == limits
