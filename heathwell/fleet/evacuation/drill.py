"""An evacuation drill: a healthy zone is evacuated and restored on purpose, and the cost is reported.

The fleet's own controller evacuates and restores; the drill decides when, counts the loss in other zones
meanwhile, and cancels itself at once where that is beyond its limit. Pure: counts in, orders out; the clock
is handed in, in microseconds. Owns the course of one drill. May import the evidence's records, the states
and the orders.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from heathwell.fleet.evacuation.orders import OperatorAction
from heathwell.fleet.evacuation.state_machine import ZoneState
from heathwell.fleet.evacuation.zone_observations import AttemptCounts, CountsByKey, sum_counts

BASELINE_US = 5_000_000  # before and after: what is usual
MINIMUM_ATTEMPTS = 10  # attempts of a tick for its loss to count
CANCEL_TICKS = 3  # in a row with too much lost before a drill is cancelled
TRANSITION_TIMEOUT_US = 120_000_000  # for the controller to evacuate, or to restore


class DrillStage(StrEnum):
    """Stages of a drill; the values are those of the command's output."""

    BEFORE = "before"
    EVACUATING = "leaving"
    EVACUATED = "away"
    RESTORING = "returning"
    AFTER = "after"
    FINISHED = "over"


@dataclass(frozen=True, slots=True)
class _StageEnd:
    """What follows a stage, and the order that the controller is given as it ends."""

    next_stage: DrillStage
    action: OperatorAction | None = None


STAGE_ENDS: dict[DrillStage, _StageEnd] = {
    DrillStage.BEFORE: _StageEnd(DrillStage.EVACUATING, OperatorAction.EVACUATE),
    DrillStage.EVACUATING: _StageEnd(DrillStage.EVACUATED),
    DrillStage.EVACUATED: _StageEnd(DrillStage.RESTORING, OperatorAction.RESTORE),
    DrillStage.RESTORING: _StageEnd(DrillStage.AFTER),
    DrillStage.AFTER: _StageEnd(DrillStage.FINISHED),
}


@dataclass(frozen=True, slots=True)
class DrillStageReport:
    """What one stage cost: attempts a second and lost shares, from 0 to 1.

    ``worst_tick_loss`` is the greatest loss in other zones of a single tick.
    """

    stage: DrillStage
    duration_seconds: float
    zone_attempts_per_second: float
    elsewhere_attempts_per_second: float
    elsewhere_loss: float
    worst_tick_loss: float
    elsewhere_loss_by_class: dict[str, float]


@dataclass(slots=True)
class _StageSums:
    """Attempts during one stage by query class: at the zone and in the others."""

    stage: DrillStage
    began_at_us: int
    duration_us: int = 0
    in_zone: dict[str, AttemptCounts] = field(default_factory=dict)
    elsewhere: dict[str, AttemptCounts] = field(default_factory=dict)
    worst_tick_loss: float = 0.0

    def add(self, zone: str, counts: CountsByKey) -> None:
        """Add one tick's counts; ``zone`` is the one that the drill evacuates."""
        for (counted_zone, query_class), some in counts.items():
            sums = self.in_zone if counted_zone == zone else self.elsewhere
            sums[query_class] = sums.get(query_class, AttemptCounts()) + some

    def to_report(self) -> DrillStageReport:
        """The sums as rates and shares."""
        in_zone = sum_counts(self.in_zone.values())
        elsewhere = sum_counts(self.elsewhere.values())
        seconds = max(self.duration_us, 1) / 1e6
        return DrillStageReport(
            self.stage,
            seconds,
            in_zone.total / seconds,
            elsewhere.total / seconds,
            elsewhere.loss,
            self.worst_tick_loss,
            {query_class: some.loss for query_class, some in sorted(self.elsewhere.items())},
        )


class Drill:
    """A drill of one zone, which stays evacuated for ``hold_us``.

    ``loss_limit`` is the share that may be lost in other zones beyond the usual; ``cancel_reason`` is why
    the drill was cancelled, if it was.
    """

    def __init__(self, zone: str, now_us: int, hold_us: int, loss_limit: float) -> None:
        self.zone = zone
        self.hold_us = hold_us
        self.loss_limit = loss_limit
        self.cancel_reason: str | None = None
        self._stages = [_StageSums(DrillStage.BEFORE, now_us)]
        self._ticks_over_limit = 0

    @property
    def stage(self) -> DrillStage:
        """The present stage."""
        return self._stages[-1].stage

    def tick(self, now_us: int, state: str, counts: CountsByKey) -> OperatorAction | None:
        """Go on by the zone's ``state`` (a value of `ZoneState`) and what all brokers observed since the
        last tick.

        Returns what is to be ordered of the controller now.
        """
        current = self._stages[-1]
        current.duration_us = now_us - current.began_at_us
        current.add(self.zone, counts)
        self._watch_loss(current, counts)
        if current.stage in (DrillStage.EVACUATING, DrillStage.EVACUATED):
            self.cancel_reason = self._cancel_reason(current)
            if self.cancel_reason is not None:
                self._stages.append(_StageSums(DrillStage.RESTORING, now_us))
                return OperatorAction.RESTORE
        if not self._has_ended(current, state):
            return None
        end = STAGE_ENDS[current.stage]
        self._stages.append(_StageSums(end.next_stage, now_us))
        return end.action

    def report(self) -> list[DrillStageReport]:
        """What each stage cost, the present one included."""
        return [sums.to_report() for sums in self._stages if sums.stage != DrillStage.FINISHED]

    def _watch_loss(self, current: _StageSums, counts: CountsByKey) -> None:
        elsewhere = sum_counts(some for (zone, _), some in counts.items() if zone != self.zone)
        if elsewhere.total < MINIMUM_ATTEMPTS:
            return
        current.worst_tick_loss = max(current.worst_tick_loss, elsewhere.loss)
        usual_loss = sum_counts(self._stages[0].elsewhere.values()).loss
        if elsewhere.loss > usual_loss + self.loss_limit:
            self._ticks_over_limit += 1
        else:
            self._ticks_over_limit = 0

    def _cancel_reason(self, current: _StageSums) -> str | None:
        if self._ticks_over_limit >= CANCEL_TICKS:
            return f"over {self.loss_limit:.0%} more than usual is lost elsewhere"
        if current.stage == DrillStage.EVACUATING and current.duration_us >= TRANSITION_TIMEOUT_US:
            return "the zone is not evacuated"
        return None

    def _has_ended(self, current: _StageSums, state: str) -> bool:
        match current.stage:
            case DrillStage.BEFORE | DrillStage.AFTER:
                return current.duration_us >= BASELINE_US
            case DrillStage.EVACUATING:
                return state == ZoneState.EVACUATED
            case DrillStage.EVACUATED:
                return current.duration_us >= self.hold_us
            case DrillStage.RESTORING:
                timed_out = current.duration_us >= TRANSITION_TIMEOUT_US
                return state == ZoneState.SERVING or state != ZoneState.RESTORING and timed_out
            case DrillStage.FINISHED:
                return False
