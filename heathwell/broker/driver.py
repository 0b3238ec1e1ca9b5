"""The driver: what happens on sockets goes to the module in batches, what it decides is carried out.

One batch is all that came in during one turn of the loop. The driver never drops, reorders or makes up
an outcome: each ``Send`` gets exactly one ``AttemptEnded``. Its only own time-out is the client's
deadline, at which what is still out for a query ends as timed out.
"""

from __future__ import annotations

import random
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from heathwell import interface as hw
from heathwell.admission import GO, WAIT, Costs, FairGate, Window
from heathwell.broker import keyspace
from heathwell.broker.discovery import DiscoveryClient
from heathwell.broker.hosts import HostLink, Key
from heathwell.broker.records import (
    ANSWERED,
    FAILED,
    MISS,
    REFUSED,
    Age,
    Coverage,
    OnReply,
    PartPlan,
    Plan,
    Reply,
    module_settings,
)
from heathwell.broker.sourceclock import ClockKeeper
from heathwell.codec import frames
from heathwell.coverage import Cover
from heathwell.eventlog import EventLog, NoEvents
from heathwell.freshness import Freshness, Policy, SourceClock, Watermark, make_token
from heathwell.kernel import Event, Listener, Loop, Net, Timer
from heathwell.logic import Aggregator
from heathwell.merge import Malformed, Row
from heathwell.regions import ClientDrain, Regions, Way, answerable
from heathwell.settings import Market
from heathwell.storms import Limits, Storms
from heathwell.storms.decider import TICK_US
from heathwell.vectors.wire import read_answer

LOOK_US = 25_000  # how often the links are looked at again
NO_TIME = 0.5  # of a class's usual time for a part: with less left no answer comes
MOST = 0.5  # of the shards within reach; a broker with less says that it is cut off
Calls = dict[str, list[list[frames.Ask]]]


@dataclass(slots=True)
class PartState:
    """A part of an open query; ``data`` once its answer is in."""

    id: str
    plan: PartPlan
    step: int
    attempts: int = 0
    data: bytes | None = None
    position: int = 0
    source_us: int = 0
    node: str = ""
    seq: int = -1
    known_age: bool = False
    turned_down: int = 0
    why: str = "not sent"
    nodes: list[str] = field(default_factory=list)


@dataclass(slots=True)
class QueryState:
    """A query from its arrival until its last attempt has ended."""

    id: str
    job: int
    plan: Plan
    started: int
    deadline: int
    on_reply: OnReply | None
    parts: dict[str, PartState] = field(default_factory=dict)
    out: dict[Key, str] = field(default_factory=dict)
    step: int = 1
    timer: Timer | None = None
    cut_off: tuple[PartPlan, ...] = ()
    queued: bool = False
    woken: bool = False
    who: str = ""


class Handle:
    """A front's hold on a query that it asked for."""

    __slots__ = ("_broker", "query")

    def __init__(self, broker: Broker, query: str) -> None:
        self._broker, self.query = broker, query

    def leave(self) -> None:
        """The client has left: no reply will be given."""
        self._broker.left(self.query)


class Broker:
    """One aggregator with its connections. ``name`` must be one of a kind among the brokers' runs."""

    def __init__(self, loop: Loop, net: Net, market: Market, *, name: str, zone: int, seed: int,
                 discovery: str, source: str = "", siblings: int = 1, events: EventLog | None = None,
                 log: Callable[..., None] | None = None, roster: tuple[hw.ServerEntry, ...] = ()) -> None:
        self.loop, self.net, self.market, self.name = loop, net, market, name
        self.events: EventLog = events or NoEvents()
        self.log = log or (lambda *_args, **_fields: None)
        self.settings = module_settings(market, zone, siblings)
        self.module = Aggregator(self.settings, seed)
        self.keys = keyspace.KeySpaces(market)
        self.random = random.Random(seed ^ 0x5EED)
        self.queries: dict[str, QueryState] = {}
        self.parts: dict[str, QueryState] = {}
        self.links: dict[str, HostLink] = {}
        self.held = self.jobs = 0
        self.stopping = self.dead = False
        self.idle = Event()
        fresh = market.freshness
        self.fresh: Freshness | None = None
        self.clock_keeper: ClockKeeper | None = None
        self.policies = [Policy(spec.wanted_age, spec.max_age, spec.stale) for spec in market.classes]
        self.explained: OrderedDict[str, dict[str, Any]] = OrderedDict()
        if fresh.on:
            self.fresh = Freshness(SourceClock(), self._holders)
            self.clock_keeper = ClockKeeper(loop, net, source or fresh.source, name, fresh.sync, self.fresh.clock,
                                            self.log)
        self.regions: Regions | None = None
        self._listed_regions: dict[str, str] = {}
        self._far: frozenset[str] = frozenset()
        self._bare: dict[int, int] = {}
        self._held_back: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._zone_region = {market.fleet.zones.index(name): region.name
                             for region in market.across.regions for name in region.zones}
        across = market.across
        if across.regions and (across.decide or across.prefer_home
                               or any(spec.across != "any" for spec in market.classes)):
            self.regions = Regions(
                self._zone_region[zone], [region.name for region in market.across.regions],
                min(spec.aim_us for spec in self.settings.classes), seed ^ 0x11A5,
                prefer=across.prefer_home, cross_most=across.cross_most, judge=across.decide,
                budget=across.cross_budget, ways=self._ways(self._zone_region[zone]))
            loop.call_at(loop.now() + LOOK_US, self._look_at_links)
        fronts = market.fronts
        self.costs = Costs()
        self.gate: FairGate | None = None
        if fronts.queue_target:
            window = Window(fronts.queue_target, 2.0 * fronts.queue_target * market.fleet.cells / siblings)
            self.gate = FairGate({"memcached": fronts.memcached, "vector": fronts.vector}, window, seed ^ 0xFA1E)
        self.storms: Storms | None = None
        if market.storms.on:
            said = market.storms
            self.storms = Storms(Limits(said.useful, said.repeat, said.accepts, said.first_accepts,
                                        float(said.first_rate)), loop.now(), seed ^ 0x570)
            self._most_hosts = 1
            loop.call_at(loop.now() + TICK_US, self._look_for_storms)
        self.points_seen: dict[str, dict[int, int]] = {}  # sizes of shards, by collection, as hosts told them
        self._gate_look: Timer | None = None
        self.client_drain = ClientDrain(across.let_go, seed ^ 0xD12A)
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.on_final: Callable[[QueryState, Reply, int], None] | None = None
        self.module_ns = 0
        self._inbox: list[hw.Event] = []
        self._replies: list[tuple[OnReply, Reply]] = []
        self._leaving: list[QueryState] = []
        self._handling = True  # until the first turn ends
        self._sent_at: dict[Key, int] = {}
        self.discovery = DiscoveryClient(loop, net, discovery, name, market.discovery.timeout,
                                         not market.discovery.ask, self._news, self.log)
        loop.at_turn_end(self._turn_end)
        self._push(hw.FleetNews(hw.FULL, roster, asked=False))
        self.discovery.start()

    # The front's side

    def ask(self, key: str, on_reply: OnReply, request: str = "", client: str = "") -> Handle | None:
        """Take a query; its one reply comes by ``on_reply``, never before this returns.

        A key that asks for nothing is a miss, and what can't be held is refused at the door with advice;
        neither reaches the module. Returns None in those cases. ``client`` is the client's address.
        """
        plan = self.keys.plan(key)
        if plan is None:
            self.loop.call_soon(on_reply, Reply(MISS, why="no such key space"))
            return None
        if plan.wrong:
            self.loop.call_soon(on_reply, Reply(FAILED, why=plan.wrong))
            return None
        return self.begin(plan, on_reply, request, client)

    def begin(self, plan: Plan, on_reply: OnReply, request: str = "", client: str = "") -> Handle | None:
        """Take a query by its plan; as :meth:`ask`."""
        key, spec = plan.key, self.settings.classes[plan.klass]
        who = f"{client}|{plan.subject}"
        if self.storms is not None:
            verdict = self.storms.asked(self.loop.now(), who, key, self._cost(plan))
            self.counts["asked as", verdict.kind] += 1
            if not verdict.admit:
                self._refuse_at_door(spec, key, request, on_reply, "storm", verdict.after_us)
                return None
        cap = self.settings.open_cap
        if self.stopping or (cap and self.held + 1 + len(plan.parts) > cap):
            self._refuse_at_door(spec, key, request, on_reply, "stopping" if self.stopping else "full",
                                 self._advice(plan, who))
            return None
        stated = plan.search.limit_us if plan.search is not None else 0
        limit = min(spec.limit_us, stated or spec.limit_us)
        if limit < spec.limit_us and limit - self.market.limits.transit < NO_TIME * self.module.mean_took[plan.klass]:
            # A client that stated less time than even a quick answer takes: refused before it costs anything.
            self._refuse_at_door(spec, key, request, on_reply, "no time", self._advice(plan, who))
            return None
        cut_off = self._cut_off(plan)
        if cut_off and 1 - sum(part.weight for part in cut_off) < spec.min_share - 1e-6:
            # Nothing to come can make an answer of it: refused at once, not at its deadline.
            self._refuse_at_door(spec, key, request, on_reply, "cut off", self._advice(plan, who))
            return None
        now = self.loop.now()
        self.jobs += 1
        query = QueryState(f"{self.name}.{self.jobs}", self.jobs, plan, now,
                           now + max(limit - self.market.limits.transit, self.market.limits.tick), on_reply,
                           cut_off=cut_off, who=who)
        self.queries[query.id] = query
        query.timer = self.loop.call_at(query.deadline, self._deadline, query)
        self.events("take", q=query.id, req=request, key=key, klass=spec.name, parts=len(plan.parts),
                    deadline=query.deadline - now, shards=[part.shard for part in plan.parts],
                    **({"wanted": plan.search.top.wanted, "least": plan.search.top.thresholds}
                       if plan.search is not None else {}))
        self.held += 1
        self._by_turn(query)
        return Handle(self, query.id)

    def _work(self, plan: Plan) -> int:
        """What a part is taken to cost its host (us)."""
        return plan.search.work if plan.search is not None else self.market.classes[plan.klass].work

    def _by_turn(self, query: QueryState) -> None:
        """Hand a new query to the module, at once or when its front's turn comes."""
        verdict = GO
        if self.gate is not None:
            spec, now, front = self._spec(query), self.loop.now(), query.plan.front
            patience = int(self.market.fronts.patience * min(spec.aim_us, query.deadline - now))
            if query.plan.search is not None and query.plan.search.patience_us:
                patience = min(query.plan.search.patience_us, (query.deadline - now) // 2)
            verdict = self.gate.offer(now, front, query.id, self._cost(query.plan), patience)
        if verdict == GO:
            self._enter(query)
        elif verdict == WAIT:
            query.queued = True
            self._look_at_gate()
        else:
            self.loop.call_soon(self._turned_away, query)

    def _turned_away(self, query: QueryState) -> None:
        """Refuse at once what would wait too long for its front's turn."""
        spec = self._spec(query)
        self.counts["crowded", query.plan.front, spec.name] += 1
        most = min(spec.aim_us, self.settings.max_advice_us or spec.aim_us)
        after = self.gate.advice(self.loop.now(), query.plan.front, most) if self.gate is not None else most
        query.queued = False
        after = self._advice(query.plan, query.who, after)
        self._reply(query, Reply(REFUSED, query.id, spec.name, after_us=after, why="crowded"))

    def _enter(self, query: QueryState) -> None:
        """Into the module."""
        work, plan = self._work(query.plan), query.plan
        query.queued = False
        self._push(hw.QueryArrived(query.id, query.job, plan.klass, query.deadline, len(plan.parts),
                                   hint_us=work * len(plan.parts)))
        self._add_parts(query, plan.parts, work, query.cut_off)

    def _look_at_gate(self) -> None:
        """Let go what may go now, refuse what has waited too long, and look again when the next would have."""
        if self.gate is None or self.dead:
            return
        now = self.loop.now()
        gone, late = self.gate.ready(now)
        for query_id in gone:
            query = self.queries.get(query_id)
            if query is not None and query.on_reply is not None:
                self._enter(query)
            else:
                self.gate.ended(now, query_id)
        for query_id in late:
            query = self.queries.get(query_id)
            if query is not None:
                self.loop.call_soon(self._turned_away, query)
        at = self.gate.next_look()
        if self._gate_look is not None:
            self._gate_look.cancel()
        self._gate_look = self.loop.call_at(max(at, now + 1000), self._look_at_gate) if at is not None else None

    def _cost(self, plan: Plan) -> float:
        """What a query is taken to cost its hosts in all (us)."""
        return float(self._work(plan) * max(1, int(len(plan.parts) * self.settings.classes[plan.klass].need + 0.999)))

    def _advice(self, plan: Plan, who: str, else_us: int = -1) -> int:
        """When a client that is refused may come back (us): by the storm decider's calendar, or after about an aim."""
        if self.storms is not None:
            return self.storms.advise(self.loop.now(), who, plan.key, self._cost(plan))
        if else_us >= 0:
            return else_us
        aim = self.settings.classes[plan.klass].aim_us
        return int(min(aim, self.settings.max_advice_us) * self.random.uniform(0.5, 1.0))

    def pace(self, listener: Listener) -> None:
        """Let the storm decider say when clients' connections are taken."""
        storms = self.storms
        if storms is not None:
            listener.pace = lambda: storms.accept_wait(self.loop.now())
            listener.on_accept = storms.accepted

    def _look_for_storms(self) -> None:
        """Let the storm decider look again."""
        if self.dead or self.storms is None:
            return
        now = self.loop.now()
        self.loop.call_at(now + TICK_US, self._look_for_storms)
        live = [server for server in self.module.servers.values() if server.live]
        self._most_hosts = max(self._most_hosts, len(live))
        warm = sum(self.module.warmth(server) for server in live) / self._most_hosts
        for state, why in self.storms.tick(now, warm):
            self.counts["storm", state] += 1
            self.events("storm", state=state, why=why)
            self.log("warning" if state == "storm" else "info", "storm decider", state=state, why=why)

    def _refuse_at_door(self, spec: hw.ClassSpec, key: str, request: str, on_reply: OnReply, why: str,
                        after: int) -> None:
        """Refuse with advice what never reaches the module."""
        self.counts["door", spec.name, why] += 1
        self.events("door", req=request, key=key, klass=spec.name, why=why)
        self.loop.call_soon(on_reply, Reply(REFUSED, klass=spec.name, after_us=after, why=why))

    def left(self, query_id: str) -> None:
        """A client went away."""
        query = self.queries.get(query_id)
        if query is not None and query.on_reply is not None:
            query.on_reply = None
            self.counts["left", self._spec(query).name] += 1
            self.events("left", q=query.id)
            if query.queued:
                query.queued = False
                self._closed(query)
                return
            self._push(hw.QueryExpired(query.id))
            self._leaving.append(query)  # the module may still name its parts until it has heard

    def stop(self) -> None:
        """Take nothing new; :attr:`idle` is set once nothing is held."""
        self.stopping = True
        self._check_idle()

    def kill(self) -> None:
        """What a SIGKILL leaves: nothing more is decided or sent (for fleets within one process)."""
        self.dead = True
        for query in self.queries.values():
            if query.timer is not None:
                query.timer.cancel()
        self.queries.clear()
        self.parts.clear()
        self.close()

    def close(self) -> None:
        """Let go of connections."""
        self.discovery.close()
        if self.clock_keeper is not None:
            self.clock_keeper.close()
        for link in self.links.values():
            link.close()

    # Towards the module

    def _push(self, event: hw.Event) -> None:
        if not self._inbox and self._handling:
            self.loop.call_soon(_nothing)  # what comes of handling a batch is the next turn's
        self._inbox.append(event)

    def _cut_off(self, plan: Plan) -> tuple[PartPlan, ...]:
        """Parts whose every live holder lies behind a link that is down, or that have had none for a while."""
        shut = self._held_back[1]
        if self.market.classes[plan.klass].across == "never":
            shut |= self._far
        if not shut and not self._bare:
            return ()
        long_ago = self.loop.now() - self.settings.classes[plan.klass].aim_us // 2
        return tuple(part for part in plan.parts if self._bare.get(part.shard, long_ago + 1) <= long_ago or (
            (holders := self._holders(part.shard)) and all(node in shut for node in holders)))

    def _find_bare(self) -> None:
        """Note the shards that no live host holds, and since when: waiting for one is worth half an aim."""
        if not self.dead:
            now = self.loop.now()
            self._bare = {shard: self._bare.get(shard, now) for shard in range(self.market.fleet.shards)
                          if not self._holders(shard)}

    def _look_at_links(self) -> None:
        """Let the region decider look again; the module is told when its holdings change."""
        if self.dead or self.regions is None:
            return
        now = self.loop.now()
        self.loop.call_at(now + LOOK_US, self._look_at_links)
        for node in self.regions.tick(now):
            self.counts["link probe",] += 1
            self._link(node).probe()
        self._tell_links(self.regions)
        held = self.regions.holdings(now)
        if held != self._held_back:
            self._held_back = held
            self._push(hw.Held(*held))

    def _hold_by_class(self) -> None:
        """Classes that may not cross, or only where home has nobody, have the far hosts held back for good."""
        assert self.regions is not None
        far = frozenset(node for node, region in self._listed_regions.items() if region != self.regions.home)
        if far == self._far:
            return
        self._far, nobody = far, frozenset[str]()
        for index, spec in enumerate(self.market.classes):
            if spec.across != "any":
                never = spec.across == "never"
                self._push(hw.Held(nobody if never else far, far if never else nobody, index))

    def _tell_links(self, regions: Regions) -> None:
        """Log what has changed since the last call."""
        for region, state, why in regions.news():
            self.counts["link", region, state] += 1
            self.events("link", region=region, state=state, why=why)
            self.log("warning", "link to region", region=region, state=state, why=why)

    def _ways(self, home: str) -> dict[str, Way]:
        return {(set(link.between) - {home}).pop(): Way(2 * link.delay, link.cost)
                for link in self.market.across.links if home in link.between}

    def _within(self, far_too: bool = True) -> list[bool]:
        """Of each shard, whether it has a live holder that may be sent to."""
        shut = self._held_back[1] if far_too else self._held_back[1] | self._far
        return [any(node not in shut for node in self._holders(shard)) for shard in range(self.market.fleet.shards)]

    def reach(self) -> float:
        """The share of shards with a live holder that may be sent to."""
        within = self._within()
        return sum(within) / len(within)

    @property
    def cut_off(self) -> bool:
        """Whether links that are down keep most shards out of reach."""
        return bool(self._held_back[1]) and self.reach() < MOST

    def served(self, klass: int) -> float:
        """The share of a class's queries that can be answered now, its keys being placed evenly."""
        spec, within = self.market.classes[klass], self._within(self.market.classes[klass].across != "never")
        spans = [{"search": space.parts, "report": space.report_parts}.get(space.shape, 1)
                 for space in self.market.keys if space.klass == spec.name]
        floor = self.settings.classes[klass].min_share
        return sum(answerable(within, span, floor) for span in spans) / len(spans) if spans else 1.0

    def _add_parts(self, query: QueryState, plans: tuple[PartPlan, ...], work: int,
                   cut_off: tuple[PartPlan, ...] = ()) -> None:
        for plan in plans:
            part = PartState(f"{query.id}/{len(query.parts)}", plan, query.step)
            query.parts[part.id] = part
            self.parts[part.id] = query
            self.held += 1
            if plan in cut_off:
                part.why = "no live host holds it, or all lie behind a link that is down"
                continue
            self._push(hw.PartArrived(part.id, query.job, plan.shard, plan.weight, work, query.plan.subject))

    def _news(self, news: hw.FleetNews) -> None:
        self.events("news", kind=news.kind, hosts={s.node: s.state for s in news.servers})
        self.counts["news", news.kind] += 1
        if self.regions is not None and news.kind != hw.FAILED:
            if news.kind == hw.FULL:
                self._listed_regions.clear()
            for server in news.servers:
                self._listed_regions[server.node] = self._zone_region.get(server.zone, "")
                if server.state == hw.GONE:
                    del self._listed_regions[server.node]
            self.regions.listed(self._listed_regions)
        self._push(news)
        self.loop.call_at(self.loop.now() + LOOK_US, self._find_bare)  # once the module has taken it in
        if self.regions is not None:
            self._hold_by_class()  # after the news: the module must know whom it is told of

    def attempt_ended(self, node: str, key: Key, outcome: str, result: frames.Result | None) -> None:
        """A connection's word on an attempt."""
        query = self.parts.get(key[0])
        if query is None or query.out.pop(key, None) is None:
            return
        part = query.parts[key[0]]
        part.why = outcome
        wanted = part.data is None and query.on_reply is not None
        if outcome == hw.OK and result is not None and wanted:
            if not self._fresh_enough(query, part, node, key, result) or not self._mergeable(query, part, node, key,
                                                                                            result):
                # Told to the module as an error of that host: it asks elsewhere where its own rules allow.
                outcome = hw.ERROR
            else:
                part.data, part.position, part.source_us = result.data, result.position, result.source_us
                part.node, part.seq = node, key[1]
                self._learn(query, node, key, result)
        self._ended(query, key, node, outcome, result)

    def _learn(self, query: QueryState, node: str, key: Key, result: frames.Result) -> None:
        """What the work of an answer cost, for costs and the window; and which parts it made moot."""
        now, search = self.loop.now(), query.plan.search
        if self.gate is not None and result.work_us:
            self.gate.window.answered(now, now - self._sent_at.get(key, now), result.work_us)
        if search is not None:
            self.costs.model(search.model, 1.0, len(search.figures)).learn(search.figures, result.work_us)
            self._moot(query)

    def _mergeable(self, query: QueryState, part: PartState, node: str, key: Key, result: frames.Result) -> bool:
        """Whether a search's rows are what a sound host gives; they are merged at once."""
        search = query.plan.search
        if search is None:
            return True
        try:
            answer = read_answer(result.data)
            search.top.add(part.id, [[Row(hit.id, hit.score, hit, hit.version) for hit in rows]
                                     for rows in answer.lists], answer.points, answer.recall)
            self.points_seen.setdefault(part.plan.key, {})[part.plan.shard] = answer.points
        except (Malformed, msgspec.MsgspecError) as problem:
            part.why = f"malformed: {problem}"
            self.counts["malformed", self._spec(query).name] += 1
            self.events("malformed", p=key[0], seq=key[1], node=node, why=str(problem))
            self.log("warning", "a host's rows are malformed", node=node, why=str(problem))
            return False
        return True

    def bound(self, node: str, key: Key, best: list[float]) -> None:
        """A host's word on how good an attempt's rows can be: with it the part may be moot at once."""
        query = self.parts.get(key[0])
        if query is None or query.plan.search is None or key not in query.out:
            return
        try:
            query.plan.search.top.bound(key[0], best)
        except Malformed as problem:
            self.log("warning", "a host's bounds are malformed", node=node, why=str(problem))
            return
        self._moot(query)

    def _moot(self, query: QueryState) -> None:
        """Tell the module of parts out that can't change the answer any more."""
        search = query.plan.search
        if search is None or query.on_reply is None:
            return
        for part_id in search.top.newly_moot():
            seq = query.parts[part_id].attempts - 1
            if part_id in search.moot or (part_id, seq) not in query.out:
                continue
            search.moot.add(part_id)
            self.counts["moot", self._spec(query).name] += 1
            self.events("moot", p=part_id, seq=seq)
            self._push(hw.Moot(part_id, seq))

    def _fresh_enough(self, query: QueryState, part: PartState, node: str, key: Key,
                      result: frames.Result) -> bool:
        """The freshness decider's ruling on an answer."""
        if self.fresh is None:
            return True
        now, shard = self.loop.now(), part.plan.shard
        seen = query.plan.at_least(shard)
        if query.step > 1:
            seen = max([seen, *(p.position for p in query.parts.values()
                                if p.step == 1 and p.plan.shard == shard and p.data is not None)])
        ruling = self.fresh.rule(
            now, shard, node, Watermark(result.position, result.source_us), self.policies[query.plan.klass],
            tried=part.nodes, turned_down=part.turned_down, took_us=now - self._sent_at[key],
            time_left_us=query.started + self._spec(query).aim_us - now, at_least=seen)
        part.known_age = ruling.age_us is not None
        if not ruling.accept:
            part.turned_down += 1
            part.why = f"turned down: {ruling.why}"
            self.counts["turned down", self._spec(query).name, ruling.why] += 1
            self.events("turned", p=key[0], seq=key[1], node=node, why=ruling.why)
        return ruling.accept

    def _holders(self, shard: int) -> list[str]:
        """The hosts listed as live that hold a shard."""
        cells, fleet = self.module.cells, self.market.fleet
        return [server.node for step in range(fleet.width)
                for server in cells.get((shard + step) % fleet.cells, []) if server.live]

    def _age(self, query: QueryState, used: list[PartState]) -> Age | None:
        """The answer's age as of now, from the parts that it rests on."""
        if self.fresh is None or not used:
            return None
        bound, now = None, self.loop.now()
        if all(part.known_age for part in used):
            bound = self.fresh.clock.age(now, min(part.source_us for part in used))
        wanted = self.policies[query.plan.klass].wanted_us
        heads: dict[int, int] = {part.plan.shard: part.position for part in used if part.step == 1}
        return Age(
            bound, bool(wanted) and (bound is None or bound > wanted),
            all(part.position >= heads.get(part.plan.shard, 0) for part in used if part.step == 2),
            tuple(sorted({part.plan.shard for part in used
                          if part.position < query.plan.at_least(part.plan.shard)})),
            make_token(heads), now)

    def _explain(self, query: QueryState, reply: Reply, took: int) -> None:
        """Keep what a query rested on, for a while."""
        most = self.market.freshness.explain
        if not most:
            return
        self.explained[query.id] = {
            "query": query, "kind": reply.kind, "whole": reply.whole, "took_us": took, "age": reply.age,
            "at": self.loop.now()}
        while len(self.explained) > most:
            self.explained.popitem(last=False)

    def explain(self, query_id: str) -> dict[str, Any] | None:
        """What a recent query rested on: each part, its host, the age of its data, and why one is missing."""
        kept = self.explained.get(query_id)
        if kept is None:
            return None
        query: QueryState = kept["query"]
        age: Age | None = kept["age"]
        clock = self.fresh.clock if self.fresh is not None else None
        return {
            "query": query.id, "key": query.plan.key, "class": self._spec(query).name, "kind": kept["kind"],
            "whole": kept["whole"], "took_ms": kept["took_us"] / 1000,
            "age_ms": age.bound_us / 1000 if age is not None and age.bound_us is not None else None,
            "parts": [{
                "part": part.id, "shard": part.plan.shard, "step": part.step, "in": part.data is not None,
                "host": part.node or None, "attempts": part.attempts, "sent_to": part.nodes,
                "age_ms": (clock.age(kept["at"], part.source_us) or 0) / 1000
                if clock is not None and part.data is not None and part.known_age else None,
                "why_missing": None if part.data is not None else part.why,
            } for part in query.parts.values()],
        }

    def probe_ended(self, node: str, outcome: str) -> None:
        """A connection's word on a probe."""
        self.counts["probe", outcome] += 1
        if self.regions is not None:
            self.regions.probed(self.loop.now(), node, outcome)
            self._tell_links(self.regions)
        self.events("probed", node=node, outcome=outcome)
        self._push(hw.ProbeEnded(node, outcome))

    def late_result(self, node: str) -> None:
        """Counts for nothing but as a sign that the way to the host is open."""
        if self.regions is not None:
            self.regions.heard(self.loop.now(), node)
            self._tell_links(self.regions)

    def said_draining(self, node: str) -> None:
        """A host tells its drain on the connection, before discovery does."""
        known = self.module.servers.get(node)
        if known is not None:
            self._news(hw.FleetNews(hw.UPDATE, (hw.ServerEntry(
                node, known.cell, hw.DRAINING, known.since, known.rating, known.zone),)))

    def _ended(self, query: QueryState, key: Key, node: str, outcome: str,
               result: frames.Result | None) -> None:
        self.counts["attempt", self._spec(query).name, outcome] += 1
        sent_at = self._sent_at.pop(key, self.loop.now())
        took = self.loop.now() - sent_at
        self.events("ended", p=key[0], seq=key[1], node=node, outcome=outcome, took=took)
        if self.regions is not None:
            self.regions.ended(self.loop.now(), node, key, outcome, took)
        active = float(result.inflight) if result is not None else None
        self._push(hw.AttemptEnded(key[0], key[1], node, outcome, took, active))
        self._let_go(query)

    def _deadline(self, query: QueryState) -> None:
        """The client's time is up: what is still out for its query ends here."""
        query.timer = None
        if query.on_reply is not None and not query.queued and not query.woken:
            # After a stall of the loop the module's own timer, a tick earlier, comes in the same turn: it goes first.
            query.woken = True
            self._push(hw.TimerFired("due"))
            self.loop.call_soon(self._deadline, query)
            return
        for key, node in list(query.out.items()):
            del query.out[key]
            self._link(node).forget(key)
            self._ended(query, key, node, hw.TIMED_OUT, None)
        if query.on_reply is not None:
            # The module owes a final answer a tick earlier; reaching this is a fault of ours, and says so.
            self.log("error", "query overdue", query=query.id)
            self.counts["overdue",] += 1
            on_reply, query.on_reply = query.on_reply, None
            self._push(hw.QueryExpired(query.id))
            self._final(query, Reply(FAILED, query.id, self._spec(query).name), on_reply)
        self._let_go(query)

    def _turn_end(self) -> None:
        self._handling = True
        if self._inbox and not self.dead:
            self._handle_batch()
        self._handling = False

    def _handle_batch(self) -> None:
        batch, self._inbox = self._inbox, []
        calls: Calls = {}
        began = time.thread_time_ns()
        actions = self.module.handle(self.loop.now(), batch)
        self.module_ns += time.thread_time_ns() - began
        for action in actions:
            try:
                self._carry_out(action, calls)
            except Exception as problem:  # one that can't be carried out must not cost the others
                self.loop.report(f"carrying out {action}", problem)
        leaving, self._leaving = self._leaving, []
        for query in leaving:
            self._closed(query)
        if self.events.on:
            self.events.flush()  # type: ignore[attr-defined]  # what is about to leave is on record first
        for node, batches in calls.items():
            for parts in batches:
                self._link(node).send(parts)
        replies, self._replies = self._replies, []
        for on_reply, reply in replies:
            try:
                on_reply(reply)
            except Exception as problem:
                self.loop.report(f"reply to {reply.query}", problem)

    # What the module decided

    def _carry_out(self, action: hw.Action, calls: Calls) -> None:
        match action:
            case hw.Send(id=part_id, node=node):
                self._send(part_id, node, calls)
            case hw.Cancel(id=part_id, seq=seq):
                query = self.parts.get(part_id)
                if query is not None and (part_id, seq) in query.out:
                    node = query.out.pop((part_id, seq))
                    self._take_back(calls, node, (part_id, seq))
                    self._ended(query, (part_id, seq), node, hw.CANCELLED, None)
            case hw.Answer(id=query_id, whole=whole):
                self._answer(query_id, whole)
            case hw.Refuse(id=query_id, after_us=after):
                self._end_without(query_id, REFUSED, after)
            case hw.Fail(id=query_id):
                self._end_without(query_id, FAILED, 0)
            case hw.Probe(node=node):
                self.events("probe", node=node)
                self._link(node).probe()
            case hw.Watch():
                self.events("watch")
                self.discovery.ask()
            case hw.SetTimer(at_us=at, label=label):
                self.loop.call_at(at, self._push, hw.TimerFired(label))
            case hw.Log(text=text):
                self.log("info", text)

    def _send(self, part_id: str, node: str, calls: Calls) -> None:
        query = self.parts[part_id]
        part = query.parts[part_id]
        key = (part_id, part.attempts)
        part.attempts += 1
        now = self.loop.now()
        if query.on_reply is None or now >= query.deadline:
            # Its client left or its time ran out while this was decided: told as what it is.
            self.events("unsent", p=part_id, seq=key[1], node=node)
            self._push(hw.AttemptEnded(part_id, key[1], node, hw.NEVER_SENT))
            return
        query.out[key] = node
        part.why = "out"
        part.nodes.append(node)
        self._sent_at[key] = now
        if self.regions is not None:
            self.regions.sent(now, node, key)
        spec = self.market.classes[query.plan.klass]
        self.events("send", p=part_id, seq=key[1], node=node, shard=part.plan.shard)
        ask = frames.Ask(part_id, key[1], spec.name, part.plan.op, part.plan.key, part.plan.shard,
                         query.deadline - now, part.plan.item,
                         query.plan.search.body if query.plan.search is not None else b"")
        batches = calls.setdefault(node, [])
        if not batches or len(batches[-1]) >= self.settings.parts_a_call:
            batches.append([])
        batches[-1].append(ask)

    def _take_back(self, calls: Calls, node: str, key: Key) -> None:
        """Cancel an attempt, which may have been decided in this very batch and not have left yet."""
        for parts in calls.get(node, []):
            for ask in parts:
                if (ask.id, ask.seq) == key:
                    parts.remove(ask)
                    return
        self._link(node).forget(key)

    def _end_without(self, query_id: str, kind: str, after: int) -> None:
        query = self.queries.get(query_id)
        if query is not None:
            if kind == REFUSED and after:
                after = self._advice(query.plan, query.who, after)
            self._reply(query, Reply(kind, query_id, self._spec(query).name, after_us=after))

    def _spec(self, query: QueryState) -> hw.ClassSpec:
        return self.settings.classes[query.plan.klass]

    def _answer(self, query_id: str, whole: bool) -> None:
        query = self.queries.get(query_id)
        if query is None or query.on_reply is None:
            return  # its client left within this very batch
        spec = self._spec(query)
        if query.step == 1 and spec.fetch:
            query.step = 2
            answered = [part.plan for part in query.parts.values() if part.data is not None]
            self.events("first", q=query.id, whole=whole)
            plans = keyspace.second_step(answered, spec.fetch)
            usual = self.market.classes[query.plan.klass]
            self._add_parts(query, plans, int(usual.work * usual.fetch_work))
            return
        coverage = self._coverage(query)
        age = self._age(query, [part for part in query.parts.values() if part.data is not None])
        if query.plan.search is not None:
            self._reply(query, Reply(ANSWERED, query.id, spec.name, whole, coverage, self._rows(query), age=age))
            return
        firsts = [p.data for p in query.parts.values() if p.step == 1 and p.data is not None]
        seconds = [p.data for p in query.parts.values() if p.step == 2 and p.data is not None]
        try:
            body = keyspace.merge(query.plan.shape, firsts, seconds)
        except (ValueError, KeyError, TypeError) as problem:
            self.log("error", "parts that can't be merged", query=query.id, why=repr(problem))
            self.counts["unmergeable",] += 1
            self._reply(query, Reply(FAILED, query.id, spec.name))
            return
        if query.plan.shape == "record" and not body.get("found", False):
            self._reply(query, Reply(MISS, query.id, spec.name, True, coverage, age=age))
            return
        self._reply(query, Reply(ANSWERED, query.id, spec.name, whole, coverage, body, age=age))

    def _rows(self, query: QueryState) -> dict[str, Any]:
        """A search's merged rows, one :class:`~heathwell.merge.Merged` a search."""
        search = query.plan.search
        assert search is not None
        missing = [p.id for p in query.parts.values() if p.data is None]
        usual = search.top.usual_points()
        return {"searches": [search.top.result(number, missing, usual) for number in range(len(search.top.limits))]}

    def _coverage(self, query: QueryState) -> Coverage:
        spec = self._spec(query)
        first = [p for p in query.parts.values() if p.step == 1]
        moot = query.plan.search.moot if query.plan.search is not None else set()
        second = [p for p in query.parts.values() if p.step == 2]
        got = [p for p in first if p.data is not None]
        cover = Cover.of((p.plan.shard for p in first), (p.plan.shard for p in got),
                         min((p.source_us for p in query.parts.values() if p.data is not None), default=None))
        return Coverage(
            asked=len(first), got=len(got), moot=sum(p.id in moot for p in first if p.data is None),
            weight=round(sum(p.plan.weight for p in first if p.data is not None or p.id in moot), 6),
            need=spec.need, floor=spec.min_share, missing=tuple(cover.missing()), cover=cover,
            items_asked=len(second), items_got=sum(p.data is not None for p in second))

    def _reply(self, query: QueryState, reply: Reply) -> None:
        on_reply, query.on_reply = query.on_reply, None
        if on_reply is not None:
            self._final(query, reply, on_reply)

    def _final(self, query: QueryState, reply: Reply, on_reply: OnReply) -> None:
        took = self.loop.now() - query.started
        spec = self._spec(query)
        aim = "in aim" if took <= spec.aim_us else "late"
        kind = "partial" if reply.kind == ANSWERED and not reply.whole else reply.kind
        if self.storms is not None:
            self.storms.ended(self.loop.now(), self._cost(query.plan), reply.kind in (ANSWERED, MISS),
                              took <= spec.aim_us)
        self.counts["final", spec.name, kind, aim] += 1
        if self.events.on:  # the lists are a cost that only a log pays for
            self.events("final", q=query.id, kind=reply.kind, whole=reply.whole, got=reply.coverage.got,
                        asked=reply.coverage.asked, weight=reply.coverage.weight, after=reply.after_us, took=took,
                        parts=[p.id for p in query.parts.values() if p.data is not None],
                        moot=[p.id for p in query.parts.values() if p.data is None and query.plan.search is not None
                              and p.id in query.plan.search.moot],
                        used={p.id: p.seq for p in query.parts.values() if p.data is not None},
                        age=reply.age.bound_us if reply.age is not None else None,
                        age_at=reply.age.at_us - self.loop.now() if reply.age is not None else None)
        self._explain(query, reply, took)
        if self.on_final is not None:
            self.on_final(query, reply, took)
        self._closed(query)
        if self._handling:
            self._replies.append((on_reply, reply))
        else:
            self.loop.call_soon(on_reply, reply)

    def _closed(self, query: QueryState) -> None:
        """The query holds no place any more; its attempts may still be out."""
        self.held -= 1 + len(query.parts)
        if self.gate is not None:
            self.gate.ended(self.loop.now(), query.id)
            if self.gate.waiting:
                self.loop.call_soon(self._look_at_gate)
        self._let_go(query)

    def _let_go(self, query: QueryState) -> None:
        if query.on_reply is None and not query.out and query.id in self.queries:
            if query.timer is not None:
                query.timer.cancel()
            del self.queries[query.id]
            for part in query.parts:
                self.parts.pop(part, None)
            self._check_idle()

    def _check_idle(self) -> None:
        if self.stopping and not any(q.on_reply is not None for q in self.queries.values()):
            self.idle.set()

    def _link(self, node: str) -> HostLink:
        link = self.links.get(node)
        if link is None:
            limits = self.market.limits
            link = self.links[node] = HostLink(
                self.loop, self.net, node, self.name, self, connect_timeout=limits.connect_timeout,
                probe_timeout=limits.probe_timeout, idle_close=limits.idle_close, log=self.log)
        return link


def _nothing() -> None:
    """A call that only makes the loop turn."""
