"""Arbitrary legal events and outcomes; the rules must hold on whatever the module does."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heathwell import Aggregator, policy

from .conftest import AIM, entry, make_settings
from .rules import Rules

OUTCOMES = [policy.Outcome.OK] * 6 + [
    policy.Outcome.ERROR,
    policy.Outcome.REJECTED,
    policy.Outcome.TIMED_OUT,
    policy.Outcome.UNREACHABLE,
    policy.Outcome.BROKEN,
    policy.Outcome.NEVER_SENT,
]
STATES = [
    policy.EndpointState.LIVE,
    policy.EndpointState.LIVE,
    policy.EndpointState.DRAINING,
    policy.EndpointState.GONE,
    "unheard-of",
]

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
    st.tuples(
        st.just("probe"), st.integers(0, 5), st.sampled_from([policy.Outcome.OK, policy.Outcome.TIMED_OUT])
    ),
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
        hedging_allowed=copies,
        cancellation_allowed=cancelling,
        probing_allowed=probing,
        poll_mode=ask,
        poll_within_us=10 * AIM,
        parts_per_call=call,
        retry_advice_allowed=True,
        max_retry_after_us=AIM // 2,
        attempt_budget_window_us=3 * AIM if budget else 0,
        free_additional_attempts=1 if budget else 0,
        additional_attempt_ratio=0.1 if budget else 0.0,
    )
    agg, rules = Aggregator(config, seed), Rules(config)
    now, jobs, fetched = AIM, 0, {}
    out: list[policy.Send] = []
    seqs: dict[str, int] = {}

    def batch(*events: policy.Event) -> None:
        nonlocal now
        now += config.tick_us
        more = list(events)
        for query in [q for q, left in fetched.items() if left]:
            event = rules.open.get(query)
            fetched[query] = False
            if event is not None:
                more += [policy.PartArrived(f"{query}/f{n}", event.job, n, 0.5) for n in range(2)]
        actions = agg.handle(now, more)
        rules.batch(now, more, actions)
        for action in actions:
            if isinstance(action, policy.Send):
                out.append(action)
                seqs[f"{action.id}#{len(out)}"] = 0
            if isinstance(action, policy.Cancel):
                cancelled.append((action.id, action.seq))
            if (
                isinstance(action, policy.Answer)
                and rules.step.get(action.id) == 2
                and action.id in rules.open
            ):
                fetched.setdefault(action.id, True)

    cancelled: list[tuple[str, int]] = []
    ended: set[tuple[str, int]] = set()

    def attempts() -> list[tuple[policy.Send, int]]:
        count: dict[str, int] = {}
        found = []
        for send in out:
            seq = count.get(send.id, 0)
            count[send.id] = seq + 1
            if (send.id, seq) not in ended:
                found.append((send, seq))
        return found

    batch(policy.EndpointUpdate(policy.UpdateKind.FULL, tuple(entry(i) for i in range(6)), requested=False))
    for step in steps:
        match step:
            case ("query", query_class, shards, limit):
                jobs += 1
                batch(
                    policy.QueryArrived(
                        f"q{jobs}", jobs, query_class, now + config.tick_us + limit, len(shards)
                    ),
                    *[
                        policy.PartArrived(f"q{jobs}/{n}", jobs, s, 1 / len(shards))
                        for n, s in enumerate(shards)
                    ],
                )
            case ("end", which, outcome):
                left = attempts()
                if left:
                    send, seq = left[which % len(left)]
                    ended.add((send.id, seq))
                    if (send.id, seq) in cancelled:
                        outcome = policy.Outcome.CANCELLED
                    batch(policy.AttemptEnded(send.id, seq, send.node, outcome, 50_000))
            case ("fleet", which, state, restart):
                since = now if restart else None
                batch(
                    policy.EndpointUpdate(
                        policy.UpdateKind.INCREMENTAL, (entry(which, state=state, started_at_us=since),)
                    )
                )
            case ("failed",):
                batch(policy.EndpointUpdate(policy.UpdateKind.FAILED))
            case ("probe", which, outcome):
                batch(policy.ProbeEnded(f"s{which}", outcome))
            case ("pass", ticks):
                for _ in range(ticks):
                    batch(policy.TimerFired("due"))
            case ("gone", which):
                batch(policy.ClientDisconnected(f"q{which}-never"))
    for _ in range(2 * AIM // config.tick_us + 10):
        batch(policy.TimerFired("due"))
    assert not rules.open
    assert len(rules.ended) == jobs
