"""Unit tests of the components of the decision module, without an aggregator."""

from __future__ import annotations

import pytest

from heathwell import policy
from heathwell.policy import outlier_detection
from heathwell.policy.attempt_table import AttemptTable
from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.latency import LatencyModel
from heathwell.policy.load import LoadModel
from heathwell.policy.outlier_detection import OutlierDetector, QueryOfDeathVerdict, judge_query_of_death
from heathwell.policy.query_arrival import QueryTable
from heathwell.policy.query_completion import QueryCompletion
from heathwell.policy.records import ALL_CLASSES, Attempt, Endpoint, Part, Query, TimerKind
from heathwell.policy.replica_selection import ReplicaSelector
from heathwell.policy.retries import RetryRules
from heathwell.policy.retry_budget import TOKEN_CAPACITY, RetryBudget
from heathwell.policy.slow_start import SlowStart

from .conftest import OBJECTIVE_US, actions_of_type, entry, make_settings

START_US = 10_000_000

# Query classes by their position in `make_settings`.
ALL = 1
TWO_STEPS = 2
KEYED = 3
NON_IDEMPOTENT = 4
PARTIAL = 5
TWO_STEPS_PARTIAL = 6


class Components:
    """The components below the aggregator, with one listed endpoint in each replica group."""

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
        """Return the endpoint of a replica group."""
        return self.table.by_node[f"s{index}"]

    def advance(self, duration_us: int) -> list[policy.Action]:
        """Begin a batch `duration_us` later; return the actions of the previous one."""
        actions = self.context.actions
        self.context.begin_batch(self.context.now_us + duration_us)
        return actions

    def query(self, query_class: int = ALL, shards: tuple[int, ...] = (0,), name: str = "q") -> Query:
        """Admit a query with one part for each shard."""
        deadline_us = self.context.now_us + 2 * OBJECTIVE_US
        job = len(self.queries.by_id)
        self.queries.on_query_arrived(policy.QueryArrived(name, job, query_class, deadline_us, len(shards)))
        for number, shard in enumerate(shards):
            self.queries.on_part_arrived(policy.PartArrived(f"{name}/{number}", job, shard, 1 / len(shards)))
        return self.queries.by_id[name]

    def send(self, part: Part, index: int) -> Attempt:
        """Begin an attempt of a part at an endpoint."""
        return self.attempts.begin(part, self.endpoint(index))

    def end(self, attempt: Attempt, outcome: policy.Outcome) -> None:
        """End an attempt with an outcome."""
        self.attempts.end(attempt.part.id, attempt.seq, outcome)

    def fail(self, index: int, outcome: policy.Outcome, query_class: int = ALL) -> Attempt:
        """Return an attempt of a new query at an endpoint, which fails at once with this outcome."""
        name = f"f{len(self.queries.by_id)}"
        attempt = self.send(self.query(query_class, (index,), name).parts[0], index)
        self.end(attempt, outcome)
        self.outliers.record_failure(attempt, outcome)
        return attempt

    def respond(self, index: int) -> None:
        """Record the response to an attempt of a new query at an endpoint."""
        attempt = self.send(self.query(name="answered").parts[0], index)
        self.end(attempt, policy.Outcome.OK)
        self.outliers.record_response(attempt)

    def due(self, kind: TimerKind) -> list[object]:
        """Return the subjects of the due timers of a kind; other due timers are dropped."""
        subjects = []
        while timer := self.context.timers.pop_due(self.context.now_us):
            if timer.kind == kind:
                subjects.append(timer.subject)
        return subjects


# Endpoint table


def test_a_removed_endpoint_is_dropped_after_the_slow_start_duration_once_it_has_no_attempts():
    components = Components()
    attempt = components.send(components.query().parts[0], 0)
    gone = policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, (entry(0, state=policy.EndpointState.GONE),))
    components.table.on_update(gone)
    assert not components.endpoint(0).live
    components.advance(21 * OBJECTIVE_US)
    components.table.on_update(policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert "s0" in components.table.by_node  # its attempt is still in flight
    components.end(attempt, policy.Outcome.TIMED_OUT)
    components.table.on_update(policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert "s0" not in components.table.by_node
    assert len(components.table) == 5


def test_failed_polls_back_off_with_jitter_up_to_the_limit():
    components = Components(poll_mode=True, max_poll_interval_us=1_000_000)
    failed = policy.EndpointUpdate(policy.UpdateKind.FAILED)
    waits = []
    for _ in range(6):
        components.advance(20 * OBJECTIVE_US)  # longer than the interval between operator events of one topic
        components.table.on_update(failed)
        (degraded,) = actions_of_type(components.context.actions, policy.DiscoveryDegraded)
        waits.append(degraded.retry_after_us)
    assert 100_000 <= waits[0] <= 200_000
    assert all(225_000 <= wait <= 450_000 for wait in waits[2:])
    assert len(set(waits)) > 1


# Outlier detection


def test_a_half_open_trial_that_ends_in_a_failed_probe_ejects_for_twice_as_long():
    components = Components(probing_allowed=True)
    components.fail(0, policy.Outcome.UNREACHABLE)
    endpoint = components.endpoint(0)
    first_us = endpoint.ejections[ALL_CLASSES].duration_us
    assert first_us == OBJECTIVE_US
    assert not components.outliers.accepts_attempts(endpoint, ALL)
    components.advance(first_us)
    assert components.due(TimerKind.TRIAL) == [endpoint]
    components.outliers.on_trial_due(endpoint)
    assert actions_of_type(components.context.actions, policy.Probe) == [policy.Probe("s0")]
    assert not components.outliers.accepts_attempts(endpoint, ALL)  # not before the probe has ended
    components.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.TIMED_OUT))
    second = endpoint.ejections[ALL_CLASSES]
    assert second.duration_us == 2 * first_us
    assert not second.half_open
    assert second.disconnect_reason is policy.EjectionReason.NO_CONNECTION


def test_a_successful_probe_admits_one_half_open_trial_and_its_response_readmits_the_endpoint():
    components = Components(probing_allowed=True)
    components.fail(0, policy.Outcome.UNREACHABLE)
    endpoint = components.endpoint(0)
    components.advance(OBJECTIVE_US)
    components.outliers.on_trial_due(endpoint)
    components.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.OK))
    assert components.outliers.accepts_attempts(endpoint, ALL)
    trial = components.send(components.query(name="trial").parts[0], 0)
    assert not components.outliers.accepts_attempts(endpoint, ALL)  # one trial at a time
    components.advance(50_000)
    components.end(trial, policy.Outcome.OK)
    components.outliers.record_response(trial)
    assert endpoint.ejections == {}
    assert actions_of_type(components.context.actions, policy.EndpointReadmitted) == [
        policy.EndpointReadmitted("s0")
    ]


def test_ejections_double_up_to_the_maximum():
    components = Components()
    endpoint = components.endpoint(0)
    durations = []
    for _ in range(6):
        components.fail(0, policy.Outcome.UNREACHABLE)
        durations.append(endpoint.ejections[ALL_CLASSES].duration_us)
        components.advance(durations[-1])
        components.outliers.on_trial_due(endpoint)
    maximum_us = outlier_detection.EJECTION_MAXIMUM_OBJECTIVES * OBJECTIVE_US
    assert durations == [OBJECTIVE_US, 2 * OBJECTIVE_US, 4 * OBJECTIVE_US, maximum_us, maximum_us, maximum_us]


def test_rejections_eject_up_to_the_maximum_fraction_and_a_lost_connection_beyond_it():
    components = Components(replica_groups=10, shards=10, endpoints=10)
    for index in range(10):
        for _ in range(2):
            components.fail(index, policy.Outcome.REJECTED)
    ejected = [endpoint.node for endpoint in components.table.all() if endpoint.ejections]
    assert ejected == ["s0", "s1", "s2", "s3"]
    components.fail(9, policy.Outcome.UNREACHABLE)
    assert ALL_CLASSES in components.endpoint(9).ejections


def test_consecutive_errors_of_one_class_eject_the_endpoint_for_that_class_alone():
    components = Components()
    for _ in range(2):
        components.fail(0, policy.Outcome.ERROR, KEYED)
    endpoint = components.endpoint(0)
    assert not components.outliers.accepts_attempts(endpoint, KEYED)
    assert components.outliers.accepts_attempts(endpoint, ALL)
    (event,) = actions_of_type(components.context.actions, policy.EndpointEjected)
    assert event == policy.EndpointEjected(
        "s0", KEYED, policy.EjectionReason.CONSECUTIVE_ERRORS, OBJECTIVE_US
    )


def test_missing_responses_eject_an_endpoint_only_while_others_respond():
    components = Components()
    query = components.query(shards=(0, 0, 1))
    unresponsive = [components.send(part, 0) for part in query.parts[:2]]
    other = components.send(query.parts[2], 1)
    components.advance(OBJECTIVE_US)
    components.outliers.eject_if_unresponsive(unresponsive[0])
    assert components.endpoint(0).ejections == {}
    components.end(other, policy.Outcome.OK)
    components.outliers.record_response(other)
    components.outliers.eject_if_unresponsive(unresponsive[0])
    (event,) = actions_of_type(components.context.actions, policy.EndpointEjected)
    assert (event.node, event.reason) == ("s0", policy.EjectionReason.NO_RESPONSE)


def test_a_query_of_death_gets_one_more_attempt_and_is_then_abandoned():
    query = Components().query(shards=(0, 1))
    assert judge_query_of_death(query) is QueryOfDeathVerdict.NOT_SUSPECTED
    query.broken_connections = 1
    assert judge_query_of_death(query) is QueryOfDeathVerdict.NOT_SUSPECTED  # one more attempt
    query.broken_connections = 2
    assert judge_query_of_death(query) is QueryOfDeathVerdict.ABANDON


def test_a_query_that_breaks_connections_in_its_second_step_is_not_suspected():
    """Its first step was answered, so its parts can be executed."""
    components = Components()
    query = components.query(TWO_STEPS, (0, 1))
    query.has_response = True
    query.step = 2
    query.broken_connections = 5
    assert judge_query_of_death(query) is QueryOfDeathVerdict.NOT_SUSPECTED
    components.fail(3, policy.Outcome.BROKEN)  # a crash is recent
    assert not components.outliers.sends_canary_first(query)
    assert components.outliers.sends_canary_first(components.query(name="fresh"))


# Slow start


def test_a_restart_without_a_start_in_the_endpoint_list_is_inferred_from_missing_responses():
    """A long time without responses together with a failed probe counts as a restart."""
    components = Components(probing_allowed=True)
    endpoint = components.endpoint(0)
    components.respond(0)
    components.fail(0, policy.Outcome.REJECTED)
    components.fail(0, policy.Outcome.REJECTED)
    assert components.slow_start.fraction(endpoint) == 1.0  # it rejects, but is reachable
    components.advance(2 * OBJECTIVE_US)
    components.outliers.on_trial_due(endpoint)
    components.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.TIMED_OUT))
    assert components.slow_start.fraction(endpoint) == 0.2  # it may be starting at this moment
    components.advance(2 * OBJECTIVE_US)
    trial = components.send(components.query(name="trial").parts[0], 0)
    components.advance(50_000)
    components.end(trial, policy.Outcome.OK)
    components.outliers.record_response(trial)
    assert endpoint.slow_start_from_us == components.context.now_us
    assert components.slow_start.fraction(endpoint) == pytest.approx(0.2)
    components.advance(5_000_000)
    assert components.slow_start.fraction(endpoint) == pytest.approx(0.6)
    components.advance(5_000_000)
    assert components.slow_start.fraction(endpoint) == 1.0


def test_a_short_time_without_responses_is_not_taken_for_a_restart():
    components = Components(probing_allowed=True)
    endpoint = components.endpoint(0)
    components.respond(0)
    components.advance(OBJECTIVE_US // 10)
    components.fail(0, policy.Outcome.REJECTED)
    components.fail(0, policy.Outcome.REJECTED)
    components.advance(OBJECTIVE_US)
    components.outliers.on_trial_due(endpoint)
    components.outliers.on_probe_ended(policy.ProbeEnded("s0", policy.Outcome.TIMED_OUT))
    trial = components.send(components.query(name="trial").parts[0], 0)
    components.advance(50_000)
    components.end(trial, policy.Outcome.OK)
    components.outliers.record_response(trial)
    assert endpoint.slow_start_from_us is None
    assert components.slow_start.fraction(endpoint) == 1.0


def test_in_slow_start_a_quota_alone_limits_attempts_and_each_attempt_spends_it():
    components = Components()
    endpoint = components.endpoint(0)
    endpoint.slow_start_from_us = components.context.now_us
    components.slow_start.set_quota({"s0": 2})
    assert [components.slow_start.has_capacity(endpoint), components.slow_start.record_send(endpoint)] == [
        True,
        True,
    ]
    assert [components.slow_start.has_capacity(endpoint), components.slow_start.record_send(endpoint)] == [
        True,
        True,
    ]
    assert not components.slow_start.has_capacity(endpoint)
    assert components.slow_start.has_capacity(components.endpoint(1))  # not in slow start
    assert not components.slow_start.record_send(components.endpoint(1))
    components.slow_start.set_quota({})
    assert not components.slow_start.has_capacity(endpoint)


def test_the_first_credit_of_slow_start_is_drawn_at_random():
    """Aggregators with a share of less than one attempt each must not all send one at the same time."""
    initial_credits = []
    for seed in range(300):
        components = Components(seed)
        endpoint = components.endpoint(0)
        endpoint.slow_start_from_us = components.context.now_us
        assert not components.slow_start.has_capacity(endpoint)
        initial_credits.append(endpoint.slow_start_credit)
    assert all(0 <= credit < 1 for credit in initial_credits)
    assert 0.4 < sum(initial_credits) / len(initial_credits) < 0.6


# Retry budget and rules


def test_a_quota_allows_retries_where_the_local_retry_budget_is_empty():
    components = Components()
    components.budget.bucket.tokens = 0.0
    assert not components.budget.has_budget()
    assert components.budget.has_budget(is_free=True)
    assert not components.budget.has_local_budget()
    components.budget.set_quota(1)
    assert components.budget.has_budget()
    assert components.budget.has_local_budget()
    components.budget.spend_quota()
    assert not components.budget.has_local_budget()
    assert not components.budget.has_quota()
    assert actions_of_type(components.context.actions, policy.QuotaExhausted) == [policy.QuotaExhausted()]


def test_the_attempt_budget_of_the_settings_holds_whatever_the_quota():
    components = Components(free_additional_attempts=2, attempt_budget_window_us=OBJECTIVE_US)
    components.budget.set_quota(100)
    for _ in range(2):
        assert components.budget.has_budget()
        components.budget.record_additional_attempt(policy.Outcome.ERROR)
    assert not components.budget.has_budget()
    components.advance(OBJECTIVE_US + 1)
    assert components.budget.has_budget()


def test_a_retry_of_an_attempt_that_never_ran_costs_no_token():
    components = Components()
    for outcome in (policy.Outcome.CONNECTION_LOST, policy.Outcome.UNREACHABLE, policy.Outcome.NEVER_SENT):
        components.budget.record_additional_attempt(outcome)
    assert components.budget.bucket.tokens == TOKEN_CAPACITY
    components.budget.record_additional_attempt(policy.Outcome.ERROR)
    assert components.budget.bucket.tokens == TOKEN_CAPACITY - 1


@pytest.mark.parametrize(
    ("query_class", "outcome", "send_by_us"),
    [
        (ALL, policy.Outcome.ERROR, 2 * OBJECTIVE_US),
        (KEYED, policy.Outcome.ERROR, 700_000),
        (KEYED, policy.Outcome.REJECTED, 2 * OBJECTIVE_US),
        (NON_IDEMPOTENT, policy.Outcome.REJECTED, 2 * OBJECTIVE_US),
    ],
)
def test_a_part_that_may_have_run_is_sent_again_as_the_idempotency_of_its_class_allows(
    query_class, outcome, send_by_us
):
    components = Components()
    part = components.query(query_class).parts[0]
    components.end(components.send(part, 0), outcome)
    assert components.rules.send_by_us(part) == START_US + send_by_us
    assert components.rules.may_send_again(part)
    components.advance(send_by_us + 1)
    assert not components.rules.may_send_again(part)


def test_a_non_idempotent_part_is_never_sent_again_once_it_may_have_run():
    components = Components()
    part = components.query(NON_IDEMPOTENT).parts[0]
    components.end(components.send(part, 0), policy.Outcome.ERROR)
    assert not components.rules.may_send_again(part)
    components.budget.bucket.tokens = 0.0
    assert not components.rules.wait_for_budget(part)


# Replica selection


def test_a_part_is_sent_to_the_replica_with_the_fewest_calls_in_flight():
    components = Components()
    query = components.query(shards=(0, 0, 0, 0))
    chosen = []
    for part in query.parts[:3]:
        endpoint = components.selector.select(part)
        chosen.append(endpoint.node)
        components.attempts.begin(part, endpoint)
    assert sorted(chosen) == ["s0", "s1", "s2"]  # the replica groups of shard 0


def test_excluded_deprioritized_and_ejected_replicas_are_selected_where_no_other_is_left():
    components = Components()
    part = components.query().parts[0]
    for _ in range(2):
        components.fail(0, policy.Outcome.ERROR)
    components.endpoint(1).restrict(ALL_CLASSES, frozenset({"s1"}), frozenset())
    assert components.selector.select(part).node == "s2"
    components.endpoint(2).restrict(ALL, frozenset(), frozenset({"s2"}))
    assert components.selector.select(part).node == "s1"
    components.endpoint(1).live = False
    assert components.selector.select(part).node == "s0"
    components.endpoint(0).live = False
    assert components.selector.select(part) is None


# Completion


def test_shutdown_during_a_hedge_answers_by_the_new_deadline_and_counts_each_part_once():
    components = Components()
    query = components.query(PARTIAL, (0, 3))
    hedged, late = query.parts
    first = components.send(hedged, 0)
    second = components.send(hedged, 1)
    components.send(late, 3)
    shutdown_at_us = components.context.now_us + 300_000
    components.completion.on_shutdown_started(shutdown_at_us)
    assert query.deadline_us == query.objective_at_us == shutdown_at_us
    for attempt in (first, second):
        components.end(attempt, policy.Outcome.OK)
        components.completion.record_part(attempt.part)
    assert query.received_weight == 0.5
    assert actions_of_type(components.context.actions, policy.Answer) == []
    components.advance(300_000 - components.context.settings.tick_us)
    assert query in components.due(TimerKind.DEADLINE)
    components.completion.on_timer(query, TimerKind.DEADLINE)
    assert actions_of_type(components.context.actions, policy.Answer) == [policy.Answer("q", complete=False)]
    assert query not in components.queries


def test_a_first_step_that_is_cut_is_answered_as_partial_and_begins_the_second():
    components = Components()
    query = components.query(TWO_STEPS_PARTIAL, (0, 1))
    components.end(components.send(query.parts[0], 0), policy.Outcome.OK)
    assert components.completion.record_part(query.parts[0])
    assert actions_of_type(components.context.actions, policy.Answer) == []
    components.completion.on_timer(query, TimerKind.FIRST_STEP_CUTOFF)
    assert actions_of_type(components.context.actions, policy.Answer) == [policy.Answer("q", complete=False)]
    assert (query.step, query.received_weight) == (2, 0.0)
    assert not components.completion.is_awaited(query.parts[1])
    assert components.completion.required_weight(query) == 1.0


@pytest.mark.parametrize(
    ("query_class", "outcome", "action"),
    [
        (ALL, policy.Outcome.ERROR, policy.Reject),
        (NON_IDEMPOTENT, policy.Outcome.REJECTED, policy.Reject),
        (NON_IDEMPOTENT, policy.Outcome.ERROR, policy.Fail),
    ],
)
def test_an_unanswerable_query_is_rejected_where_a_retry_is_safe_and_fails_otherwise(
    query_class, outcome, action
):
    components = Components(retry_advice_allowed=True, max_retry_after_us=400_000)
    query = components.query(query_class)
    components.end(components.send(query.parts[0], 0), outcome)
    components.completion.abandon_if_unanswerable(query)
    (ended,) = actions_of_type(components.context.actions, action)
    assert ended.reason is policy.EndReason.TOO_FEW_PARTS
    if action is policy.Reject:
        assert 200_000 <= ended.retry_after_us <= 400_000
    assert query not in components.queries
