"""The six rules, judged from what clients, brokers and hosts each saw, per request.

What a host saw arrive counts for resends, drains and cold starts; what the client saw counts for final
answers and honesty. A broker's own word is used to tell which query a thing belongs to and when the
broker learned or decided something, and it is itself checked against the others.

Times of different processes are one machine's monotonic clock, or carry the run's offset. ``slack``
(microseconds) allows for the way between a decision and its arrival on a busy machine.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

from heathwell.testing.audit.reader import Event

NEVER_RAN = ("full_up", "unreachable", "never_sent")
BAD = ("draining", "gone")
SUMS = 1e-4  # sums of weights may fall this short
COLD_CHANCE = 1.0  # a part in hand when the window opens: arrivals are whole parts


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule: which, at which request, what was seen, and where it stands in the logs."""

    rule: int
    request: str
    text: str
    lines: tuple[str, ...]

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.request}: {self.text} [{', '.join(self.lines)}]"


@dataclass(slots=True)
class Verdict:
    """Everything that was judged."""

    breaches: list[Breach] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    coldest: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether every rule was kept; a run in which nothing was judged has kept none."""
        return not self.breaches and self.counts.get("queries", 0) > 0


@dataclass(slots=True)
class _Attempt:
    part: str
    seq: int
    send: Event | None = None
    ended: Event | None = None
    arrive: Event | None = None
    begin: Event | None = None
    done: Event | None = None
    cancel: Event | None = None

    def at(self) -> tuple[str, ...]:
        return tuple(
            e.at for e in (self.send, self.arrive, self.begin, self.done, self.ended) if e is not None
        )

    def may_have_run(self) -> bool:
        """Whether the host may have done it: it began, or it arrived and nothing shows that it was
        not begun.
        """
        if self.begin is not None:
            return True
        if self.arrive is None:
            return self.ended is None or self.ended["outcome"] not in NEVER_RAN
        return self.done is None or self.done["outcome"] != "full"


@dataclass(slots=True)
class _Query:
    take: Event
    finals: list[Event] = field(default_factory=list)
    firsts: list[Event] = field(default_factory=list)
    left: Event | None = None
    parts: dict[str, list[_Attempt]] = field(default_factory=dict)


def judge(events: list[Event], slack: int = 100_000) -> Verdict:
    """Judge a run. It must hold a ``run`` event with the figures; raises :class:`ValueError` without."""
    return _Judge(events, slack).verdict()


class _Judge:
    def __init__(self, events: list[Event], slack: int) -> None:
        self.events, self.slack = events, slack
        runs = [e for e in events if e.ev == "run"]
        if not runs:
            raise ValueError("no 'run' event: the figures to judge by are missing")
        self.figures: dict[str, Any] = runs[0].fields["figures"]
        self.queries: dict[str, _Query] = {}
        self.attempts: dict[tuple[str, int], _Attempt] = {}
        self.takes: dict[tuple[str, str], list[_Query]] = defaultdict(list)
        self.first_last: dict[str, list[int]] = {}
        self.ended_well: set[str] = set()
        self.by: dict[str, list[Event]] = defaultdict(list)
        self.bounds: dict[str, list[Event]] = defaultdict(list)
        self.out = Verdict()
        self._index()

    def _index(self) -> None:
        for event in self.events:
            self.by[event.ev].append(event)
            self.first_last.setdefault(event.who, [event.t, event.t])[1] = event.t
            if event.ev == "closed":
                self.ended_well.add(event.who)
        for event in self.by["take"]:
            self.queries[event["q"]] = _Query(event)
            self.takes[event["req"], event["key"]].append(self.queries[event["q"]])
        for name, into in (("final", "finals"), ("first", "firsts")):
            for event in self.by[name]:
                if event["q"] in self.queries:
                    getattr(self.queries[event["q"]], into).append(event)
        for event in self.by["bound"]:
            self.bounds[event["p"]].append(event)
        for event in self.by["left"]:
            if event["q"] in self.queries:
                self.queries[event["q"]].left = event
        for name in ("send", "ended", "arrive", "begin", "done", "cancel"):
            for event in self.by[name]:
                key = (event["p"], event["seq"])
                attempt = self.attempts.get(key)
                if attempt is None:
                    attempt = self.attempts[key] = _Attempt(*key)
                    query = self.queries.get(key[0].rpartition("/")[0])
                    if query is not None:
                        query.parts.setdefault(key[0], []).append(attempt)
                if getattr(attempt, name) is None:
                    setattr(attempt, name, event)
                elif name in ("arrive", "send", "ended"):
                    self._breach(
                        2, key[0], f"attempt {key[1]} has two '{name}' events", getattr(attempt, name), event
                    )
        for query in self.queries.values():
            for attempts in query.parts.values():
                attempts.sort(key=lambda a: a.seq)

    def verdict(self) -> Verdict:
        for query_id, query in self.queries.items():
            self._final_answer(query_id, query)
            self._nothing_after(query_id, query)
            for part, attempts in query.parts.items():
                self._part(query, part, attempts)
            self._refusal(query_id, query)
            self._honest(query_id, query)
        self._unlogged()
        self._clients()
        self._told()
        self._drains()
        self._cold()
        self._effects()
        self._budget()
        finals = [q for q in self.queries.values() if q.finals]
        self.out.counts |= {
            "queries": len(self.queries),
            "finals": len(finals),
            "attempts": len(self.attempts),
            "arrivals": len(self.by["arrive"]),
            "effects": len(self.by["effect"]),
            "clients": len(self.by["ask"]),
            "falls": len(self.by["fell"]),
            "news": len(self.by["news"]),
        }
        self.out.breaches.sort(key=lambda b: (b.rule, b.request))
        return self.out

    def _breach(self, rule: int, request: str, text: str, *events: Event | None) -> None:
        self.out.breaches.append(Breach(rule, request, text, tuple(e.at for e in events if e is not None)))

    def _killed_before(self, who: str, t: int) -> bool:
        """Whether a process was killed before a time: its log stops without its last word."""
        return who not in self.ended_well and self.first_last[who][1] <= t

    def _rate(self, who: str) -> float:
        """How fast a process's clock ran, where the run made it wrong: it can only go by what it shows."""
        return next((float(event["rate"]) for event in self.by["clock"] if event.who == who), 1.0)

    def _stood_still(self, name: str, begin: int, end: int) -> int:
        """How long the harness kept a process stopped that was to answer between these times."""
        return sum(
            pause["span"] + self.slack
            for pause in self.by["paused"]
            if pause["name"] == name and pause.t <= end and pause.t + pause["span"] + self.slack >= begin
        )

    def _class(self, query: _Query) -> dict[str, Any]:
        found: dict[str, Any] = self.figures["classes"][query.take["klass"]]
        return found

    # Rule 1

    def _final_answer(self, query_id: str, query: _Query) -> None:
        # The client's time; the broker's own deadline lies earlier by what the reply's way may take.
        due = query.take.t + int(self._class(query)["limit"] / self._rate(query.take.who))
        due += self._stood_still(query.take.who.rpartition("r")[0], query.take.t, due)
        if len(query.finals) > 1:
            self._breach(1, query_id, f"{len(query.finals)} final answers", query.take, *query.finals)
        elif not query.finals and query.left is None and not self._killed_before(query.take.who, due):
            self._breach(1, query_id, "no final answer", query.take)
        for final in query.finals:
            if final.t > due:
                self._breach(1, query_id, f"final answer {final.t - due} us too late", query.take, final)
            if query.left is not None and final.t > query.left.t:
                self._breach(1, query_id, "final answer after its client had left", query.left, final)

    def _nothing_after(self, query_id: str, query: _Query) -> None:
        ends = [*query.finals, query.left] if query.left is not None else query.finals
        if not ends:
            return
        last = min(ends, key=lambda event: event.t)
        over = last.t
        for attempts in query.parts.values():
            for attempt in attempts:
                if attempt.send is not None and attempt.send.t > over:
                    self._breach(
                        1, query_id, f"part {attempt.part} sent after the final answer", last, attempt.send
                    )
                elif (
                    attempt.arrive is not None
                    and attempt.send is None
                    and attempt.arrive.t > over + self.slack
                ):
                    self._breach(
                        1,
                        query_id,
                        f"part {attempt.part} reached a host after the final answer",
                        last,
                        attempt.arrive,
                    )

    def _unlogged(self) -> None:
        """A host saw an attempt that its broker never logged: only a killed broker's last turn may
        do that.
        """
        for (part, seq), attempt in self.attempts.items():
            if attempt.arrive is None or attempt.send is not None:
                continue
            broker = attempt.arrive["broker"]
            if broker not in self.first_last or not self._killed_before(
                broker, attempt.arrive.t + self.slack
            ):
                self._breach(
                    2, part, f"attempt {seq} reached a host and its broker logged no send", attempt.arrive
                )

    def _clients(self) -> None:
        replies: dict[str, list[Event]] = defaultdict(list)
        for event in self.by["reply"]:
            replies[_own_number(event)].append(event)
        for ask in self.by["ask"]:
            got = replies.get(_own_number(ask), [])
            if len(got) > 1:
                self._breach(1, ask["req"], f"the client saw {len(got)} replies", ask, *got)
            elif (
                not got and not self._broker_lost(ask) and self.first_last[ask.who][1] > ask.t + ask["limit"]
            ):
                self._breach(1, ask["req"], "the client saw no reply", ask)
            for reply in got:
                still = self._stood_still(ask["broker"], ask.t, ask.t + ask["limit"])
                if (
                    reply["kind"] in ("answer", "error")
                    and reply.t > ask.t + ask["limit"] + self.slack + still
                ):
                    late = reply.t - ask.t - ask["limit"]
                    self._breach(
                        1, ask["req"], f"the client's reply came {late} us after its time", ask, reply
                    )
                elif reply["kind"] == "timeout" and not still and not self._broker_lost(ask):
                    self._breach(1, ask["req"], "the client's time ran out without a reply", ask, reply)
                elif reply["kind"] == "broken" and not self._broker_lost(ask) and self._was_taken(ask, reply):
                    self._breach(1, ask["req"], "the connection broke though the broker ran on", ask, reply)

    def _broker_lost(self, ask: Event) -> bool:
        """Whether the broker that was asked was killed or stopped before the client's time."""
        brokers = [who for who, _ in self.first_last.items() if who.rpartition("r")[0] == ask["broker"]]
        until = ask.t + ask["limit"] + self.slack
        return any(ask.t - self.slack <= self.first_last[who][1] <= until for who in brokers)

    def _was_taken(self, ask: Event, reply: Event) -> bool:
        """Whether a running broker took what was asked; one killed before, unknown to its client, did not."""
        taken = any(self._taken(ask, key, reply.t) for key in ask["keys"])  # a key may be asked for twice
        door = any(e["req"] == ask["req"] and ask.t <= e.t <= reply.t for e in self.by["door"])
        killed = any(
            who.rpartition("r")[0] == ask["broker"] and self._killed_before(who, ask.t)
            for who in self.first_last
        )
        return taken or door or not killed

    def _taken(self, ask: Event, key: str, until: int) -> list[_Query]:
        """The queries that came of a key asked for: more than one where the get named it more than once.
        Ports are used again, so broker and time tell requests apart."""
        return [
            query
            for query in self.takes.get((ask["req"], key), [])
            if query.take.who.rpartition("r")[0] == ask["broker"]
            and ask.t - self.slack <= query.take.t <= until
        ]

    # Rule 2

    def _part(self, query: _Query, part: str, attempts: list[_Attempt]) -> None:
        spec = self._class(query)
        most = self.figures["attempts"]
        if len(attempts) > most:
            self._breach(2, part, f"{len(attempts)} attempts, over the limit of {most}", attempts[-1].send)
        for attempt in attempts:
            self._outcome(attempt)
        for number, later in enumerate(attempts[1:], 1):
            start = later.send or later.arrive
            if start is None:
                continue
            for earlier in attempts[:number]:
                over = earlier.ended or earlier.done
                if not self.figures["second_copies"] and (over is None or over.t > start.t):
                    self._breach(
                        2,
                        part,
                        f"attempts {earlier.seq} and {later.seq} were out at once",
                        earlier.send,
                        start,
                        over,
                    )
            risky = [a for a in attempts[:number] if a.may_have_run()]
            if spec["repeat"] == "unsafe" and risky:
                self._breach(
                    2, part, f"unsafe part sent again as attempt {later.seq}", risky[0].arrive, start
                )
            if spec["repeat"] == "keyed" and risky:
                first = min(e.t for a in risky if (e := a.send or a.arrive) is not None)
                if start.t > first + spec["dedup"]:
                    self._breach(
                        2,
                        part,
                        f"keyed part sent again {start.t - first} us after its first attempt",
                        risky[0].send,
                        start,
                    )

    def _outcome(self, attempt: _Attempt) -> None:
        """The broker's word on an attempt's end must be what the host saw."""
        if attempt.ended is None:
            return
        outcome = attempt.ended["outcome"]
        if outcome in NEVER_RAN and attempt.begin is not None and attempt.begin.t <= attempt.ended.t:
            self._breach(
                2,
                attempt.part,
                f"told as '{outcome}' though the host had begun it",
                attempt.begin,
                attempt.ended,
            )
        if outcome == "ok" and (attempt.done is None or attempt.done["outcome"] != "ok"):
            if attempt.arrive is not None and self._killed_before(attempt.arrive.who, attempt.ended.t):
                return
            self._breach(
                5, attempt.part, "told as answered, but no host answered it", attempt.ended, attempt.done
            )

    def _refusal(self, query_id: str, query: _Query) -> None:
        if self._class(query)["repeat"] != "unsafe":
            return
        for final in query.finals:
            ran = [a for attempts in query.parts.values() for a in attempts if a.may_have_run()]
            if final["kind"] == "refused" and ran:
                self._breach(2, query_id, "refused though a part may have run", final, ran[0].arrive)

    def _effects(self) -> None:
        """An effect twice: at two hosts, or again at one, with the second attempt outside the window."""
        first: dict[str, Event] = {}
        for event in self.by["effect"]:
            part = event["p"]
            known = first.setdefault(part, event)
            query = self.queries.get(part.rpartition("/")[0])
            if known is event or query is None:
                continue
            spec = self._class(query)
            starts = [a.send.t for a in query.parts.get(part, []) if a.send is not None]
            if spec["repeat"] == "unsafe" or max(starts) - min(starts) > spec["dedup"]:
                self._breach(2, part, "its effect happened twice", known, event)

    # Rule 3

    def _drains(self) -> None:
        grace = self.figures["drain_grace"]
        bad: dict[tuple[str, str], list[tuple[int, bool, Event]]] = defaultdict(list)
        known: dict[str, set[str]] = defaultdict(set)
        for news in self.by["news"]:
            hosts: dict[str, str] = news["hosts"]
            if news["kind"] == "failed":
                continue
            states = dict(hosts)
            if news["kind"] == "full":
                for node in known[news.who] - set(hosts):
                    states[node] = "gone"
            known[news.who] |= set(hosts)
            for node, state in states.items():
                bad[news.who, node].append((news.t, state in BAD, news))
        for attempt in self.attempts.values():
            arrive = attempt.arrive
            if arrive is None:
                continue
            when = attempt.send.t if attempt.send is not None else arrive.t - self.slack
            word: tuple[int, bool, Event] | None = None
            for entry in bad.get((arrive["broker"], arrive["node"]), []):
                if entry[0] > when:
                    break
                if word is None or entry[1] != word[1]:
                    word = entry
            if word is not None and word[1] and when > word[0] + grace:
                self._breach(
                    3,
                    attempt.part,
                    f"sent to {arrive['node']} {when - word[0]} us after word of its end",
                    word[2],
                    attempt.send,
                    arrive,
                )

    # Rule 4

    def _cold(self) -> None:
        for fell in self.by["fell"]:
            self._breach(4, fell["node"], "a cold host was pushed over", fell)
        span, multiple = self.figures["fall_after"], self.figures["fall_multiple"]
        if not span or not multiple:
            return
        ups: dict[str, Event] = {}
        windows: dict[str, deque[tuple[int, float]]] = defaultdict(deque)
        for event in self.events:
            if event.ev == "up":
                ups[event["node"]] = event
                windows[event["node"]].clear()
            elif event.ev == "arrive" and event["warmth"] < 1.0 and event["node"] in ups:
                spec = self.figures["classes"].get(event["klass"])
                window = windows[event["node"]]
                window.append((event.t, float(spec["work"]) if spec else 0.0))
                while window[0][0] <= event.t - span:
                    window.popleft()
                work = sum(entry[1] for entry in window) - COLD_CHANCE * window[0][1]
                ratio = work / (multiple * ups[event["node"]]["rate"] * event["warmth"] * span)
                self.out.coldest = max(self.out.coldest, ratio)
                if ratio > 1.0:
                    self._breach(4, event["node"], f"sent {ratio:.2f} of what a cold host bears", event)

    # Rule 5

    def _honest(self, query_id: str, query: _Query) -> None:
        spec = self._class(query)
        size = query.take["parts"]
        for final in query.finals:
            if final["kind"] not in ("answered", "miss"):
                continue
            names: list[str] = final["parts"]
            if len(set(names)) != len(names):
                self._breach(5, query_id, "a part counted twice", final)
            for part in names:
                if not self._host_answered(query, part, final):
                    self._breach(5, query_id, f"rests on part {part}, which no host had answered", final)
            first = [p for p in names if int(p.rpartition("/")[2]) < size]
            moot: list[str] = final.fields.get("moot", [])
            weight = len(set(first) | set(moot)) / size
            for part in self._not_moot(query, final, moot):
                self._breach(5, query_id, f"part {part} left out, which could have changed the rows", final)
            if weight < spec["floor"] - SUMS:
                self._breach(
                    5, query_id, f"answered from {weight:.3f} of its parts, under {spec['floor']}", final
                )
            if final["whole"]:
                second = len(set(names)) - len(set(first))
                if weight < spec["need"] - SUMS:
                    self._breach(5, query_id, f"marked whole from {weight:.3f}, under {spec['need']}", final)
                if spec["fetch"] and second < min(spec["fetch"], len(first)):
                    self._breach(5, query_id, f"marked whole with {second} parts of its second step", final)
                if any(not event["whole"] for event in query.firsts):
                    self._breach(
                        5, query_id, "marked whole though its first step was not", *query.firsts, final
                    )

    def _not_moot(self, query: _Query, final: Event, moot: list[str]) -> list[str]:
        """Parts left out without right: by what hosts said before their work, against the rows in hand."""
        if not moot:
            return []
        edges: list[float] = []
        for search, wanted in enumerate(query.take["wanted"]):
            best: dict[Any, float] = {}
            for part, seq in final["used"].items():
                done = self.attempts[part, seq].done
                for point, score in done["rows"][search] if done is not None else ():
                    best[point] = max(score, best.get(point, score))
            kept = sorted(best.values(), reverse=True)
            least = query.take["least"][search]
            edges.append(
                max(
                    kept[wanted - 1] if len(kept) >= wanted else -math.inf,
                    least if least is not None else -math.inf,
                )
            )
        return [
            part
            for part in moot
            if not any(
                all(
                    bound < edge or bound == -math.inf
                    for bound, edge in zip(told["best"], edges, strict=True)
                )
                for told in self.bounds[part]
                if told.t <= final.t
            )
        ]

    def _host_answered(self, query: _Query, part: str, final: Event) -> bool:
        for attempt in query.parts.get(part, []):
            if attempt.done is not None and attempt.done["outcome"] == "ok" and attempt.done.t <= final.t:
                return True
            # A host killed in the very turn that it answered leaves no line, but its broker has the answer.
            if (
                attempt.arrive is not None
                and attempt.ended is not None
                and attempt.ended["outcome"] == "ok"
                and self._killed_before(attempt.arrive.who, final.t)
            ):
                return True
        return False

    def _told(self) -> None:
        """What clients were told against what the answers rested on."""
        asks = {_own_number(ask): ask for ask in self.by["ask"]}
        for reply in self.by["reply"]:
            ask = asks.get(_own_number(reply))
            for value in reply.fields.get("values", []) if ask is not None else []:
                assert ask is not None
                queries = self._taken(ask, value["key"], reply.t)
                finals = [(query, query.finals[0]) for query in queries if query.finals]
                wrong = [_untrue(value, query, final) for query, final in finals]
                if not queries:
                    self._breach(
                        5, reply["req"], f"a value of '{value['key']}' that no broker took", ask, reply
                    )
                elif not finals:
                    self._breach(
                        1,
                        queries[0].take["q"],
                        "the client got a value, the broker gave no final answer",
                        reply,
                    )
                elif all(wrong):
                    self._breach(5, queries[0].take["q"], wrong[0], reply, finals[0][1])

    # Rule 6

    def _budget(self) -> None:
        span = self.figures["counted_over"]
        if span:
            free, ratio = self.figures["free_resends"], self.figures["further_ratio"]
            taken: dict[str, list[int]] = defaultdict(list)
            for query in self.queries.values():
                parts = query.take["parts"] + len(query.firsts) * self._class(query)["fetch"]
                taken[query.take.who] += [query.take.t] * (1 + parts)
            for times in taken.values():
                times.sort()
            further: dict[str, list[tuple[int, _Attempt]]] = defaultdict(list)
            for attempt in self.attempts.values():
                if attempt.seq and attempt.arrive is not None:
                    further[attempt.arrive["broker"]].append(((attempt.send or attempt.arrive).t, attempt))
            for broker, sent in further.items():
                sent.sort(key=lambda entry: entry[0])
                for number, (t, attempt) in enumerate(sent):
                    made = sum(t - span <= s <= t for s, _ in sent[: number + 1])
                    took = sum(t - span < s <= t for s in taken[broker])
                    if made > free + ratio * took + 1e-9:
                        self._breach(
                            6,
                            attempt.part,
                            f"{made} further attempts within the window, of {took} taken",
                            attempt.send,
                            attempt.arrive,
                        )


def _untrue(value: dict[str, Any], query: _Query, final: Event) -> str:
    """What is wrong in a value against its query's final answer, or nothing."""
    if value["whole"] and not final["whole"]:
        return "the client was told whole, the answer was not"
    if value["got"] > len([p for p in final["parts"] if int(p.rpartition("/")[2]) < query.take["parts"]]):
        return "the client was told of more parts than were in"
    return ""


def _own_number(event: Event) -> str:
    """What ties a client's reply to what it asked: its own count, or the request's name."""
    return str(event.fields.get("no") or event["req"])
