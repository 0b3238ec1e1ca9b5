"""Checks of the rules on events and actions alone; no model of servers."""

from __future__ import annotations

from collections import defaultdict

from heathwell import Settings
from heathwell import interface as hw


class Rules:
    """Watches batches of one aggregator and asserts the rules it can keep alone."""

    def __init__(self, config: Settings, slack: int = 20_000) -> None:
        self.config, self.slack, self.now = config, slack, 0
        self.open: dict[str, hw.QueryArrived] = {}
        self.jobs: dict[int, hw.QueryArrived] = {}
        self.parts: dict[str, hw.PartArrived] = {}
        self.step: dict[str, int] = {}
        self.step_of: dict[str, int] = {}
        self.tries: dict[str, list[list]] = defaultdict(list)
        self.good: set[str] = set()
        self.first_whole: dict[str, bool] = {}
        self.taken: list[int] = []
        self.further: list[int] = []
        self.bad_since: dict[str, int] = {}
        self.ended: set[str] = set()

    def batch(self, now: int, events: list[hw.Event], actions: list[hw.Action]) -> None:
        self.now = now
        for event in events:
            self.heard(event)
        for action in actions:
            self.did(action)
        for query in self.open.values():
            assert now <= query.deadline_us + self.slack, "lost query"

    def heard(self, event: hw.Event) -> None:
        match event:
            case hw.QueryArrived():
                self.open[event.id] = self.jobs[event.job] = event
                self.step[event.id] = 1
                self.taken.append(self.now)
            case hw.PartArrived():
                self.parts[event.id] = event
                self.step_of[event.id] = self.step[self.jobs[event.job].id]
                self.taken.append(self.now)
            case hw.AttemptEnded():
                entry = self.tries[event.id][event.seq]
                entry[1] = event.outcome
                if event.outcome == hw.OK:
                    self.good.add(event.id)
            case hw.FleetNews(kind=kind, servers=servers) if kind != hw.FAILED:
                listed = {s.node: s.state for s in servers}
                for node in list(self.bad_since):
                    if listed.get(node) == hw.LIVE:
                        del self.bad_since[node]
                for node, state in listed.items():
                    if state in (hw.DRAINING, hw.GONE):
                        self.bad_since.setdefault(node, self.now)

    def did(self, action: hw.Action) -> None:
        match action:
            case hw.Send():
                self.sent(action)
            case hw.Answer():
                assert action.id in self.open, "second final answer"
                self.answered(action)
            case hw.Refuse() | hw.Fail():
                assert action.id in self.open, "second final answer"
                query = self.open[action.id]
                spec = self.config.classes[query.klass]
                if isinstance(action, hw.Refuse) and spec.repeat == hw.UNSAFE:
                    for part, event in self.parts.items():
                        if event.job == query.job:
                            assert all(t[1] in hw.NEVER_RAN for t in self.tries[part]), "may have run"
                self.close(action.id)
            case hw.Cancel():
                assert self.config.cancelling
                assert len(self.tries[action.id]) > action.seq
                if self.tries[action.id][action.seq][1] is None:
                    self.tries[action.id][action.seq][1] = hw.CANCELLED
            case hw.Probe():
                assert self.config.probing

    def sent(self, action: hw.Send) -> None:
        event = self.parts[action.id]
        query = self.jobs[event.job]
        spec = self.config.classes[query.klass]
        assert query.id in self.open, "send for a finished query"
        assert action.id not in self.good, "send for a finished part"
        if action.node in self.bad_since:
            assert self.now <= self.bad_since[action.node] + self.config.drain_grace_us, "drain"
        before = self.tries[action.id]
        assert len(before) < self.config.max_attempts
        if any(t[1] is None for t in before):
            assert self.config.second_copies, "two at once"
        risky = [t[0] for t in before if t[1] not in hw.NEVER_RAN]
        if spec.repeat == hw.UNSAFE:
            assert not risky, "unsafe part sent twice"
        if spec.repeat == hw.KEYED and risky:
            assert self.now <= min(risky) + spec.dedup_us, "outside the window"
        if before and self.config.counted_over_us:
            self.further.append(self.now)
            edge = self.now - self.config.counted_over_us
            made = sum(t >= edge for t in self.further)
            took = sum(t > edge for t in self.taken)
            assert made <= self.config.free_resends + self.config.further_ratio * took + 1e-9, "budget"
        before.append([self.now, None])

    def answered(self, action: hw.Answer) -> None:
        query = self.open[action.id]
        spec = self.config.classes[query.klass]
        step = self.step[action.id]
        got = sum(
            e.weight
            for e in self.parts.values()
            if e.job == query.job and e.id in self.good and self.step_of[e.id] == step
        )
        floor = spec.min_share if step == 1 or spec.min_share < spec.need else 1.0
        assert got >= floor - 1e-4, "under floor"
        if action.whole:
            need = spec.need if step == 1 else 1.0
            assert got >= need - 1e-4, "not whole"
            assert step == 1 or self.first_whole[action.id]
        if step == 1 and spec.fetch:
            self.step[action.id] = 2
            self.first_whole[action.id] = action.whole
        else:
            self.close(action.id)

    def close(self, query: str) -> None:
        self.open.pop(query)
        self.ended.add(query)
