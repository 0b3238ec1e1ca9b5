"""The state of the links to other regions, from what this broker itself sees. Pure: events in, holdings out.

Many hosts behind one link that go bad together are the link; one that does is the host, and stays the
decision module's business. What comes out is which hosts are *shut* (nothing may go there now) and which are
*avoided* (only where nobody else can serve); the module chooses among the rest as ever.

| state | entered when | what holds | | --- | --- | --- | | open | at the start, and after half open | all
hosts | | slow | its quickest answers take ``SLOW_SHARE`` of the shortest aim longer than home's | far hosts
avoided | | down | ``HOSTS_TELL`` far hosts, and ``BAD_SHARE`` of those tried, went silent or unreachable and
home answers | far hosts shut; a few are probed at growing, drawn intervals; late answers of two hosts make it
slow | | half | a probe came back | a growing, drawn share of the far hosts, a step a ``STEP_US`` while
answers come |
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

OPEN, SLOW, DOWN, HALF = "open", "slow", "down", "half"
BAD = ("unreachable", "broken", "timed_out")

FLAPS, FLAP_US = 2, 10_000_000  # falls within a time from which a link flaps
FLAP_SILENT_US = 3_000_000  # silence over a flapping link that is a cut after all
LATE_TELL = 2  # hosts whose late answers show that a link is slow and not cut
HOSTS_TELL = 3  # hosts that must be bad together: two may share a rack
BAD_SHARE = 0.6  # of the far hosts tried lately: a link takes nearly all, a bad day of hosts seldom so many
SILENT_TIMES = 5.0  # usual answers at home within which a far host must have said something
SILENT_LEAST_US, SILENT_MOST_US = 150_000, 1_000_000
RECENT_US = 5_000_000  # how long what was seen of a host counts
SLOW_SHARE, FAST_SHARE = (
    0.15,
    0.08,
)  # of the shortest aim: extra way from which a link is slow, and is not any more
QUICK_KEPT = 32  # latest answers by which a way's quickest is judged
TRIAL_FIRST_US, TRIAL_MOST_US = 500_000, 2_000_000
QUICK_PROBES = 4  # quick ones in a row after which a slow link is open again: the jitter of one says little
SUSPECT_HOSTS, SUSPECT_EVERY_US = (
    4,
    1_000_000,
)  # probed once a far host is silent: work may be too seldom to tell
TRIAL_HOSTS = 2  # probed at a trial: one may be down by itself
STEPS = (0.25, 0.5, 1.0)  # shares of the far hosts let in while half open
STEP_US = 400_000
GAIN = 0.1
PROBE = ("probe", 0)


@dataclass(frozen=True, slots=True)
class Way:
    """What settings say of the way to a region: its usual delay there and back (us), and a crossing part's
    cost.
    """

    round_us: int = 0
    cost: float = 1.0


@dataclass(slots=True)
class _Host:
    region: str
    last_ok: int = -1
    last_bad: int = -1
    waiting: dict[tuple[str, int], int] = field(default_factory=dict)


@dataclass(slots=True)
class LinkState:
    """One link as this broker sees it; ``evidence`` says why, for the log."""

    region: str
    state: str = OPEN
    since: int = 0
    evidence: str = ""
    trial_at: int = 0
    trial_wait: int = TRIAL_FIRST_US
    step: int = 0
    step_at: int = 0
    oks: int = 0
    quick: deque[int] = field(default_factory=lambda: deque(maxlen=QUICK_KEPT))
    crossed: int = 0
    further: int = 0
    way: Way = field(default_factory=Way)
    heard: dict[str, int] = field(default_factory=dict)
    probes: dict[str, int] = field(default_factory=dict)
    quick_probes: int = 0
    suspected: int = -SUSPECT_EVERY_US
    falls: deque[int] = field(default_factory=lambda: deque(maxlen=FLAPS))


class Regions:
    """One broker's links. ``regions`` names each host's region; ``cross_most`` bounds further attempts that
    cross in a second (0: no bound), so that retries in two regions can't multiply; ``budget`` is the cost of
    all that may cross in a second before far hosts are avoided (0: no bound).
    """

    def __init__(
        self,
        home: str,
        names: list[str],
        shortest_aim_us: int,
        seed: int,
        *,
        prefer: bool = True,
        cross_most: int = 0,
        judge: bool = True,
        budget: float = 0.0,
        ways: Mapping[str, Way] | None = None,
    ) -> None:
        self.home, self.aim, self.prefer, self.cross_most = home, shortest_aim_us, prefer, cross_most
        self.judge, self.budget = judge, budget
        self.random = random.Random(seed)
        self.links = {
            name: LinkState(name, way=(ways or {}).get(name, Way())) for name in names if name != home
        }
        self.hosts: dict[str, _Host] = {}
        self.home_took = 0.0
        self.home_ok = -1
        self._home_quick: deque[int] = deque(maxlen=QUICK_KEPT)
        self._order: dict[str, float] = {}
        self._further: deque[int] = deque()
        self._spent: deque[tuple[int, float]] = deque()
        self.spent = 0.0
        self._news: list[tuple[str, str, str]] = []

    def listed(self, regions: Mapping[str, str]) -> None:
        """The hosts and their regions, by the host list."""
        for node, region in regions.items():
            known = self.hosts.get(node)
            if known is None or known.region != region:
                self.hosts[node] = _Host(region)
                self._order[node] = self.random.random()
        for node in [node for node in self.hosts if node not in regions]:
            del self.hosts[node]

    def sent(self, now: int, node: str, key: tuple[str, int]) -> None:
        """An attempt went out."""
        host = self.hosts.get(node)
        if host is None:
            return
        host.waiting[key] = now
        link = self.links.get(host.region)
        if link is not None:
            link.crossed += 1
            if self.budget:
                self._spent.append((now, link.way.cost))
                self.spent += link.way.cost
            if key[1] > 0:
                link.further += 1
                self._further.append(now)

    def ended(self, now: int, node: str, key: tuple[str, int], outcome: str, took_us: int) -> None:
        """An attempt ended; a cancelled one tells nothing."""
        host = self.hosts.get(node)
        if host is None:
            return
        host.waiting.pop(key, None)
        link = self.links.get(host.region)
        if outcome in BAD:
            host.last_bad = now
        elif outcome in ("ok", "error", "full_up"):
            # Whatever a host says, it came over the link.
            host.last_ok = now
            host.waiting.pop(PROBE, None)
            if outcome == "ok":
                self._answered(now, link, took_us)

    def _answered(self, now: int, link: LinkState | None, took_us: int) -> None:
        if link is None:
            self.home_ok = now
            self.home_took += (took_us - self.home_took) * (GAIN if self.home_took else 1.0)
            self._home_quick.append(took_us)
            return
        link.quick.append(took_us)
        link.oks += 1

    def heard(self, now: int, node: str) -> None:
        """A result came after its attempt's end: the way is open, however slow. Two hosts' make it sure."""
        host = self.hosts.get(node)
        link = self.links.get(host.region) if host is not None else None
        if host is None or link is None:
            return
        host.last_ok = now
        host.waiting.pop(PROBE, None)
        link.heard[node] = now
        if link.state == DOWN and sum(at > link.since for at in link.heard.values()) >= LATE_TELL:
            self._to(now, link, SLOW, "answers come over it after their time")

    def probed(self, now: int, node: str, outcome: str) -> None:
        """A trial's or a suspicion's probe came back (``ok``), or did not."""
        host = self.hosts.get(node)
        link = self.links.get(host.region) if host is not None else None
        if host is None or link is None:
            return
        asked = link.probes.pop(node, None)
        if outcome == "timed_out" and PROBE in host.waiting:
            return  # its answer may yet come over a slow link: it counts as silent, from when it was sent
        host.waiting.pop(PROBE, None)
        if outcome == "ok":
            host.last_ok = now
            if link.state == SLOW and asked is not None:
                quick = now - asked < FAST_SHARE * self.aim + link.way.round_us
                link.quick_probes = link.quick_probes + 1 if quick else 0
                if link.quick_probes >= QUICK_PROBES:
                    link.quick.clear()
                    self._to(
                        now,
                        link,
                        OPEN,
                        f"{QUICK_PROBES} probes in a row back within {FAST_SHARE:g} of an aim",
                    )
            elif link.state == DOWN:
                link.step, link.step_at, link.oks = 0, now, 0
                self._to(now, link, HALF, f"probe of {node} answered")
        else:
            host.last_bad = now

    def tick(self, now: int) -> list[str]:
        """Look again; returns hosts to probe."""
        probes: list[str] = []
        for link in self.links.values() if self.judge else ():
            far = [(node, host) for node, host in self.hosts.items() if host.region == link.region]
            if link.state in (OPEN, SLOW, HALF):
                bad, silent = self._bad_together(now, far, link)
                if not bad and link.state != HALF:
                    probes += self._suspect(now, far, link)
                if bad and silent and link.state == OPEN:
                    # Silent for so short a time it may be slow and not cut: avoided, until it has been silent
                    # for long.
                    link.suspected = now - SUSPECT_EVERY_US
                    self._to(now, link, SLOW, bad)
                    continue
                if bad and link.state != HALF and not self._flaps(now, link):
                    link.falls.append(now)
                    if len(link.falls) == FLAPS and now - link.falls[0] < FLAP_US:
                        # It falls again and again: what it holds comes within the flap, and shutting costs
                        # more.
                        link.heard.clear()
                        self._to(now, link, SLOW, f"{FLAPS} falls within {FLAP_US // 1_000_000} s: it flaps")
                        continue
                if bad:
                    link.trial_wait = (
                        TRIAL_FIRST_US if link.state != HALF else min(2 * link.trial_wait, TRIAL_MOST_US)
                    )
                    link.trial_at = now + self._drawn(link.trial_wait)
                    link.quick.clear()
                    self._to(now, link, DOWN, bad)
                    continue
            if link.state in (DOWN, SLOW) and now >= link.trial_at:
                # Over a slow link too: what is avoided brings no answers to judge the way by.
                nodes = self.random.sample([node for node, _ in far], min(TRIAL_HOSTS, len(far)))
                link.probes = dict.fromkeys(nodes, now)
                probes += nodes
                link.trial_wait = min(2 * link.trial_wait, TRIAL_MOST_US)
                link.trial_at = now + self._drawn(link.trial_wait)
            elif link.state == HALF and now >= link.step_at + STEP_US:
                self._half_step(now, link)
            if link.state in (OPEN, SLOW):
                self._pace(now, link)
        return probes

    @staticmethod
    def _flaps(now: int, link: LinkState) -> bool:
        return len(link.falls) == FLAPS and now - link.falls[0] < 2 * FLAP_US

    def _suspect(self, now: int, far: list[tuple[str, _Host]], link: LinkState) -> list[str]:
        """Hosts to probe as one has gone silent: is it alone? They are judged like those that work was sent
        to.
        """
        if now - link.suspected < SUSPECT_EVERY_US or not any(
            host.waiting
            and now - (oldest := min(host.waiting.values())) > SILENT_LEAST_US
            and host.last_ok < oldest
            for _, host in far
        ):
            return []
        link.suspected = now
        nodes = self.random.sample([node for node, _ in far], min(SUSPECT_HOSTS, len(far)))
        link.probes.update(dict.fromkeys(nodes, now))
        for node in nodes:
            waiting = self.hosts[node].waiting
            if waiting.get(PROBE, 0) < link.since:
                waiting[PROBE] = now
        return nodes

    def _bad_together(self, now: int, far: list[tuple[str, _Host]], link: LinkState) -> tuple[str, bool]:
        """Why the link must be bad, or nothing, and whether it is by silence. What was seen before its last
        change speaks of the last trouble.
        """
        limit = min(max(SILENT_TIMES * self.home_took, SILENT_LEAST_US), SILENT_MOST_US) + link.way.round_us
        if link.state == SLOW:
            # Its answers are known to take long, and a flapping link's longer than that.
            limit = FLAP_SILENT_US if self._flaps(now, link) else SILENT_MOST_US + self.home_took
        since = link.since
        tried = bad = silent = 0
        for _, host in far:
            oldest = min((sent for sent in host.waiting.values() if sent >= since), default=now)
            quiet = now - oldest > limit and host.last_ok < oldest
            failed = host.last_bad > max(host.last_ok, since) and now - host.last_bad < RECENT_US
            if not quiet and not failed and (host.last_ok < 0 or now - host.last_ok > RECENT_US):
                continue
            tried += 1
            bad += bool(quiet or failed)
            silent += bool(quiet)
        # Where home is as silent it is this broker, or everybody, and no link's fault.
        if (
            bad >= HOSTS_TELL
            and bad >= BAD_SHARE * tried
            and self.home_ok >= 0
            and now - self.home_ok < RECENT_US
        ):
            text = (
                f"{bad} of {tried} hosts tried gone bad together, {silent} of them silent, while home answers"
            )
            return text, 2 * silent > bad
        return "", False

    def _half_step(self, now: int, link: LinkState) -> None:
        if link.step + 1 >= len(STEPS):
            link.trial_wait = TRIAL_FIRST_US
            self._to(now, link, OPEN, f"{link.oks} answers since the first probe")
        elif link.oks or not any(h.waiting for h in self.hosts.values() if h.region == link.region):
            link.step += 1
            link.step_at = now

    def _pace(self, now: int, link: LinkState) -> None:
        """A slow link makes all its answers late: judged by the quickest, as hosts differ."""
        if len(link.quick) < QUICK_KEPT // 2 or len(self._home_quick) < QUICK_KEPT // 2:
            return
        extra = _low(link.quick) - _low(self._home_quick) - link.way.round_us
        if link.state == OPEN and extra > SLOW_SHARE * self.aim:
            self._to(now, link, SLOW, f"its quickest answers take {extra // 1000} ms longer than home's")
        elif link.state == SLOW and extra < FAST_SHARE * self.aim:
            self._to(now, link, OPEN, f"its quickest answers take {extra // 1000} ms longer than home's")

    def _to(self, now: int, link: LinkState, state: str, evidence: str) -> None:
        self._news.append((link.region, state, evidence))
        link.state, link.since, link.evidence, link.quick_probes = state, now, evidence, 0
        link.quick.clear()  # what was quick before says nothing of the way as it is now
        if state == SLOW:
            link.trial_at = now + self._drawn(TRIAL_MOST_US)

    def _drawn(self, wait: int) -> int:
        """Brokers can't talk to each other: their trials must not fall together."""
        return int(wait * self.random.uniform(0.6, 1.4))

    def news(self) -> list[tuple[str, str, str]]:
        """Changes of links (region, state, evidence) since the last call."""
        news, self._news = self._news, []
        return news

    def holdings(self, now: int) -> tuple[frozenset[str], frozenset[str]]:
        """Hosts to avoid, and hosts that are shut."""
        while self._further and self._further[0] <= now - 1_000_000:
            self._further.popleft()
        while self._spent and self._spent[0][0] <= now - 1_000_000:
            self.spent -= self._spent.popleft()[1]
        spent = (
            bool(self.cross_most)
            and len(self._further) >= self.cross_most
            or bool(self.budget)
            and self.spent >= self.budget
        )
        avoid, shut = set(), set()
        for node, host in self.hosts.items():
            link = self.links.get(host.region)
            if link is None:
                continue
            if link.state == DOWN or (link.state == HALF and self._order[node] >= STEPS[link.step]):
                shut.add(node)
            elif link.state == SLOW or self.prefer or spent:
                avoid.add(node)
        return frozenset(avoid), frozenset(shut)


def _low(values: deque[int]) -> int:
    """The quickest tenth: what the way costs, little troubled by hosts' work."""
    return sorted(values)[len(values) // 10]
