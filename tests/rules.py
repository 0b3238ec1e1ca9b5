"""Checks of the rules on events and actions alone; no model of servers."""

from __future__ import annotations

from collections import defaultdict

from heathwell import Settings, policy


class Rules:
    """Watches batches of one aggregator and asserts the rules it can keep alone."""

    def __init__(self, config: Settings, slack: int = 20_000) -> None:
        self.config, self.slack, self.now = config, slack, 0
        self.open: dict[str, policy.QueryArrived] = {}
        self.jobs: dict[int, policy.QueryArrived] = {}
        self.parts: dict[str, policy.PartArrived] = {}
        self.step: dict[str, int] = {}
        self.step_of: dict[str, int] = {}
        self.tries: dict[str, list[list]] = defaultdict(list)
        self.good: set[str] = set()
        self.first_whole: dict[str, bool] = {}
        self.taken: list[int] = []
        self.further: list[int] = []
        self.bad_since: dict[str, int] = {}
        self.ended: set[str] = set()

    def batch(self, now: int, events: list[policy.Event], actions: list[policy.Action]) -> None:
        self.now = now
        for event in events:
            self.heard(event)
        for action in actions:
            self.did(action)
        for query in self.open.values():
            assert now <= query.deadline_us + self.slack, "lost query"

    def heard(self, event: policy.Event) -> None:
        match event:
            case policy.QueryArrived():
                self.open[event.id] = self.jobs[event.job] = event
                self.step[event.id] = 1
                self.taken.append(self.now)
            case policy.PartArrived():
                self.parts[event.id] = event
                self.step_of[event.id] = self.step[self.jobs[event.job].id]
                self.taken.append(self.now)
            case policy.AttemptEnded():
                entry = self.tries[event.id][event.seq]
                entry[1] = event.outcome
                if event.outcome == policy.Outcome.OK:
                    self.good.add(event.id)
            case policy.EndpointUpdate(kind=kind, endpoints=servers) if kind != policy.UpdateKind.FAILED:
                listed = {s.node: s.state for s in servers}
                for node in list(self.bad_since):
                    if listed.get(node) == policy.EndpointState.LIVE:
                        del self.bad_since[node]
                for node, state in listed.items():
                    if state in (policy.EndpointState.DRAINING, policy.EndpointState.GONE):
                        self.bad_since.setdefault(node, self.now)

    def did(self, action: policy.Action) -> None:
        match action:
            case policy.Send():
                self.sent(action)
            case policy.Answer():
                assert action.id in self.open, "second final answer"
                self.answered(action)
            case policy.Reject() | policy.Fail():
                assert action.id in self.open, "second final answer"
                query = self.open[action.id]
                spec = self.config.classes[query.query_class]
                if (
                    isinstance(action, policy.Reject)
                    and spec.idempotency == policy.Idempotency.NON_IDEMPOTENT
                ):
                    for part, event in self.parts.items():
                        if event.job == query.job:
                            assert all(t[1] in policy.NOT_EXECUTED for t in self.tries[part]), "may have run"
                self.close(action.id)
            case policy.Cancel():
                assert self.config.cancellation_allowed
                assert len(self.tries[action.id]) > action.seq
                if self.tries[action.id][action.seq][1] is None:
                    self.tries[action.id][action.seq][1] = policy.Outcome.CANCELLED
            case policy.Probe():
                assert self.config.probing_allowed

    def sent(self, action: policy.Send) -> None:
        event = self.parts[action.id]
        query = self.jobs[event.job]
        spec = self.config.classes[query.query_class]
        assert query.id in self.open, "send for a finished query"
        assert action.id not in self.good, "send for a finished part"
        if action.node in self.bad_since:
            assert self.now <= self.bad_since[action.node] + self.config.drain_grace_us, "drain"
        before = self.tries[action.id]
        assert len(before) < self.config.max_attempts
        if any(t[1] is None for t in before):
            assert self.config.hedging_allowed, "two at once"
        risky = [t[0] for t in before if t[1] not in policy.NOT_EXECUTED]
        if spec.idempotency == policy.Idempotency.NON_IDEMPOTENT:
            assert not risky, "unsafe part sent twice"
        if spec.idempotency == policy.Idempotency.KEYED and risky:
            assert self.now <= min(risky) + spec.idempotency_window_us, "outside the window"
        if before and self.config.attempt_budget_window_us:
            self.further.append(self.now)
            edge = self.now - self.config.attempt_budget_window_us
            made = sum(t >= edge for t in self.further)
            took = sum(t > edge for t in self.taken)
            assert (
                made
                <= self.config.free_additional_attempts + self.config.additional_attempt_ratio * took + 1e-9
            ), "budget"
        before.append([self.now, None])

    def answered(self, action: policy.Answer) -> None:
        query = self.open[action.id]
        spec = self.config.classes[query.query_class]
        step = self.step[action.id]
        got = sum(
            e.weight
            for e in self.parts.values()
            if e.job == query.job and e.id in self.good and self.step_of[e.id] == step
        )
        floor = spec.minimum_fraction if step == 1 or spec.minimum_fraction < spec.required_fraction else 1.0
        assert got >= floor - 1e-4, "under floor"
        if action.complete:
            need = spec.required_fraction if step == 1 else 1.0
            assert got >= need - 1e-4, "not whole"
            assert step == 1 or self.first_whole[action.id]
        if step == 1 and spec.second_step_parts:
            self.step[action.id] = 2
            self.first_whole[action.id] = action.complete
        else:
            self.close(action.id)

    def close(self, query: str) -> None:
        self.open.pop(query)
        self.ended.add(query)
