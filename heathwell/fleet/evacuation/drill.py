"""An evacuation drill: a healthy zone is evacuated and restored on purpose, and the cost is reported.

The fleet's controller carries out the evacuation and the restore. The drill decides when they start, measures
the loss in other zones meanwhile, and cancels itself if that exceeds its limit. Does no I/O: counts in,
orders out; the clock is an argument, in microseconds. Owns the stages of one drill. Imports the records of
`zone_observations`, the zone states and the orders.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from heathwell.fleet.evacuation.orders import OperatorAction
from heathwell.fleet.evacuation.state_machine import ZoneState
from heathwell.fleet.evacuation.zone_observations import AttemptCounts, CountsByKey, sum_counts

BASELINE_US = 5_000_000  # duration of the stages before and after, which measure the usual loss
MINIMUM_ATTEMPTS = 10  # minimum attempts in a tick for its loss to be considered
CANCEL_TICKS = 3  # consecutive ticks with a loss beyond the limit after which a drill is cancelled
TRANSITION_TIMEOUT_US = 120_000_000  # time that the controller has to evacuate or to restore the zone


class DrillStage(StrEnum):
    """Stages of a drill; the values are used in the command's output."""

    BEFORE = "before"
    EVACUATING = "leaving"
    EVACUATED = "away"
    RESTORING = "returning"
    AFTER = "after"
    FINISHED = "over"


@dataclass(frozen=True, slots=True)
class _StageEnd:
    """The stage that follows, and the order that is sent to the controller when a stage ends."""

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
    """Attempts per second and loss (0 to 1) during one stage, in the zone and in the other zones
    ("elsewhere").

    ``worst_tick_loss`` is the highest loss in other zones in a single tick.
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
    """Attempts during one stage by query class, at the zone and at the other zones."""

    stage: DrillStage
    began_at_us: int
    duration_us: int = 0
    in_zone: dict[str, AttemptCounts] = field(default_factory=dict)
    elsewhere: dict[str, AttemptCounts] = field(default_factory=dict)
    worst_tick_loss: float = 0.0

    def add(self, zone: str, counts: CountsByKey) -> None:
        """Add one tick's counts; ``zone`` is the one that the drill evacuates."""
        for (counted_zone, query_class), class_counts in counts.items():
            sums = self.in_zone if counted_zone == zone else self.elsewhere
            sums[query_class] = sums.get(query_class, AttemptCounts()) + class_counts

    def to_report(self) -> DrillStageReport:
        """Return the sums as rates and shares."""
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
            {query_class: counts.loss for query_class, counts in sorted(self.elsewhere.items())},
        )


class Drill:
    """A drill of one zone, which stays evacuated for ``hold_us``.

    ``loss_limit`` is the loss in other zones beyond their usual loss at which the drill is cancelled;
    ``cancel_reason`` is None unless it was cancelled.
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
        """The current stage."""
        return self._stages[-1].stage

    def tick(self, now_us: int, state: str, counts: CountsByKey) -> OperatorAction | None:
        """Advance the drill and return the order to send to the controller now, if any.

        ``state`` is the zone's state (a value of `ZoneState`), ``counts`` are the attempts of all brokers
        since the last tick.
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
        """Return a report of each stage, including the current one."""
        return [sums.to_report() for sums in self._stages if sums.stage != DrillStage.FINISHED]

    def _watch_loss(self, current: _StageSums, counts: CountsByKey) -> None:
        elsewhere = sum_counts(
            class_counts for (zone, _), class_counts in counts.items() if zone != self.zone
        )
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
