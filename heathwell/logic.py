"""Every decision of heathwell; its settings, events and actions are in heathwell/interface.py.

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

from heathwell import interface as hw
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
from heathwell.state import Attempt, Bar, Due, Part, Query, Server

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
FREE = (hw.LOST, hw.UNREACHABLE, hw.NEVER_SENT)  # ends after which a further attempt is not of our own budget
RETRY_WAIT = 0.05  # aims before a part without a usable holder is tried again


class Aggregator:
    """Decides for one aggregator; `handle` is the only door."""

    def __init__(self, settings: hw.Settings, seed: int) -> None:
        self.cfg = settings
        self.random = random.Random(seed)
        self.revisit = 0.0
        self.now = self.last_call = 0
        self.began: int | None = None
        self.actions: list[hw.Action] = []
        self.servers: dict[str, Server] = {}
        self.cells: dict[int, list[Server]] = {}
        self.queries: dict[str, Query] = {}
        self.jobs: dict[int, Query] = {}
        self.strays: dict[tuple[str, int], Attempt] = {}
        self.due: TimerQueue[Due] = TimerQueue()
        self.armed: int | None = None
        self.aim = min(c.aim_us for c in settings.classes)
        self.tenants = [DecayingSum() for _ in settings.tenants]
        self.death_at: int | None = None
        self.mean_took = [RunningMean() for _ in settings.classes]
        self.mean_hint = [RunningMean() for _ in settings.classes]
        self.tries: list[deque[int]] = [deque(maxlen=TRIES) for _ in settings.classes]
        self.last_ok = -1
        self.taken = SlidingWindowCounter(settings.counted_over_us, includes_edge=False)
        self.further = SlidingWindowCounter(settings.counted_over_us, includes_edge=True)
        self.flow = DecayingSum()
        self.flow_best = self.flow_rating = 0.0
        self.worths = RecentRank(WORTHS)
        self.recent = SlidingWindowSamples(RECENT_SPAN * self.aim)
        self.budget = TokenBucket(FURTHER_MOST)
        # Pushed changes count as told at once: what a broken watch costs comes off the grace.
        within = settings.must_ask_us if settings.ask_mode else settings.drain_grace_us
        asks = (max(int(within * share), settings.tick_us) for share in (ASK_FIRST, ASK_MOST))
        self.ask_first, self.ask_most = asks
        self.ask_wait = self.ask_first
        self.asked_at: int | None = None
        self.topics = RateLimitedTopics(LOG_EVERY * self.aim, TOPICS)
        self.room: int | None = None
        self.cold_room: dict[str, int] | None = None

    def handle(self, now: int, events: list[hw.Event]) -> list[hw.Action]:
        """Take one batch of events and return the actions, both in order."""
        self.now, self.actions = now, []
        if self.began is None:
            self.began = now
        started: dict[str, Query] = {}
        for event in events:
            match event:
                case hw.AttemptEnded():
                    self._ended(event)
                case hw.PartArrived():
                    query = self._part(event)
                    if query:
                        started[query.id] = query
                case hw.QueryArrived():
                    self._query(event)
                case hw.FleetNews():
                    self._fleet(event)
                case hw.ProbeEnded():
                    self._probed(event)
                case hw.QueryExpired():
                    self._left(event)
                case hw.Ending():
                    self._curtail(event.until_us)
                case hw.Held():
                    self._held(event)
                case hw.Room():
                    self.room, self.cold_room = event.further, event.cold and dict(event.cold)
                case hw.Moot():
                    attempt = self.strays.get((event.id, event.seq))
                    if attempt:
                        self._part_in(attempt.part)
                case hw.TimerFired():
                    self.armed = None
        for query in started.values():
            if query.id in self.queries:
                self._open(query)
        while due := self.due.pop_due(now):
            self._wake(due.what, due.subject)
        next_at = self.due.next_at_us
        if next_at is not None and (self.armed is None or next_at < self.armed):
            self.armed = max(next_at, now + 1)
            self.actions.append(hw.SetTimer(self.armed, "due"))
        return self.actions

    def _held(self, event: hw.Held) -> None:
        """Parts whose every live holder is shut now are not waited for: their queries are answered from the
        rest where that makes an answer, else given up at once."""
        for server in self.servers.values():
            for held, nodes in ((server.avoid, event.avoid), (server.shut, event.shut)):
                (held.add if server.node in nodes else held.discard)(event.klass)
        for query in list(self.queries.values()) if event.shut else ():
            told = {EVERY, query.klass}
            pending = [p for p in query.parts if not (p.done or p.lost) and p.step == query.step]
            lost = [part for part in pending if self._shut_off(part, told)]
            for part in lost:
                part.lost = True
                query.given -= part.weight if query.step == 1 else 0.0
            if lost:
                self._doomed(query)
            if lost and query.id in self.queries and query.got > 0:
                self._settle(query)

    def _shut_off(self, part: Part, told: set[int]) -> bool:
        """Whether a part has live holders and all of them are shut."""
        live = [server for server in self._holders(part) if server.live]
        return bool(live) and all(server.shut & told for server in live)

    def _later(self, at: int, what: str, subject: object) -> None:
        self.due.schedule(at, Due(what, subject))

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
            case None if what == "ask" or self.now >= (self.asked_at or self.now) + self.ask_most:
                self._ask()

    def _log(self, about: str, text: str) -> None:
        """One line for the operators, at most one a topic in ten aims."""
        if self.topics.admit(about, self.now):
            self.actions.append(hw.Log(text))

    # Fleet view

    def _fleet(self, news: hw.FleetNews) -> None:
        if news.kind == hw.FAILED:
            # Guards the drain rule: without news we must keep asking; jitter keeps the callers apart.
            self.asked_at = None
            self.ask_wait = min(self.ask_wait * 2, self.ask_most)
            self._later(self.now + int(self.ask_wait * self.random.uniform(0.5, 1.0)), "ask", None)
            self._log("discovery", "discovery: call failed or subscription broke, asking again")
            return
        if news.kind == hw.FULL:
            listed = {entry.node for entry in news.servers}
            for server in self.servers.values():
                if server.node not in listed:
                    server.live, server.gone = False, server.gone or self.now
        for entry in news.servers:
            self._listed(entry)
        # Who left is known until it would be warm again and its parts have ended: then nothing hangs on it.
        kept_after = self.now - max(self.cfg.warm_within_us, KEPT * self.aim)
        left = [s for s in self.servers.values() if s.gone is not None and not s.out]
        for server in left:
            if server.gone is not None and server.gone < kept_after:
                del self.servers[server.node]
        self.cells = {}
        for server in self.servers.values():
            self.cells.setdefault(server.cell, []).append(server)
        if not news.asked and self.cfg.ask_mode:
            self._ask()
        elif news.asked:
            self.asked_at = None
            self.ask_wait = self.ask_first

    def _listed(self, entry: hw.ServerEntry) -> None:
        server = self.servers.get(entry.node)
        if server is None:
            if entry.state != hw.LIVE:
                return
            server = Server(entry.node, entry.cell, entry.zone, entry.rating, entry.since_us)
            self.servers[entry.node] = server
        elif entry.since_us and entry.since_us != server.since:
            # A new process: what was known of the old one is void, and it is cold.
            server.since, server.cold_from, server.credit = entry.since_us, None, None
            server.errors, server.bars, server.charge.value = {}, {}, 0.0
            server.pace.reset()
        if entry.state in (hw.LIVE, hw.DRAINING, hw.GONE):
            server.live = entry.state == hw.LIVE
            server.gone = (server.gone or self.now) if entry.state == hw.GONE else None
        server.cell, server.zone, server.rating = entry.cell, entry.zone, entry.rating

    def _ask(self) -> None:
        """Subscribe, and look again later in case no word comes back at all."""
        self.asked_at = self.now
        self.actions.append(hw.Watch())
        self._later(self.now + self.ask_most, "answer?", None)

    # Admission

    def _query(self, event: hw.QueryArrived) -> None:
        spec = self.cfg.classes[event.klass]
        self.taken.add(self.now)
        aim = spec.aim_us + int(spec.aim_stretch * (event.hint_us or 0))
        left = event.deadline_us - self.now
        # A try shorter than most of its class is a cut retry: its end tells when the client first asked.
        # First tries are alike, and not always the longest: a last try may have all the time that is left.
        tries = self.tries[event.klass]
        tries.append(TRIES * left // spec.limit_us)
        usual = Counter(tries).most_common(1)[0][0] * spec.limit_us / TRIES
        aim_at = min(self.now + aim, event.deadline_us)
        if left < CUT_TRY * usual and (event.retry or not self.cfg.marks_retry):
            aim_at = min(aim_at, event.deadline_us - spec.limit_us + aim)
        query = Query(
            event.id,
            event.job,
            event.klass,
            event.tenant,
            self.now,
            aim_at,
            event.deadline_us,
            spec.need * event.parts + spec.fetch,
        )
        self.queries[event.id] = self.jobs[event.job] = query
        self._later(event.deadline_us - self.cfg.tick_us, "deadline", query)
        if self.now + self.cfg.tick_us < query.aim_at < event.deadline_us:
            self._later(query.aim_at - self.cfg.tick_us, "aim", query)
        if spec.fetch and spec.min_share < spec.need:
            second = min(SECOND_STEP * self.mean_took[event.klass].value or spec.aim_us / 4, spec.aim_us / 2)
            self._later(query.aim_at - self.cfg.tick_us - int(second), "cut", query)

    def _part(self, event: hw.PartArrived) -> Query | None:
        self.taken.add(self.now)
        query = self.jobs.get(event.job)
        if query is None:
            return None
        part = Part(event.id, query, event.shard, event.weight, event.hint_us, query.step)
        query.parts.append(part)
        query.given += event.weight if query.step == 1 else 0.0
        self.mean_hint[query.klass].add(event.hint_us or 0, RATE_GAIN)
        return query

    def _open(self, query: Query) -> None:
        """Rank the step's parts by their replica's count and send the n needed, one by one."""
        if not query.answered and self._shed(query):
            self._give_up(query)
            return
        waiting = [p for p in query.parts if p.step == query.step and not p.tries and not p.waiting]
        # While servers die one part goes first, the others once it is answered: a deadly query costs one.
        wary = self.death_at is not None and self.now < self.death_at + WARY * self.aim
        need = self._need(query) if query.step > 1 or query.answered or not wary else 1e-5
        sent = sum(p.weight for p in query.parts if p.step == query.step and p.tries)
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
            groups.setdefault(part.shard % self.cfg.cells, []).append(part)
        yield from drain_by_rank(groups, self._group_rank, _count_stands, self.random)

    def _group_rank(self, group: list[Part]) -> GroupRank[tuple[Server, int] | None]:
        """A group's rank: its pick's, the tie the least of a draw a part; it rests on that server's count."""
        server = self._pick(group[0])
        if server is None:
            return GroupRank((1e9, 0, 0), None)
        tie = 1 - self.random.random() ** (1 / len(group))
        return GroupRank((self._load(server), self._tie(server)[1], tie), (server, len(server.out)))

    def _shed(self, query: Query) -> bool:
        """Load shedding: refuse at once what can't meet its aim at the pace of now, the least worth first."""
        steps = 2 if self.cfg.classes[query.klass].fetch else 1
        share = SHED_FROM + (SHED_ALL - SHED_FROM) * self._worth_rank(query)
        few = max(self._flow(), self.flow_best) * self.aim < COUNTS_TELL * len(self.servers)
        usual = self._recent_time(query) if few else self._queue_time(query)
        # The slowest of many parts lies further from the rank than that of a few, such as a second step's.
        many = few and self.cfg.classes[query.klass].need > SLOWEST and len(query.parts) > FEW_PARTS
        first = usual * log(len(query.parts)) / log(FEW_PARTS) if many else usual
        took = max(first, self._hot_time(query, 0 if few else HOT_COUNT)) + (steps - 1) * usual
        return took > share * min(max(query.aim_at - self.now, 0), self.aim * steps)

    def _worth_rank(self, query: Query) -> float:
        """The share of the latest queries that are worth less for their work."""
        spec = self.cfg.classes[query.klass]
        density = spec.worth * self._share_worth(query)
        density *= 1.0 if query.aim_at > self.now else spec.late_worth
        if not self.cfg.by_work:
            density /= max(query.work * self.mean_took[query.klass].value, 1e-9)
        return self.worths.rank(density)

    def _queue_time(self, query: Query) -> float:
        """Little's law, the parts out over the rate of answers, where servers hold several parts of ours."""
        known = [s for s in self.servers.values() if s.live and EVERY not in s.bars]
        speed = max(self._flow(), FLOW_LEAST * self.flow_best)
        if not speed or sum(len(s.out) + self._charge(s) for s in known) < len(self.servers):
            return 0.0
        need = self.cfg.classes[query.klass].need
        picks = [(part, self._pick(part)) for part in query.parts]
        loads = sorted(len(known) if s is None else len(s.out) + self._charge(s) for _, s in picks)
        loads = loads[: max(1, int(len(loads) * need + 0.999))]
        return sum(loads) / len(loads) * len(known) / speed

    def _hot_time(self, query: Query, least: int) -> float:
        """A shard whose holders are all slow and busy holds its query up, however idle the rest are."""
        if self.cfg.classes[query.klass].need < 1:
            return 0.0
        picks = [(part, self._pick(part)) for part in query.parts]
        edge = self.now - PACE_FADE * self.aim  # else a jam's yardstick would refuse all, unseen to be over
        busy = [(p, s) for p, s in picks if s and self._load(s) >= least and s.pace.updated_at_us > edge]
        slow = [self._pace(s) * self._usual(p) for p, s in busy]
        return max(slow, default=0.0)

    def _recent_time(self, query: Query) -> float:
        """What the slowest needed part takes by the latencies of late, those out counting by their age: tells
        overload to a broker that sees little of each server, unmoved by a few sick ones."""
        edge = self.now - RECENT_SPAN * self.aim
        seen = [0.0] * RECENT_LEAST + self.recent.since(edge)
        out = [a for a in self.strays.values() if a.outcome is None and a.sent > edge]
        seen += [self._ratio(a, self.now - a.sent) for a in out]
        need = self.cfg.classes[query.klass].need * len(query.parts) / (len(query.parts) + 1)
        seen.sort()
        usual = sum(self._usual(part) for part in query.parts) / len(query.parts)
        return seen[int(len(seen) * min(need, SLOWEST))] * usual

    def _remember(self, attempt: Attempt, took: float) -> None:
        """Keep a latency while its part counts as recent; shedding by counts never looks at them."""
        self.recent.add(self.now, attempt.sent, self._ratio(attempt, took))

    def _ratio(self, attempt: Attempt, took: float) -> float:
        usual = self._usual(attempt.part)
        return took / usual if usual else 1.0

    def _usual(self, part: Part) -> float:
        """The usual latency of the class, leaning to the hint: hints are rough, some wild."""
        mean = self.mean_hint[part.query.klass].value
        lean = HINT_TRUST * (part.hint / mean - 1) if part.hint and mean else 0.0
        return self.mean_took[part.query.klass].value * (1 + lean)

    def _share_worth(self, query: Query) -> float:
        """Over its share a tenant's queries are worth little: so many of them as lie over it."""
        if query.tenant >= len(self.tenants) or not self.cfg.tenants[query.tenant].quota_rps:
            return 1.0
        span = FLOW_SPAN * self.aim
        count = self.tenants[query.tenant]
        count.add(self.now, 1.0, span)
        quota = self.cfg.tenants[query.tenant].quota_rps / 1e6 / self.cfg.siblings * span
        return self.cfg.over_share_worth if self.random.random() * count.value > quota else 1.0

    def _need(self, query: Query) -> float:
        spec = self.cfg.classes[query.klass]
        # Of parts that can't be had now the caller gives none: what was given is all that can come.
        most = spec.need if query.given > spec.need - 1e-3 else max(query.given, spec.min_share)
        return 1.0 if query.step > 1 else min(spec.need, spec.min_share) if query.cut else most

    def _rank(self, part: Part) -> tuple[float, ...]:
        server = self._pick(part)
        return (self._load(server), self._tie(server)[1], self.random.random()) if server else (1e9, 0, 0)

    def _scout(self, part: Part) -> int:
        """The part that goes first alone: the one whose replica was last seen to answer."""
        server = self._pick(part)
        return -server.last_ok if server else 1

    # Replica choice

    def _pick(self, part: Part) -> Server | None:
        """The usable holder with the fewest own parts out; ties by `_tie`."""
        busy = {a.server.node for a in part.in_flight()}
        failed = {a.server.node for a in part.tries}
        told = {EVERY, part.query.klass}
        allowed = [s for s in self._holders(part) if s.live and not s.shut & told]
        open_to = [s for s in allowed if s.node not in busy and self._cold_room(s)]
        # Ejected servers and those this part has tried are left out, unless nobody else holds the shard.
        good = [s for s in open_to if self._usable(s, part.query.klass)]
        # Holders to be avoided (across a slow link, say) serve where no other can.
        good = [s for s in good if not s.avoid & told] or good
        fresh = [s for s in good if s.node not in failed]
        pool = fresh or good or open_to
        return min(pool, key=lambda server: (self._load(server), *self._tie(server)), default=None)

    def _holders(self, part: Part) -> list[Server]:
        cells = ((part.shard + step) % self.cfg.cells for step in range(self.cfg.width))
        return [server for cell in cells for server in self.cells.get(cell, [])]

    def _load(self, server: Server) -> int:
        """Own calls out, and on top the charges: the exceptions that act on the count itself."""
        return len(server.calls) + int(self._charge(server) + 0.5) + int(self._pace(server) / OUTLIER)

    def _tie(self, server: Server) -> tuple[float, ...]:
        trial = any(bar.trial for bar in server.bars.values())
        away = 0.0 if server.zone == self.cfg.zone else ZONE_TIE
        pace = 0.0 if trial else self._pace(server) + away
        return (len(server.out), pace, self.random.random())

    def _charge(self, server: Server) -> float:
        """What cancelled and failed attempts may still cost: such a server only looks idle."""
        return server.charge.at(self.now, self._known(CHARGE_FADE))

    def _add_charge(self, server: Server) -> None:
        server.charge.add(self.now, 1.0, self._known(CHARGE_FADE))

    def _pace(self, server: Server) -> float:
        """Recent latency against the fleet's usual (1.0), drifting back to it when unused."""
        return server.pace.at(self.now, self._known(PACE_FADE))

    def _known(self, aims: float) -> float:
        """How long what a server did is held for or against it (us): these aims, or until it is met again
        where that is later."""
        return max(aims * self.aim, self.revisit)

    # Sending, spares and retries

    def _place(self, part: Part) -> bool:
        """Send the part to the design's replica, or try again shortly when no holder may be sent to."""
        if self.now >= part.query.deadline - self.cfg.tick_us or (part.tries and not self._may_resend(part)):
            return False
        if part.spare and not part.tries and not self._fleet_room():
            return False
        server = self._pick(part)
        if server is None:
            if not part.waiting:
                part.waiting = True
                wait = int(RETRY_WAIT * self.cfg.classes[part.query.klass].aim_us)
                self._later(self.now + max(wait, self.cfg.tick_us), "wait", part)
            return False
        self._send(part, server)
        return True

    def _may_resend(self, part: Part, saved: bool = False) -> bool:
        """The rules on a further attempt: limits, the class's effects, and the attempt budget."""
        spec = self.cfg.classes[part.query.klass]
        if len(part.tries) >= self.cfg.max_attempts:
            return False
        if part.in_flight() and (not self.cfg.second_copies or spec.repeat == hw.UNSAFE):
            return False
        if self.now > self._repeat_until(part):
            return False
        free = saved or bool(part.tries) and part.tries[-1].outcome in FREE
        return self._budget_left(free) and (saved or self._fleet_room())

    def _repeat_until(self, part: Part) -> int:
        """Up to when an attempt may leave: what may have run is repeated as its class's effect allows."""
        spec, deadline = self.cfg.classes[part.query.klass], part.query.deadline
        risky = [a.sent for a in part.tries if a.outcome not in hw.NEVER_RAN]
        until = {hw.KEYED: min(risky, default=deadline) + spec.dedup_us, hw.UNSAFE: -1 if risky else deadline}
        return min(deadline, until.get(spec.repeat, deadline))

    def _fleet_room(self) -> bool:
        """Where all aggregators share a budget of further attempts, whether it leaves us one."""
        if self.room is not None and self.room < 1:
            self.actions.append(hw.Lacked())
            return False
        return True

    def _budget_left(self, free: bool = False) -> bool:
        """The stated budget, and our own: when many parts need further attempts these feed an overload. What
        was lost with its connection was not late, what met nobody is no load: our own is not for these. It is
        a guess at what all may do, and so stands back where that is told."""
        most = self.cfg.free_resends + self.cfg.further_ratio * self.taken.count(self.now)
        own = free or self.budget.has_token() or self.room is not None
        return own and (not self.cfg.counted_over_us or self.further.count(self.now) + 1 <= most)

    def _send(self, part: Part, server: Server) -> None:
        further, cold = bool(part.tries) or part.spare, self.cold_room is not None and self.warmth(server) < 1
        until = self._repeat_until(part)
        if further and self.room is not None:
            self.room -= 1
        if cold and self.cold_room:
            self.cold_room[server.node] -= 1
        if part.tries:
            if part.tries[-1].outcome not in FREE:
                self.budget.spend()
            self.further.add(self.now)
        else:
            self.budget.earn(FURTHER_SHARE)
        if server.call_at != self.now or server.call_room < 1:
            self.last_call += 1
            server.call_at, server.call_id, server.call_room = self.now, self.last_call, self.cfg.parts_a_call
        server.call_room -= 1
        server.calls[server.call_id] = server.calls.get(server.call_id, 0) + 1
        attempt = Attempt(part, len(part.tries), server, self.now, server.call_id)
        part.tries.append(attempt)
        server.out[part.id, attempt.seq] = self.strays[part.id, attempt.seq] = attempt
        if server.credit is not None:
            server.credit -= 1.0
        self.actions.append(hw.Send(part.id, server.node, further, cold, until))
        left = max(part.query.aim_at - self.now, self.cfg.classes[part.query.klass].aim_us // 2)
        self._later(self.now + int(left * LATE_SHARE), "late", attempt)

    def _late(self, attempt: Attempt) -> None:
        """At the half-aim mark: an unsent sibling steps in, else a copy, else cancel and resend."""
        self._silent(attempt)
        part, query = attempt.part, attempt.part.query
        if part.done or query.id not in self.queries or part.step != query.step:
            return
        if self._deadly(query):
            return
        if not self._fleet_room():
            self._later(self.now + int(RECHECK * self.cfg.classes[query.klass].aim_us), "late", attempt)
            return
        if self._spare(query):
            return
        spec = self.cfg.classes[query.klass]
        if self._pick(part) in (None, attempt.server):
            return
        if self.cfg.second_copies and spec.repeat != hw.UNSAFE:
            self._place(part)
        elif self.cfg.cancelling and spec.repeat != hw.UNSAFE and attempt is part.tries[-1]:
            if len(part.tries) >= self.cfg.max_attempts:
                return
            if not self._budget_left():
                self._later(self.now + int(RECHECK * spec.aim_us), "late", attempt)
                return
            # A server that answers in turn will come to this part: calling it off would pay twice.
            server = attempt.server
            if server.last_ok > attempt.sent and server.last_sent <= attempt.sent:
                self._later(self.now + int(RECHECK * spec.aim_us), "late", attempt)
                return
            if spec.repeat == hw.KEYED and self.now + self.cfg.tick_us > self._repeat_until(part):
                return
            self._cancel(attempt)
            self._place(part)

    def _spare(self, query: Query) -> bool:
        """Send the unsent part whose replica has the smallest count; k minus n a query at most."""
        unsent = [p for p in query.parts if p.step == query.step and not p.tries]
        if not unsent or query.step != 1:
            return False
        spare = min(unsent, key=self._rank)
        spare.spare = True
        placed = self._place(spare)
        spare.spare = placed or spare.waiting
        return placed

    def _cancel(self, attempt: Attempt) -> None:
        """Stop waiting; the server may still work at it, so the count turns into a fading charge."""
        attempt.outcome = hw.CANCELLED
        self._clear(attempt)
        self._add_charge(attempt.server)
        self.actions.append(hw.Cancel(attempt.part.id, attempt.seq))

    def _clear(self, attempt: Attempt) -> None:
        server = attempt.server
        if server.out.pop((attempt.part.id, attempt.seq), None) is None:
            return
        server.calls[attempt.call] -= 1
        if not server.calls[attempt.call]:
            del server.calls[attempt.call]

    # Outcomes

    def _ended(self, event: hw.AttemptEnded) -> None:
        attempt = self.strays.pop((event.id, event.seq), None)
        if attempt is None:
            return
        attempt.outcome = attempt.outcome or event.outcome
        self._clear(attempt)
        part = attempt.part
        query = part.query
        query.broke += attempt.outcome == hw.BROKEN
        if event.outcome == hw.OK:
            self._answered(attempt, event)
            if self._part_in(part) and query.id in self.queries and not query.answered:
                query.answered = True
                self._go_on(query)
            return
        self._judge(attempt, event.outcome)
        if query.id not in self.queries or part.done or part.step != query.step:
            return
        if event.outcome == hw.CANCELLED or part.in_flight():
            return
        if self._deadly(query):
            return
        # A deadly query must not take both holders of a shard: a sibling is tried, the part itself later.
        if event.outcome == hw.BROKEN and not query.answered and self._spare(query):
            return
        # A part that errors is replaced: by itself where the class allows, else by an unsent sibling.
        if not self._place(part) and not part.waiting and not self._spare(query) and not self._saves(part):
            self._doomed(query)

    def _saves(self, part: Part) -> bool:
        """Whether only our own budget keeps the part from a further attempt, and it may earn one while the
        aim can be met: given up now, its client would ask for all parts anew."""
        wait = int(RETRY_WAIT * self.cfg.classes[part.query.klass].aim_us)
        enough = self.budget.has_token() if self.room is None else self.room >= 1
        if enough or not self._may_resend(part, saved=True):
            return False
        if self.now + wait + self._usual(part) > part.query.aim_at:
            return False
        part.waiting = True
        self._later(self.now + wait, "wait", part)
        return True

    def _part_in(self, part: Part) -> bool:
        """The part's weight counts, once; true if it did now."""
        query = part.query
        if query.id not in self.queries or part.done or part.step != query.step:
            return False
        part.done = True
        query.got += part.weight
        self._settle(query)
        return True

    def _deadly(self, query: Query) -> bool:
        """A query that broke a connection and was answered by nobody may bring down each server that begins
        it: it waits for its parts still out, is tried once more, and then given up. Of a lost server's
        queries other parts are answered."""
        if query.answered or not query.broke:
            return False
        tries = [a for p in query.parts for a in p.tries]
        if query.broke < DEATHS and all(a.outcome is not None for a in tries):
            return False
        if all(a.outcome is not None for a in tries):
            self._give_up(query)
        return True

    def _go_on(self, query: Query) -> None:
        """The first answer clears the query: parts held back or broken meanwhile are sent."""
        for part in query.parts:
            if part.tries and not (part.done or part.waiting or part.in_flight()):
                self._place(part)
        self._open(query)

    def _doomed(self, query: Query) -> None:
        """End a query at once when what is in, out, waiting or unsent can't make an answer any more."""
        spec = self.cfg.classes[query.klass]
        floor = min(spec.min_share, spec.need) if query.step == 1 or spec.min_share < spec.need else 1.0
        reach = sum(p.weight for p in query.parts if p.step == query.step and p.can_contribute())
        if reach < floor - 1e-6:
            self._give_up(query)

    def _settle(self, query: Query) -> None:
        """Answer once n are in; the first answer of two brings the second step's parts."""
        if query.got >= self._need(query) - 1e-6:
            whole = self.cfg.classes[query.klass].need if query.step == 1 else 1.0
            query.whole = query.whole and query.got >= whole - 1e-6
            self._answer(query)

    def _answer(self, query: Query) -> None:
        self.actions.append(hw.Answer(query.id, query.whole))
        if query.step == 1 and self.cfg.classes[query.klass].fetch:
            query.step, query.got = 2, 0.0
        else:
            self._forget(query)

    def _forget(self, query: Query) -> None:
        """The query has ended; what is still out stays counted until its outcome comes."""
        self.queries.pop(query.id, None)
        self.jobs.pop(query.job, None)

    # Health

    def _usable(self, server: Server, klass: int) -> bool:
        for key in (EVERY, klass):
            bar = server.bars.get(key)
            if bar and not (bar.trial and all(a.sent < bar.since + bar.span for a in server.out.values())):
                return False
        return True

    def _bar(self, server: Server, key: int, why: str) -> None:
        """Eject, for longer each time in a row; a trial opens when the time is up."""
        old = server.bars.get(key)
        if old and not old.trial:
            return
        span = int(min(2 * old.span, self._known(BAR_MOST)) if old else self._known(BAR_SPAN))
        dead = why if why in (NO_CONNECTION, NO_PROBE) or not self.cfg.probing else old.dead if old else ""
        if old and old.dead == NO_CONNECTION:
            dead = old.dead
        server.bars[key] = Bar(self.now, span, dead=dead)
        self._later(self.now + span, "trial", server)
        self._log("eject " + server.node, f"server {server.node} ejected: {why}")

    def _half_open(self, server: Server) -> None:
        for key, bar in server.bars.items():
            if not bar.trial and self.now >= bar.since + bar.span:
                if key == EVERY and self.cfg.probing and server.live:
                    self.actions.append(hw.Probe(server.node))
                else:
                    bar.trial = True

    def _probed(self, event: hw.ProbeEnded) -> None:
        server = self.servers.get(event.node)
        bar = server.bars.get(EVERY) if server else None
        if server is None or bar is None or bar.trial:
            return
        bar.trial = True
        if event.outcome != hw.OK:
            self._bar(server, EVERY, NO_PROBE)

    def _silent(self, attempt: Attempt) -> None:
        """Eject a server that has answered nothing since this late send while others have."""
        server = attempt.server
        usual = self._usual(attempt.part)
        if attempt.outcome is None and self.now - attempt.sent < SILENT_TIMES * usual:
            self._later(int(attempt.sent + SILENT_TIMES * usual) + 1, "silent", attempt)
            return
        # At low traffic the stuck part's own count keeps a second one away: a time-out says it alone.
        timed_out = attempt.outcome == hw.TIMED_OUT
        stuck = SILENT_PARTS if timed_out else sum(a.sent > server.last_ok for a in server.out.values())
        if server.last_ok < attempt.sent <= self.last_ok and stuck >= SILENT_PARTS and self._may_bar():
            self._bar(server, EVERY, "silent while others answer")

    def _may_bar(self) -> bool:
        """Whether enough others are left: most of them silent or full is overload, not sick servers."""
        live = [server for server in self.servers.values() if server.live]
        return sum(EVERY in server.bars for server in live) < BAR_SHARE * len(live)

    def _judge(self, attempt: Attempt, outcome: str) -> None:
        server, klass = attempt.server, attempt.part.query.klass
        if outcome == hw.TIMED_OUT:
            self._silent(attempt)
        if outcome == hw.LOST:  # no load, no error of the server's: only less of a pick among equals
            server.pace.add(self.now, LOST_COST, PACE_GAIN, self._known(PACE_FADE))
        if outcome in (hw.CANCELLED, hw.NEVER_SENT, hw.TIMED_OUT, hw.LOST):
            return
        self._add_charge(server)
        if outcome in (hw.UNREACHABLE, hw.BROKEN):
            self.death_at = self.now
            self._bar(server, EVERY, NO_CONNECTION)
            return
        if outcome == hw.FULL_UP:  # had it waited for its turn it would have taken about the aim
            self._remember(attempt, self.aim)
            server.errors[EVERY] = server.errors.get(EVERY, 0) + 1
            if server.errors[EVERY] >= ERRORS_TO_BAR and self._may_bar():
                self._bar(server, EVERY, "turns away all that comes")
            return
        server.errors[klass] = server.errors.get(klass, 0) + 1
        if server.errors[klass] >= ERRORS_TO_BAR:
            self._bar(server, klass, "errors in a row")

    def _answered(self, attempt: Attempt, event: hw.AttemptEnded) -> None:
        """An answer: it readmits the server and tells its pace against the fleet's usual."""
        server, klass = attempt.server, attempt.part.query.klass
        gap = self.now - server.last_ok
        server.last_sent = max(server.last_sent, attempt.sent)
        server.last_ok = self.last_ok = self.now
        self.flow.add(self.now, 1.0, FLOW_SPAN * self.aim)
        if self.now > (self.began or 0) + FLOW_SPAN * self.aim and self._flow() > self.flow_best:
            # Kept with the fleet that did it: servers lost since must not make the others look larger.
            self.flow_best, self.flow_rating = self._flow(), self._rating()
        for key in (EVERY, klass):
            server.errors.pop(key, None)
            bar = server.bars.get(key)
            if bar and attempt.sent >= bar.since:
                del server.bars[key]
                if key == EVERY:
                    # Back from silence: it may have restarted unlisted, so it is treated as cold.
                    if bar.dead == NO_CONNECTION or (bar.dead and gap > COLD_SILENCE * self.aim):
                        server.cold_from = self.now
                    self._log("back " + server.node, f"server {server.node} readmitted")
        self._remember(attempt, event.elapsed_us)
        took, usual = event.elapsed_us, self._usual(attempt.part)
        ratio = min(took / usual, 20.0) if usual else 1.0
        # A broker that seldom meets any server has but the last answer or two of each to go by, and by then
        # an aim is long over: one of many brokers would find each sick server anew at every visit.
        way = len(self.servers) / max(self._flow(), self.flow_best)
        self.revisit = min(VISITS * way, self.cfg.warm_within_us or KEPT * self.aim) if way > self.aim else 0
        pause = min(len(self.servers) / self._flow(), self.now - server.pace.updated_at_us)
        gain = max(PACE_GAIN, PACE_MOST * (1 - exp(-2 * pause / (PACE_FADE * self.aim))))
        server.pace.add(self.now, ratio, gain, self._known(PACE_FADE))
        self.mean_took[klass].add(min(took, 3 * usual or took), RATE_GAIN)

    # Cold ramp

    def warmth(self, server: Server) -> float:
        """The share of its capacity that a server has at least, by the settings' ramp."""
        if EVERY in server.bars and server.bars[EVERY].dead:
            return self.cfg.start_capacity  # it may be starting this moment
        since = max(server.since or -1, server.cold_from or -1)
        if since < 0 or not self.cfg.warm_within_us:
            return 1.0
        age = (self.now - since) / self.cfg.warm_within_us
        return min(1.0, self.cfg.start_capacity + (1 - self.cfg.start_capacity) * max(age, 0.0))

    def _flow(self) -> float:
        """Parts a microsecond answered lately; answers, as what is turned away shows no capacity."""
        span = FLOW_SPAN * self.aim
        lived = max(self.now - (self.began or 0), self.cfg.tick_us) / span
        return self.flow.at(self.now, span) / (span * (1 - exp(-lived)))

    def _rating(self) -> float:
        return sum(s.rating for s in self.servers.values() if s.live)

    def _least_rate(self, server: Server) -> float:
        """Our share of what any server does, one part after another by the hints: who starts beside cold
        servers has seen no answers, and without sending would see none until they are warm."""
        hints = [mean.value for mean in self.mean_hint if mean.value]
        return server.rating * len(hints) / (sum(hints) * self.cfg.siblings) if hints else 0.0

    def _cold_room(self, server: Server) -> bool:
        """Whether a cold server may be sent one more part: credit grows by our share of its ramp; the first
        is drawn, so that many brokers that each owe it less than a part don't all send one at once."""
        warmth = self.warmth(server)
        if warmth >= 1 or not self.cfg.tip_after_us or not self.cfg.fall_multiple:
            server.credit = None
            return True
        if self.cold_room is not None:  # the guess at our share below stands back where it is told
            return self.cold_room.get(server.node, 0) >= 1
        fleet = max(self.flow_rating or self._rating(), 1e-9)
        usual = max(server.rating * (self.flow_best or self._flow()) / fleet, self._least_rate(server))
        rate = COLD_SHARE * self.cfg.fall_multiple * warmth * usual
        if server.credit is None:
            server.credit, server.credit_at = self.random.random(), self.now
        most = max(1.0, COLD_BURST * rate * self.cfg.tip_after_us)
        server.credit = min(server.credit + rate * (self.now - server.credit_at), most)
        server.credit_at = self.now
        return server.credit >= 1.0

    # Answer or give up

    def _overdue(self, query: Query, what: str) -> None:
        """At the aim or deadline: a partial answer if allowed and worth more than waiting, else the end. A
        first step is cut while a second still has time: answered at the deadline the query would be lost."""
        spec = self.cfg.classes[query.klass]
        if what == "cut":
            query.cut = query.step == 1
            self._settle(query)
            return
        got = query.got
        last_step = query.step > 1 or not spec.fetch
        enough = spec.min_share < spec.need and got >= spec.min_share - 1e-6 and last_step
        if what == "aim" and spec.late_worth > (spec.partial_worth * got / spec.need if enough else 0.0):
            return
        if enough:
            query.whole = False
            self._answer(query)
        else:
            self._give_up(query)

    def _left(self, event: hw.QueryExpired) -> None:
        """The client left: nobody waits for what is out."""
        query = self.queries.get(event.id)
        if query is None:
            return
        for attempt in [a for part in query.parts for a in part.in_flight()]:
            if self.cfg.cancelling:
                self._cancel(attempt)
        self._forget(query)

    def _curtail(self, until_us: int) -> None:
        """This aggregator ends then: a query with more time has only that."""
        for query in self.queries.values():
            if query.deadline > until_us:
                query.deadline, query.aim_at = until_us, min(query.aim_at, until_us)
                self._later(until_us - self.cfg.tick_us, "deadline", query)

    def _give_up(self, query: Query) -> None:
        """End the query at once: refused where a repeat is known to be harmless, else failed."""
        spec = self.cfg.classes[query.klass]
        ran = any(a.outcome not in hw.NEVER_RAN for p in query.parts for a in p.tries)
        if spec.repeat == hw.UNSAFE and ran:
            self.actions.append(hw.Fail(query.id))
        else:
            # Come back after about one aim, or what clients heed, spread so that they don't come at once.
            after = int(min(spec.aim_us, self.cfg.max_advice_us) * self.random.uniform(0.5, 1.0))
            self.actions.append(hw.Refuse(query.id, after if self.cfg.advise else 0))
        self._forget(query)


def _count_stands(basis: tuple[Server, int] | None) -> bool:
    """Whether the count that a group's rank rests on is still the server's."""
    return basis is None or len(basis[0].out) == basis[1]
