"""A hundred brokers that restart together while nodes are replaced, with a discovery that serves them in
turn.
"""

from heathwell.eventloop import sleep
from heathwell.testing.simulation.multi_broker_scenario import MultiBrokerScenario


def test_a_hundred_brokers_restart_while_nodes_are_replaced_and_all_learn_of_it():
    world = MultiBrokerScenario(100, 48, 1, entry_work_us=1_200)

    def main():
        end = world.loop.now() + 9_000_000
        world.loop.spawn(world.load(40, end), "load")
        yield from sleep(world.loop, 1_500_000)
        for number in range(70):
            world.restart(number)
        for cell in range(0, 48, 3):
            world.replace(cell)
            yield from sleep(world.loop, 250_000)
        yield from sleep(world.loop, 3_000_000)
        return world.outdated_broker_count()

    unaware = world.run(main())
    assert not world.errors, world.errors[:3]
    assert unaware == 0, (
        f"{unaware} of 100 brokers send by an old list; {world.registry.rejected_requests} calls turned away"
    )
    assert world.status_counts[200] > 0.9 * world.status_counts.total(), world.status_counts
