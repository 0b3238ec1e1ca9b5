"""The share of bad clients that got an error or a close, counted by the clients themselves, beside usual
ones.
"""

import pytest

from heathwell.eventloop import sleep
from heathwell.testing.simulation.platform import PlatformFleet
from heathwell.testing.simulation.rude import RudeClients, bad_requests

from .platform import Platform


def usual(loop, client, count, statuses):
    for n in range(count):
        response = yield from client().ask(f"u{n}", "price-search", [0, 1, 2, 3])
        statuses.append(response.status)
        yield from sleep(loop, 20_000)


@pytest.mark.parametrize("seed", [1, 2])
def test_every_bad_client_gets_an_error_or_a_close_and_usual_ones_are_served(seed):
    world = Platform(seed=seed)
    rude = RudeClients(world.loop, world.net.at("rude"), "broker:7070", seed)
    statuses = []

    def main():
        task = world.loop.spawn(usual(world.loop, world.client, 60, statuses), "usual")
        yield from rude.run(200, 5_000)
        yield from task.join()

    world.run(main())
    assert rude.outcome.total() == 200 and {kind for kind, _ in rude.outcome} == set(bad_requests(b""))
    assert rude.owed == 1.0, {key: n for key, n in rude.outcome.items() if key[1] not in ("error", "close")}
    assert statuses == [200] * 60


def test_one_that_is_told_nothing_is_counted():
    world = Platform()
    rude = RudeClients(world.loop, world.net.at("rude"), "deaf:7070", 1)

    def deaf(stream):
        while (yield from stream.read()):
            pass
        yield from sleep(world.loop, 60_000_000)

    world.net.at("deaf").listen("deaf:7070", deaf, "deaf")
    world.run(rude.run(16, 1_000))
    assert rude.owed == 0.0 and rude.outcome["silence", "nothing"] == 1


def test_a_broker_of_its_own_process_tells_every_bad_client(tmp_path):
    fleet = PlatformFleet(tmp_path)
    try:
        rude = RudeClients(fleet.loop, fleet.net, fleet.address, 3)
        statuses = []

        def main():
            task = fleet.loop.spawn(usual(fleet.loop, fleet.client, 20, statuses), "usual")
            yield from rude.run(64, 10_000)
            yield from task.join()

        fleet.run(main())
        told = {what for _, what in rude.outcome}
        assert rude.outcome.total() == 64 and "served" not in told
        assert statuses == [200] * 20 and fleet.process.poll() is None
    finally:
        fleet.close()
