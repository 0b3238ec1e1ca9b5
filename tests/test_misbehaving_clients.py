"""The fraction of misbehaving clients that got an error or a close, counted by the clients themselves."""

import pytest

from heathwell.eventloop import sleep
from heathwell.testing.simulation.misbehaving_clients import MisbehavingClients, malformed_requests
from heathwell.testing.simulation.platform_fleet import PlatformFleet

from .platform import Platform


def send_valid_queries(loop, client, count, statuses):
    """Send queries one after another, each from a new client; add their statuses to ``statuses``."""
    for number in range(count):
        response = yield from client().send_query(f"u{number}", "price-search", [0, 1, 2, 3])
        statuses.append(response.status)
        yield from sleep(loop, 20_000)


@pytest.mark.parametrize("seed", [1, 2])
def test_every_misbehaving_client_gets_an_error_or_a_close_and_valid_queries_are_served(seed):
    """On virtual time, with each kind of malformed request."""
    world = Platform(seed=seed)
    clients = MisbehavingClients(world.loop, world.net.at("rude"), "broker:7070", seed)
    statuses = []

    def main():
        task = world.loop.spawn(send_valid_queries(world.loop, world.client, 60, statuses), "usual")
        yield from clients.run(200, 5_000)
        yield from task.join()

    world.run(main())
    assert clients.outcomes.total() == 200 and {kind for kind, _ in clients.outcomes} == set(
        malformed_requests(b"")
    )
    assert clients.answered_fraction == 1.0, {
        key: count for key, count in clients.outcomes.items() if key[1] not in ("error", "close")
    }
    assert statuses == [200] * 60


def test_a_misbehaving_client_without_a_response_is_counted():
    """The fraction of answered clients can be less than one."""
    world = Platform()
    clients = MisbehavingClients(world.loop, world.net.at("rude"), "deaf:7070", 1)

    def read_without_response(stream):
        while (yield from stream.read()):
            pass
        yield from sleep(world.loop, 60_000_000)

    world.net.at("deaf").listen("deaf:7070", read_without_response, "deaf")
    world.run(clients.run(16, 1_000))
    assert clients.answered_fraction == 0.0 and clients.outcomes["silence", "nothing"] == 1


def test_a_broker_process_answers_every_misbehaving_client_and_serves_valid_queries(tmp_path):
    """Over sockets; the process goes on running."""
    fleet = PlatformFleet(tmp_path)
    try:
        clients = MisbehavingClients(fleet.loop, fleet.net, fleet.address, 3)
        statuses = []

        def main():
            task = fleet.loop.spawn(send_valid_queries(fleet.loop, fleet.client, 20, statuses), "usual")
            yield from clients.run(64, 10_000)
            yield from task.join()

        fleet.run(main())
        outcomes = {outcome for _, outcome in clients.outcomes}
        assert clients.outcomes.total() == 64 and "served" not in outcomes
        assert statuses == [200] * 20 and fleet.process.poll() is None
    finally:
        fleet.close()
