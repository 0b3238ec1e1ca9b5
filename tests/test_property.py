"""Property test: the six rules hold on the actions of an aggregator for any legal sequence of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heathwell import Aggregator, Settings, policy

from .conftest import OBJECTIVE_US, entry, make_settings
from .rules import RuleChecker

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

ENDPOINT_COUNT = 6  # as in `make_settings`
ATTEMPT_LATENCY_US = 50_000

STEP = st.one_of(
    st.tuples(
        st.just("query"),
        st.integers(0, 6),
        st.lists(st.integers(0, 5), min_size=1, max_size=5),
        st.integers(30_000, 2 * OBJECTIVE_US),
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


class EventPlayer:
    """Plays drawn steps to an aggregator, one batch a tick, and checks the rules on each batch."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config = config
        self.aggregator = Aggregator(config, seed)
        self.rules = RuleChecker(config)
        self.now_us = OBJECTIVE_US
        self.query_count = 0
        self.sends: list[policy.Send] = []
        self.cancelled: list[tuple[str, int]] = []
        self.ended: set[tuple[str, int]] = set()
        self.second_step_due: dict[str, bool] = {}

    def handle_batch(self, *events: policy.Event) -> None:
        """Handle a batch one tick later, with the second-step parts that are due by then."""
        self.now_us += self.config.tick_us
        batch = [*events, *self.due_second_step_parts()]
        actions = self.aggregator.handle(self.now_us, batch)
        self.rules.on_batch(self.now_us, batch, actions)
        for action in actions:
            self.record_action(action)

    def due_second_step_parts(self) -> list[policy.PartArrived]:
        """Return two parts for each open query whose first step was answered in the batch before."""
        parts: list[policy.PartArrived] = []
        for query_id in [query_id for query_id, is_due in self.second_step_due.items() if is_due]:
            self.second_step_due[query_id] = False
            query = self.rules.open.get(query_id)
            if query is not None:
                parts += [
                    policy.PartArrived(f"{query_id}/f{number}", query.job, number, 0.5) for number in range(2)
                ]
        return parts

    def record_action(self, action: policy.Action) -> None:
        """Record an attempt, a cancellation or the answer to a first step."""
        match action:
            case policy.Send():
                self.sends.append(action)
            case policy.Cancel():
                self.cancelled.append((action.id, action.seq))
            case policy.Answer():
                if self.rules.current_step.get(action.id) == 2 and action.id in self.rules.open:
                    self.second_step_due.setdefault(action.id, True)

    def attempts_in_flight(self) -> list[tuple[policy.Send, int]]:
        """Return the attempts without an outcome, each with its sequence number."""
        next_seq: dict[str, int] = {}
        in_flight = []
        for send in self.sends:
            seq = next_seq.get(send.id, 0)
            next_seq[send.id] = seq + 1
            if (send.id, seq) not in self.ended:
                in_flight.append((send, seq))
        return in_flight

    def play(self, step: tuple) -> None:
        """Play one step drawn from `STEP`."""
        match step:
            case ("query", query_class, shards, timeout_us):
                self.send_query(query_class, shards, timeout_us)
            case ("end", index, outcome):
                self.end_attempt(index, outcome)
            case ("fleet", index, state, is_restart):
                started_at_us = self.now_us if is_restart else None
                endpoint = entry(index, state=state, started_at_us=started_at_us)
                self.handle_batch(policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, (endpoint,)))
            case ("failed",):
                self.handle_batch(policy.EndpointUpdate(policy.UpdateKind.FAILED))
            case ("probe", index, outcome):
                self.handle_batch(policy.ProbeEnded(f"s{index}", outcome))
            case ("pass", ticks):
                self.pass_ticks(ticks)
            case ("gone", index):
                self.handle_batch(policy.ClientDisconnected(f"q{index}-never"))

    def send_query(self, query_class: int, shards: list[int], timeout_us: int) -> None:
        """Send a query with one part for each shard."""
        self.query_count += 1
        query_id = f"q{self.query_count}"
        deadline_us = self.now_us + self.config.tick_us + timeout_us
        self.handle_batch(
            policy.QueryArrived(query_id, self.query_count, query_class, deadline_us, len(shards)),
            *[
                policy.PartArrived(f"{query_id}/{number}", self.query_count, shard, 1 / len(shards))
                for number, shard in enumerate(shards)
            ],
        )

    def end_attempt(self, index: int, outcome: policy.Outcome) -> None:
        """End one of the attempts in flight; a cancelled one has the outcome CANCELLED."""
        in_flight = self.attempts_in_flight()
        if not in_flight:
            return
        send, seq = in_flight[index % len(in_flight)]
        self.ended.add((send.id, seq))
        if (send.id, seq) in self.cancelled:
            outcome = policy.Outcome.CANCELLED
        self.handle_batch(policy.AttemptEnded(send.id, seq, send.node, outcome, ATTEMPT_LATENCY_US))

    def pass_ticks(self, ticks: int) -> None:
        """Advance by ticks in which nothing but timers is due."""
        for _ in range(ticks):
            self.handle_batch(policy.TimerFired("due"))


@given(
    steps=st.lists(STEP, min_size=5, max_size=60),
    seed=st.integers(0, 2**40),
    hedging=st.booleans(),
    cancelling=st.booleans(),
    probing=st.booleans(),
    polling=st.booleans(),
    budget=st.booleans(),
    parts_per_call=st.sampled_from([1, 3]),
)
def test_the_six_rules_hold_for_any_legal_sequence_of_events(
    steps, seed, hedging, cancelling, probing, polling, budget, parts_per_call
):
    config = make_settings(
        hedging_allowed=hedging,
        cancellation_allowed=cancelling,
        probing_allowed=probing,
        poll_mode=polling,
        max_poll_interval_us=10 * OBJECTIVE_US,
        parts_per_call=parts_per_call,
        retry_advice_allowed=True,
        max_retry_after_us=OBJECTIVE_US // 2,
        attempt_budget_window_us=3 * OBJECTIVE_US if budget else 0,
        free_additional_attempts=1 if budget else 0,
        additional_attempt_ratio=0.1 if budget else 0.0,
    )
    player = EventPlayer(config, seed)
    listed = tuple(entry(index) for index in range(ENDPOINT_COUNT))
    player.handle_batch(policy.EndpointUpdate(policy.UpdateKind.FULL, listed, requested=False))
    for step in steps:
        player.play(step)
    player.pass_ticks(2 * OBJECTIVE_US // config.tick_us + 10)
    rules = player.rules
    query_count = player.query_count
    assert not rules.open
    assert len(rules.ended) == query_count
