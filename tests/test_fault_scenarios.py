"""Bad days on virtual time over seeds, judged by the auditor; and a planted breach of each rule is found."""

from __future__ import annotations

import copy

import pytest

from heathwell.settings import loads
from heathwell.testing.audit import judge
from heathwell.testing.audit.reader import from_lines
from heathwell.testing.simulation.simulated_scenario import SimulatedScenario

from .fleet import DEMO_SETTINGS

THREE = DEMO_SETTINGS.replace("(brokers 1)", "(brokers 3)").replace("(leaves 6)", "(leaves 12)")


def day(seed: int, seconds: float = 25.0) -> SimulatedScenario:
    return SimulatedScenario(loads(THREE), seed, duration_seconds=seconds).run()


@pytest.mark.parametrize("seed", range(6))
def test_bad_days_keep_every_rule(seed):
    world = day(seed)
    verdict = world.verdict()
    assert verdict.kept, "\n".join(map(str, verdict.breaches[:10]))
    assert verdict.counts["queries"] > 500 and verdict.counts["arrivals"] > 1500


def test_the_same_seed_gives_the_same_day():
    assert day(3, 6.0).events == day(3, 6.0).events


@pytest.fixture(scope="module")
def good():
    return day(11, 12.0)


def first(events, ev, **fields):
    return next(e for e in events if e["ev"] == ev and all(e.get(k) == v for k, v in fields.items()))


def plant_second_final(events):
    events.append(copy.deepcopy(first(events, "final")))
    return 1


def plant_no_final(events):
    events.remove(first(events, "final"))
    return 1


def plant_late_final(events):
    first(events, "final")["t"] += 5_000_000
    return 1


def plant_sent_after_the_final(events):
    final = first(events, "final", kind="answered")
    for name in ("send", "arrive"):
        found = copy.deepcopy(first(events, name, p=final["parts"][0]))
        found |= {"t": final["t"] + 1000, "seq": 3}
        events.append(found)
    return 1


def plant_client_without_reply(events):
    events.remove(first(events, "reply", kind="answer"))
    return 1


def plant_unlogged_send(events):
    events.remove(first(events, "send"))
    return 2


def plant_two_at_once(events):
    send = first(events, "send", seq=0)
    events.append(send | {"seq": 1, "t": send["t"] + 1})
    events.append(first(events, "arrive", p=send["p"]) | {"seq": 1, "t": send["t"] + 2})
    return 2


def plant_keyed_outside_its_window(events):
    take = first(events, "take", klass="sale-record")
    send = first(events, "send", p=take["q"] + "/0")
    take["deadline"] = 9_000_000
    events.append(send | {"seq": 2, "t": send["t"] + 2_000_000})
    return 2


def plant_false_proof(events):
    begin = first(events, "begin")
    first(events, "ended", p=begin["p"], seq=begin["seq"])["outcome"] = "unreachable"
    return 2


def plant_send_to_a_drained_host(events):
    arrive = next(
        a
        for a in events
        if a["ev"] == "arrive"
        and a["t"] > 4_000_000
        and not any(
            n["ev"] == "news" and n["who"] == a["broker"] and -2_000_000 < n["t"] - a["t"] < 0 for n in events
        )
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


def plant_a_fall(events):
    events.append({"t": 9_000_000, "who": "leaf1", "ev": "fell", "node": "x", "pressure": 1.2})
    return 4


def plant_a_push(events):
    arrive = first(events, "arrive")
    for number in range(400):
        events.append(
            arrive | {"t": arrive["t"] + number, "p": f"{arrive['p']}9", "seq": number, "warmth": 0.2}
        )
    return 4


def plant_under_the_floor(events):
    final = next(e for e in events if e["ev"] == "final" and len(e["parts"]) == 6)
    final["parts"] = final["parts"][:5]
    return 5


def plant_a_part_nobody_answered(events):
    final = first(events, "final", kind="answered")
    events.remove(first(events, "done", p=final["parts"][0], outcome="ok"))
    return 5


def plant_a_part_twice(events):
    final = first(events, "final", kind="answered")
    final["parts"].append(final["parts"][0])
    return 5


def plant_client_told_whole(events):
    reply = next(e for e in events if e["ev"] == "reply" and e.get("values"))
    reply["values"][0]["got"] = 99
    return 5


def plant_over_budget(events):
    first(events, "run")["figures"] |= {"counted_over": 10_000_000, "free_resends": 0, "further_ratio": 0.0}
    return 6


@pytest.mark.parametrize(
    "plant",
    [f for name, f in list(globals().items()) if name.startswith("plant_")],
    ids=lambda f: f.__name__[6:],
)
def test_a_planted_breach_is_found_at_its_request_and_lines(good, plant):
    events = copy.deepcopy(good.events)
    rule = plant(events)
    events.sort(key=lambda e: e["t"])
    verdict = judge(from_lines(events), slack=20_000)
    assert not verdict.kept
    found = [b for b in verdict.breaches if b.rule == rule]
    assert found and all(b.request and b.lines for b in found)


def test_the_clean_run_has_none(good):
    assert good.verdict().kept
