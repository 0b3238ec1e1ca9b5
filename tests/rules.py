"""Checks of the rules that one aggregator must keep, on its events and actions alone."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from heathwell import Settings, policy


class AttemptRecord(NamedTuple):
    """One attempt of a part; the outcome is None while the attempt is in flight."""

    sent_at_us: int
    outcome: str | None = None


class RuleChecker:
    """Asserts the rules batch by batch; it does not model endpoints.

    The rules: one final reply to each query by its deadline; no attempts at draining endpoints after the
    grace period; limits on attempts and hedges; idempotency; the attempt budget; minimum and complete weight
    of answers. A final reply may be up to `slack_us` after the deadline, as the clock advances in ticks.
    """

    def __init__(self, config: Settings, slack_us: int = 20_000) -> None:
        self.config = config
        self.slack_us = slack_us
        self.now_us = 0
        self.open: dict[str, policy.QueryArrived] = {}
        self.ended: set[str] = set()
        self.query_by_job: dict[int, policy.QueryArrived] = {}
        self.parts: dict[str, policy.PartArrived] = {}
        self.answered_parts: set[str] = set()
        self.current_step: dict[str, int] = {}
        self.step_of_part: dict[str, int] = {}
        self.first_step_complete: dict[str, bool] = {}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        self.admitted_at_us: list[int] = []
        self.additional_attempts_at_us: list[int] = []
        self.draining_since_us: dict[str, int] = {}

    def on_batch(self, now_us: int, events: list[policy.Event], actions: list[policy.Action]) -> None:
        """Check the actions that one batch of events caused."""
        self.now_us = now_us
        for event in events:
            self.on_event(event)
        for action in actions:
            self.on_action(action)
        for query in self.open.values():
            assert now_us <= query.deadline_us + self.slack_us, "no final reply by the deadline"

    def on_event(self, event: policy.Event) -> None:
        """Update the state that the rules refer to."""
        match event:
            case policy.QueryArrived():
                self.open[event.id] = self.query_by_job[event.job] = event
                self.current_step[event.id] = 1
                self.admitted_at_us.append(self.now_us)
            case policy.PartArrived():
                self.parts[event.id] = event
                self.step_of_part[event.id] = self.current_step[self.query_by_job[event.job].id]
                self.admitted_at_us.append(self.now_us)
            case policy.AttemptEnded():
                self.record_outcome(event.id, event.seq, event.outcome)
                if event.outcome == policy.Outcome.OK:
                    self.answered_parts.add(event.id)
            case policy.EndpointUpdate():
                self.on_endpoint_update(event)

    def on_endpoint_update(self, update: policy.EndpointUpdate) -> None:
        """Record since when each endpoint of an update is draining or gone."""
        if update.kind == policy.UpdateKind.FAILED:
            return
        listed = {endpoint.node: endpoint.state for endpoint in update.endpoints}
        for node in list(self.draining_since_us):
            if listed.get(node) == policy.EndpointState.LIVE:
                del self.draining_since_us[node]
        for node, state in listed.items():
            if state in (policy.EndpointState.DRAINING, policy.EndpointState.GONE):
                self.draining_since_us.setdefault(node, self.now_us)

    def record_outcome(self, part_id: str, seq: int, outcome: str) -> None:
        """Set the outcome of one attempt."""
        attempts = self.attempts[part_id]
        attempts[seq] = attempts[seq]._replace(outcome=outcome)

    def on_action(self, action: policy.Action) -> None:
        """Check one action."""
        match action:
            case policy.Send():
                self.on_send(action)
            case policy.Answer():
                assert action.id in self.open, "second final reply"
                self.on_answer(action)
            case policy.Reject() | policy.Fail():
                assert action.id in self.open, "second final reply"
                if isinstance(action, policy.Reject):
                    self.check_safe_to_retry(self.open[action.id])
                self.close(action.id)
            case policy.Cancel():
                assert self.config.cancellation_allowed, "cancellation is not allowed"
                assert len(self.attempts[action.id]) > action.seq, "cancellation of an unknown attempt"
                if self.attempts[action.id][action.seq].outcome is None:
                    self.record_outcome(action.id, action.seq, policy.Outcome.CANCELLED)
            case policy.Probe():
                assert self.config.probing_allowed, "probing is not allowed"

    def check_safe_to_retry(self, query: policy.QueryArrived) -> None:
        """Check that no part of a rejected non-idempotent query may have run, as its client may retry it."""
        query_class = self.config.classes[query.query_class]
        if query_class.idempotency != policy.Idempotency.NON_IDEMPOTENT:
            return
        for part, event in self.parts.items():
            if event.job == query.job:
                assert all(attempt.outcome in policy.NOT_EXECUTED for attempt in self.attempts[part]), (
                    "rejected although a non-idempotent part may have run"
                )

    def on_send(self, action: policy.Send) -> None:
        """Check an attempt against the state of its part, its query and its endpoint."""
        event = self.parts[action.id]
        query = self.query_by_job[event.job]
        assert query.id in self.open, "attempt for a query that has its final reply"
        assert action.id not in self.answered_parts, "attempt for a part that has a response"
        if action.node in self.draining_since_us:
            assert self.now_us <= self.draining_since_us[action.node] + self.config.drain_grace_us, (
                "attempt at a draining endpoint after the grace period"
            )
        earlier = self.attempts[action.id]
        assert len(earlier) < self.config.max_attempts, "more attempts than max_attempts"
        if any(attempt.outcome is None for attempt in earlier):
            assert self.config.hedging_allowed, "second attempt in flight without hedging allowed"
        self.check_idempotency(self.config.classes[query.query_class], earlier)
        if earlier and self.config.attempt_budget_window_us:
            self.check_attempt_budget()
        earlier.append(AttemptRecord(self.now_us))

    def check_idempotency(self, query_class: policy.QueryClass, earlier: list[AttemptRecord]) -> None:
        """Check that a part whose earlier attempts may have run may be sent again."""
        executed_at_us = [
            attempt.sent_at_us for attempt in earlier if attempt.outcome not in policy.NOT_EXECUTED
        ]
        if query_class.idempotency == policy.Idempotency.NON_IDEMPOTENT:
            assert not executed_at_us, "non-idempotent part that may have run was sent again"
        if query_class.idempotency == policy.Idempotency.KEYED and executed_at_us:
            assert self.now_us <= min(executed_at_us) + query_class.idempotency_window_us, (
                "keyed part sent again after its idempotency window"
            )

    def check_attempt_budget(self) -> None:
        """Count an additional attempt and check the attempt budget of the settings over its window."""
        self.additional_attempts_at_us.append(self.now_us)
        window_start_us = self.now_us - self.config.attempt_budget_window_us
        additional = sum(at_us >= window_start_us for at_us in self.additional_attempts_at_us)
        admitted = sum(at_us > window_start_us for at_us in self.admitted_at_us)
        assert (
            additional
            <= self.config.free_additional_attempts + self.config.additional_attempt_ratio * admitted + 1e-9
        ), "more additional attempts than the attempt budget"

    def on_answer(self, action: policy.Answer) -> None:
        """Check the received weight of an answer; begin the second step or close the query."""
        query = self.open[action.id]
        query_class = self.config.classes[query.query_class]
        step = self.current_step[action.id]
        received = sum(
            part.weight
            for part in self.parts.values()
            if part.job == query.job and part.id in self.answered_parts and self.step_of_part[part.id] == step
        )
        allows_partial = query_class.minimum_fraction < query_class.required_fraction
        minimum = query_class.minimum_fraction if step == 1 or allows_partial else 1.0
        assert received >= minimum - 1e-4, "answer below the minimum weight"
        if action.complete:
            required = query_class.required_fraction if step == 1 else 1.0
            assert received >= required - 1e-4, "answer marked complete without the required weight"
            assert step == 1 or self.first_step_complete[action.id], (
                "answer marked complete after an incomplete first step"
            )
        if step == 1 and query_class.second_step_parts:
            self.current_step[action.id] = 2
            self.first_step_complete[action.id] = action.complete
        else:
            self.close(action.id)

    def close(self, query_id: str) -> None:
        """Record the final reply of a query."""
        self.open.pop(query_id)
        self.ended.add(query_id)
