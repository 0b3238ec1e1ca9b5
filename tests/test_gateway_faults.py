"""Faults of nodes and discovery, scripted and random, as seen through the entire gateway on virtual time.

The auditor checks the rules.
"""

from __future__ import annotations

import contextlib
import json
import random
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell import policy
from heathwell.codec import nodeframes as nf
from heathwell.codec.http import Request
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import StreamBrokenError, sleep
from heathwell.testing.standins.part_outcomes import PartOutcome
from heathwell.testing.standins.platform_discovery import PublishedEntry
from heathwell.testing.standins.platform_frames import encode_answer, generate_result

from .platform import Platform, node_request

FOUR_SHARDS: Final = [0, 1, 2, 3]


def respond_once_with(data):
    """Return a responder that sends ``data`` for one part, after which its node responds as usual."""

    def respond(node, stream, part):
        node.responder = None
        stream.write(data(part) if callable(data) else data)

    return respond


def start_query(world, name, query_class="price-search", shards=FOUR_SHARDS, **more):
    """Start a query from a new client and return its task."""
    return world.loop.spawn(world.client().send_query(name, query_class, shards, **more), "q")


@pytest.mark.parametrize(
    "data",
    [
        b"\x00noise" * 9,
        lambda part: nf.encode_frame(b"Q", f"{part.id} 200 5 -\n0123456789abcdef".encode()),
        lambda part: nf.encode_frame(nf.ANSWER, f"{part.id} 201 5 -\n0123456789abcdef".encode()),
        lambda _part: nf.encode_frame(nf.ANSWER, b"nobody.7 200 5 -\n0123456789abcdef"),
        lambda part: nf.encode_frame(nf.ANSWER, f"{part.id} 200 5 -".encode() + b"a" * 900),
        lambda part: nf.encode_frame(nf.ANSWER, f"{part.id} 200 5 -\nnot what nodes give".encode()),
        lambda part: b"\xb2\xd0\x5e\x00" + f"O{part.id} 200 5 -\n".encode() + b"a" * 60_000,
        lambda _part: b"\0\0\0\0",
    ],
)
def test_a_malformed_response_is_a_failed_attempt_and_its_part_is_retried(data):
    """The reply is complete, and no node counts as unreachable."""
    world = Platform()
    world.respond_with(respond_once_with(data))
    response = world.query("q1", "price-search", FOUR_SHARDS)
    rows = json.loads(response.body)["rows"]
    assert response.status == 200
    assert all(row["data"].encode() == generate_result(row["id"], b"c41e77d0") for row in rows)
    ended = {key[2] for key in world.broker.counters if key[0] == "attempt"}
    assert policy.Outcome.ERROR in ended and policy.Outcome.BROKEN not in ended
    assert sum(link.invalid_answers for link in world.broker.links.values()) >= 3


@pytest.mark.parametrize("trailing", [b"\xde\xad", b"noise that is longer than a length", None])
def test_bytes_after_a_valid_response_do_not_fail_its_attempt(trailing):
    """The bytes are noise, or a duplicate of the response."""
    world = Platform()

    def respond(_node, stream, part):
        stream.write(encode_answer(part) + (encode_answer(part) if trailing is None else trailing))

    world.respond_with(respond)

    def main():
        for number in range(6):
            response = yield from world.client().send_query(f"q{number}", "price-search", FOUR_SHARDS)
            assert response.status == 200
            yield from sleep(world.loop, 50_000)

    world.run(main())
    assert set(key[2] for key in world.broker.counters if key[0] == "attempt") == {policy.Outcome.OK}
    assert not any(endpoint.ejections for endpoint in world.broker.aggregator.endpoints.values())


def test_a_response_may_arrive_in_single_bytes_and_an_incomplete_one_is_retried():
    """Every other node sends incomplete responses, so that each shard has a replica that works."""
    world = Platform()

    def respond_in_single_bytes(_node, stream, part):
        def write():
            for byte in encode_answer(part):
                stream.write(bytes([byte]))
                yield from sleep(world.loop, 500)

        world.loop.spawn(write(), "single bytes")

    def send_price_search(name):
        return (yield from world.client().send_query(name, "price-search", FOUR_SHARDS))

    world.respond_with(respond_in_single_bytes)
    assert world.run(send_price_search("q1")).status == 200
    world.respond_with(lambda _node, stream, part: stream.write(encode_answer(part)[:9]))
    for index in (1, 3, 5):
        world.nodes[index].responder = None
    assert world.run(send_price_search("q2")).status == 200


def test_after_a_reset_parts_not_written_completely_are_unreachable_and_others_lost():
    """A part that was not written completely has not run; the others may have."""
    world = Platform()
    node = world.nodes[3]
    ended = {}
    world.broker.on_attempt_result = lambda _node, key, outcome, _result: ended.update({key[0]: outcome})
    link = world.broker._link("s3")
    world.net.cut("broker", "s3")  # connects once healed; what is written after the next cut fills the link

    def main():
        world.net.heal("broker", "s3")
        link.send([node_request("q.1", 0, 3, b"x")])
        yield from sleep(world.loop, 50_000)
        world.net.cut("broker", "s3")  # the network accepts one window and no more
        for number in range(2, 16):
            link.send([node_request(f"q.{number}", 0, 3, b"x" * 32_000)])
        yield from sleep(world.loop, 1_000)
        for stream in list(node.streams):
            stream.abort()
        yield from sleep(world.loop, 500_000)

    node.silent = True
    world.run(main())
    assert ended["q.1"] in (policy.Outcome.CONNECTION_LOST, policy.Outcome.BROKEN)
    assert set(ended.values()) >= {policy.Outcome.UNREACHABLE} and len(ended) == 15


def test_a_drain_announced_while_a_part_waits_for_its_connection_keeps_the_grace():
    """A part that waits for a slow connect must not be sent after the drain grace, nor must new ones."""
    world = Platform()
    world.minimum_transit_us = 80_000
    world.delay_nodes(80_000)
    assert world.registry is not None

    def main():
        task = start_query(world, "q1", "day-report", timeout_ms=900)
        yield from sleep(world.loop, 30_000)
        for node in world.nodes[:3]:
            node.draining = True
            world.registry.publish(node.entry)
        yield from task.join()
        yield from sleep(world.loop, 2_000_000)
        part_counts = {node.uid: len(node.parts) for node in world.nodes[:3]}
        for number in range(6):
            yield from world.client().send_query(f"r{number}", "price-search", FOUR_SHARDS)
        return part_counts

    part_counts = world.run(main())
    assert part_counts == {node.uid: len(node.parts) for node in world.nodes[:3]}
    assert world.verdict().kept


def test_a_restarted_node_receives_fewer_parts_during_its_slow_start():
    """It receives less than two thirds of the others' average."""
    world = Platform()
    assert world.registry is not None
    world.wait(0.2)
    world.registry.publish({**world.nodes[0].entry, "boot_ms": 1_700_000_000_000 + 100})
    world.wait(0.2)

    def main():
        tasks = []
        for number in range(120):
            shards = [(number + offset) % 12 for offset in range(4)]
            tasks.append(start_query(world, f"q{number}", shards=shards, work_hint_us=40_000))
            yield from sleep(world.loop, 10_000)
        for task in tasks:
            yield from task.join()

    world.run(main())
    restarted, *others = (len(node.parts) for node in world.nodes)
    assert 0 < restarted < sum(others) / len(others) / 1.5 and world.verdict().kept


def test_queries_are_served_while_discovery_is_down_and_its_changes_apply_once_it_recovers():
    """Discovery is down at the start, recovers, and then stops responding."""
    world = Platform()
    registry = world.registry
    assert registry is not None
    registry.down = True

    def main():
        response = yield from world.client().send_query("q1", "price-search", FOUR_SHARDS)
        assert response.status == 200  # by the configured list
        yield from sleep(world.loop, 1_000_000)
        assert world.broker.counters["news", policy.UpdateKind.FAILED] >= 1
        registry.down = False
        yield from sleep(world.loop, 5_000_000)
        calls = len(registry.queries)
        registry.publish({**world.nodes[5].entry, "state": "draining"})
        yield from sleep(world.loop, 100_000)
        assert len(registry.queries) == calls + 1 and not world.broker.aggregator.endpoints["s5"].live
        failures = world.broker.watch.failures
        registry.silent = True
        yield from sleep(world.loop, world.config.hold_us + 3_500_000)
        # The failure is noticed after a hold time, the timeout of that call and that of the reopened one.
        assert world.broker.watch.failures > failures
        registry.silent = False
        world.nodes[2].draining = True
        registry.publish(world.nodes[2].entry)
        yield from sleep(world.loop, 6_000_000)

    world.run(main())
    assert not world.broker.aggregator.endpoints["s2"].live


def test_a_watch_continues_from_its_revision_and_receives_changes_only():
    """The configuration contains a complete list, so that it is never requested."""
    world = Platform()
    registry = world.registry
    assert registry is not None
    world.wait(0.5)
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    world.wait(2.0)
    holds = [call.partition("&hold_ms=") for call in registry.queries]
    assert [start for start, _, _ in holds] == ["from=1", "from=2"]
    # The hold time is the poll interval less a random part, so that brokers do not poll at the same time.
    assert all(7_500 <= int(hold) <= 10_000 for _, _, hold in holds) and holds[0] != holds[1]
    assert not world.broker.counters["news", policy.UpdateKind.FULL]
    assert not world.broker.aggregator.endpoints["s4"].live and world.broker.aggregator.endpoints["s3"].live


@pytest.mark.parametrize("after", [0.2, 1.6, 2.9, 4.3, 6.0, 7.3])
def test_a_drain_that_a_silent_watch_missed_is_applied_before_it_counts_as_announced(after):
    """It counts as announced six seconds after the silence began, or two seconds after the hold time."""
    world = Platform()
    registry = world.registry
    assert registry is not None
    world.wait(after)
    wait_us = int(registry.queries[-1].partition("hold_ms=")[2]) * 1_000
    announced_at_us = max(world.loop.now() + 6_000_000, registry.last_request_at_us + wait_us + 2_000_000)
    registry.mute_connections()
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    # Half a second and the drain grace remain as a margin for a busy discovery.
    world.wait((announced_at_us - world.loop.now()) / 1e6 - 0.5)
    assert not world.broker.aggregator.endpoints["s4"].live
    assert world.broker.watch.failures == 0  # reopened at once: the module has no failure to back off from


def test_after_a_failed_call_only_changes_are_requested():
    """Each entry costs discovery time, and it serves the brokers in turn. Complete lists for all brokers
    whose call failed would keep it from serving any.
    """
    world = Platform()
    registry = world.registry
    assert registry is not None
    world.wait(0.5)
    registry.down = True
    registry.notify_watches()
    world.wait(0.04)  # less than the shortest pause after a failure
    assert world.broker.watch.failures == 1
    registry.publish({**world.nodes[4].entry, "state": "draining"})
    registry.down = False
    world.wait(5.0)
    assert "" not in registry.queries and not world.broker.aggregator.endpoints["s4"].live


def test_the_complete_list_is_requested_without_a_list_and_after_a_move_of_discovery():
    """In all other cases only the changes since a revision are requested."""
    world = Platform(known=False)
    assert world.registry is not None
    world.wait(0.5)
    assert world.registry.queries[0] == "" and "from=1" in world.registry.queries[1]
    world.broker.watch.move("registry:8500")
    world.wait(0.5)
    assert world.registry.queries.count("") == 2


def test_changes_of_an_older_revision_lead_to_a_request_of_the_complete_list():
    """Discovery has recovered with an older list and has lost its later revisions."""
    world = Platform()
    registry = world.registry
    assert registry is not None
    registry.revision = 50
    world.wait(0.5)
    registry.revision = 7  # discovery recovered with an older list
    registry.entries = {
        uid: PublishedEntry(7, published.entry) for uid, published in registry.entries.items()
    }
    registry.notify_watches()
    world.wait(12.0)
    assert registry.queries.count("") == 1 and world.broker.watch.rev == 7


def test_a_node_that_moves_is_reached_at_its_new_address():
    """It remains the same endpoint for the decision module."""
    world = Platform()
    assert world.registry is not None

    def send_sale_record(name):
        return (yield from world.client().send_query(name, "sale-record", [3], key="k"))

    assert world.run(send_sale_record("q1")).status == 200
    for number, old in enumerate(list(world.nodes)):
        moved = world.nodes[number] = world.node(100 + number, number)
        world.registry.publish({**moved.entry, "uid": old.uid})
        old.kill()
    world.wait(0.3)
    assert world.run(send_sale_record("q2")).status == 200
    assert any(node.parts for node in world.nodes) and len(world.broker.aggregator.endpoints) == 6


@given(st.data())
def test_a_request_is_parsed_the_same_however_it_is_split(data):
    """The request arrives in pieces that are cut at random."""
    body = b'{"parts":[{"id":1,"w":1.0}],"expr":"c4"}'
    stream = (
        b"POST /price-search?key=7f HTTP/1.1\r\nHost: b\r\nReq-Id: q1\r\nContent-Length: %d\r\n\r\n"
        % len(body)
        + body
    )
    side = ServerSide()
    requests = []
    while stream:
        length = data.draw(st.integers(1, len(stream)))
        requests += side.feed(stream[:length])
        stream = stream[length:]
    (request,) = requests
    assert isinstance(request, Request) and request.body == body and request.query == "key=7f"
    assert request.headers["req-id"] == "q1"


@given(st.binary(max_size=400))
def test_noise_from_a_client_is_an_error_or_a_request_with_a_path(data):
    """The parser raises nothing, whatever a client sends."""
    side = ServerSide(4096, 4096)
    for message in side.feed(data + b"\r\n\r\n"):
        assert not isinstance(message, Request) or message.path


class RandomFaults:
    """Queries to nodes that fail at random, beside scripted faults of single nodes."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.world = Platform(seed=seed)
        self.statuses: list[int] = []  # of the queries whose client did not disconnect
        self.silent_streams: set = set()
        self.world.respond_with(self._respond)

    def run(self, count: int) -> None:
        """Send ``count`` queries at random intervals and wait for their ends."""
        self.world.run(self._main(count))

    def _main(self, count):
        loop = self.world.loop
        tasks = []
        for number in range(count):
            tasks.append(loop.spawn(self._query(number), f"q{number}"))
            yield from sleep(loop, self.draw.randrange(10_000, 40_000))
            self._inject_fault(number)
        for task in tasks:
            yield from task.join()
        yield from sleep(loop, 1_500_000)

    def _inject_fault(self, number: int) -> None:
        """Inject the scripted fault that follows the query of that number, if any."""
        nodes = self.world.nodes
        if number == 100:
            nodes[1].draining = True
            self.world.registry.publish(nodes[1].entry)
        if number == 150:
            nodes[4].kill()
        if number == 200:
            self.world.net.cut("s2", "broker")
        if number == 240:
            self.world.net.heal("s2", "broker")

    def _query(self, number):
        query_class, shards, key = [
            ("price-search", [0, 1, 2, 3], ""),
            ("day-report", [4, 5, 6], ""),
            ("sale-record", [number % 12], f"k{number}"),
        ][number % 3]
        client = self.world.client(f"c{number}")
        if number % 17 == 0:
            request = client.send_query(f"q{number}", query_class, shards, key=key)
            yield from self._disconnect_early(client, request)
            return
        response = yield from client.send_query(f"q{number}", query_class, shards, key=key)
        self.statuses.append(response.status)
        client.stream.close()

    def _disconnect_early(self, client, request):
        task = self.world.loop.spawn(request, "disconnects early")
        yield from sleep(self.world.loop, 15_000)
        client.stream.abort()
        with contextlib.suppress(StreamBrokenError):  # it may have been rejected before
            yield from task.join()

    def _respond(self, node, stream, part):
        """Respond to a part as drawn: reset, silence, noise, an error, a rejection or a result."""
        fate = self.draw.random()
        if fate < 0.03:
            stream.abort()
        elif fate < 0.05:
            self.silent_streams.add(stream)
        elif fate < 0.07:
            stream.write(b"\x00\x00\x00\x09Ogarbage!")
        elif fate < 0.10:
            node.log_end(part, PartOutcome.ERROR)
            stream.write(encode_answer(part, 500))
        elif fate < 0.13:
            node.log_end(part, PartOutcome.REJECTED)
            stream.write(encode_answer(part, 503))
        elif stream not in self.silent_streams:
            node.log_end(part)
            stream.write(encode_answer(part))
            if fate > 0.95:
                stream.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_break_no_rule(seed):
    """The faults are resets, silent connections, malformed responses, errors, rejections, a terminated node,
    a drain, a cut link and clients that disconnect.
    """
    faults = RandomFaults(seed)
    world = faults.world
    registry = world.registry
    assert registry is not None
    faults.run(300)
    statuses = faults.statuses
    verdict = world.verdict()
    assert verdict.kept, [str(breach) for breach in verdict.breaches[:5]]
    # The number of successful replies depends on the order of the random draws.
    assert verdict.counts["queries"] == 300 and statuses.count(200) > 205
    assert not world.broker.queries and not world.broker.parts and not world.broker._sent_at_us
