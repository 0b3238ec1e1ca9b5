"""Every decision of heathwell; the types beside this file decide nothing.

The ordinary path is Batch Sampling on own counts (Li, Ramamoorthy, Srikant): of a shard's holders
the one with the fewest of this aggregator's own parts out serves the part, the parts are ranked by
that count, only the needed n are sent, a late one gets an unsent part beside it, and the query is
answered once n are in. Each departure below says when it acts; docs/design.md lists them all.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Iterator
from math import exp, log

from heathwell.datastructures import (
    DecayingSum,
    GroupRank,
    RateLimitedTopics,
    RecentRank,
    RunningMean,
    SlidingWindowCounter,
    SlidingWindowSamples,
    TimerQueue,
    TokenBucket,
    drain_by_rank,
)
from heathwell.policy import actions, events
from heathwell.policy.events import EndpointState, Outcome, UpdateKind
from heathwell.policy.records import Attempt, Bar, Due, Part, Query, Server
from heathwell.policy.settings import Idempotency, Settings

LATE_SHARE = 0.5  # the design's mark: a part is late after half the aim that was left at its send
EVERY = -1  # key of an ejection that holds for all classes, beside those of one class
PACE_GAIN = 0.15  # weight of one answer in a server's latency average: about seven answers
PACE_MOST = 0.8  # weight of an answer after a long pause, when no earlier one says much any more
HINT_TRUST = 0.2  # of a hint's distance from the mean hint: hints are rough
RATE_GAIN = 0.02  # weight of one answer in the fleet's average: slow, as it is the yardstick
PACE_FADE = 4.0  # aims until an unused server's average is mostly forgotten, so it is tried again
OUTLIER = 2.5  # a server this many times slower than usual is charged one part for each multiple
CHARGE_FADE = 1.0  # aims over which the charge of a cancelled or failed attempt fades by 1/e
SILENT_TIMES = 4.0  # usual latencies without any answer before a late part speaks against its server
SILENT_PARTS = 2  # parts that must be stuck: a single one may have met a pause or be heavy itself
BAR_SHARE = 0.4  # most of the fleet ejected for silence at once: more is overload, not sick servers
COLD_SILENCE = 3.0  # aims of silence after which a server is taken to have restarted unlisted
FURTHER_SHARE = 0.1  # further attempts earned by each part's first: room for the odd sick server
FURTHER_MOST = 10.0  # earned attempts kept: enough for one server's parts when it stops
FLOW_SPAN = 2.0  # aims over which the rate of answers is averaged
FLOW_LEAST = 0.5  # share of the best rate seen below which a stall is not believed: it would shed all
SHED_FROM, SHED_ALL = 0.38, 0.75  # shares of the aim left: a part's time at which the least, and all, is shed
ZONE_TIE = 0.3  # of the usual latency: how much slower an equal holder in our zone may be than one outside
NO_CONNECTION, NO_PROBE = "no connection", "no answer to a probe"
SECOND_STEP = 2.0  # usual latencies that a second step takes: the slowest of a few parts, not an average one
CUT_TRY = 0.95  # share of its class's usual try under which a try is taken to be a cut retry
TRIES = 64  # latest tries of a class, and parts of its limit, by which the usual one is told
ANEW_PARTS = 12  # parts up to which all are ranked anew before each pick: keeping groups saves little there
COUNTS_TELL = 2.0  # parts answered a server and aim, under which own counts are nearly always 0
SLOWEST = 0.7  # rank among recent latencies at most: the rest may be sick servers, not overload
FEW_PARTS = 10.0  # parts of a query up to which that rank tells enough
RECENT_SPAN = 1.5  # aims over which parts sent are recent: a jam that has cleared must not shed for long
RECENT_LEAST = 10  # quick answers supposed beside those seen: few latencies prove no overload, none clear it
HOT_COUNT = 2  # own parts out at a shard's best holder from which its latency is believed
WORTHS = 100  # latest queries by which a query's worth per work is ranked
ERRORS_TO_BAR = 2  # errors in a row in one class, or parts turned away: one is chance, two are a symptom
DEATHS = 2  # broken connections without an answer from which a query is given up: one is a chance crash
WARY = 5.0  # aims after a lost connection in which one part of a query goes first
LOST_COST = 4.0  # usual latencies that a part lost with its connection counts for in its server's pace
VISITS = 3.0  # times between two of our parts at one server, if over an aim, that what it did is known for
BAR_SPAN = 1.0  # aims of the first ejection; doubled while trials fail
BAR_MOST = 8.0  # aims: the longest ejection, so that a recovered server is back soon
COLD_SHARE = 0.6  # part of the cold budget used: the rest is for what this aggregator misjudges
COLD_BURST = 0.4  # of a window's budget: the most that may be saved up and sent at once
ASK_FIRST, ASK_MOST = 0.1, 0.45  # shares of the must-ask time (pushed: the grace): waits to ask again
RECHECK = 0.1  # aims before a late part on a server that answers in turn is looked at again
KEPT = 20  # aims that a server is known after it left the list, where it would be warm before
LOG_EVERY = 10  # aims between two lines of one topic for the operators
TOPICS = 64  # topics of lines for the operators from which old ones are forgotten
# Ends after which a further attempt is not of our own budget.
FREE = (Outcome.CONNECTION_LOST, Outcome.UNREACHABLE, Outcome.NEVER_SENT)
RETRY_WAIT = 0.05  # aims before a part without a usable holder is tried again


class Aggregator:
    """Decides for one aggregator; `handle` is the only door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.revisit_interval_us = 0.0
        self.now = self.last_call = 0
        self.started_at_us: int | None = None
        self.actions: list[actions.Action] = []
        self.endpoints: dict[str, Server] = {}
        self.endpoints_by_group: dict[int, list[Server]] = {}
        self.queries: dict[str, Query] = {}
        self.jobs: dict[int, Query] = {}
        self.attempts_in_flight: dict[tuple[str, int], Attempt] = {}
        self.timers: TimerQueue[Due] = TimerQueue()
        self.armed_at_us: int | None = None
        self.shortest_objective_us = min(c.latency_objective_us for c in settings.classes)
        self.tenant_rates = [DecayingSum() for _ in settings.tenants]
        self.wary_until_us = 0.0
        self.mean_latency_us = [RunningMean() for _ in settings.classes]
        self.mean_work_hint_us = [RunningMean() for _ in settings.classes]
        self.recent_timeouts: list[deque[int]] = [deque(maxlen=TRIES) for _ in settings.classes]
        self.last_answer_at_us = -1
        self.admitted = SlidingWindowCounter(settings.attempt_budget_window_us, includes_edge=False)
        self.additional = SlidingWindowCounter(settings.attempt_budget_window_us, includes_edge=True)
        self.completions = DecayingSum()
        self.best_completion_rate = self.best_rate_rating = 0.0
        self.recent_priority_densities = RecentRank(WORTHS)
        self.recent_latencies = SlidingWindowSamples(RECENT_SPAN * self.shortest_objective_us)
        self.retry_budget = TokenBucket(FURTHER_MOST)
        # Pushed changes count as told at once: what a broken watch costs comes off the grace.
        within = settings.poll_within_us if settings.poll_mode else settings.drain_grace_us
        asks = (max(int(within * share), settings.tick_us) for share in (ASK_FIRST, ASK_MOST))
        self.poll_backoff_first_us, self.poll_backoff_most_us = asks
        self.poll_backoff_us = self.poll_backoff_first_us
        self.polled_at_us: int | None = None
        self.log_topics = RateLimitedTopics(LOG_EVERY * self.shortest_objective_us, TOPICS)
        self.additional_quota: int | None = None
        self.slow_start_quota: dict[str, int] | None = None

    def handle(self, now: int, batch: list[events.Event]) -> list[actions.Action]:
        """Take one batch of events and return the actions, both in order."""
        self.now, self.actions = now, []
        if self.started_at_us is None:
            self.started_at_us = now
        started: dict[str, Query] = {}
        for event in batch:
            match event:
                case events.AttemptEnded():
                    self._ended(event)
                case events.PartArrived():
                    if query := self._part(event):
                        started[query.id] = query
                case events.QueryArrived():
                    self._query(event)
                case events.EndpointUpdate():
                    self._fleet(event)
                case events.ProbeEnded():
                    self._probed(event)
                case events.ClientDisconnected():
                    self._left(event)
                case events.ShutdownStarted():
                    self._curtail(event.ends_at_us)
                case events.HolderRestrictions():
                    self._held(event)
                case events.QuotaUpdate():
                    self.additional_quota = event.additional_attempts
                    self.slow_start_quota = event.slow_start_parts and dict(event.slow_start_parts)
                case events.AttemptSuperseded():
                    if attempt := self.attempts_in_flight.get((event.id, event.seq)):
                        self._part_in(attempt.part)
                case events.TimerFired():
                    self.armed_at_us = None
        for query in started.values():
            if query.id in self.queries:
                self._open(query)
        while due := self.timers.pop_due(now):
            self._wake(due.kind, due.subject)
        next_at = self.timers.next_at_us
        if next_at is not None and (self.armed_at_us is None or next_at < self.armed_at_us):
            self.armed_at_us = max(next_at, now + 1)
            self.actions.append(actions.SetTimer(self.armed_at_us, "due"))
        return self.actions

    def _held(self, event: events.HolderRestrictions) -> None:
        """Parts whose every live holder is shut now are not waited for: their queries are answered from the
        rest where that makes an answer, else given up at once."""
        restricted = EVERY if event.query_class is None else event.query_class
        for server in self.endpoints.values():
            server.restrict(restricted, event.deprioritized, event.excluded)
        for query in list(self.queries.values()) if event.excluded else ():
            told = {EVERY, query.query_class}
            lost = [part for part in query.pending_parts() if self._shut_off(part, told)]
            for part in lost:
                query.exclude(part)
            if lost:
                self._doomed(query)
            if lost and query.id in self.queries and query.received_weight > 0:
                self._settle(query)

    def _shut_off(self, part: Part, told: set[int]) -> bool:
        """Whether a part has live holders and all of them are shut."""
        live = [server for server in self._holders(part) if server.live]
        return bool(live) and all(server.excluded_for & told for server in live)

    def _later(self, at: int, what: str, subject: object) -> None:
        self.timers.schedule(at, Due(what, subject))

    def _wake(self, what: str, subject: object) -> None:
        match subject:
            case Query() if subject.id in self.queries:
                self._overdue(subject, what)
            case Part() if subject.query.id in self.queries:
                subject.waiting = False
                if not (subject.done or self._place(subject) or subject.waiting or self._saves(subject)):
                    self._doomed(subject.query)
            case Attempt() if subject.outcome is None and what == "silent":
                self._silent(subject)
            case Attempt() if subject.outcome is None:
                self._late(subject)
            case Server():
                self._half_open(subject)
            case None:
                unanswered_at_us = (self.polled_at_us or self.now) + self.poll_backoff_most_us
                if what == "ask" or self.now >= unanswered_at_us:
                    self._ask()

    def _log(self, about: str, text: str) -> None:
        """One line for the operators, at most one a topic in ten aims."""
        if self.log_topics.admit(about, self.now):
            self.actions.append(actions.Log(text))

    # Fleet view

    def _fleet(self, news: events.EndpointUpdate) -> None:
        if news.kind == UpdateKind.FAILED:
            # Guards the drain rule: without news we must keep asking; jitter keeps the callers apart.
            self.polled_at_us = None
            self.poll_backoff_us = min(self.poll_backoff_us * 2, self.poll_backoff_most_us)
            self._later(self.now + int(self.poll_backoff_us * self.random.uniform(0.5, 1.0)), "ask", None)
            self._log("discovery", "discovery: call failed or subscription broke, asking again")
            return
        if news.kind == UpdateKind.FULL:
            listed = {entry.node for entry in news.endpoints}
            for server in self.endpoints.values():
                if server.node not in listed:
                    server.live, server.gone_at_us = False, server.gone_at_us or self.now
        for entry in news.endpoints:
            self._listed(entry)
        # Who left is known until it would be warm again and its parts have ended: then nothing hangs on it.
        kept_after = self.now - max(self.settings.slow_start_duration_us, KEPT * self.shortest_objective_us)
        for server in [s for s in self.endpoints.values() if s.left_before(kept_after) and not s.in_flight]:
            del self.endpoints[server.node]
        self.endpoints_by_group = {}
        for server in self.endpoints.values():
            self.endpoints_by_group.setdefault(server.replica_group, []).append(server)
        if news.requested:
            self.polled_at_us = None
            self.poll_backoff_us = self.poll_backoff_first_us
        elif self.settings.poll_mode:
            self._ask()

    def _listed(self, entry: events.EndpointEntry) -> None:
        server = self.endpoints.get(entry.node)
        if server is None:
            if entry.state != EndpointState.LIVE:
                return
            server = Server(entry.node, entry.replica_group, entry.zone, entry.rating, entry.started_at_us)
            self.endpoints[entry.node] = server
        elif entry.started_at_us and entry.started_at_us != server.started_at_us:
            server.restart(entry.started_at_us)
        server.update(entry, self.now)

    def _ask(self) -> None:
        """Subscribe, and look again later in case no word comes back at all."""
        self.polled_at_us = self.now
        self.actions.append(actions.WatchEndpoints())
        self._later(self.now + self.poll_backoff_most_us, "answer?", None)

    # Admission

    def _query(self, event: events.QueryArrived) -> None:
        spec = self.settings.classes[event.query_class]
        self.admitted.add(self.now)
        aim = spec.latency_objective_us + int(spec.objective_hint_ratio * (event.work_hint_us or 0))
        left = event.deadline_us - self.now
        # A try shorter than most of its class is a cut retry: its end tells when the client first asked.
        # First tries are alike, and not always the longest: a last try may have all the time that is left.
        tries = self.recent_timeouts[event.query_class]
        tries.append(TRIES * left // spec.timeout_us)
        usual = Counter(tries).most_common(1)[0][0] * spec.timeout_us / TRIES
        aim_at = min(self.now + aim, event.deadline_us)
        if left < CUT_TRY * usual and (event.is_retry or not self.settings.clients_mark_retries):
            aim_at = min(aim_at, event.deadline_us - spec.timeout_us + aim)
        query = Query.from_arrival(event, spec, self.now, aim_at)
        self.queries[event.id] = self.jobs[event.job] = query
        tick = self.settings.tick_us
        self._later(event.deadline_us - tick, "deadline", query)
        if self.now + tick < aim_at < event.deadline_us:
            self._later(aim_at - tick, "aim", query)
        if spec.second_step_parts and spec.allows_partial:
            step = SECOND_STEP * self.mean_latency_us[event.query_class].value
            second = min(step or spec.latency_objective_us / 4, spec.latency_objective_us / 2)
            self._later(aim_at - tick - int(second), "cut", query)

    def _part(self, event: events.PartArrived) -> Query | None:
        self.admitted.add(self.now)
        query = self.jobs.get(event.job)
        if query:
            query.add_part(event)
            self.mean_work_hint_us[query.query_class].add(event.work_hint_us or 0, RATE_GAIN)
        return query

    def _open(self, query: Query) -> None:
        """Rank the step's parts by their replica's count and send the n needed, one by one."""
        if not query.answered and self._shed(query):
            self._give_up(query)
            return
        waiting = [part for part in query.unsent_parts() if not part.waiting]
        # While servers die one part goes first, the others once it is answered: a deadly query costs one.
        wary = self.now < self.wary_until_us
        need = self._need(query) if query.step > 1 or query.answered or not wary else 1e-5
        sent = query.sent_weight()
        # Where all are sent the order decides nothing.
        order = iter(waiting) if need > 1 - 1e-4 else self._ranked(waiting)
        if need < 1e-4 and waiting:
            order = iter([min(waiting, key=self._scout)])
        while sent < need - 1e-6 and (part := next(order, None)):
            self._place(part)
            sent += part.weight

    def _ranked(self, parts: list[Part]) -> Iterator[Part]:
        """The parts by rank, each by the counts that the picks before it left. Parts with the same holders
        rank as one group, and a pick adds to its own server alone, so just the few groups that rested on it
        are ranked anew: n log n, whatever the parts."""
        while 0 < len(parts) <= ANEW_PARTS:
            best = min(parts, key=self._rank)
            parts.remove(best)
            yield best
        groups: dict[int, list[Part]] = {}
        for part in parts:
            groups.setdefault(part.shard % self.settings.replica_groups, []).append(part)
        yield from drain_by_rank(groups, self._group_rank, _count_stands, self.random)

    def _group_rank(self, group: list[Part]) -> GroupRank[tuple[Server, int] | None]:
        """A group's rank: its pick's, the tie the least of a draw a part; it rests on that server's count."""
        server = self._pick(group[0])
        if server is None:
            return GroupRank((1e9, 0, 0), None)
        tie = 1 - self.random.random() ** (1 / len(group))
        return GroupRank((self._load(server), self._tie(server)[1], tie), (server, len(server.in_flight)))

    def _shed(self, query: Query) -> bool:
        """Load shedding: refuse at once what can't meet its aim at the pace of now, the least worth first."""
        steps = 2 if query.spec.second_step_parts else 1
        share = SHED_FROM + (SHED_ALL - SHED_FROM) * self._worth_rank(query)
        rate = max(self._flow(), self.best_completion_rate)
        few = rate * self.shortest_objective_us < COUNTS_TELL * len(self.endpoints)
        usual = self._recent_time(query) if few else self._queue_time(query)
        # The slowest of many parts lies further from the rank than that of a few, such as a second step's.
        many = few and query.spec.required_fraction > SLOWEST and len(query.parts) > FEW_PARTS
        first = usual * log(len(query.parts)) / log(FEW_PARTS) if many else usual
        took = max(first, self._hot_time(query, 0 if few else HOT_COUNT)) + (steps - 1) * usual
        left = max(query.objective_at_us - self.now, 0)
        return took > share * min(left, self.shortest_objective_us * steps)

    def _worth_rank(self, query: Query) -> float:
        """The share of the latest queries that are worth less for their work."""
        spec = query.spec
        density = spec.priority_weight * self._share_worth(query)
        density *= 1.0 if query.objective_at_us > self.now else spec.late_weight
        if not self.settings.weight_by_work:
            density /= max(query.work * self.mean_latency_us[query.query_class].value, 1e-9)
        return self.recent_priority_densities.rank(density)

    def _queue_time(self, query: Query) -> float:
        """Little's law, the parts out over the rate of answers, where servers hold several parts of ours."""
        known = [s for s in self.endpoints.values() if s.live and EVERY not in s.ejections]
        speed = max(self._flow(), FLOW_LEAST * self.best_completion_rate)
        if not speed or sum(len(s.in_flight) + self._charge(s) for s in known) < len(self.endpoints):
            return 0.0
        need = query.spec.required_fraction
        picks = [(part, self._pick(part)) for part in query.parts]
        loads = sorted(len(known) if s is None else len(s.in_flight) + self._charge(s) for _, s in picks)
        loads = loads[: max(1, int(len(loads) * need + 0.999))]
        return sum(loads) / len(loads) * len(known) / speed

    def _hot_time(self, query: Query, least: int) -> float:
        """A shard whose holders are all slow and busy holds its query up, however idle the rest are."""
        if query.spec.required_fraction < 1:
            return 0.0
        # An older latency doesn't count: a jam's yardstick would refuse all, unseen to be over.
        edge = self.now - PACE_FADE * self.shortest_objective_us
        picks = [(part, s) for part in query.parts if (s := self._pick(part)) and self._load(s) >= least]
        slow = [
            self._pace(s) * self._usual(part) for part, s in picks if s.relative_latency.updated_at_us > edge
        ]
        return max(slow, default=0.0)

    def _recent_time(self, query: Query) -> float:
        """What the slowest needed part takes by the latencies of late, those out counting by their age: tells
        overload to a broker that sees little of each server, unmoved by a few sick ones."""
        edge = self.now - RECENT_SPAN * self.shortest_objective_us
        seen = [0.0] * RECENT_LEAST + self.recent_latencies.since(edge)
        out = [a for a in self.attempts_in_flight.values() if a.outcome is None and a.sent_at_us > edge]
        seen += [self._ratio(a, self.now - a.sent_at_us) for a in out]
        need = query.spec.required_fraction * len(query.parts) / (len(query.parts) + 1)
        seen.sort()
        usual = sum(self._usual(part) for part in query.parts) / len(query.parts)
        return seen[int(len(seen) * min(need, SLOWEST))] * usual

    def _remember(self, attempt: Attempt, took: float) -> None:
        """Keep a latency while its part counts as recent; shedding by counts never looks at them."""
        self.recent_latencies.add(self.now, attempt.sent_at_us, self._ratio(attempt, took))

    def _ratio(self, attempt: Attempt, took: float) -> float:
        usual = self._usual(attempt.part)
        return took / usual if usual else 1.0

    def _usual(self, part: Part) -> float:
        """The usual latency of the class, leaning to the hint: hints are rough, some wild."""
        mean = self.mean_work_hint_us[part.query.query_class].value
        lean = HINT_TRUST * (part.work_hint_us / mean - 1) if part.work_hint_us and mean else 0.0
        return self.mean_latency_us[part.query.query_class].value * (1 + lean)

    def _share_worth(self, query: Query) -> float:
        """Over its share a tenant's queries are worth little: so many of them as lie over it."""
        if query.tenant >= len(self.tenant_rates) or not self.settings.tenants[query.tenant].quota_rps:
            return 1.0
        span = FLOW_SPAN * self.shortest_objective_us
        count = self.tenant_rates[query.tenant]
        count.add(self.now, 1.0, span)
        quota = self.settings.tenants[query.tenant].quota_rps / 1e6 / self.settings.aggregator_count * span
        return self.settings.over_quota_weight if self.random.random() * count.value > quota else 1.0

    def _need(self, query: Query) -> float:
        spec = query.spec
        if query.step > 1:
            return 1.0
        if query.truncated:
            return spec.least_fraction
        # Of parts that can't be had now the caller gives none: what was given is all that can come.
        if query.offered_weight > spec.required_fraction - 1e-3:
            return spec.required_fraction
        return max(query.offered_weight, spec.minimum_fraction)

    def _rank(self, part: Part) -> tuple[float, ...]:
        server = self._pick(part)
        return (self._load(server), self._tie(server)[1], self.random.random()) if server else (1e9, 0, 0)

    def _scout(self, part: Part) -> int:
        """The part that goes first alone: the one whose replica was last seen to answer."""
        server = self._pick(part)
        return -server.last_answer_at_us if server else 1

    # Replica choice

    def _pick(self, part: Part) -> Server | None:
        """The usable holder with the fewest own parts out; ties by `_tie`."""
        busy = {a.endpoint.node for a in part.in_flight()}
        failed = {a.endpoint.node for a in part.attempts}
        told = {EVERY, part.query.query_class}
        allowed = [s for s in self._holders(part) if s.live and not s.excluded_for & told]
        open_to = [s for s in allowed if s.node not in busy and self._cold_room(s)]
        # Ejected servers and those this part has tried are left out, unless nobody else holds the shard.
        good = [s for s in open_to if self._usable(s, part.query.query_class)]
        # Holders to be avoided (across a slow link, say) serve where no other can.
        good = [s for s in good if not s.deprioritized_for & told] or good
        fresh = [s for s in good if s.node not in failed]
        pool = fresh or good or open_to
        return min(pool, key=lambda server: (self._load(server), *self._tie(server)), default=None)

    def _holders(self, part: Part) -> list[Server]:
        total, copies = self.settings.replica_groups, self.settings.groups_per_shard
        groups = [(part.shard + step) % total for step in range(copies)]
        return [server for group in groups for server in self.endpoints_by_group.get(group, [])]

    def _load(self, server: Server) -> int:
        """Own calls out, and on top the charges: the exceptions that act on the count itself."""
        charged = int(self._charge(server) + 0.5) + int(self._pace(server) / OUTLIER)
        return len(server.in_flight_by_call) + charged

    def _tie(self, server: Server) -> tuple[float, ...]:
        trial = any(bar.half_open for bar in server.ejections.values())
        away = 0.0 if server.zone == self.settings.zone else ZONE_TIE
        pace = 0.0 if trial else self._pace(server) + away
        return (len(server.in_flight), pace, self.random.random())

    def _charge(self, server: Server) -> float:
        """What cancelled and failed attempts may still cost: such a server only looks idle."""
        return server.penalty.at(self.now, self._known(CHARGE_FADE))

    def _add_charge(self, server: Server) -> None:
        server.penalty.add(self.now, 1.0, self._known(CHARGE_FADE))

    def _pace(self, server: Server) -> float:
        """Recent latency against the fleet's usual (1.0), drifting back to it when unused."""
        return server.relative_latency.at(self.now, self._known(PACE_FADE))

    def _known(self, aims: float) -> float:
        """How long what a server did is held for or against it (us): these aims, or until it is met again
        where that is later."""
        return max(aims * self.shortest_objective_us, self.revisit_interval_us)

    # Sending, spares and retries

    def _place(self, part: Part) -> bool:
        """Send the part to the design's replica, or try again shortly when no holder may be sent to."""
        over = self.now >= part.query.deadline_us - self.settings.tick_us
        if over or (part.attempts and not self._may_resend(part)):
            return False
        if part.is_hedge and not part.attempts and not self._fleet_room():
            return False
        server = self._pick(part)
        if server is None:
            if not part.waiting:
                part.waiting = True
                wait = int(RETRY_WAIT * part.query.spec.latency_objective_us)
                self._later(self.now + max(wait, self.settings.tick_us), "wait", part)
            return False
        self._send(part, server)
        return True

    def _may_resend(self, part: Part, saved: bool = False) -> bool:
        """The rules on a further attempt: limits, the class's effects, and the attempt budget."""
        if len(part.attempts) >= self.settings.max_attempts:
            return False
        if part.in_flight() and not (self.settings.hedging_allowed and part.query.spec.allows_duplicates):
            return False
        if self.now > self._repeat_until(part):
            return False
        free = saved or bool(part.attempts) and part.attempts[-1].outcome in FREE
        return self._budget_left(free) and (saved or self._fleet_room())

    def _repeat_until(self, part: Part) -> int:
        """Up to when an attempt may leave: what may have run is repeated as its class's effect allows."""
        spec, deadline = part.query.spec, part.query.deadline_us
        risky = [attempt.sent_at_us for attempt in part.attempts if attempt.may_have_run()]
        if not risky or spec.idempotency == Idempotency.IDEMPOTENT:
            return deadline
        return min(deadline, min(risky) + spec.idempotency_window_us) if spec.allows_duplicates else -1

    def _fleet_room(self) -> bool:
        """Where all aggregators share a budget of further attempts, whether it leaves us one."""
        if self.additional_quota is not None and self.additional_quota < 1:
            self.actions.append(actions.QuotaExhausted())
            return False
        return True

    def _budget_left(self, free: bool = False) -> bool:
        """The stated budget, and our own: when many parts need further attempts these feed an overload. What
        was lost with its connection was not late, what met nobody is no load: our own is not for these. It is
        a guess at what all may do, and so stands back where that is told."""
        earned = self.settings.additional_attempt_ratio * self.admitted.count(self.now)
        most = self.settings.free_additional_attempts + earned
        unlimited = not self.settings.attempt_budget_window_us
        own = free or self.retry_budget.has_token() or self.additional_quota is not None
        return own and (unlimited or self.additional.count(self.now) + 1 <= most)

    def _send(self, part: Part, server: Server) -> None:
        further = bool(part.attempts) or part.is_hedge
        cold = self.slow_start_quota is not None and self.slow_start_fraction(server) < 1
        until = self._repeat_until(part)
        if further and self.additional_quota is not None:
            self.additional_quota -= 1
        if cold and self.slow_start_quota:
            self.slow_start_quota[server.node] -= 1
        if part.attempts:
            if part.attempts[-1].outcome not in FREE:
                self.retry_budget.spend()
            self.additional.add(self.now)
        else:
            self.retry_budget.earn(FURTHER_SHARE)
        call_id = server.join_call(self.now, self.last_call + 1, self.settings.parts_per_call)
        self.last_call = max(self.last_call, call_id)
        attempt = Attempt(part, len(part.attempts), server, self.now, call_id)
        part.attempts.append(attempt)
        server.in_flight[part.id, attempt.seq] = self.attempts_in_flight[part.id, attempt.seq] = attempt
        if server.slow_start_credit is not None:
            server.slow_start_credit -= 1.0
        self.actions.append(actions.Send(part.id, server.node, further, cold, until))
        left = max(part.query.objective_at_us - self.now, part.query.spec.latency_objective_us // 2)
        self._later(self.now + int(left * LATE_SHARE), "late", attempt)

    def _late(self, attempt: Attempt) -> None:
        """At the half-aim mark: an unsent sibling steps in, else a copy, else cancel and resend."""
        self._silent(attempt)
        part, query, server = attempt.part, attempt.part.query, attempt.endpoint
        if not self._is_awaited(part) or self._deadly(query):
            return
        recheck_at_us = self.now + int(RECHECK * query.spec.latency_objective_us)
        if not self._fleet_room():
            self._later(recheck_at_us, "late", attempt)
            return
        if self._spare(query) or self._pick(part) in (None, server) or not query.spec.allows_duplicates:
            return
        if self.settings.hedging_allowed:
            self._place(part)
            return
        if not self.settings.cancellation_allowed or attempt is not part.attempts[-1]:
            return
        if len(part.attempts) >= self.settings.max_attempts:
            return
        # A server that answers in turn will come to this part: calling it off would pay twice.
        in_turn = server.last_answered_send_at_us <= attempt.sent_at_us < server.last_answer_at_us
        if in_turn or not self._budget_left():
            self._later(recheck_at_us, "late", attempt)
            return
        keyed = query.spec.idempotency == Idempotency.KEYED
        if keyed and self.now + self.settings.tick_us > self._repeat_until(part):
            return
        self._cancel(attempt)
        self._place(part)

    def _spare(self, query: Query) -> bool:
        """Send the unsent part whose replica has the smallest count; k minus n a query at most."""
        unsent = query.unsent_parts()
        if not unsent or query.step != 1:
            return False
        spare = min(unsent, key=self._rank)
        spare.is_hedge = True
        placed = self._place(spare)
        spare.is_hedge = placed or spare.waiting
        return placed

    def _cancel(self, attempt: Attempt) -> None:
        """Stop waiting; the server may still work at it, so the count turns into a fading charge."""
        attempt.outcome = Outcome.CANCELLED
        attempt.endpoint.release(attempt)
        self._add_charge(attempt.endpoint)
        self.actions.append(actions.Cancel(attempt.part.id, attempt.seq))

    # Outcomes

    def _ended(self, event: events.AttemptEnded) -> None:
        attempt = self.attempts_in_flight.pop((event.id, event.seq), None)
        if attempt is None:
            return
        attempt.outcome = attempt.outcome or event.outcome
        attempt.endpoint.release(attempt)
        part, query = attempt.part, attempt.part.query
        query.broken_connections += attempt.outcome == Outcome.BROKEN
        if event.outcome == Outcome.OK:
            self._answered(attempt, event)
            if self._part_in(part) and query.id in self.queries and not query.answered:
                query.answered = True
                self._go_on(query)
            return
        self._judge(attempt, event.outcome)
        if not self._is_awaited(part) or event.outcome == Outcome.CANCELLED or part.in_flight():
            return
        if self._deadly(query):
            return
        # A deadly query must not take both holders of a shard: a sibling is tried, the part itself later.
        if event.outcome == Outcome.BROKEN and not query.answered and self._spare(query):
            return
        # A part that errors is replaced: by itself where the class allows, else by an unsent sibling.
        if not self._place(part) and not part.waiting and not self._spare(query) and not self._saves(part):
            self._doomed(query)

    def _saves(self, part: Part) -> bool:
        """Whether only our own budget keeps the part from a further attempt, and it may earn one while the
        aim can be met: given up now, its client would ask for all parts anew."""
        wait = int(RETRY_WAIT * part.query.spec.latency_objective_us)
        quota = self.additional_quota
        enough = self.retry_budget.has_token() if quota is None else quota >= 1
        late = self.now + wait + self._usual(part) > part.query.objective_at_us
        if enough or late or not self._may_resend(part, saved=True):
            return False
        part.waiting = True
        self._later(self.now + wait, "wait", part)
        return True

    def _is_awaited(self, part: Part) -> bool:
        """Whether the part's answer would still count."""
        return part.query.id in self.queries and not part.done and part.step == part.query.step

    def _part_in(self, part: Part) -> bool:
        """The part's weight counts, once; true if it did now."""
        if not self._is_awaited(part):
            return False
        part.done = True
        part.query.received_weight += part.weight
        self._settle(part.query)
        return True

    def _deadly(self, query: Query) -> bool:
        """A query that broke a connection and was answered by nobody may bring down each server that begins
        it: it waits for its parts still out, is tried once more, and then given up. Of a lost server's
        queries other parts are answered."""
        if query.answered or not query.broken_connections:
            return False
        if query.in_flight():
            return True
        if query.broken_connections < DEATHS:
            return False
        self._give_up(query)
        return True

    def _go_on(self, query: Query) -> None:
        """The first answer clears the query: parts held back or broken meanwhile are sent."""
        for part in query.parts:
            if part.attempts and not (part.done or part.waiting or part.in_flight()):
                self._place(part)
        self._open(query)

    def _doomed(self, query: Query) -> None:
        """End a query at once when what is in, out, waiting or unsent can't make an answer any more."""
        partial = query.step == 1 or query.spec.allows_partial
        if query.reachable_weight() < (query.spec.least_fraction if partial else 1.0) - 1e-6:
            self._give_up(query)

    def _settle(self, query: Query) -> None:
        """Answer once n are in; the first answer of two brings the second step's parts."""
        if query.received_weight >= self._need(query) - 1e-6:
            whole = query.spec.required_fraction if query.step == 1 else 1.0
            query.complete = query.complete and query.received_weight >= whole - 1e-6
            self._answer(query)

    def _answer(self, query: Query) -> None:
        self.actions.append(actions.Answer(query.id, query.complete))
        if query.step == 1 and query.spec.second_step_parts:
            query.step, query.received_weight = 2, 0.0
        else:
            self._forget(query)

    def _forget(self, query: Query) -> None:
        """The query has ended; what is still out stays counted until its outcome comes."""
        self.queries.pop(query.id, None)
        self.jobs.pop(query.job, None)

    # Health

    def _usable(self, server: Server, query_class: int) -> bool:
        for key in (EVERY, query_class):
            bar = server.ejections.get(key)
            if bar and not (bar.half_open and server.all_sent_before(bar.ends_at_us)):
                return False
        return True

    def _bar(self, server: Server, key: int, why: str) -> None:
        """Eject, for longer each time in a row; a trial opens when the time is up."""
        old = server.ejections.get(key)
        if old and not old.half_open:
            return
        span = int(min(2 * old.duration_us, self._known(BAR_MOST)) if old else self._known(BAR_SPAN))
        dead = old.disconnect_reason if old else ""
        unreachable = why in (NO_CONNECTION, NO_PROBE) or not self.settings.probing_allowed
        if unreachable and dead != NO_CONNECTION:
            dead = why
        server.ejections[key] = Bar(self.now, span, disconnect_reason=dead)
        self._later(self.now + span, "trial", server)
        self._log("eject " + server.node, f"server {server.node} ejected: {why}")

    def _half_open(self, server: Server) -> None:
        for key, bar in server.ejections.items():
            if not bar.half_open and self.now >= bar.ends_at_us:
                if key == EVERY and self.settings.probing_allowed and server.live:
                    self.actions.append(actions.Probe(server.node))
                else:
                    bar.half_open = True

    def _probed(self, event: events.ProbeEnded) -> None:
        server = self.endpoints.get(event.node)
        bar = server.ejections.get(EVERY) if server else None
        if server is None or bar is None or bar.half_open:
            return
        bar.half_open = True
        if event.outcome != Outcome.OK:
            self._bar(server, EVERY, NO_PROBE)

    def _silent(self, attempt: Attempt) -> None:
        """Eject a server that has answered nothing since this late send while others have."""
        server = attempt.endpoint
        usual = self._usual(attempt.part)
        if attempt.outcome is None and self.now - attempt.sent_at_us < SILENT_TIMES * usual:
            self._later(int(attempt.sent_at_us + SILENT_TIMES * usual) + 1, "silent", attempt)
            return
        others_answered = server.last_answer_at_us < attempt.sent_at_us <= self.last_answer_at_us
        # At low traffic the stuck part's own count keeps a second one away: a time-out says it alone.
        timed_out = attempt.outcome == Outcome.TIMED_OUT
        stuck = sum(a.sent_at_us > server.last_answer_at_us for a in server.in_flight.values())
        if others_answered and (timed_out or stuck >= SILENT_PARTS) and self._may_bar():
            self._bar(server, EVERY, "silent while others answer")

    def _may_bar(self) -> bool:
        """Whether enough others are left: most of them silent or full is overload, not sick servers."""
        live = [server for server in self.endpoints.values() if server.live]
        return sum(EVERY in server.ejections for server in live) < BAR_SHARE * len(live)

    def _judge(self, attempt: Attempt, outcome: str) -> None:
        server, query_class = attempt.endpoint, attempt.part.query.query_class
        if outcome == Outcome.TIMED_OUT:
            self._silent(attempt)
        if outcome == Outcome.CONNECTION_LOST:
            # No load, no error of the server's: only less of a pick among equals.
            server.relative_latency.add(self.now, LOST_COST, PACE_GAIN, self._known(PACE_FADE))
        if outcome in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST):
            return
        self._add_charge(server)
        if outcome in (Outcome.UNREACHABLE, Outcome.BROKEN):
            self.wary_until_us = self.now + WARY * self.shortest_objective_us
            self._bar(server, EVERY, NO_CONNECTION)
        elif outcome == Outcome.REJECTED:
            # Had it waited for its turn it would have taken about the aim.
            self._remember(attempt, self.shortest_objective_us)
            if server.add_error(EVERY) >= ERRORS_TO_BAR and self._may_bar():
                self._bar(server, EVERY, "turns away all that comes")
        elif server.add_error(query_class) >= ERRORS_TO_BAR:
            self._bar(server, query_class, "errors in a row")

    def _answered(self, attempt: Attempt, event: events.AttemptEnded) -> None:
        """An answer: it readmits the server and tells its pace against the fleet's usual."""
        server, query_class = attempt.endpoint, attempt.part.query.query_class
        gap = self.now - server.last_answer_at_us
        server.last_answered_send_at_us = max(server.last_answered_send_at_us, attempt.sent_at_us)
        server.last_answer_at_us = self.last_answer_at_us = self.now
        span = FLOW_SPAN * self.shortest_objective_us
        self.completions.add(self.now, 1.0, span)
        if self.now > (self.started_at_us or 0) + span and self._flow() > self.best_completion_rate:
            # Kept with the fleet that did it: servers lost since must not make the others look larger.
            self.best_completion_rate, self.best_rate_rating = self._flow(), self._rating()
        for key in (EVERY, query_class):
            server.consecutive_errors.pop(key, None)
            bar = server.ejections.get(key)
            if bar and attempt.sent_at_us >= bar.ejected_at_us:
                del server.ejections[key]
                if key == EVERY:
                    self._readmitted(server, bar, gap)
        self._remember(attempt, event.elapsed_us)
        took, usual = event.elapsed_us, self._usual(attempt.part)
        ratio = min(took / usual, 20.0) if usual else 1.0
        # A broker that seldom meets any server has but the last answer or two of each to go by, and by then
        # an aim is long over: one of many brokers would find each sick server anew at every visit.
        way = len(self.endpoints) / max(self._flow(), self.best_completion_rate)
        most = self.settings.slow_start_duration_us or KEPT * self.shortest_objective_us
        self.revisit_interval_us = min(VISITS * way, most) if way > self.shortest_objective_us else 0
        pause = min(len(self.endpoints) / self._flow(), self.now - server.relative_latency.updated_at_us)
        gain = max(PACE_GAIN, PACE_MOST * (1 - exp(-2 * pause / (PACE_FADE * self.shortest_objective_us))))
        server.relative_latency.add(self.now, ratio, gain, self._known(PACE_FADE))
        self.mean_latency_us[query_class].add(min(took, 3 * usual or took), RATE_GAIN)

    def _readmitted(self, server: Server, bar: Bar, gap: int) -> None:
        # Back from silence: it may have restarted unlisted, so it is treated as cold.
        long_silent = gap > COLD_SILENCE * self.shortest_objective_us
        if bar.disconnect_reason == NO_CONNECTION or (bar.disconnect_reason and long_silent):
            server.slow_start_from_us = self.now
        self._log("back " + server.node, f"server {server.node} readmitted")

    # Cold ramp

    def slow_start_fraction(self, server: Server) -> float:
        """The share of its capacity that a server has at least, by the settings' ramp."""
        least, ramp_us = self.settings.slow_start_capacity, self.settings.slow_start_duration_us
        if EVERY in server.ejections and server.ejections[EVERY].disconnect_reason:
            return least  # it may be starting this moment
        since = max(server.started_at_us or -1, server.slow_start_from_us or -1)
        if since < 0 or not ramp_us:
            return 1.0
        return min(1.0, least + (1 - least) * max((self.now - since) / ramp_us, 0.0))

    def _flow(self) -> float:
        """Parts a microsecond answered lately; answers, as what is turned away shows no capacity."""
        span = FLOW_SPAN * self.shortest_objective_us
        lived = max(self.now - (self.started_at_us or 0), self.settings.tick_us) / span
        return self.completions.at(self.now, span) / (span * (1 - exp(-lived)))

    def _rating(self) -> float:
        return sum(s.rating for s in self.endpoints.values() if s.live)

    def _least_rate(self, server: Server) -> float:
        """Our share of what any server does, one part after another by the hints: who starts beside cold
        servers has seen no answers, and without sending would see none until they are warm."""
        hints = [mean.value for mean in self.mean_work_hint_us if mean.value]
        return server.rating * len(hints) / (sum(hints) * self.settings.aggregator_count) if hints else 0.0

    def _cold_room(self, server: Server) -> bool:
        """Whether a cold server may be sent one more part: credit grows by our share of its ramp; the first
        is drawn, so that many brokers that each owe it less than a part don't all send one at once."""
        warmth = self.slow_start_fraction(server)
        if warmth >= 1 or not self.settings.overload_after_us or not self.settings.overload_multiple:
            server.slow_start_credit = None
            return True
        if self.slow_start_quota is not None:  # the guess at our share below stands back where it is told
            return self.slow_start_quota.get(server.node, 0) >= 1
        fleet = max(self.best_rate_rating or self._rating(), 1e-9)
        share = server.rating * (self.best_completion_rate or self._flow()) / fleet
        usual = max(share, self._least_rate(server))
        rate = COLD_SHARE * self.settings.overload_multiple * warmth * usual
        if server.slow_start_credit is None:
            server.start_slow_start_credit(self.now, self.random.random())
        most = max(1.0, COLD_BURST * rate * self.settings.overload_after_us)
        return server.earn_slow_start_credit(self.now, rate, most) >= 1.0

    # Answer or give up

    def _overdue(self, query: Query, what: str) -> None:
        """At the aim or deadline: a partial answer if allowed and worth more than waiting, else the end. A
        first step is cut while a second still has time: answered at the deadline the query would be lost."""
        spec, got = query.spec, query.received_weight
        if what == "cut":
            query.truncated = query.step == 1
            self._settle(query)
            return
        last_step = query.step > 1 or not spec.second_step_parts
        enough = spec.allows_partial and got >= spec.minimum_fraction - 1e-6 and last_step
        partial_worth = spec.partial_weight * got / spec.required_fraction if enough else 0.0
        if what == "aim" and spec.late_weight > partial_worth:
            return
        if enough:
            query.complete = False
            self._answer(query)
        else:
            self._give_up(query)

    def _left(self, event: events.ClientDisconnected) -> None:
        """The client left: nobody waits for what is out."""
        query = self.queries.get(event.id)
        if query is None:
            return
        for attempt in query.in_flight() if self.settings.cancellation_allowed else ():
            self._cancel(attempt)
        self._forget(query)

    def _curtail(self, until_us: int) -> None:
        """This aggregator ends then: a query with more time has only that."""
        for query in self.queries.values():
            if query.deadline_us > until_us:
                query.deadline_us, query.objective_at_us = until_us, min(query.objective_at_us, until_us)
                self._later(until_us - self.settings.tick_us, "deadline", query)

    def _give_up(self, query: Query) -> None:
        """End the query at once: refused where a repeat is known to be harmless, else failed."""
        ran = any(attempt.may_have_run() for attempt in query.attempts())
        if ran and not query.spec.allows_duplicates:
            self.actions.append(actions.Fail(query.id))
        else:
            # Come back after about one aim, or what clients heed, spread so that they don't come at once.
            longest = min(query.spec.latency_objective_us, self.settings.max_retry_after_us)
            after = int(longest * self.random.uniform(0.5, 1.0))
            self.actions.append(actions.Reject(query.id, after if self.settings.retry_advice_allowed else 0))
        self._forget(query)


def _count_stands(basis: tuple[Server, int] | None) -> bool:
    """Whether the count that a group's rank rests on is still the server's."""
    return basis is None or len(basis[0].in_flight) == basis[1]
