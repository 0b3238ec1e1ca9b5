"""Arbitrary legal events and outcomes; the rules must hold on whatever the module does."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heathwell import Aggregator
from heathwell import interface as hw

from .conftest import AIM, entry, make_settings
from .rules import Rules

OUTCOMES = [hw.OK] * 6 + [hw.ERROR, hw.FULL_UP, hw.TIMED_OUT, hw.UNREACHABLE, hw.BROKEN, hw.NEVER_SENT]
STATES = [hw.LIVE, hw.LIVE, hw.DRAINING, hw.GONE, "unheard-of"]

STEP = st.one_of(
    st.tuples(
        st.just("query"),
        st.integers(0, 6),
        st.lists(st.integers(0, 5), min_size=1, max_size=5),
        st.integers(30_000, 2 * AIM),
    ),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(OUTCOMES)),
    st.tuples(st.just("fleet"), st.integers(0, 5), st.sampled_from(STATES), st.booleans()),
    st.tuples(st.just("failed")),
    st.tuples(st.just("probe"), st.integers(0, 5), st.sampled_from([hw.OK, hw.TIMED_OUT])),
    st.tuples(st.just("pass"), st.integers(1, 120)),
    st.tuples(st.just("gone"), st.integers(0, 5)),
)


@given(
    steps=st.lists(STEP, min_size=5, max_size=60),
    seed=st.integers(0, 2**40),
    copies=st.booleans(),
    cancelling=st.booleans(),
    probing=st.booleans(),
    ask=st.booleans(),
    budget=st.booleans(),
    call=st.sampled_from([1, 3]),
)
def test_rules_hold_on_any_legal_day(steps, seed, copies, cancelling, probing, ask, budget, call):
    config = make_settings(
        second_copies=copies,
        cancelling=cancelling,
        probing=probing,
        ask_mode=ask,
        must_ask_us=10 * AIM,
        parts_a_call=call,
        advise=True,
        max_advice_us=AIM // 2,
        counted_over_us=3 * AIM if budget else 0,
        free_resends=1 if budget else 0,
        further_ratio=0.1 if budget else 0.0,
    )
    agg, rules = Aggregator(config, seed), Rules(config)
    now, jobs, fetched = AIM, 0, {}
    out: list[hw.Send] = []
    seqs: dict[str, int] = {}

    def batch(*events: hw.Event) -> None:
        nonlocal now
        now += config.tick_us
        more = list(events)
        for query in [q for q, left in fetched.items() if left]:
            event = rules.open.get(query)
            fetched[query] = False
            if event is not None:
                more += [hw.PartArrived(f"{query}/f{n}", event.job, n, 0.5) for n in range(2)]
        actions = agg.handle(now, more)
        rules.batch(now, more, actions)
        for action in actions:
            if isinstance(action, hw.Send):
                out.append(action)
                seqs[f"{action.id}#{len(out)}"] = 0
            if isinstance(action, hw.Cancel):
                cancelled.append((action.id, action.seq))
            if isinstance(action, hw.Answer) and rules.step.get(action.id) == 2 and action.id in rules.open:
                fetched.setdefault(action.id, True)

    cancelled: list[tuple[str, int]] = []
    ended: set[tuple[str, int]] = set()

    def attempts() -> list[tuple[hw.Send, int]]:
        count: dict[str, int] = {}
        found = []
        for send in out:
            seq = count.get(send.id, 0)
            count[send.id] = seq + 1
            if (send.id, seq) not in ended:
                found.append((send, seq))
        return found

    batch(hw.FleetNews(hw.FULL, tuple(entry(i) for i in range(6)), asked=False))
    for step in steps:
        match step:
            case ("query", klass, shards, limit):
                jobs += 1
                batch(
                    hw.QueryArrived(f"q{jobs}", jobs, klass, now + config.tick_us + limit, len(shards)),
                    *[hw.PartArrived(f"q{jobs}/{n}", jobs, s, 1 / len(shards)) for n, s in enumerate(shards)],
                )
            case ("end", which, outcome):
                left = attempts()
                if left:
                    send, seq = left[which % len(left)]
                    ended.add((send.id, seq))
                    if (send.id, seq) in cancelled:
                        outcome = hw.CANCELLED
                    batch(hw.AttemptEnded(send.id, seq, send.node, outcome, 50_000))
            case ("fleet", which, state, restart):
                since = now if restart else None
                batch(hw.FleetNews(hw.UPDATE, (entry(which, state=state, since_us=since),)))
            case ("failed",):
                batch(hw.FleetNews(hw.FAILED))
            case ("probe", which, outcome):
                batch(hw.ProbeEnded(f"s{which}", outcome))
            case ("pass", ticks):
                for _ in range(ticks):
                    batch(hw.TimerFired("due"))
            case ("gone", which):
                batch(hw.QueryExpired(f"q{which}-never"))
    for _ in range(2 * AIM // config.tick_us + 10):
        batch(hw.TimerFired("due"))
    assert not rules.open
    assert len(rules.ended) == jobs
