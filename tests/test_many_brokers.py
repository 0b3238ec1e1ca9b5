"""A hundred brokers, many of which restart together while nodes are replaced.

Discovery serves one call at a time, so that it must not be overloaded by the calls of all brokers.
"""

from heathwell.eventloop import sleep
from heathwell.testing.simulation.multi_broker_scenario import MultiBrokerScenario


def test_all_of_a_hundred_brokers_have_the_current_list_after_restarts_and_node_replacements():
    """More than nine tenths of the queries are served meanwhile."""
    world = MultiBrokerScenario(100, 48, 1, entry_work_us=1_200)

    def main():
        end_us = world.loop.now() + 9_000_000
        world.loop.spawn(world.load(40, end_us), "load")
        yield from sleep(world.loop, 1_500_000)
        for number in range(70):
            world.restart(number)
        for replica_group in range(0, 48, 3):
            world.replace(replica_group)
            yield from sleep(world.loop, 250_000)
        yield from sleep(world.loop, 3_000_000)
        return world.outdated_broker_count()

    outdated = world.run(main())
    assert not world.errors, world.errors[:3]
    assert outdated == 0, (
        f"{outdated} of 100 brokers use an old list; "
        f"discovery rejected {world.registry.rejected_requests} calls"
    )
    assert world.status_counts[200] > 0.9 * world.status_counts.total(), world.status_counts
