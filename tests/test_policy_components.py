"""Components of the decision module, each alone, with hand-made inputs and without an aggregator."""

from __future__ import annotations

import pytest

from heathwell import policy
from heathwell.policy import outlier_detection
from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.latency import LatencyModel
from heathwell.policy.load import LoadModel
from heathwell.policy.outlier_detection import OutlierDetector, QueryOfDeath, judge_query_of_death
from heathwell.policy.query_arrival import QueryTable
from heathwell.policy.query_completion import QueryCompletion
from heathwell.policy.records import ALL_CLASSES, Attempt, Endpoint, Part, Query, TimerKind
from heathwell.policy.replica_selection import ReplicaSelector
from heathwell.policy.retries import RetryRules
from heathwell.policy.retry_budget import CAPACITY, RetryBudget
from heathwell.policy.slow_start import SlowStart

from .conftest import AIM, entry, make_settings, of

START_US = 10_000_000
PLAIN, ALL, TWO_STEPS, KEYED, UNSAFE, PARTIAL, TWO_STEPS_PARTIAL = range(7)  # classes of make_settings


class Parts:
    """The lower components over six listed endpoints, one in each replica group."""

    def __init__(self, seed: int = 1, endpoints: int = 6, **changes) -> None:
        self.context = DecisionContext(make_settings(**changes), seed)
        self.context.begin_batch(START_US)
        self.table = EndpointTable(self.context)
        listed = tuple(entry(index) for index in range(endpoints))
        self.table.on_update(policy.EndpointUpdate(policy.UpdateKind.FULL, listed))
        self.latency = LatencyModel(self.context, self.table)
        self.load = LoadModel(self.context, self.latency)
        self.slow_start = SlowStart(self.context, self.table, self.latency)
        self.outliers = OutlierDetector(self.context, self.table, self.latency, self.load)
        self.selector = ReplicaSelector(
            self.context, self.table, self.latency, self.load, self.slow_start, self.outliers
        )
        self.budget = RetryBudget(self.context)
        self.rules = RetryRules(self.context, self.budget, self.latency)
        self.queries = QueryTable(self.context, self.latency, self.budget)
        self.attempts = AttemptTable(self.context, self.load)
        self.completion = QueryCompletion(self.context, self.queries, self.attempts)

    def endpoint(self, index: int) -> Endpoint:
        return self.table.by_node[f"s{index}"]

    def advance(self, duration_us: int) -> list[policy.Action]:
        """Begin a batch later on; return the actions of the one before."""
        actions = self.context.actions
        self.context.begin_batch(self.context.now_us + duration_us)
        return actions

    def query(self, query_class: int = ALL, shards: tuple[int, ...] = (0,), name: str = "q") -> Query:
        deadline_us = self.context.now_us + 2 * AIM
        job = len(self.queries.by_id)
        self.queries.on_query_arrived(policy.QueryArrived(name, job, query_class, deadline_us, len(shards)))
        for number, shard in enumerate(shards):
            self.queries.on_part_arrived(policy.PartArrived(f"{name}/{number}", job, shard, 1 / len(shards)))
        return self.queries.by_id[name]

    def send(self, part: Part, index: int) -> Attempt:
        return self.attempts.begin(part, self.endpoint(index))

    def end(self, attempt: Attempt, outcome: policy.Outcome) -> None:
        self.attempts.end(attempt.part.id, attempt.seq, outcome)

    def fail(self, index: int, outcome: policy.Outcome, query_class: int = ALL) -> Attempt:
        """An attempt at an endpoint that ends at once."""
        name = f"f{len(self.queries.by_id)}"
        attempt = self.send(self.query(query_class, (index,), name).parts[0], index)
        self.end(attempt, outcome)
        self.outliers.record_failure(attempt, outcome)
        return attempt

    def due(self, kind: TimerKind) -> list[object]:
        """The subjects of due timers of a kind; other due timers are dropped."""
        subjects = []
        while timer := self.context.timers.pop_due(self.context.now_us):
            if timer.kind == kind:
                subjects.append(timer.subject)
        return subjects


# Endpoint table


def test_an_endpoint_that_left_is_dropped_once_it_would_be_out_of_slow_start_and_idle():
    parts = Parts()
    attempt = parts.send(parts.query().parts[0], 0)
    gone = policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, (entry(0, state=policy.EndpointState.GONE),))
    parts.table.on_update(gone)
    assert not parts.endpoint(0).live
    parts.advance(21 * AIM)
    parts.table.on_update(policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert "s0" in parts.table.by_node  # an attempt is still in flight
    parts.end(attempt, policy.Outcome.TIMED_OUT)
    parts.table.on_update(policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert "s0" not in parts.table.by_node
    assert len(parts.table) == 5


def test_failed_polls_back_off_with_jitter_up_to_the_limit():
    parts = Parts(poll_mode=True, poll_within_us=1_000_000)
    failed = policy.EndpointUpdate(policy.UpdateKind.FAILED)
    waits = []
    for _ in range(6):
        parts.advance(20 * AIM)  # beyond the interval of one operator event a topic
        parts.table.on_update(failed)
        (degraded,) = of(parts.context.actions, policy.DiscoveryDegraded)
        waits.append(degraded.retry_after_us)
    assert 100_000 <= waits[0] <= 200_000
    assert all(225_000 <= wait <= 450_000 for wait in waits[2:])
    assert len(set(waits)) > 1


# Outlier detection


def test_a_half_open_trial_that_ends_in_a_failed_probe_ejects_for_twice_as_long():
    parts = Parts(probing_allowed=True)
    parts.fail(0, policy.Outcome.UNREACHABLE)
    endpoint = parts.endpoint(0)
    first_us = endpoint.ejections[ALL_CLASSES].duration_us
    assert first_us == AIM
    assert not parts.outliers.accepts_attempts(endpoint, ALL)
    parts.advance(first_us)
    assert parts.due(TimerKind.TRIAL) == [endpoint]
    parts.outliers.on_trial_due(endpoint)
    assert of(parts.context.actions, policy.Probe) == [policy.Probe("s0")]
    assert not parts.outliers.accepts_attempts(endpoint, ALL)  # not before the probe's outcome
    parts.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.TIMED_OUT))
    again = endpoint.ejections[ALL_CLASSES]
    assert again.duration_us == 2 * first_us
    assert not again.half_open
    assert again.disconnect_reason is policy.EjectionReason.NO_CONNECTION


def test_a_good_probe_lets_one_trial_through_and_its_response_readmits():
    parts = Parts(probing_allowed=True)
    parts.fail(0, policy.Outcome.UNREACHABLE)
    endpoint = parts.endpoint(0)
    parts.advance(AIM)
    parts.outliers.on_trial_due(endpoint)
    parts.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.OK))
    assert parts.outliers.accepts_attempts(endpoint, ALL)
    trial = parts.send(parts.query(name="trial").parts[0], 0)
    assert not parts.outliers.accepts_attempts(endpoint, ALL)  # one at a time
    parts.advance(50_000)
    parts.end(trial, policy.Outcome.OK)
    parts.outliers.record_response(trial)
    assert endpoint.ejections == {}
    assert of(parts.context.actions, policy.EndpointReadmitted) == [policy.EndpointReadmitted("s0")]


def test_ejections_double_up_to_the_maximum():
    parts = Parts()
    endpoint = parts.endpoint(0)
    durations = []
    for _ in range(6):
        parts.fail(0, policy.Outcome.UNREACHABLE)
        durations.append(endpoint.ejections[ALL_CLASSES].duration_us)
        parts.advance(durations[-1])
        parts.outliers.on_trial_due(endpoint)
    maximum_us = outlier_detection.EJECTION_MAXIMUM_OBJECTIVES * AIM
    assert durations == [AIM, 2 * AIM, 4 * AIM, maximum_us, maximum_us, maximum_us]


def test_no_more_than_the_maximum_fraction_is_ejected_for_rejections_but_a_lost_one_always():
    parts = Parts(replica_groups=10, shards=10, endpoints=10)
    for index in range(10):
        for _ in range(2):
            parts.fail(index, policy.Outcome.REJECTED)
    ejected = [endpoint.node for endpoint in parts.table.all() if endpoint.ejections]
    assert ejected == ["s0", "s1", "s2", "s3"]
    parts.fail(9, policy.Outcome.UNREACHABLE)
    assert ALL_CLASSES in parts.endpoint(9).ejections


def test_errors_of_one_class_eject_for_that_class_alone():
    parts = Parts()
    for _ in range(2):
        parts.fail(0, policy.Outcome.ERROR, KEYED)
    endpoint = parts.endpoint(0)
    assert not parts.outliers.accepts_attempts(endpoint, KEYED)
    assert parts.outliers.accepts_attempts(endpoint, ALL)
    (event,) = of(parts.context.actions, policy.EndpointEjected)
    assert event == policy.EndpointEjected("s0", KEYED, policy.EjectionReason.CONSECUTIVE_ERRORS, AIM)


def test_silence_counts_only_while_others_respond():
    parts = Parts()
    query = parts.query(shards=(0, 0, 1))
    silent = [parts.send(part, 0) for part in query.parts[:2]]
    other = parts.send(query.parts[2], 1)
    parts.advance(AIM)
    parts.outliers.eject_if_silent(silent[0])
    assert parts.endpoint(0).ejections == {}
    parts.end(other, policy.Outcome.OK)
    parts.outliers.record_response(other)
    parts.outliers.eject_if_silent(silent[0])
    (event,) = of(parts.context.actions, policy.EndpointEjected)
    assert (event.node, event.reason) == ("s0", policy.EjectionReason.NO_RESPONSE)


def test_a_query_of_death_is_held_tried_once_more_and_abandoned():
    query = Parts().query(shards=(0, 1))
    assert judge_query_of_death(query) is QueryOfDeath.NOT_SUSPECTED
    query.broken_connections = 1
    assert judge_query_of_death(query) is QueryOfDeath.NOT_SUSPECTED  # one more attempt
    query.broken_connections = 2
    assert judge_query_of_death(query) is QueryOfDeath.ABANDON


def test_a_query_that_breaks_connections_in_its_second_step_is_not_suspected():
    """Its first step was answered: what it asks for can be served."""
    parts = Parts()
    query = parts.query(TWO_STEPS, (0, 1))
    query.answered = True
    query.step = 2
    query.broken_connections = 5
    assert judge_query_of_death(query) is QueryOfDeath.NOT_SUSPECTED
    parts.fail(3, policy.Outcome.BROKEN)  # a crash is recent
    assert not parts.outliers.sends_canary_first(query)
    assert parts.outliers.sends_canary_first(parts.query(name="fresh"))


# Slow start


def test_slow_start_after_a_restart_seen_only_by_silence():
    """The list names no start: a long silence with a failed probe is taken for one."""
    parts = Parts(probing_allowed=True)
    endpoint = parts.endpoint(0)
    early = parts.send(parts.query(name="early").parts[0], 0)
    parts.end(early, policy.Outcome.OK)
    parts.outliers.record_response(early)
    parts.fail(0, policy.Outcome.REJECTED)
    parts.fail(0, policy.Outcome.REJECTED)
    assert parts.slow_start.fraction(endpoint) == 1.0  # full, but not unreachable
    parts.advance(2 * AIM)
    parts.outliers.on_trial_due(endpoint)
    parts.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.TIMED_OUT))
    assert parts.slow_start.fraction(endpoint) == 0.2  # it may be starting at this moment
    parts.advance(2 * AIM)
    trial = parts.send(parts.query(name="trial").parts[0], 0)
    parts.advance(50_000)
    parts.end(trial, policy.Outcome.OK)
    parts.outliers.record_response(trial)
    assert endpoint.slow_start_from_us == parts.context.now_us
    assert parts.slow_start.fraction(endpoint) == pytest.approx(0.2)
    parts.advance(5_000_000)
    assert parts.slow_start.fraction(endpoint) == pytest.approx(0.6)
    parts.advance(5_000_000)
    assert parts.slow_start.fraction(endpoint) == 1.0


def test_a_short_silence_is_no_restart():
    parts = Parts(probing_allowed=True)
    endpoint = parts.endpoint(0)
    early = parts.send(parts.query(name="early").parts[0], 0)
    parts.end(early, policy.Outcome.OK)
    parts.outliers.record_response(early)
    parts.advance(AIM // 10)
    parts.fail(0, policy.Outcome.REJECTED)
    parts.fail(0, policy.Outcome.REJECTED)
    parts.advance(AIM)
    parts.outliers.on_trial_due(endpoint)
    parts.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.TIMED_OUT))
    trial = parts.send(parts.query(name="trial").parts[0], 0)
    parts.advance(50_000)
    parts.end(trial, policy.Outcome.OK)
    parts.outliers.record_response(trial)
    assert endpoint.slow_start_from_us is None
    assert parts.slow_start.fraction(endpoint) == 1.0


def test_a_quota_alone_decides_in_slow_start_and_is_spent_by_sends():
    parts = Parts()
    endpoint = parts.endpoint(0)
    endpoint.slow_start_from_us = parts.context.now_us
    parts.slow_start.set_quota({"s0": 2})
    assert [parts.slow_start.has_capacity(endpoint), parts.slow_start.record_send(endpoint)] == [True, True]
    assert [parts.slow_start.has_capacity(endpoint), parts.slow_start.record_send(endpoint)] == [True, True]
    assert not parts.slow_start.has_capacity(endpoint)
    assert parts.slow_start.has_capacity(parts.endpoint(1))  # not in slow start
    assert not parts.slow_start.record_send(parts.endpoint(1))
    parts.slow_start.set_quota({})
    assert not parts.slow_start.has_capacity(endpoint)


def test_the_first_credit_of_slow_start_is_drawn():
    """Many aggregators that each owe an endpoint less than a part must not all send one at once."""
    credits = []
    for seed in range(300):
        parts = Parts(seed)
        endpoint = parts.endpoint(0)
        endpoint.slow_start_from_us = parts.context.now_us
        assert not parts.slow_start.has_capacity(endpoint)
        credits.append(endpoint.slow_start_credit)
    assert all(0 <= credit < 1 for credit in credits)
    assert 0.4 < sum(credits) / len(credits) < 0.6


# Retry budget and rules


def test_an_empty_retry_budget_gives_way_to_a_quota():
    parts = Parts()
    parts.budget.bucket.tokens = 0.0
    assert not parts.budget.has_budget()
    assert parts.budget.has_budget(is_free=True)
    assert not parts.budget.has_own_budget()
    parts.budget.set_quota(1)
    assert parts.budget.has_budget()
    assert parts.budget.has_own_budget()
    parts.budget.spend_quota()
    assert not parts.budget.has_own_budget()
    assert not parts.budget.has_quota()
    assert of(parts.context.actions, policy.QuotaExhausted) == [policy.QuotaExhausted()]


def test_the_stated_budget_holds_whatever_the_quota():
    parts = Parts(free_additional_attempts=2, attempt_budget_window_us=AIM)
    parts.budget.set_quota(100)
    for _ in range(2):
        assert parts.budget.has_budget()
        parts.budget.record_additional_attempt(policy.Outcome.ERROR)
    assert not parts.budget.has_budget()
    parts.advance(AIM + 1)
    assert parts.budget.has_budget()


def test_free_outcomes_cost_no_token():
    parts = Parts()
    for outcome in (policy.Outcome.CONNECTION_LOST, policy.Outcome.UNREACHABLE, policy.Outcome.NEVER_SENT):
        parts.budget.record_additional_attempt(outcome)
    assert parts.budget.bucket.tokens == CAPACITY
    parts.budget.record_additional_attempt(policy.Outcome.ERROR)
    assert parts.budget.bucket.tokens == CAPACITY - 1


@pytest.mark.parametrize(
    ("query_class", "outcome", "send_by_us"),
    [
        (ALL, policy.Outcome.ERROR, 2 * AIM),
        (KEYED, policy.Outcome.ERROR, 700_000),
        (KEYED, policy.Outcome.REJECTED, 2 * AIM),
        (UNSAFE, policy.Outcome.REJECTED, 2 * AIM),
    ],
)
def test_what_may_have_run_is_sent_again_as_its_class_allows(query_class, outcome, send_by_us):
    parts = Parts()
    part = parts.query(query_class).parts[0]
    parts.end(parts.send(part, 0), outcome)
    assert parts.rules.send_by_us(part) == START_US + send_by_us
    assert parts.rules.may_send_again(part)
    parts.advance(send_by_us + 1)
    assert not parts.rules.may_send_again(part)


def test_a_part_of_a_class_that_must_not_repeat_is_never_sent_again_once_it_may_have_run():
    parts = Parts()
    part = parts.query(UNSAFE).parts[0]
    parts.end(parts.send(part, 0), policy.Outcome.ERROR)
    assert not parts.rules.may_send_again(part)
    parts.budget.bucket.tokens = 0.0
    assert not parts.rules.wait_for_budget(part)


# Replica selection


def test_the_replica_with_the_fewest_calls_in_flight_serves_the_part():
    parts = Parts()
    query = parts.query(shards=(0, 0, 0, 0))
    chosen = []
    for part in query.parts[:3]:
        endpoint = parts.selector.select(part)
        chosen.append(endpoint.node)
        parts.attempts.begin(part, endpoint)
    assert sorted(chosen) == ["s0", "s1", "s2"]  # shard 0 lies on groups 0 to 2


def test_ejected_tried_and_deprioritized_replicas_serve_where_no_other_is_left():
    parts = Parts()
    part = parts.query().parts[0]
    for _ in range(2):
        parts.fail(0, policy.Outcome.ERROR)
    parts.endpoint(1).restrict(ALL_CLASSES, frozenset({"s1"}), frozenset())
    assert parts.selector.select(part).node == "s2"
    parts.endpoint(2).restrict(ALL, frozenset(), frozenset({"s2"}))
    assert parts.selector.select(part).node == "s1"
    parts.endpoint(1).live = False
    assert parts.selector.select(part).node == "s0"
    parts.endpoint(0).live = False
    assert parts.selector.select(part) is None


# Completion


def test_shutdown_during_a_hedge_answers_by_the_new_deadline_and_counts_each_part_once():
    parts = Parts()
    query = parts.query(PARTIAL, (0, 3))
    hedged, late = query.parts
    first = parts.send(hedged, 0)
    second = parts.send(hedged, 1)
    parts.send(late, 3)
    ends_at_us = parts.context.now_us + 300_000
    parts.completion.on_shutdown_started(ends_at_us)
    assert query.deadline_us == query.objective_at_us == ends_at_us
    for attempt in (first, second):
        parts.end(attempt, policy.Outcome.OK)
        parts.completion.record_part(attempt.part)
    assert query.received_weight == 0.5
    assert of(parts.context.actions, policy.Answer) == []
    parts.advance(300_000 - parts.context.settings.tick_us)
    assert query in parts.due(TimerKind.DEADLINE)
    parts.completion.on_timer(query, TimerKind.DEADLINE)
    assert of(parts.context.actions, policy.Answer) == [policy.Answer("q", complete=False)]
    assert query not in parts.queries


def test_a_first_step_that_is_cut_brings_the_second_and_is_not_complete():
    parts = Parts()
    query = parts.query(TWO_STEPS_PARTIAL, (0, 1))
    parts.end(parts.send(query.parts[0], 0), policy.Outcome.OK)
    assert parts.completion.record_part(query.parts[0])
    assert of(parts.context.actions, policy.Answer) == []
    parts.completion.on_timer(query, TimerKind.CUT)
    assert of(parts.context.actions, policy.Answer) == [policy.Answer("q", complete=False)]
    assert (query.step, query.received_weight) == (2, 0.0)
    assert not parts.completion.is_awaited(query.parts[1])
    assert parts.completion.required_weight(query) == 1.0


@pytest.mark.parametrize(
    ("query_class", "outcome", "action"),
    [
        (ALL, policy.Outcome.ERROR, policy.Reject),
        (UNSAFE, policy.Outcome.REJECTED, policy.Reject),
        (UNSAFE, policy.Outcome.ERROR, policy.Fail),
    ],
)
def test_a_query_without_an_answer_is_rejected_only_where_a_repeat_is_harmless(query_class, outcome, action):
    parts = Parts(retry_advice_allowed=True, max_retry_after_us=400_000)
    query = parts.query(query_class)
    parts.end(parts.send(query.parts[0], 0), outcome)
    parts.completion.abandon_if_unanswerable(query)
    (ended,) = of(parts.context.actions, action)
    assert ended.reason is policy.EndReason.TOO_FEW_PARTS
    if action is policy.Reject:
        assert 200_000 <= ended.retry_after_us <= 400_000
    assert query not in parts.queries
