"""Checks the budgets of a fleet by event logs alone: the amounts held and used at every instant.

Holders log each change of their grants (with the remaining time by their own clocks), each use of a rate, and
the rate of their clocks. Coordinators log the grants that they make, hosts their connections and arrivals.
The grants of a killed process count until they expire.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from heathwell.testing.audit.reader import Event, JsonObject

LOGGING_DELAY_US = 2_000  # the most between an action and its record in the log
ROUNDING_MILLIUNITS = 1_000  # one unit, as only whole units are used
BUCKET_TOLERANCE = ROUNDING_MILLIUNITS * 1e-6
RESIZE_GRACE_US = 1_000_000  # for every coordinator to read a changed limit
CONNECTIONS = "connections"
AT_HOSTS = "at hosts"


@dataclass(slots=True)
class BudgetVerdict:
    """The result of a run.

    ``nearest`` is the greatest fraction of each budget's limit that was held. ``lines`` counts the checked
    changes of holdings, ``uses`` the checked uses and connections.
    """

    breaches: list[str] = field(default_factory=list)
    nearest: dict[str, float] = field(default_factory=dict)
    lines: int = 0
    uses: int = 0

    @property
    def kept(self) -> bool:
        """Whether no budget was exceeded; false for a run without any record of a holding."""
        return not self.breaches and self.lines > 0

    def record_use(self, name: str, fraction: float) -> None:
        """Record the fraction of a budget's limit that was held."""
        self.nearest[name] = max(self.nearest.get(name, 0.0), fraction)


class _Grant(NamedTuple):
    expires_at_us: int
    amount: int


class _GrantId(NamedTuple):
    """The values that identify a grant in both the holder's log and the coordinator's."""

    member: str | None
    incarnation: int | None
    budget: str
    fraction: int
    number: int
    amount: int
    coordinator: str


class _ShrunkLimit(NamedTuple):
    """A limit before its reduction, and until when grants may still add up to it."""

    former: int
    until_us: int


class _Bucket(NamedTuple):
    """A token bucket of a rate budget."""

    level: float
    updated_at_us: int


@dataclass(slots=True)
class _Holding:
    """One holder's share of one budget.

    ``reserved`` is the amount that it has without a grant, ``accrued`` the unused amount of its rate.
    """

    reserved: int
    updated_at_us: int
    grants: list[_Grant] = field(default_factory=list)
    accrued: float = 0.0
    never_had_grant: bool = False

    def granted(self, now_us: int) -> int:
        """Return the sum of the grants that have not expired."""
        return sum(grant.amount for grant in self.grants if grant.expires_at_us > now_us)

    def accrue(self, now_us: int, window_us: int) -> None:
        """Add what the rate has yielded since the last update, up to the yield of one window."""
        if now_us <= self.updated_at_us:
            return
        rate = self.reserved + sum(grant.amount for grant in self.grants)
        accrued = self.accrued + rate * (now_us - self.updated_at_us) / 1e6
        self.accrued = min(accrued, rate * window_us / 1e6)
        self.updated_at_us = now_us


class BudgetAudit:
    """Checks the events of a run in their order; ``verdict`` covers those that were fed so far."""

    def __init__(self, parameters: JsonObject) -> None:
        self.verdict = BudgetVerdict()
        self._budgets: dict[str, JsonObject] = {spec["name"]: spec for spec in parameters["budgets"]}
        self._drift: float = parameters["drift"]
        self._limits: dict[str, int] = {name: spec["whole"] for name, spec in self._budgets.items()}
        self._shrunk: dict[str, _ShrunkLimit] = {}
        self._clock_rates: dict[str, float] = {}
        self._members: dict[str, str] = {}  # member names by log writer
        self._incarnations: dict[str, int] = {}
        self._holdings: dict[tuple[str, str], _Holding] = {}  # by budget and log writer
        self._grants: set[_GrantId] = set()
        self._granted: defaultdict[str, int] = defaultdict(int)
        self._expiries: list[tuple[int, str, str]] = []  # a heap of (expiry time, budget, log writer)
        self._buckets: dict[str, _Bucket] = {}
        self._open_connections: defaultdict[str, int] = defaultdict(int)
        self._longest_grant_us = 0
        self._handlers: dict[str, Callable[[Event], None]] = {
            "clock": self._on_clock,
            "joins": self._on_joined,
            "dies": self._on_died,
            "gives": self._on_granted,
            "holds": self._on_held,
            "spends": self._on_used,
            "resized": self._on_resized,
            "met": self._on_connected,
            "unmet": self._on_disconnected,
            "up": self._on_host_started,
        }

    def feed(self, events: Iterable[Event]) -> None:
        """Check events, oldest first."""
        for event in events:
            self._expire_grants(event.t)
            handler = self._handlers.get(event.ev)
            if handler is not None:
                handler(event)

    def _report(self, event: Event, text: str) -> None:
        self.verdict.breaches.append(f"{event.t / 1e6:.3f} s: {text} [{event.location}]")

    def _spec(self, name: str) -> JsonObject:
        return self._budgets[_base_name(name)]

    def _limit(self, name: str, now_us: int) -> int:
        base = _base_name(name)
        shrunk = self._shrunk.get(base)
        former = shrunk.former if shrunk is not None and now_us <= shrunk.until_us else 0
        return max(self._limits[base], former)

    # Members, grants and limits.

    def _on_clock(self, event: Event) -> None:
        self._clock_rates[event.who] = event["rate"]

    def _on_joined(self, event: Event) -> None:
        self._members[event.who] = event["name"]
        self._incarnations[event.who] = event["inc"]

    def _on_died(self, event: Event) -> None:
        self._incarnations[event.who] = event["inc"]

    def _on_granted(self, event: Event) -> None:
        self._longest_grant_us = max(self._longest_grant_us, event["length"])
        grant = _GrantId(
            event["to"],
            event["inc"],
            event["budget"],
            event["fraction"],
            event["number"],
            event["amount"],
            event.who.partition("r")[0],
        )
        self._grants.add(grant)

    def _on_resized(self, event: Event) -> None:
        base = event["budget"]
        former = self._limits[base]
        if event["whole"] < former:
            # The former limit applies until each coordinator has read the new one, and the grants that
            # it made by then have expired.
            longest_us = int(self._longest_grant_us * (1 + 2 * self._drift))
            until_us = event.t + longest_us + self._budgets[base]["linger"] + RESIZE_GRACE_US
            shrunk = self._shrunk.get(base)
            self._shrunk[base] = _ShrunkLimit(max(former, shrunk.former if shrunk else 0), until_us)
        self._limits[base] = event["whole"]

    # Holdings.

    def _on_held(self, event: Event) -> None:
        name = event["budget"]
        self.verdict.lines += 1
        key = (name, event.who)
        never_had_grant = key not in self._holdings or self._holdings[key].never_had_grant
        holding = self._holdings.setdefault(key, _Holding(reserved=event["own"], updated_at_us=event.t))
        self._accrue(name, holding, event.t)
        self._granted[name] -= holding.granted(event.t)
        self._replace_grants(event, holding)
        self._granted[name] += holding.granted(event.t)
        spec = self._spec(name)
        holding.never_had_grant = never_had_grant and not holding.grants
        if never_had_grant and holding.grants and spec["kind"] == "rate":
            # A new holder may begin with the yield of one window, which is within the permitted burst.
            holding.accrued = (holding.reserved + holding.granted(event.t)) * spec["window"] / 1e6
        self._check_granted(event, name, spec)

    def _replace_grants(self, event: Event, holding: _Holding) -> None:
        clock_rate = self._clock_rates.get(event.who, 1.0)
        name = event["budget"]
        holding.grants = []
        for fraction, amount, remaining_us, owner, number in event["held"]:
            expires_at_us = event.t + int(remaining_us / clock_rate) - LOGGING_DELAY_US
            holding.grants.append(_Grant(expires_at_us, amount))
            heapq.heappush(self._expiries, (expires_at_us, name, event.who))
            grant = _GrantId(
                self._members.get(event.who),
                self._incarnations.get(event.who),
                name,
                fraction,
                number,
                amount,
                str(owner).partition(".")[0],
            )
            if amount and grant not in self._grants:
                self._report(
                    event,
                    f"{event.who} holds {amount} of {name}, fraction {fraction}, by number {number} of "
                    f"{owner}: no keeper's log has given that",
                )

    def _check_granted(self, event: Event, name: str, spec: JsonObject) -> None:
        grantable = self._limit(name, event.t) - spec["own"] * spec["most"]
        granted = self._granted[name]
        if granted > grantable:
            self._report(event, f"{granted} of {name} are lent out, of {grantable} that may be")
        if grantable > 0:
            self.verdict.record_use(spec["name"], granted / grantable)

    def _expire_grants(self, now_us: int) -> None:
        while self._expiries and self._expiries[0][0] <= now_us:
            expired_at_us, name, who = heapq.heappop(self._expiries)
            holding = self._holdings[name, who]
            expired = sum(grant.amount for grant in holding.grants if grant.expires_at_us == expired_at_us)
            if expired:
                self._accrue(name, holding, expired_at_us)
                holding.grants = [grant for grant in holding.grants if grant.expires_at_us != expired_at_us]
                self._granted[name] -= expired

    # Uses of a rate, checked against the budget and against the holder's share.

    def _accrue(self, name: str, holding: _Holding, now_us: int) -> None:
        spec = self._spec(name)
        if spec["kind"] == "rate":
            holding.accrue(now_us, spec["window"])

    def _on_used(self, event: Event) -> None:
        name = event["budget"]
        amount = event["amount"]
        self.verdict.uses += 1
        self._check_use(event, name, amount)
        holding = self._holdings.get((name, event.who))
        if holding is None:
            self._report(event, f"{event.who} used {name} and has logged no share of it")
            return
        self._accrue(name, holding, event.t)
        holding.accrued -= amount
        if holding.accrued < -ROUNDING_MILLIUNITS:
            self._report(event, f"{event.who} used more of {name} than its own share saved up")
            holding.accrued = 0.0

    def _check_use(self, event: Event, name: str, amount: int) -> None:
        limit = self._limit(name, event.t)
        full = limit * self._spec(name)["window"] / 1e6
        bucket = self._buckets.get(name, _Bucket(full, event.t))
        refill = limit * (event.t - bucket.updated_at_us) / 1e6
        level = min(bucket.level + refill, full) - amount
        self._buckets[name] = _Bucket(level, event.t)
        if level < -BUCKET_TOLERANCE:
            self._report(event, f"more of {name} was used than {limit / 1000:g} a second and its burst")

    # Connections, by the hosts' records.

    def _on_connected(self, event: Event) -> None:
        if event["role"] != "broker" or CONNECTIONS not in self._budgets:
            return
        self.verdict.uses += 1
        fraction = self._change_connections(event, 1)
        if fraction > 1:
            node = event["node"]
            limit = self._connection_limit(event.t)
            text = f"{self._open_connections[node]} connections of brokers at {node}, of {limit}"
            self._report(event, text)

    def _on_disconnected(self, event: Event) -> None:
        if event["role"] == "broker" and CONNECTIONS in self._budgets:
            self._change_connections(event, -1)

    def _on_host_started(self, event: Event) -> None:
        self._open_connections[event["node"]] = 0

    def _change_connections(self, event: Event, change: int) -> float:
        """Change the count of a host's open connections; return it as a fraction of the limit."""
        self._open_connections[event["node"]] += change
        fraction = self._open_connections[event["node"]] / self._connection_limit(event.t)
        self.verdict.record_use(AT_HOSTS, fraction)
        return fraction

    def _connection_limit(self, now_us: int) -> int:
        apart: int = self._budgets[CONNECTIONS]["apart"]
        return self._limit(CONNECTIONS, now_us) + apart


def _base_name(name: str) -> str:
    """Return a budget's name without the zone, tenant or host after its ``@``."""
    return name.partition("@")[0]


def judge_budgets(events: list[Event]) -> BudgetVerdict:
    """Return the verdict on a run's budgets. Raise :class:`ValueError` where the run has none."""
    for event in events:
        if event.ev == "run" and event["figures"].get("budgets"):
            audit = BudgetAudit(event["figures"])
            audit.feed(events)
            return audit.verdict
    raise ValueError("no 'run' event with 'budgets' in its 'figures': budgets can't be audited")
