"""What each replica's data is worth: lag estimated from watermarks, stuck and restored ones recognised, and
whether an answer is used, turned down, or asked for elsewhere.

A ruling is all that this decides. Turning an answer down is told to the decision module as an error of that
host: the module asks another holder where its own rules allow, and leaves a host alone that keeps being
turned down. It never sends, and on a fresh fleet every ruling is to use the answer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from heathwell.service.freshness.clock import SourceClock

GAIN = 0.25  # weight of one observation in a replica's lag: a replica falls behind within seconds
SPREAD = 2.0  # mean deviations above the estimate that a replica is expected to stay under
STUCK_US = 2_000_000  # how far siblings must have moved on while a watermark stood still
USE, MISSING, ANOTHER = "use", "missing", "another"
MEASURED, UNKNOWN, FUTURE = "measured", "unknown", "future"


@dataclass(frozen=True, slots=True)
class Policy:
    """A class's wish: ages in microseconds (0: no limit), and what to do with older data."""

    wanted_us: int = 0
    allowed_us: int = 0
    stale: str = USE

    def __post_init__(self) -> None:
        if self.stale not in (USE, MISSING, ANOTHER):
            raise ValueError(f"stale: {self.stale!r} is not known")


@dataclass(frozen=True, slots=True)
class Watermark:
    """Up to where a replica's data is applied: the log's position and source time."""

    position: int
    source_us: int


@dataclass(frozen=True, slots=True)
class Ruling:
    """What becomes of an answer: ``accept`` or not, its age's upper bound (None: unknown) and why."""

    accept: bool
    age_us: int | None
    why: str = ""


@dataclass(slots=True)
class _Replica:
    mark: Watermark
    moved: int
    lag: float
    dev: float
    back: bool = False


class Freshness:
    """One broker's view of the lags of all replicas."""

    def __init__(self, clock: SourceClock, holders: Callable[[int], Iterable[str]]) -> None:
        self.clock, self.holders = clock, holders
        self._seen: dict[tuple[int, str], _Replica] = {}
        self.stuck: set[tuple[int, str]] = set()
        self.restored = self.liars = self.turned_down = 0

    def observe(self, now: int, shard: int, node: str, mark: Watermark) -> str:
        """Note a watermark that came with an answer; says how far its age can be trusted."""
        if not self.clock.known:
            return UNKNOWN
        age = self.clock.upper(now) - mark.source_us
        if age < 0:
            self.liars += 1
            self._seen.pop((shard, node), None)
            return FUTURE
        known = self._seen.get((shard, node))
        if known is None:
            self._seen[shard, node] = _Replica(mark, now, float(age), age / 4)
            return MEASURED
        if mark.position < known.mark.position or mark.source_us < known.mark.source_us:
            # Restored from an older copy: what was learned of its lag is void.
            self.restored += 1
            known.back, known.lag, known.dev = True, float(age), age / 4
        elif mark.source_us > known.mark.source_us:
            known.back = False
            known.moved = now
            if self.stuck:
                self.stuck.discard((shard, node))
        elif now - known.moved > STUCK_US:
            self._look_if_stuck(shard, node, mark)
        error = age - known.lag
        known.lag += GAIN * error
        known.dev += GAIN * (abs(error) - known.dev)
        known.mark = mark
        return MEASURED

    def _look_if_stuck(self, shard: int, node: str, mark: Watermark) -> None:
        """A replica whose watermark stands while a sibling's has moved on is stuck, however fast it
        answers.
        """
        others = (self._seen.get((shard, other)) for other in self.holders(shard))
        newest = max((row.mark.source_us for row in others if row is not None), default=0)
        if newest - mark.source_us > STUCK_US:
            self.stuck.add((shard, node))

    def expected_age(self, now: int, shard: int, node: str) -> int | None:
        """The age that an answer of a replica would be expected to have; None where nothing is known."""
        known = self._seen.get((shard, node))
        if known is None:
            return None
        if (shard, node) in self.stuck:
            return self.clock.age(now, known.mark.source_us)
        return int(known.lag + SPREAD * known.dev)

    def rule(
        self,
        now: int,
        shard: int,
        node: str,
        mark: Watermark,
        policy: Policy,
        *,
        tried: Iterable[str],
        turned_down: int,
        time_left_us: int,
        took_us: int,
        at_least: int = 0,
    ) -> Ruling:
        """Whether an answer is used.

        ``at_least`` is a position that the client or the answer's first step has seen already, ``tried`` are
        the hosts that the part was sent to, ``time_left_us`` is up to the query's aim.
        """
        trust = self.observe(now, shard, node, mark)
        age = None if trust != MEASURED else self.clock.age(now, mark.source_us)
        behind = mark.position < at_least
        too_old = bool(policy.allowed_us) and (age is None or age > policy.allowed_us)
        older = bool(policy.wanted_us) and (age is None or age > policy.wanted_us)
        why = (
            "claims data newer than the source"
            if trust == FUTURE
            else "behind what was seen"
            if behind
            else "too old"
            if too_old
            else "older than wanted"
            if older
            else ""
        )
        if not why:
            return Ruling(True, age)
        if policy.stale == MISSING and (too_old or trust == FUTURE):
            self.turned_down += 1
            return Ruling(False, age, why)
        if policy.stale == ANOTHER and not turned_down and time_left_us > 2 * took_us:
            if self._better(now, shard, node, age, policy, set(tried), at_least):
                self.turned_down += 1
                return Ruling(False, age, why)
        return Ruling(True, age, why)

    def _better(
        self, now: int, shard: int, node: str, age: int | None, policy: Policy, tried: set[str], at_least: int
    ) -> bool:
        """Whether a holder not yet asked is believed to do: turning down is only worth it for a
        better one.
        """
        for other in self.holders(shard):
            known = self._seen.get((shard, other))
            if other == node or other in tried or known is None or known.back:
                continue
            expected = self.expected_age(now, shard, other)
            if expected is None or (policy.wanted_us and expected > policy.wanted_us):
                continue
            if known.mark.position >= at_least and (age is None or expected < age):
                return True
        return False
