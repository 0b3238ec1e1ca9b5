"""Every decision of heathwell; the modules beside this one hold types and records and decide nothing.

The ordinary path is Batch Sampling on own counts (Li, Ramamoorthy, Srikant): of a shard's replicas the one
with the fewest of this aggregator's own parts in flight serves the part, the parts are ranked by that count,
only the needed n are sent, a late one gets an unsent part as a hedge, and the query is answered once n are
in. Each departure below says when it acts; docs/design.md lists them all.
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
from heathwell.policy.records import Attempt, Ejection, Endpoint, Part, Query, Timer
from heathwell.policy.settings import Idempotency, Settings

# Figures in _OBJECTIVES count shortest latency objectives of the settings, those in _LATENCIES expected
# latencies of the part, and those in _FRACTION are fractions of what the comment names.
LATE_FRACTION = 0.5  # Batch Sampling's mark: late after half the time to the objective left at the send
ALL_CLASSES = -1  # key of an ejection that holds for all classes, beside those of one class
LATENCY_GAIN = 0.15  # weight of one response in an endpoint's latency average: about seven responses
LATENCY_GAIN_AFTER_PAUSE = 0.8  # its weight after a long pause, when no earlier one says much any more
WORK_HINT_WEIGHT = 0.2  # of a hint's distance from the mean hint: hints are rough
MEAN_GAIN = 0.02  # weight of one sample in the means over all endpoints: slow, as they are the yardstick
LATENCY_FADE_OBJECTIVES = 4.0  # until an unused endpoint's average is mostly forgotten: it is tried again
OUTLIER_LATENCY_RATIO = 2.5  # an endpoint so many times slower is charged one part for each multiple
PENALTY_FADE_OBJECTIVES = 1.0  # over which the penalty of a cancelled or failed attempt fades by 1/e
OUTLIER_SILENCE_LATENCIES = 4.0  # without a response before a late part speaks against its endpoint
OUTLIER_SILENT_ATTEMPTS = 2  # that must be stuck: a single one may have met a pause or be heavy itself
EJECTION_MAXIMUM_FRACTION = 0.4  # of the endpoints ejected for silence at once: more is overload
RESTART_SILENCE_OBJECTIVES = 3.0  # of silence after which an endpoint is taken to have restarted unlisted
RETRY_BUDGET_RATIO = 0.1  # additional attempts earned by each first one: room for a few unhealthy endpoints
RETRY_BUDGET_CAPACITY = 10.0  # earned attempts kept: enough for one endpoint's parts when it stops
RATE_WINDOW_OBJECTIVES = 2.0  # over which the rate of responses is averaged
RATE_FLOOR_FRACTION = 0.5  # of the best rate seen, below which a stall is not believed: it would shed all
SHED_FIRST_FRACTION = 0.38  # of the time left: a query's expected time from which the least worth is shed
SHED_ALL_FRACTION = 0.75  # of the time left: a query's expected time from which all are shed
OTHER_ZONE_LATENCY = 0.3  # of the expected one: how much slower an endpoint of our zone may be than others
NO_CONNECTION, NO_PROBE = "no connection", "no answer to a probe"
SECOND_STEP_LATENCIES = 2.0  # that a second step takes: the slowest of a few parts, not an average one
CUT_RETRY_FRACTION = 0.95  # of its class's usual timeout, under which a query is taken to be a cut retry
TIMEOUT_SAMPLES = 64  # latest timeouts of a class that tell the usual one, and the steps they are counted in
RERANK_PARTS = 12  # up to which all parts are ranked anew before each pick: groups save little there
LOW_TRAFFIC_RESPONSES = 2.0  # an endpoint and objective, under which our own counts are nearly always 0
RECENT_QUANTILE = 0.7  # of recent latencies at most: the rest may be unhealthy endpoints, not overload
RECENT_QUANTILE_PARTS = 10.0  # of a query, up to which that quantile tells enough
RECENT_OBJECTIVES = 1.5  # in which attempts are recent: a jam that has cleared must not shed for long
RECENT_PRIOR_SAMPLES = 10  # quick responses assumed beside those seen: few latencies prove no overload
BUSY_IN_FLIGHT = 2  # own calls at a shard's best replica from which its latency is believed
PRIORITY_DENSITY_SAMPLES = 100  # latest queries among which a query's priority per work is ranked
OUTLIER_CONSECUTIVE_ERRORS = 2  # errors of one class, or rejections: one is chance, two are a symptom
QUERY_OF_DEATH_CONNECTIONS = 2  # broken without a response before a query is abandoned: one is chance
CANARY_OBJECTIVES = 5.0  # after a broken connection in which one part of a query goes first
CONNECTION_LOST_LATENCIES = 4.0  # that a part lost with its connection counts in its endpoint's average
MEMORY_REVISITS = 3.0  # times between two own parts at an endpoint that what it did is known for
EJECTION_FIRST_OBJECTIVES = 1.0  # of the first ejection; doubled while trials fail
EJECTION_MAXIMUM_OBJECTIVES = 8.0  # of the longest ejection, so that a recovered endpoint is back soon
SLOW_START_BUDGET_FRACTION = 0.6  # of the overload limit used: the rest is for what we misjudge
SLOW_START_BURST_FRACTION = 0.4  # of a window's budget: the most that may be saved up and sent at once
POLL_FIRST_FRACTION, POLL_MAXIMUM_FRACTION = 0.1, 0.45  # of the poll limit (pushed: the grace): backoff
LATE_RECHECK_OBJECTIVES = 0.1  # of the class: until a late part whose endpoint responds in turn is seen to
ENDPOINT_MEMORY_OBJECTIVES = 20  # that an endpoint is known after it left the list, if slow start is shorter
LOG_INTERVAL_OBJECTIVES = 10  # between two lines of one topic for the operators
LOG_TOPICS = 64  # topics of lines for the operators from which old ones are forgotten
RETRY_WAIT_OBJECTIVES = 0.05  # of the class: until a part without a usable replica is tried again
# Outcomes after which an additional attempt is not of our own retry budget.
FREE_OUTCOMES = (Outcome.CONNECTION_LOST, Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class Aggregator:
    """Decides for one aggregator; :meth:`handle` takes all that it is told."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = self.last_call = 0
        self.started_at_us: int | None = None
        self.actions: list[actions.Action] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.endpoints_by_group: dict[int, list[Endpoint]] = {}
        self.queries: dict[str, Query] = {}
        self.jobs: dict[int, Query] = {}
        self.attempts_in_flight: dict[tuple[str, int], Attempt] = {}
        self.timers: TimerQueue[Timer] = TimerQueue()
        self.armed_at_us: int | None = None
        objective_us = min(query_class.latency_objective_us for query_class in settings.classes)
        self.shortest_objective_us = objective_us
        self.rate_window_us = RATE_WINDOW_OBJECTIVES * objective_us
        self.endpoint_memory_us = settings.slow_start_duration_us or ENDPOINT_MEMORY_OBJECTIVES * objective_us
        self.revisit_interval_us = 0.0
        self.tenant_rates = [DecayingSum() for _ in settings.tenants]
        self.canary_until_us = 0.0
        self.mean_latency_us = [RunningMean() for _ in settings.classes]
        self.mean_work_hint_us = [RunningMean() for _ in settings.classes]
        self.recent_timeouts: list[deque[int]] = [deque(maxlen=TIMEOUT_SAMPLES) for _ in settings.classes]
        self.last_answer_at_us = -1
        self.admitted = SlidingWindowCounter(settings.attempt_budget_window_us, includes_edge=False)
        self.additional = SlidingWindowCounter(settings.attempt_budget_window_us, includes_edge=True)
        self.completions = DecayingSum()
        self.best_completion_rate = self.best_rate_rating = 0.0
        self.recent_priority_densities = RecentRank(PRIORITY_DENSITY_SAMPLES)
        self.recent_latencies = SlidingWindowSamples(RECENT_OBJECTIVES * objective_us)
        self.retry_budget = TokenBucket(RETRY_BUDGET_CAPACITY)
        # Pushed changes count as told at once: what a broken watch costs comes off the grace.
        within_us = settings.poll_within_us if settings.poll_mode else settings.drain_grace_us
        self.poll_backoff_first_us = max(int(within_us * POLL_FIRST_FRACTION), settings.tick_us)
        self.poll_backoff_most_us = max(int(within_us * POLL_MAXIMUM_FRACTION), settings.tick_us)
        self.poll_backoff_us = self.poll_backoff_first_us
        self.polled_at_us: int | None = None
        self.log_topics = RateLimitedTopics(LOG_INTERVAL_OBJECTIVES * objective_us, LOG_TOPICS)
        self.additional_quota: int | None = None
        self.slow_start_quota: dict[str, int] | None = None

    def handle(  # noqa: C901, PLR0912  # one case for each type of event
        self, now: int, batch: list[events.Event]
    ) -> list[actions.Action]:
        """Take one batch of events and return the actions, both in order."""
        self.now, self.actions = now, []
        if self.started_at_us is None:
            self.started_at_us = now
        started: dict[str, Query] = {}
        for event in batch:
            match event:
                case events.AttemptEnded():
                    self._on_attempt_ended(event)
                case events.PartArrived():
                    if query := self._on_part_arrived(event):
                        started[query.id] = query
                case events.QueryArrived():
                    self._on_query_arrived(event)
                case events.EndpointUpdate():
                    self._on_endpoint_update(event)
                case events.ProbeEnded():
                    self._on_probe_ended(event)
                case events.ClientDisconnected():
                    self._on_client_disconnected(event)
                case events.ShutdownStarted():
                    self._on_shutdown_started(event.ends_at_us)
                case events.HolderRestrictions():
                    self._on_holder_restrictions(event)
                case events.QuotaUpdate():
                    self.additional_quota = event.additional_attempts
                    self.slow_start_quota = event.slow_start_parts and dict(event.slow_start_parts)
                case events.AttemptSuperseded():
                    if attempt := self.attempts_in_flight.get((event.id, event.seq)):
                        self._record_part(attempt.part)
                case events.TimerFired():
                    self.armed_at_us = None
        for query in started.values():
            if query.id in self.queries:
                self._send_step(query)
        while due := self.timers.pop_due(now):
            self._on_timer(due.kind, due.subject)
        next_at = self.timers.next_at_us
        if next_at is not None and (self.armed_at_us is None or next_at < self.armed_at_us):
            self.armed_at_us = max(next_at, now + 1)
            self.actions.append(actions.SetTimer(self.armed_at_us, "due"))
        return self.actions

    def _on_holder_restrictions(self, event: events.HolderRestrictions) -> None:
        """Don't wait for parts whose every live replica is excluded now: answer from the rest or abandon."""
        restricted = ALL_CLASSES if event.query_class is None else event.query_class
        for endpoint in self.endpoints.values():
            endpoint.restrict(restricted, event.deprioritized, event.excluded)
        for query in list(self.queries.values()) if event.excluded else ():
            unreachable = [part for part in query.pending_parts() if self._has_only_excluded_replicas(part)]
            query.exclude(unreachable)
            if unreachable:
                self._abandon_if_unanswerable(query)
            if unreachable and query.id in self.queries and query.received_weight > 0:
                self._answer_if_enough(query)

    def _has_only_excluded_replicas(self, part: Part) -> bool:
        """Whether a part has live replicas and all of them are excluded."""
        class_keys = {ALL_CLASSES, part.query.query_class}
        live = [endpoint for endpoint in self._replicas(part) if endpoint.live]
        return bool(live) and all(endpoint.excluded_for & class_keys for endpoint in live)

    def _schedule(self, at_us: int, kind: str, subject: object) -> None:
        self.timers.schedule(at_us, Timer(kind, subject))

    def _on_timer(self, kind: str, subject: object) -> None:
        match subject:
            case Query() if subject.id in self.queries:
                self._on_query_timer(subject, kind)
            case Part() if subject.query.id in self.queries:
                subject.waiting = False
                if not (subject.done or self._try_send(subject) or self._wait_for_retry_budget(subject)):
                    self._abandon_if_unanswerable(subject.query)
            case Attempt() if subject.outcome is None and kind == "silent":
                self._eject_if_silent(subject)
            case Attempt() if subject.outcome is None:
                self._on_late_attempt(subject)
            case Endpoint():
                self._half_open_ejections(subject)
            case None:
                unanswered_at_us = (self.polled_at_us or self.now) + self.poll_backoff_most_us
                if kind == "ask" or self.now >= unanswered_at_us:
                    self._watch_endpoints()

    def _log(self, topic: str, text: str) -> None:
        """Log a line for the operators, at most one a topic in :data:`LOG_INTERVAL_OBJECTIVES`."""
        if self.log_topics.admit(topic, self.now):
            self.actions.append(actions.Log(text))

    # Endpoint list

    def _on_endpoint_update(self, update: events.EndpointUpdate) -> None:
        if update.kind == UpdateKind.FAILED:
            # Guards the drain rule: without updates we must keep polling; jitter keeps the callers apart.
            self.polled_at_us = None
            self.poll_backoff_us = min(self.poll_backoff_us * 2, self.poll_backoff_most_us)
            self._schedule(self.now + int(self.poll_backoff_us * self.random.uniform(0.5, 1.0)), "ask", None)
            self._log("discovery", "discovery: call failed or subscription broke, asking again")
            return
        if update.kind == UpdateKind.FULL:
            listed = {entry.node for entry in update.endpoints}
            for endpoint in self.endpoints.values():
                if endpoint.node not in listed:
                    endpoint.live, endpoint.gone_at_us = False, endpoint.gone_at_us or self.now
        for entry in update.endpoints:
            self._update_endpoint(entry)
        # One that left is known until it would be warm again and its parts have ended: nothing hangs on it.
        longest_us = ENDPOINT_MEMORY_OBJECTIVES * self.shortest_objective_us
        edge_us = self.now - max(self.settings.slow_start_duration_us, longest_us)
        for endpoint in [e for e in self.endpoints.values() if e.left_before(edge_us) and not e.in_flight]:
            del self.endpoints[endpoint.node]
        self.endpoints_by_group = {}
        for endpoint in self.endpoints.values():
            self.endpoints_by_group.setdefault(endpoint.replica_group, []).append(endpoint)
        if update.requested:
            self.polled_at_us = None
            self.poll_backoff_us = self.poll_backoff_first_us
        elif self.settings.poll_mode:
            self._watch_endpoints()

    def _update_endpoint(self, entry: events.EndpointEntry) -> None:
        endpoint = self.endpoints.get(entry.node)
        if endpoint is None:
            if entry.state != EndpointState.LIVE:
                return
            endpoint = self.endpoints[entry.node] = Endpoint.from_entry(entry)
        elif entry.started_at_us and entry.started_at_us != endpoint.started_at_us:
            endpoint.restart(entry.started_at_us)
        endpoint.update(entry, self.now)

    def _watch_endpoints(self) -> None:
        """Subscribe, and look again later in case no response comes at all."""
        self.polled_at_us = self.now
        self.actions.append(actions.WatchEndpoints())
        self._schedule(self.now + self.poll_backoff_most_us, "answer?", None)

    # Admission

    def _on_query_arrived(self, event: events.QueryArrived) -> None:
        spec, tick_us = self.settings.classes[event.query_class], self.settings.tick_us
        self.admitted.add(self.now)
        objective_us = spec.latency_objective_us + int(spec.objective_hint_ratio * (event.work_hint_us or 0))
        timeout_us = event.deadline_us - self.now
        # A timeout shorter than most of its class means a cut retry: its end tells when the client first
        # asked. First ones are alike, and not always the longest: a last one may have all the time left.
        timeouts = self.recent_timeouts[event.query_class]
        timeouts.append(TIMEOUT_SAMPLES * timeout_us // spec.timeout_us)
        usual_timeout_us = Counter(timeouts).most_common(1)[0][0] * spec.timeout_us / TIMEOUT_SAMPLES
        objective_at_us = min(self.now + objective_us, event.deadline_us)
        may_be_retry = event.is_retry or not self.settings.clients_mark_retries
        if may_be_retry and timeout_us < CUT_RETRY_FRACTION * usual_timeout_us:
            objective_at_us = min(objective_at_us, event.deadline_us - spec.timeout_us + objective_us)
        query = Query.from_arrival(event, spec, self.now, objective_at_us)
        self.queries[event.id] = self.jobs[event.job] = query
        self._schedule(event.deadline_us - tick_us, "deadline", query)
        if self.now + tick_us < objective_at_us < event.deadline_us:
            self._schedule(objective_at_us - tick_us, "aim", query)
        if spec.second_step_parts and spec.allows_partial:
            usual_us = SECOND_STEP_LATENCIES * self.mean_latency_us[event.query_class].value
            second_us = min(usual_us or spec.latency_objective_us / 4, spec.latency_objective_us / 2)
            self._schedule(objective_at_us - tick_us - int(second_us), "cut", query)

    def _on_part_arrived(self, event: events.PartArrived) -> Query | None:
        self.admitted.add(self.now)
        query = self.jobs.get(event.job)
        if query:
            query.add_part(event)
            self.mean_work_hint_us[query.query_class].add(event.work_hint_us or 0, MEAN_GAIN)
        return query

    def _send_step(self, query: Query) -> None:
        """Rank the step's parts by their replica's load and send those that are needed, one by one."""
        if not query.answered and self._should_shed(query):
            self._abandon(query)
            return
        unsent = [part for part in query.unsent_parts() if not part.waiting]
        # While endpoints crash a canary part goes first: a query of death costs one of them, not one a part.
        canary = self.now < self.canary_until_us and query.step == 1 and not query.answered
        needed_weight = 1e-5 if canary else self._required_weight(query)
        sent_weight = query.sent_weight()
        # Where all are sent the order decides nothing.
        order = iter(unsent) if needed_weight > 1 - 1e-4 else self._in_rank_order(unsent)
        if needed_weight < 1e-4 and unsent:
            order = iter([min(unsent, key=self._canary_rank)])
        while sent_weight < needed_weight - 1e-6 and (part := next(order, None)):
            self._try_send(part)
            sent_weight += part.weight

    def _in_rank_order(self, parts: list[Part]) -> Iterator[Part]:
        """The parts by rank, each by the loads that the picks before it left. Parts with the same replicas
        rank as one group; only those that rest on the picked endpoint are ranked anew: O(n log n)."""
        while 0 < len(parts) <= RERANK_PARTS:
            best = min(parts, key=self._part_rank)
            parts.remove(best)
            yield best
        groups: dict[int, list[Part]] = {}
        for part in parts:
            groups.setdefault(part.shard % self.settings.replica_groups, []).append(part)
        yield from drain_by_rank(groups, self._group_rank, _is_current, self.random)

    def _group_rank(self, group: list[Part]) -> GroupRank[tuple[Endpoint, int] | None]:
        """A group's rank: its replica's, the tie the least of a draw a part; it rests on that one's load."""
        endpoint = self._select_replica(group[0])
        if endpoint is None:
            return GroupRank((1e9, 0, 0), None)
        draw = 1 - self.random.random() ** (1 / len(group))
        rank = (self._load(endpoint), self._tie_break(endpoint)[1], draw)
        return GroupRank(rank, (endpoint, len(endpoint.in_flight)))

    def _should_shed(self, query: Query) -> bool:
        """Whether the query can't meet its objective at the present rate; the least worth is shed first."""
        spec, part_count = query.spec, len(query.parts)
        steps = 2 if spec.second_step_parts else 1
        rank = self._priority_density_rank(query)
        shed_fraction = SHED_FIRST_FRACTION + (SHED_ALL_FRACTION - SHED_FIRST_FRACTION) * rank
        rate = max(self._completion_rate(), self.best_completion_rate)
        low_traffic = rate * self.shortest_objective_us < LOW_TRAFFIC_RESPONSES * len(self.endpoints)
        step_us = self._recent_latency_us(query) if low_traffic else self._queueing_delay_us(query)
        first_us = step_us
        if low_traffic and spec.required_fraction > RECENT_QUANTILE and part_count > RECENT_QUANTILE_PARTS:
            # The slowest of many parts lies further from the rank than that of a few, as of a second step.
            first_us = step_us * log(part_count) / log(RECENT_QUANTILE_PARTS)
        slow_shard_us = self._slow_shard_latency_us(query, 0 if low_traffic else BUSY_IN_FLIGHT)
        expected_us = max(first_us, slow_shard_us) + (steps - 1) * step_us
        left_us = max(query.objective_at_us - self.now, 0)
        return expected_us > shed_fraction * min(left_us, self.shortest_objective_us * steps)

    def _priority_density_rank(self, query: Query) -> float:
        """The fraction of the latest queries that have less priority for their work."""
        spec = query.spec
        density = spec.priority_weight * self._quota_weight(query)
        density *= 1.0 if query.objective_at_us > self.now else spec.late_weight
        if not self.settings.weight_by_work:
            density /= max(query.work * self.mean_latency_us[query.query_class].value, 1e-9)
        return self.recent_priority_densities.rank(density)

    def _queueing_delay_us(self, query: Query) -> float:
        """Little's law, parts in flight over the rate of responses, where endpoints hold several of ours."""
        usable = [e for e in self.endpoints.values() if e.live and ALL_CLASSES not in e.ejections]
        rate = max(self._completion_rate(), RATE_FLOOR_FRACTION * self.best_completion_rate)
        if not rate or sum(len(e.in_flight) + self._penalty(e) for e in usable) < len(self.endpoints):
            return 0.0
        replicas = [self._select_replica(part) for part in query.parts]
        loads = sorted(len(e.in_flight) + self._penalty(e) if e else len(usable) for e in replicas)
        loads = loads[: max(1, int(len(loads) * query.spec.required_fraction + 0.999))]
        return sum(loads) / len(loads) * len(usable) / rate

    def _slow_shard_latency_us(self, query: Query, least_load: int) -> float:
        """A shard whose replicas are all slow and busy holds its query up, however idle the rest are."""
        if query.spec.required_fraction < 1:
            return 0.0
        # An older latency doesn't count: a jam's yardstick would refuse all, unseen to be over.
        edge_us = self.now - LATENCY_FADE_OBJECTIVES * self.shortest_objective_us
        latencies_us = [0.0]
        for part in query.parts:
            endpoint = self._select_replica(part)
            if endpoint and self._load(endpoint) >= least_load:
                if endpoint.relative_latency.updated_at_us > edge_us:
                    latencies_us.append(self._relative_latency(endpoint) * self._expected_latency_us(part))
        return max(latencies_us)

    def _recent_latency_us(self, query: Query) -> float:
        """The slowest needed part's time by recent latencies, those in flight counting by their age: it shows
        overload to a broker that sees little of each endpoint, unmoved by a few unhealthy ones."""
        edge_us = self.now - RECENT_OBJECTIVES * self.shortest_objective_us
        ratios = [0.0] * RECENT_PRIOR_SAMPLES + self.recent_latencies.since(edge_us)
        for attempt in self.attempts_in_flight.values():
            if attempt.outcome is None and attempt.sent_at_us > edge_us:
                ratios.append(self._latency_ratio(attempt, self.now - attempt.sent_at_us))
        ratios.sort()
        part_count = len(query.parts)
        quantile = min(query.spec.required_fraction * part_count / (part_count + 1), RECENT_QUANTILE)
        mean_us = sum(self._expected_latency_us(part) for part in query.parts) / part_count
        return ratios[int(len(ratios) * quantile)] * mean_us

    def _record_latency(self, attempt: Attempt, latency_us: float) -> None:
        """Keep a latency for as long as it counts as recent."""
        self.recent_latencies.add(self.now, attempt.sent_at_us, self._latency_ratio(attempt, latency_us))

    def _latency_ratio(self, attempt: Attempt, latency_us: float) -> float:
        expected_us = self._expected_latency_us(attempt.part)
        return latency_us / expected_us if expected_us else 1.0

    def _expected_latency_us(self, part: Part) -> float:
        """The mean latency of the class, corrected by the hint: hints are rough, some wild."""
        mean_us = self.mean_work_hint_us[part.query.query_class].value
        hint_us = part.work_hint_us
        correction = WORK_HINT_WEIGHT * (hint_us / mean_us - 1) if hint_us and mean_us else 0.0
        return self.mean_latency_us[part.query.query_class].value * (1 + correction)

    def _quota_weight(self, query: Query) -> float:
        """Over its quota a tenant's queries are worth little: as large a fraction of them as lies over it."""
        if query.tenant >= len(self.tenant_rates) or not self.settings.tenants[query.tenant].quota_rps:
            return 1.0
        count = self.tenant_rates[query.tenant]
        count.add(self.now, 1.0, self.rate_window_us)
        quota_per_us = self.settings.tenants[query.tenant].quota_rps / 1e6 / self.settings.aggregator_count
        quota = quota_per_us * self.rate_window_us
        return self.settings.over_quota_weight if self.random.random() * count.value > quota else 1.0

    def _required_weight(self, query: Query) -> float:
        spec = query.spec
        if query.step > 1:
            return 1.0
        if query.truncated:
            return spec.least_fraction
        # Of parts that can't be had now the caller gives none: what was given is all that can come.
        if query.offered_weight > spec.required_fraction - 1e-3:
            return spec.required_fraction
        return max(query.offered_weight, spec.minimum_fraction)

    def _part_rank(self, part: Part) -> tuple[float, ...]:
        endpoint = self._select_replica(part)
        if endpoint is None:
            return (1e9, 0, 0)
        return (self._load(endpoint), self._tie_break(endpoint)[1], self.random.random())

    def _canary_rank(self, part: Part) -> int:
        """Least for the part whose replica was last seen to respond."""
        endpoint = self._select_replica(part)
        return -endpoint.last_answer_at_us if endpoint else 1

    # Replica selection

    def _select_replica(self, part: Part) -> Endpoint | None:
        """The usable replica with the least load; ties by :meth:`_tie_break`."""
        busy = {attempt.endpoint.node for attempt in part.in_flight()}
        tried = {attempt.endpoint.node for attempt in part.attempts}
        class_keys = {ALL_CLASSES, part.query.query_class}
        allowed = [e for e in self._replicas(part) if e.live and not e.excluded_for & class_keys]
        available = [e for e in allowed if e.node not in busy and self._has_slow_start_capacity(e)]
        # Ejected replicas and those this part has tried are left out, unless no other is there.
        healthy = [e for e in available if self._accepts_attempts(e, part.query.query_class)]
        # Deprioritized ones (across a slow link, say) serve where no other can.
        healthy = [e for e in healthy if not e.deprioritized_for & class_keys] or healthy
        untried = [e for e in healthy if e.node not in tried]
        candidates = untried or healthy or available
        return min(candidates, key=lambda e: (self._load(e), *self._tie_break(e)), default=None)

    def _replicas(self, part: Part) -> list[Endpoint]:
        group_count, copies = self.settings.replica_groups, self.settings.groups_per_shard
        groups = [(part.shard + step) % group_count for step in range(copies)]
        return [endpoint for group in groups for endpoint in self.endpoints_by_group.get(group, [])]

    def _load(self, endpoint: Endpoint) -> int:
        """Own calls in flight, and on top the penalties: the exceptions that act on the load itself."""
        outlier_charge = int(self._relative_latency(endpoint) / OUTLIER_LATENCY_RATIO)
        return len(endpoint.in_flight_by_call) + int(self._penalty(endpoint) + 0.5) + outlier_charge

    def _tie_break(self, endpoint: Endpoint) -> tuple[float, ...]:
        on_trial = any(ejection.half_open for ejection in endpoint.ejections.values())
        zone_latency = 0.0 if endpoint.zone == self.settings.zone else OTHER_ZONE_LATENCY
        latency = 0.0 if on_trial else self._relative_latency(endpoint) + zone_latency
        return (len(endpoint.in_flight), latency, self.random.random())

    def _penalty(self, endpoint: Endpoint) -> float:
        """What cancelled and failed attempts may still cost: such an endpoint only looks idle."""
        return endpoint.penalty.at(self.now, self._memory_us(PENALTY_FADE_OBJECTIVES))

    def _add_penalty(self, endpoint: Endpoint) -> None:
        endpoint.penalty.add(self.now, 1.0, self._memory_us(PENALTY_FADE_OBJECTIVES))

    def _relative_latency(self, endpoint: Endpoint) -> float:
        """Recent latency against the expected one (1.0), drifting back to it when unused."""
        return endpoint.relative_latency.at(self.now, self._memory_us(LATENCY_FADE_OBJECTIVES))

    def _memory_us(self, objectives: float) -> float:
        """How long what an endpoint did counts: so many objectives, or until it is met again if later."""
        return max(objectives * self.shortest_objective_us, self.revisit_interval_us)

    # Sending, hedges and retries

    def _try_send(self, part: Part) -> bool:
        """Send the part to its replica of least load, or try again shortly when none may be sent to."""
        over = self.now >= part.query.deadline_us - self.settings.tick_us
        if over or (part.attempts and not self._may_send_again(part)):
            return False
        if part.is_hedge and not part.attempts and not self._check_additional_quota():
            return False
        endpoint = self._select_replica(part)
        if endpoint is None:
            if not part.waiting:
                self._wait(part, max(self._retry_wait_us(part), self.settings.tick_us))
            return False
        self._send(part, endpoint)
        return True

    def _may_send_again(self, part: Part, *, assume_budget: bool = False) -> bool:
        """The rules on an additional attempt: limits, the class's idempotency, and the retry budget."""
        if len(part.attempts) >= self.settings.max_attempts or self.now > self._send_by_us(part):
            return False
        if part.in_flight() and not (self.settings.hedging_allowed and part.query.spec.allows_duplicates):
            return False
        free = assume_budget or bool(part.attempts) and part.attempts[-1].outcome in FREE_OUTCOMES
        return self._has_retry_budget(free=free) and (assume_budget or self._check_additional_quota())

    def _send_by_us(self, part: Part) -> int:
        """Up to when an attempt may leave: what may have run is repeated as its idempotency allows."""
        spec, deadline_us = part.query.spec, part.query.deadline_us
        sent_at_us = [attempt.sent_at_us for attempt in part.attempts if attempt.may_have_run()]
        if not sent_at_us or spec.idempotency == Idempotency.IDEMPOTENT:
            return deadline_us
        window_ends_at_us = min(sent_at_us) + spec.idempotency_window_us
        return min(deadline_us, window_ends_at_us) if spec.allows_duplicates else -1

    def _check_additional_quota(self) -> bool:
        """Whether a quota that all aggregators share, if there is one, leaves us an additional attempt."""
        if self.additional_quota is not None and self.additional_quota < 1:
            self.actions.append(actions.QuotaExhausted())
            return False
        return True

    def _has_retry_budget(self, *, free: bool = False) -> bool:
        """The stated budget, and our own: when many parts need additional attempts these feed an overload.
        What was lost with its connection was not late, what reached no endpoint is no load: our own is not
        for these. It is a guess at what all may do, and so stands back where a quota is told."""
        earned = self.settings.additional_attempt_ratio * self.admitted.count(self.now)
        limit = self.settings.free_additional_attempts + earned
        unlimited = not self.settings.attempt_budget_window_us
        own = free or self.retry_budget.has_token() or self.additional_quota is not None
        return own and (unlimited or self.additional.count(self.now) + 1 <= limit)

    def _send(self, part: Part, endpoint: Endpoint) -> None:
        additional = bool(part.attempts) or part.is_hedge
        slow_start = self.slow_start_quota is not None and self.slow_start_fraction(endpoint) < 1
        send_by_us = self._send_by_us(part)
        if additional and self.additional_quota is not None:
            self.additional_quota -= 1
        if slow_start and self.slow_start_quota:
            self.slow_start_quota[endpoint.node] -= 1
        if part.attempts:
            if part.attempts[-1].outcome not in FREE_OUTCOMES:
                self.retry_budget.spend()
            self.additional.add(self.now)
        else:
            self.retry_budget.earn(RETRY_BUDGET_RATIO)
        attempt = endpoint.add_attempt(part, self.now, self.last_call + 1, self.settings.parts_per_call)
        self.last_call = max(self.last_call, attempt.call_id)
        self.attempts_in_flight[part.id, attempt.seq] = attempt
        self.actions.append(actions.Send(part.id, endpoint.node, additional, slow_start, send_by_us))
        left_us = max(part.query.objective_at_us - self.now, part.query.spec.latency_objective_us // 2)
        self._schedule(self.now + int(left_us * LATE_FRACTION), "late", attempt)

    def _on_late_attempt(self, attempt: Attempt) -> None:
        """Send an unsent part instead, else hedge, else cancel and send again."""
        self._eject_if_silent(attempt)
        part, query, endpoint = attempt.part, attempt.part.query, attempt.endpoint
        if not self._is_awaited(part) or self._handle_query_of_death(query):
            return
        recheck_at_us = self.now + int(LATE_RECHECK_OBJECTIVES * query.spec.latency_objective_us)
        if not self._check_additional_quota():
            self._schedule(recheck_at_us, "late", attempt)
            return
        if self._send_hedge(query) or self._select_replica(part) in (None, endpoint):
            return
        if not query.spec.allows_duplicates:
            return
        if self.settings.hedging_allowed:
            self._try_send(part)
            return
        may_cancel = self.settings.cancellation_allowed and attempt is part.attempts[-1]
        if not may_cancel or len(part.attempts) >= self.settings.max_attempts:
            return
        # An endpoint that responds in turn will come to this part: cancelling it would pay twice.
        in_turn = endpoint.last_answered_send_at_us <= attempt.sent_at_us < endpoint.last_answer_at_us
        if in_turn or not self._has_retry_budget():
            self._schedule(recheck_at_us, "late", attempt)
            return
        keyed = query.spec.idempotency == Idempotency.KEYED
        if keyed and self.now + self.settings.tick_us > self._send_by_us(part):
            return
        self._cancel(attempt)
        self._try_send(part)

    def _send_hedge(self, query: Query) -> bool:
        """Send the unsent part whose replica has the least load."""
        unsent = query.unsent_parts()
        if not unsent or query.step != 1:
            return False
        part = min(unsent, key=self._part_rank)
        part.is_hedge = True
        sent = self._try_send(part)
        part.is_hedge = sent or part.waiting
        return sent

    def _cancel(self, attempt: Attempt) -> None:
        """Stop waiting; the endpoint may still work at it, so its load turns into a fading penalty."""
        attempt.outcome = Outcome.CANCELLED
        attempt.endpoint.release(attempt)
        self._add_penalty(attempt.endpoint)
        self.actions.append(actions.Cancel(attempt.part.id, attempt.seq))

    # Outcomes

    def _on_attempt_ended(self, event: events.AttemptEnded) -> None:
        attempt = self.attempts_in_flight.pop((event.id, event.seq), None)
        if attempt is None:
            return
        attempt.outcome = attempt.outcome or event.outcome
        attempt.endpoint.release(attempt)
        part, query = attempt.part, attempt.part.query
        query.broken_connections += attempt.outcome == Outcome.BROKEN
        if event.outcome == Outcome.OK:
            self._record_response(attempt, event.elapsed_us)
            if self._record_part(part) and query.id in self.queries and not query.answered:
                query.answered = True
                self._resume(query)
            return
        self._record_failure(attempt, event.outcome)
        if not self._is_awaited(part) or event.outcome == Outcome.CANCELLED or part.in_flight():
            return
        if self._handle_query_of_death(query):
            return
        # A query of death must not take both replicas of a shard: another part goes first, this one later.
        if event.outcome == Outcome.BROKEN and not query.answered and self._send_hedge(query):
            return
        # A part that errors is replaced: by itself where the class allows, else by an unsent one.
        if self._try_send(part) or part.waiting or self._send_hedge(query):
            return
        if not self._wait_for_retry_budget(part):
            self._abandon_if_unanswerable(query)

    def _wait_for_retry_budget(self, part: Part) -> bool:
        """Wait where only our own budget keeps the part from another attempt that can meet the objective:
        abandoned now, its client would ask for all parts anew."""
        if part.waiting:
            return True
        wait_us, quota = self._retry_wait_us(part), self.additional_quota
        has_budget = self.retry_budget.has_token() if quota is None else quota >= 1
        too_late = self.now + wait_us + self._expected_latency_us(part) > part.query.objective_at_us
        if has_budget or too_late or not self._may_send_again(part, assume_budget=True):
            return False
        self._wait(part, wait_us)
        return True

    def _retry_wait_us(self, part: Part) -> int:
        return int(RETRY_WAIT_OBJECTIVES * part.query.spec.latency_objective_us)

    def _wait(self, part: Part, wait_us: int) -> None:
        part.waiting = True
        self._schedule(self.now + wait_us, "wait", part)

    def _is_awaited(self, part: Part) -> bool:
        """Whether the part's response would still count."""
        return part.query.id in self.queries and not part.done and part.step == part.query.step

    def _record_part(self, part: Part) -> bool:
        """Count the part's weight, once; returns whether it did now."""
        if not self._is_awaited(part):
            return False
        part.done = True
        part.query.received_weight += part.weight
        self._answer_if_enough(part.query)
        return True

    def _handle_query_of_death(self, query: Query) -> bool:
        """A query that broke a connection and has no response may crash each endpoint that begins it: it
        waits for its parts in flight, is tried once more, and then abandoned."""
        if query.answered or not query.broken_connections:
            return False
        if query.in_flight():
            return True
        if query.broken_connections < QUERY_OF_DEATH_CONNECTIONS:
            return False
        self._abandon(query)
        return True

    def _resume(self, query: Query) -> None:
        """The first response clears the query: parts held back or broken meanwhile are sent."""
        for part in query.parts:
            if part.attempts and not (part.done or part.waiting or part.in_flight()):
                self._try_send(part)
        self._send_step(query)

    def _abandon_if_unanswerable(self, query: Query) -> None:
        """Abandon a query at once when what is in, in flight, waiting or unsent can't make an answer."""
        if query.reachable_weight() < query.least_weight() - 1e-6:
            self._abandon(query)

    def _answer_if_enough(self, query: Query) -> None:
        """Answer once the required weight is in; the first answer of two brings the second step's parts."""
        if query.received_weight >= self._required_weight(query) - 1e-6:
            query.complete = query.complete and query.received_weight >= query.complete_weight() - 1e-6
            self._answer(query)

    def _answer(self, query: Query) -> None:
        self.actions.append(actions.Answer(query.id, query.complete))
        if not query.is_last_step():
            query.step, query.received_weight = 2, 0.0
        else:
            self._remove_query(query)

    def _remove_query(self, query: Query) -> None:
        """The query has ended; what is in flight stays counted until its outcome comes."""
        self.queries.pop(query.id, None)
        self.jobs.pop(query.job, None)

    # Outlier detection

    def _accepts_attempts(self, endpoint: Endpoint, query_class: int) -> bool:
        ejections = [endpoint.ejections.get(key) for key in (ALL_CLASSES, query_class)]
        return all(e is None or (e.half_open and endpoint.all_sent_before(e.ends_at_us)) for e in ejections)

    def _eject(self, endpoint: Endpoint, key: int, reason: str) -> None:
        """Eject, for longer each time in a row; a trial begins when the time is up."""
        previous = endpoint.ejections.get(key)
        if previous and not previous.half_open:
            return
        duration_us = self._memory_us(EJECTION_FIRST_OBJECTIVES)
        if previous:
            duration_us = min(2 * previous.duration_us, self._memory_us(EJECTION_MAXIMUM_OBJECTIVES))
        cause = previous.disconnect_reason if previous else ""
        unreachable = reason in (NO_CONNECTION, NO_PROBE) or not self.settings.probing_allowed
        if unreachable and cause != NO_CONNECTION:
            cause = reason
        ejection = endpoint.ejections[key] = Ejection(self.now, int(duration_us), disconnect_reason=cause)
        self._schedule(ejection.ends_at_us, "trial", endpoint)
        self._log("eject " + endpoint.node, f"server {endpoint.node} ejected: {reason}")

    def _half_open_ejections(self, endpoint: Endpoint) -> None:
        for key, ejection in endpoint.ejections.items():
            if not ejection.half_open and self.now >= ejection.ends_at_us:
                if key == ALL_CLASSES and self.settings.probing_allowed and endpoint.live:
                    self.actions.append(actions.Probe(endpoint.node))
                else:
                    ejection.half_open = True

    def _on_probe_ended(self, event: events.ProbeEnded) -> None:
        endpoint = self.endpoints.get(event.node)
        ejection = endpoint.ejections.get(ALL_CLASSES) if endpoint else None
        if endpoint is None or ejection is None or ejection.half_open:
            return
        ejection.half_open = True
        if event.outcome != Outcome.OK:
            self._eject(endpoint, ALL_CLASSES, NO_PROBE)

    def _eject_if_silent(self, attempt: Attempt) -> None:
        """Eject an endpoint that has sent no response since this late attempt while others have."""
        endpoint = attempt.endpoint
        silence_us = OUTLIER_SILENCE_LATENCIES * self._expected_latency_us(attempt.part)
        if attempt.outcome is None and self.now - attempt.sent_at_us < silence_us:
            self._schedule(int(attempt.sent_at_us + silence_us) + 1, "silent", attempt)
            return
        others_respond = endpoint.last_answer_at_us < attempt.sent_at_us <= self.last_answer_at_us
        # At low traffic the stuck part's own load keeps a second one away: a time-out says it alone.
        timed_out = attempt.outcome == Outcome.TIMED_OUT
        stuck = sum(a.sent_at_us > endpoint.last_answer_at_us for a in endpoint.in_flight.values())
        if others_respond and (timed_out or stuck >= OUTLIER_SILENT_ATTEMPTS) and self._may_eject_more():
            self._eject(endpoint, ALL_CLASSES, "silent while others answer")

    def _may_eject_more(self) -> bool:
        """Whether enough others are left: most of them silent or full is overload, not a fault of theirs."""
        live = [endpoint for endpoint in self.endpoints.values() if endpoint.live]
        ejected = sum(ALL_CLASSES in endpoint.ejections for endpoint in live)
        return ejected < EJECTION_MAXIMUM_FRACTION * len(live)

    def _record_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        endpoint, query_class = attempt.endpoint, attempt.part.query.query_class
        if outcome == Outcome.TIMED_OUT:
            self._eject_if_silent(attempt)
        if outcome == Outcome.CONNECTION_LOST:
            # No load, no error of the endpoint's: only less of a pick among equals.
            fade_us = self._memory_us(LATENCY_FADE_OBJECTIVES)
            endpoint.relative_latency.add(self.now, CONNECTION_LOST_LATENCIES, LATENCY_GAIN, fade_us)
        if outcome in (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST):
            return
        self._add_penalty(endpoint)
        if outcome in (Outcome.UNREACHABLE, Outcome.BROKEN):
            self.canary_until_us = self.now + CANARY_OBJECTIVES * self.shortest_objective_us
            self._eject(endpoint, ALL_CLASSES, NO_CONNECTION)
        elif outcome == Outcome.REJECTED:
            # Had it waited for its turn it would have taken about the objective.
            self._record_latency(attempt, self.shortest_objective_us)
            if endpoint.add_error(ALL_CLASSES) >= OUTLIER_CONSECUTIVE_ERRORS and self._may_eject_more():
                self._eject(endpoint, ALL_CLASSES, "turns away all that comes")
        elif endpoint.add_error(query_class) >= OUTLIER_CONSECUTIVE_ERRORS:
            self._eject(endpoint, query_class, "errors in a row")

    def _record_response(self, attempt: Attempt, latency_us: int) -> None:
        """A response readmits the endpoint and tells its latency against the expected one."""
        endpoint, objective_us = attempt.endpoint, self.shortest_objective_us
        silence_us = endpoint.record_response(self.now, attempt.sent_at_us)
        self.last_answer_at_us = self.now
        self.completions.add(self.now, 1.0, self.rate_window_us)
        rate = self._completion_rate()
        if self.now > (self.started_at_us or 0) + self.rate_window_us and rate > self.best_completion_rate:
            # Kept with the endpoints that did it: any lost since must not make the others look larger.
            self.best_completion_rate, self.best_rate_rating = rate, self._live_rating()
        self._readmit(attempt, silence_us)
        self._record_latency(attempt, latency_us)
        expected_us = self._expected_latency_us(attempt.part)
        ratio = min(latency_us / expected_us, 20.0) if expected_us else 1.0
        # A broker that seldom meets any endpoint has but the last response or two of each to go by, and by
        # then an objective is long over: one of many brokers would find each unhealthy one at every visit.
        revisit_us = len(self.endpoints) / max(rate, self.best_completion_rate)
        seldom = revisit_us > objective_us
        self.revisit_interval_us = min(MEMORY_REVISITS * revisit_us, self.endpoint_memory_us) if seldom else 0
        pause_us = min(len(self.endpoints) / rate, self.now - endpoint.relative_latency.updated_at_us)
        forgotten = 1 - exp(-2 * pause_us / (LATENCY_FADE_OBJECTIVES * objective_us))
        gain = max(LATENCY_GAIN, LATENCY_GAIN_AFTER_PAUSE * forgotten)
        endpoint.relative_latency.add(self.now, ratio, gain, self._memory_us(LATENCY_FADE_OBJECTIVES))
        mean_latency_us = self.mean_latency_us[attempt.part.query.query_class]
        mean_latency_us.add(min(latency_us, 3 * expected_us or latency_us), MEAN_GAIN)

    def _readmit(self, attempt: Attempt, silence_us: int) -> None:
        endpoint = attempt.endpoint
        for key in (ALL_CLASSES, attempt.part.query.query_class):
            endpoint.consecutive_errors.pop(key, None)
            ejection = endpoint.ejections.get(key)
            if ejection is None or attempt.sent_at_us < ejection.ejected_at_us:
                continue
            del endpoint.ejections[key]
            if key == ALL_CLASSES:
                # Back from silence: it may have restarted unlisted, so it is taken to be in slow start.
                long_silent = silence_us > RESTART_SILENCE_OBJECTIVES * self.shortest_objective_us
                reason = ejection.disconnect_reason
                if reason == NO_CONNECTION or (reason and long_silent):
                    endpoint.slow_start_from_us = self.now
                self._log("back " + endpoint.node, f"server {endpoint.node} readmitted")

    # Slow start

    def slow_start_fraction(self, endpoint: Endpoint) -> float:
        """The fraction of its capacity that an endpoint has at least, by the settings' ramp."""
        initial, duration_us = self.settings.slow_start_capacity, self.settings.slow_start_duration_us
        if ALL_CLASSES in endpoint.ejections and endpoint.ejections[ALL_CLASSES].disconnect_reason:
            return initial  # it may be starting this moment
        began_at_us = max(endpoint.started_at_us or -1, endpoint.slow_start_from_us or -1)
        if began_at_us < 0 or not duration_us:
            return 1.0
        return min(1.0, initial + (1 - initial) * max((self.now - began_at_us) / duration_us, 0.0))

    def _completion_rate(self) -> float:
        """Parts a microsecond that had a response lately; a rejection shows no capacity."""
        window_us = self.rate_window_us
        windows = max(self.now - (self.started_at_us or 0), self.settings.tick_us) / window_us
        return self.completions.at(self.now, window_us) / (window_us * (1 - exp(-windows)))

    def _live_rating(self) -> float:
        return sum(endpoint.rating for endpoint in self.endpoints.values() if endpoint.live)

    def _minimum_completion_rate(self, endpoint: Endpoint) -> float:
        """Our share of what any endpoint does, one part after another by the hints: without responses yet,
        and without sending, there would be none until slow start is over."""
        hints = [mean.value for mean in self.mean_work_hint_us if mean.value]
        return endpoint.rating * len(hints) / (sum(hints) * self.settings.aggregator_count) if hints else 0.0

    def _has_slow_start_capacity(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint in slow start may be sent one more part: credit grows by our share of its ramp;
        the first is drawn, so that many brokers that each owe it less than a part don't all send at once."""
        settings, fraction = self.settings, self.slow_start_fraction(endpoint)
        if fraction >= 1 or not settings.overload_after_us or not settings.overload_multiple:
            endpoint.slow_start_credit = None
            return True
        if self.slow_start_quota is not None:  # the guess at our share below stands back where it is told
            return self.slow_start_quota.get(endpoint.node, 0) >= 1
        live_rating = max(self.best_rate_rating or self._live_rating(), 1e-9)
        share = endpoint.rating * (self.best_completion_rate or self._completion_rate()) / live_rating
        warm_rate = max(share, self._minimum_completion_rate(endpoint))
        rate = SLOW_START_BUDGET_FRACTION * settings.overload_multiple * fraction * warm_rate
        if endpoint.slow_start_credit is None:
            endpoint.start_slow_start_credit(self.now, self.random.random())
        limit = max(1.0, SLOW_START_BURST_FRACTION * rate * settings.overload_after_us)
        return endpoint.earn_slow_start_credit(self.now, rate, limit) >= 1.0

    # End of a query

    def _on_query_timer(self, query: Query, kind: str) -> None:
        """Give a partial answer if allowed and worth more than waiting, else end at the deadline. A first
        step is cut while a second still has time: answered at the deadline the query would be lost."""
        spec, received = query.spec, query.received_weight
        if kind == "cut":
            query.truncated = query.step == 1
            self._answer_if_enough(query)
            return
        enough = spec.allows_partial and received >= spec.minimum_fraction - 1e-6 and query.is_last_step()
        partial_weight = spec.partial_weight * received / spec.required_fraction if enough else 0.0
        if kind == "aim" and spec.late_weight > partial_weight:
            return
        if enough:
            query.complete = False
            self._answer(query)
        else:
            self._abandon(query)

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        """The client left: nobody waits for what is in flight."""
        if query := self.queries.get(event.id):
            for attempt in query.in_flight() if self.settings.cancellation_allowed else ():
                self._cancel(attempt)
            self._remove_query(query)

    def _on_shutdown_started(self, ends_at_us: int) -> None:
        """This aggregator ends then: a query with more time has only that."""
        for query in self.queries.values():
            if query.deadline_us > ends_at_us:
                query.deadline_us, query.objective_at_us = ends_at_us, min(query.objective_at_us, ends_at_us)
                self._schedule(ends_at_us - self.settings.tick_us, "deadline", query)

    def _abandon(self, query: Query) -> None:
        """End the query at once: rejected where a repeat is known to be harmless, else failed."""
        may_have_run = any(attempt.may_have_run() for attempt in query.attempts())
        if may_have_run and not query.spec.allows_duplicates:
            self.actions.append(actions.Fail(query.id))
        else:
            # Retry after about one objective, or what clients heed, spread so that they don't come at once.
            longest_us = min(query.spec.latency_objective_us, self.settings.max_retry_after_us)
            after_us = int(longest_us * self.random.uniform(0.5, 1.0))
            advised = self.settings.retry_advice_allowed
            self.actions.append(actions.Reject(query.id, after_us if advised else 0))
        self._remove_query(query)


def _is_current(basis: tuple[Endpoint, int] | None) -> bool:
    """Whether the count that a group's rank rests on is still the endpoint's."""
    return basis is None or len(basis[0].in_flight) == basis[1]
