"""Fault scenarios on virtual time keep all rules; the auditor finds a planted breach of each rule."""

from __future__ import annotations

import copy

import pytest

from heathwell.settings import loads
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario

from .fleet import DEMO_SETTINGS

THREE_BROKERS = DEMO_SETTINGS.replace("(brokers 1)", "(brokers 3)").replace("(leaves 6)", "(leaves 12)")


def run_scenario(seed: int, seconds: float = 25.0) -> SimulatedScenario:
    """Return a scenario of three brokers, played to its end."""
    return SimulatedScenario(loads(THREE_BROKERS), seed, duration_seconds=seconds).run()


@pytest.mark.parametrize("seed", range(6))
def test_fault_scenarios_keep_every_rule(seed):
    scenario = run_scenario(seed)
    verdict = scenario.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:10]))
    assert verdict.counts["queries"] > 500 and verdict.counts["arrivals"] > 1500


def test_the_same_seed_gives_the_same_events():
    assert run_scenario(3, 6.0).events == run_scenario(3, 6.0).events


@pytest.fixture(scope="module")
def clean_scenario():
    """Return a scenario without a breach, which tests copy before they plant one."""
    return run_scenario(11, 12.0)


def first(events, event_type, **fields):
    """Return the first event of a type that has the given field values."""
    return next(
        event
        for event in events
        if event["ev"] == event_type and all(event.get(name) == value for name, value in fields.items())
    )


def plant_second_final(events):
    """Rule 1: a query has one final answer."""
    events.append(copy.deepcopy(first(events, "final")))
    return 1


def plant_missing_final(events):
    """Rule 1: a query has a final answer."""
    events.remove(first(events, "final"))
    return 1


def plant_late_final(events):
    """Rule 1: the final answer is in time."""
    first(events, "final")["t"] += 5_000_000
    return 1


def plant_part_sent_after_the_final(events):
    """Rule 1: nothing is sent for a query after its final answer."""
    final = first(events, "final", kind="answered")
    for name in ("send", "arrive"):
        event = copy.deepcopy(first(events, name, p=final["parts"][0]))
        event |= {"t": final["t"] + 1000, "seq": 3}
        events.append(event)
    return 1


def plant_query_without_reply(events):
    """Rule 1: each request of a client has a reply."""
    events.remove(first(events, "reply", kind="answer"))
    return 1


def plant_unlogged_send(events):
    """Rule 2: each arrival belongs to an attempt that was sent."""
    events.remove(first(events, "send"))
    return 2


def plant_two_attempts_of_a_part_in_flight(events):
    """Rule 2: without hedging, a part has one attempt in flight."""
    send = first(events, "send", seq=0)
    events.append(send | {"seq": 1, "t": send["t"] + 1})
    events.append(first(events, "arrive", p=send["p"]) | {"seq": 1, "t": send["t"] + 2})
    return 2


def plant_keyed_part_retried_after_its_idempotency_window(events):
    """Rule 2: a keyed part is retried within its window only."""
    take = first(events, "take", klass="sale-record")
    send = first(events, "send", p=take["q"] + "/0")
    take["deadline"] = 9_000_000
    events.append(send | {"seq": 2, "t": send["t"] + 2_000_000})
    return 2


def plant_executed_attempt_reported_unreachable(events):
    """Rule 2: a part that ran is not reported as never received."""
    begin = first(events, "begin")
    first(events, "ended", p=begin["p"], seq=begin["seq"])["outcome"] = "unreachable"
    return 2


def plant_part_sent_to_a_drained_host(events):
    """Rule 3: nothing new is sent to a host after the drain grace."""

    def has_recent_endpoint_update(arrival):
        return any(
            event["ev"] == "news"
            and event["who"] == arrival["broker"]
            and -2_000_000 < event["t"] - arrival["t"] < 0
            for event in events
        )

    arrive = next(
        event
        for event in events
        if event["ev"] == "arrive" and event["t"] > 4_000_000 and not has_recent_endpoint_update(event)
    )
    events.append(
        {
            "t": arrive["t"] - 1_500_000,
            "who": arrive["broker"],
            "ev": "news",
            "kind": "update",
            "hosts": {arrive["node"]: "draining"},
        }
    )
    return 3


def plant_overloaded_host(events):
    """Rule 4: no host is overloaded."""
    events.append({"t": 9_000_000, "who": "leaf1", "ev": "fell", "node": "x", "pressure": 1.2})
    return 4


def plant_overload_of_a_host_in_slow_start(events):
    """Rule 4: a host in slow start is not overloaded by all brokers together."""
    arrive = first(events, "arrive")
    for number in range(400):
        events.append(
            arrive | {"t": arrive["t"] + number, "p": f"{arrive['p']}9", "seq": number, "warmth": 0.2}
        )
    return 4


def plant_answer_below_the_minimum_fraction(events):
    """Rule 5: no answer is below its minimum fraction."""
    final = next(event for event in events if event["ev"] == "final" and len(event["parts"]) == 6)
    final["parts"] = final["parts"][:5]
    return 5


def plant_part_without_a_result(events):
    """Rule 5: an answer holds only parts that were received."""
    final = first(events, "final", kind="answered")
    events.remove(first(events, "done", p=final["parts"][0], outcome="ok"))
    return 5


def plant_part_counted_twice(events):
    """Rule 5: an answer counts a part once."""
    final = first(events, "final", kind="answered")
    final["parts"].append(final["parts"][0])
    return 5


def plant_reply_with_too_many_parts(events):
    """Rule 5: the reply states the coverage of the final answer."""
    reply = next(event for event in events if event["ev"] == "reply" and event.get("values"))
    reply["values"][0]["got"] = 99
    return 5


def plant_attempts_over_the_budget(events):
    """Rule 6: additional attempts stay within their budget."""
    first(events, "run")["figures"] |= {"counted_over": 10_000_000, "free_resends": 0, "further_ratio": 0.0}
    return 6


@pytest.mark.parametrize(
    "plant",
    [function for name, function in list(globals().items()) if name.startswith("plant_")],
    ids=lambda function: function.__name__[6:],
)
def test_a_planted_breach_is_found_with_its_request_and_event_lines(clean_scenario, plant):
    events = copy.deepcopy(clean_scenario.events)
    rule = plant(events)
    events.sort(key=lambda event: event["t"])
    verdict = judge(from_lines(events), slack=20_000)
    assert not verdict.kept
    breaches = [breach for breach in verdict.breaches if breach.rule == rule]
    assert breaches and all(breach.request and breach.lines for breach in breaches)


def test_a_scenario_without_a_planted_breach_keeps_every_rule(clean_scenario):
    assert clean_scenario.verdict().kept
