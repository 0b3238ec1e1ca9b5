"""The state machine of one rollout: which version every broker is to run, and when the state changes.

Decisions are desired versions, not commands, and what was done is read off what brokers run. So a controller
that dies between any two steps and is restored from its last record repeats no effect. Its caller stores the
record before it carries out what follows from it; decisions carry (term, number), of which a machine never
takes an older one after a newer one.

Owns state, stage and observation of one rollout; pure. Imports the other modules of this package.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypedDict

from heathwell.fleet.rollout.canary_analysis import CanaryAnalysis
from heathwell.fleet.rollout.errors import RecordMismatchError
from heathwell.fleet.rollout.observations import BrokerWindow, total_statistics
from heathwell.fleet.rollout.plan import Plan, next_batch, select_brokers, update_order
from heathwell.fleet.rollout.verdict import AnalysisLimits, Verdict, VerdictKind


class RolloutState(StrEnum):
    """States of a rollout. The values are those of its record, its log and its status."""

    PLANNED = "planned"
    PREFLIGHT = "checking"
    DEPLOYING = "staging"
    OBSERVING = "judging"
    HELD = "held"
    ROLLING_BACK = "undoing"
    DONE = "done"
    ROLLED_BACK = "undone"


class RolloutEvent(StrEnum):
    """What may change the state. The values are the reasons of steps that have no other."""

    STARTED = "began"
    PREFLIGHT_PASSED = "sound"
    PREFLIGHT_FAILED = "unsound"
    STAGE_DEPLOYED = "staged"
    STAGE_PASSED = "passed"
    LAST_STAGE_PASSED = "last"
    REGRESSED = "worse"  # the new version does worse, or could not be started
    INCONCLUSIVE = "unsure"  # too few queries for a conclusion
    FAULT_DETECTED = "trouble"  # both sides do worse: nothing can be concluded
    FAULT_CLEARED = "calm"
    HOLD = "hold"  # hold, resume and undo are an operator's commands
    RESUME = "resume"
    UNDO = "undo"
    ROLLBACK_DEPLOYED = "back"  # all brokers run the old version again


# The state that follows from an event; any other event changes nothing.
TRANSITIONS: dict[RolloutState, dict[RolloutEvent, RolloutState]] = {
    RolloutState.PLANNED: {
        RolloutEvent.STARTED: RolloutState.PREFLIGHT,
        RolloutEvent.UNDO: RolloutState.ROLLED_BACK,
    },
    RolloutState.PREFLIGHT: {
        RolloutEvent.PREFLIGHT_PASSED: RolloutState.DEPLOYING,
        RolloutEvent.PREFLIGHT_FAILED: RolloutState.ROLLED_BACK,
        RolloutEvent.HOLD: RolloutState.HELD,
        RolloutEvent.UNDO: RolloutState.ROLLED_BACK,
    },
    RolloutState.DEPLOYING: {
        RolloutEvent.STAGE_DEPLOYED: RolloutState.OBSERVING,
        RolloutEvent.REGRESSED: RolloutState.ROLLING_BACK,
        RolloutEvent.INCONCLUSIVE: RolloutState.HELD,
        RolloutEvent.HOLD: RolloutState.HELD,
        RolloutEvent.UNDO: RolloutState.ROLLING_BACK,
    },
    RolloutState.OBSERVING: {
        RolloutEvent.STAGE_PASSED: RolloutState.DEPLOYING,
        RolloutEvent.LAST_STAGE_PASSED: RolloutState.DONE,
        RolloutEvent.REGRESSED: RolloutState.ROLLING_BACK,
        RolloutEvent.INCONCLUSIVE: RolloutState.HELD,
        RolloutEvent.FAULT_DETECTED: RolloutState.HELD,
        RolloutEvent.HOLD: RolloutState.HELD,
        RolloutEvent.UNDO: RolloutState.ROLLING_BACK,
    },
    RolloutState.HELD: {
        RolloutEvent.REGRESSED: RolloutState.ROLLING_BACK,
        RolloutEvent.FAULT_CLEARED: RolloutState.DEPLOYING,
        RolloutEvent.RESUME: RolloutState.DEPLOYING,
        RolloutEvent.UNDO: RolloutState.ROLLING_BACK,
    },
    RolloutState.ROLLING_BACK: {RolloutEvent.ROLLBACK_DEPLOYED: RolloutState.ROLLED_BACK},
    RolloutState.DONE: {RolloutEvent.UNDO: RolloutState.ROLLING_BACK},
    RolloutState.ROLLED_BACK: {},
}
FINAL_STATES = (RolloutState.DONE, RolloutState.ROLLED_BACK)
OLD_VERSION_STATES = (
    RolloutState.PLANNED,
    RolloutState.PREFLIGHT,
    RolloutState.ROLLING_BACK,
    RolloutState.ROLLED_BACK,
)
RESTART_SUFFIX = "~"  # of a version that is to be started once more, so that its shutdown is observed early
FAULT_WINDOWS = 5  # with a fault on both sides after which a rollout is held
RECOVERY_WINDOWS = 5  # without one after which it goes on
MAX_HISTORY = 200
FAULT_MIN_QUERIES = 10  # in a window
FAULT_GOODPUT = 0.8  # of all queries, below which a held rollout stays held


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of state, for the record and the log."""

    before: RolloutState
    after: RolloutState
    reason: str
    stage: int
    number: int


HistoryRow = tuple[str, str, str, int, int]  # the fields of Transition, as they are stored


class RolloutRecord(TypedDict):
    """The stored form of a rollout."""

    id: str
    old: str
    new: str
    zones: dict[str, str]
    state: str
    stage: int
    term: int
    number: int
    why: str
    by_trouble: bool
    history: list[HistoryRow]


@dataclass(slots=True)
class RolloutController:
    """One rollout from ``old_version`` to ``new_version``.

    ``zones`` gives the zone of each broker as the rollout began; ``term`` is that of the controlling process;
    ``number`` grows with each step. With ``held_for_fault`` it is held as both sides are in a fault, and goes
    on by itself.
    """

    id: str
    old_version: str
    new_version: str
    zones: dict[str, str]
    plan: Plan = field(default_factory=Plan)
    limits: AnalysisLimits = field(default_factory=AnalysisLimits)
    window_duration_us: int = 2_000_000
    state: RolloutState = RolloutState.PLANNED
    stage: int = 0
    term: int = 0
    number: int = 0
    reason: str = ""
    held_for_fault: bool = False
    analysis: CanaryAnalysis | None = None
    observed_duration_us: int = 0
    healthy_windows: int = 0
    history: list[Transition] = field(default_factory=list)

    # Desired versions.

    def updated_brokers(self) -> set[str]:
        """The brokers that are to run the new version."""
        if self.state in OLD_VERSION_STATES:
            return set()
        return set(select_brokers(self.plan, self.stage, self.zones))

    def desired_versions(self) -> dict[str, str]:
        """The version that each broker is to run.

        From the second stage on the broker that was updated first is started once more: how a version shuts
        down is part of what is observed.
        """
        updated = self.updated_brokers()
        desired = {name: self.new_version if name in updated else self.old_version for name in self.zones}
        if self.stage and updated:
            first = select_brokers(self.plan, 0, self.zones)[0]
            desired[first] = self.new_version + RESTART_SUFFIX
        return desired

    def next_updates(self, running_versions: dict[str, str], busy: set[str]) -> dict[str, str]:
        """The brokers to be replaced now and their desired versions; ``busy`` ones are being replaced.

        Brokers that can't be reached are missing from ``running_versions`` and are passed over. Nothing is
        replaced while the rollout is held.
        """
        if self.state not in (RolloutState.DEPLOYING, RolloutState.ROLLING_BACK):
            return {}
        desired = self.desired_versions()
        pending = [
            name
            for name in update_order(self.zones)
            if name in running_versions and running_versions[name] != desired[name]
        ]
        return {name: desired[name] for name in next_batch(self.plan, pending, busy, self.zones)}

    # Events.

    def apply_event(self, event: RolloutEvent, reason: str = "") -> Transition | None:
        """Apply one event; returns the step that it makes, None where it changes nothing in this state."""
        before = self.state
        after = TRANSITIONS[before].get(event)
        if after is None:
            return None
        if event is RolloutEvent.STAGE_PASSED:
            self.stage += 1
        self.state = after
        self.number += 1
        self.reason = reason or event.value
        self.held_for_fault = event is RolloutEvent.FAULT_DETECTED
        self._reset_observation()
        transition = Transition(before, after, self.reason, self.stage, self.number)
        self.history.append(transition)
        del self.history[:-MAX_HISTORY]
        return transition

    def observe_versions(
        self, running_versions: dict[str, str], failed: Iterable[str] = ()
    ) -> Transition | None:
        """Take what brokers run now; ``failed`` ones could not be made to run the desired version."""
        failed_brokers = sorted(failed)
        if self.state is RolloutState.DEPLOYING and failed_brokers:
            reason = f"could not be started, or did not end in order: {', '.join(failed_brokers)}"
            return self.apply_event(RolloutEvent.REGRESSED, reason)
        desired = self.desired_versions()
        if any(running_versions.get(name) != version for name, version in desired.items()):
            return None
        if self.state is RolloutState.DEPLOYING:
            reason = f"{len(self.updated_brokers())} of {len(self.zones)} run {self.new_version}"
            return self.apply_event(RolloutEvent.STAGE_DEPLOYED, reason)
        if self.state is RolloutState.ROLLING_BACK:
            return self.apply_event(RolloutEvent.ROLLBACK_DEPLOYED, f"all run {self.old_version}")
        return None

    def observe_exits(self, canary_exits: int, baseline_exits: int) -> Transition | None:
        """Take the numbers of unexpected exits since the rollout began, between stages as well as in them."""
        if self.state not in (RolloutState.DEPLOYING, RolloutState.OBSERVING):
            return None
        if canary_exits < self.limits.unexpected_exit_limit or baseline_exits:
            return None
        reason = f"changed brokers died {canary_exits} times, no unchanged one"
        return self.apply_event(RolloutEvent.REGRESSED, reason)

    def observe_window(self, windows: list[BrokerWindow]) -> Transition | None:
        """Take what all brokers did during one observation window."""
        if self.state is RolloutState.HELD and self.held_for_fault:
            return self._observe_recovery(windows)
        if self.state is not RolloutState.OBSERVING:
            return None
        stage = self.plan.stages[self.stage]
        if self.analysis is None:
            planned_windows = stage.max_duration_us // self.window_duration_us
            self.analysis = CanaryAnalysis(self.limits, planned_windows)
        verdict = self.analysis.observe(windows)
        if verdict.kind is VerdictKind.WORSE:
            return self.apply_event(RolloutEvent.REGRESSED, verdict.reason)
        if verdict.kind is VerdictKind.FAULT:
            if self.analysis.fault_windows >= FAULT_WINDOWS:
                return self.apply_event(
                    RolloutEvent.FAULT_DETECTED, f"{RolloutEvent.FAULT_DETECTED}: {verdict.reason}"
                )
        else:
            # A window in a fault is no evidence on the new version, so it does not count.
            self.observed_duration_us += self.window_duration_us
        return self._end_stage(self.analysis) if self._is_stage_over(self.analysis) else None

    def _observe_recovery(self, windows: list[BrokerWindow]) -> Transition | None:
        self.healthy_windows = 0 if _is_faulty(windows) else self.healthy_windows + 1
        if self.healthy_windows < RECOVERY_WINDOWS:
            return None
        return self.apply_event(
            RolloutEvent.FAULT_CLEARED, f"the {RolloutEvent.FAULT_DETECTED} on both sides is over"
        )

    def _is_stage_over(self, analysis: CanaryAnalysis) -> bool:
        """Whether the stage lasted long enough. One that needs proof goes on until it has it, but for the
        last stage, which leaves no baseline to prove it by.
        """
        stage = self.plan.stages[self.stage]
        if self.observed_duration_us < stage.min_duration_us:
            return False
        if self.observed_duration_us >= stage.max_duration_us or self.plan.is_last(self.stage):
            return True
        return not stage.require_proof or analysis.is_proven()

    def _end_stage(self, analysis: CanaryAnalysis) -> Transition | None:
        require_proof = self.plan.stages[self.stage].require_proof
        verdict = analysis.final_verdict(require_proof=require_proof)
        if verdict.kind is VerdictKind.INSUFFICIENT_DATA and require_proof:
            return self.apply_event(RolloutEvent.INCONCLUSIVE, f"too little to go by: {verdict.reason}")
        last = self.plan.is_last(self.stage)
        event = RolloutEvent.LAST_STAGE_PASSED if last else RolloutEvent.STAGE_PASSED
        return self.apply_event(event, _stage_summary(verdict))

    def _reset_observation(self) -> None:
        self.analysis = None
        self.observed_duration_us = 0
        self.healthy_windows = 0

    # The record.

    def to_record(self) -> RolloutRecord:
        """All that the rollout is restored from; an analysis is not kept, a stage is observed anew."""
        return {
            "id": self.id,
            "old": self.old_version,
            "new": self.new_version,
            "zones": self.zones,
            "state": self.state.value,
            "stage": self.stage,
            "term": self.term,
            "number": self.number,
            "why": self.reason,
            "by_trouble": self.held_for_fault,
            "history": [
                (step.before.value, step.after.value, step.reason, step.stage, step.number)
                for step in self.history
            ],
        }

    def restore(self, record: RolloutRecord, term: int) -> None:
        """Go on from a record under a new term.

        Raises :class:`RecordMismatchError` for the record of another rollout.
        """
        if (record["id"], record["old"], record["new"]) != (self.id, self.old_version, self.new_version):
            raise RecordMismatchError(record["id"], record["old"], record["new"])
        self.zones = dict(record["zones"])
        self.state = RolloutState(record["state"])
        self.stage = record["stage"]
        self.number = record["number"]
        self.reason = record["why"]
        self.held_for_fault = record["by_trouble"]
        self.history = [
            Transition(RolloutState(before), RolloutState(after), reason, stage, number)
            for before, after, reason, stage, number in record["history"]
        ]
        self.term = term


def _stage_summary(verdict: Verdict) -> str:
    summary = f"{verdict.kind}: {verdict.reason}"
    if verdict.undecided_classes:
        summary += f"; too little traffic for {', '.join(verdict.undecided_classes)}"
    return summary


def _is_faulty(windows: list[BrokerWindow]) -> bool:
    """Whether brokers of both versions together lose more than a fault's share of the goodput."""
    total = total_statistics(windows)
    return total.queries >= FAULT_MIN_QUERIES and total.goodput < FAULT_GOODPUT * total.queries
