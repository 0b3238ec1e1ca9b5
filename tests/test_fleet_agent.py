"""The agent of one broker without coordinators, on virtual time."""

from __future__ import annotations

from heathwell.eventloop import sleep, virtual_loop
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.membership import LocalMember
from heathwell.fleet.quotas import Budget, BudgetKind, QuotaTimings
from heathwell.observability.event_log import InMemoryEventLog

SECOND_US = 1_000_000
NO_RENEWAL_US = 3_600 * SECOND_US


def test_a_broker_that_was_suspended_ends_its_incarnation_before_it_logs_what_it_holds():
    """The first call after the suspension releases a unit, as its connection was closed meanwhile.

    That call must end the incarnation before it logs what the broker holds.
    """
    loop, net = virtual_loop(1)
    events = []
    agent = FleetAgent(
        loop,
        net.at("b0"),
        LocalMember("b0", 1, loop.now()),
        (Budget("connections", BudgetKind.COUNT, 100, 50, 10, linger_timeout_us=SECOND_US),),
        (),
        renewal_interval_us=NO_RENEWAL_US,
        timings=QuotaTimings(),
        seed=1,
        log=lambda *_arguments, **_fields: None,
        events=InMemoryEventLog(events, "b0", "broker", loop),
    )
    loop.run(loop.spawn(sleep(loop, SECOND_US), "start"))
    assert agent.acquire("connections")
    before = len(events)
    # Nothing calls the agent for a minute, as if the process were suspended: its clock is not checked.
    loop.run(loop.spawn(sleep(loop, 60 * SECOND_US), "suspended"))
    assert len(events) == before
    agent.release("connections")
    names = [event["ev"] for event in events[before:]]
    assert names[0] == "dies"
    assert "holds" in names
    assert events[before]["why"].startswith("stopped for 60")
