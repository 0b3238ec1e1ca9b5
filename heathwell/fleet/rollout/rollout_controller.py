"""The state machine of one rollout: which version each broker must run, and when the state changes.

Decisions are desired versions instead of commands, and progress is determined from the versions that brokers
run. So a controller that dies between any two transitions and is restored from its last record repeats no
effect. The caller must store the record before it acts on it. Decisions carry (term, number); a machine
rejects one that is older than the last.

Owns state, stage and analysis of one rollout; does no I/O. Imports the other modules of this package.
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
    """States of a rollout. The values are used in its record, its log and its status."""

    PLANNED = "planned"
    PREFLIGHT = "checking"
    DEPLOYING = "staging"
    OBSERVING = "judging"
    HELD = "held"
    ROLLING_BACK = "undoing"
    DONE = "done"
    ROLLED_BACK = "undone"


class RolloutEvent(StrEnum):
    """Events that may change the state. The values are the default reasons of transitions."""

    STARTED = "began"
    PREFLIGHT_PASSED = "sound"
    PREFLIGHT_FAILED = "unsound"
    STAGE_DEPLOYED = "staged"
    STAGE_PASSED = "passed"
    LAST_STAGE_PASSED = "last"
    REGRESSED = "worse"  # the new version is worse or could not be started
    INCONCLUSIVE = "unsure"  # too few queries for a verdict
    FAULT_DETECTED = "trouble"  # both sides are worse than before, so that no verdict is possible
    FAULT_CLEARED = "calm"
    HOLD = "hold"  # hold, resume and undo are commands of an operator
    RESUME = "resume"
    UNDO = "undo"
    ROLLBACK_DEPLOYED = "back"  # all brokers run the old version again


# The next state for each state and event; events that a state does not list are ignored.
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
RESTART_SUFFIX = "~"  # marks a version whose process is restarted once, to observe its shutdown early
FAULT_WINDOWS = 5  # windows with a fault of the baseline after which a rollout is held
RECOVERY_WINDOWS = 5  # consecutive windows without a fault after which it continues
MAX_HISTORY = 200
FAULT_MIN_QUERIES = 10  # minimum queries in a window to detect a fault
FAULT_GOODPUT = 0.8  # mean goodput of all queries below which a held rollout remains held


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of state, for the record and the log."""

    before: RolloutState
    after: RolloutState
    reason: str
    stage: int
    number: int


HistoryRow = tuple[str, str, str, int, int]  # the fields of Transition in the stored record


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

    ``zones`` is the zone of each broker at the start of the rollout; ``term`` is that of the controlling
    process; ``number`` increases with each transition. ``held_for_fault``: the rollout is held because of a
    fault on both sides, and continues when the fault is over.
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
        """Return the brokers that must run the new version."""
        if self.state in OLD_VERSION_STATES:
            return set()
        return set(select_brokers(self.plan, self.stage, self.zones))

    def desired_versions(self) -> dict[str, str]:
        """Return the version that each broker must run.

        From the second stage on the broker that was updated first is restarted once, so that the shutdown of
        the new version is observed too.
        """
        updated = self.updated_brokers()
        desired = {name: self.new_version if name in updated else self.old_version for name in self.zones}
        if self.stage and updated:
            first = select_brokers(self.plan, 0, self.zones)[0]
            desired[first] = self.new_version + RESTART_SUFFIX
        return desired

    def next_updates(self, running_versions: dict[str, str], busy: set[str]) -> dict[str, str]:
        """Return the brokers to replace now with their desired versions; ``busy`` ones are being replaced.

        Unreachable brokers are missing from ``running_versions`` and are skipped. Nothing is replaced while
        the rollout is held.
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
        """Apply an event; return the transition, or None if the current state ignores the event."""
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
        """Apply the versions that brokers run now; ``failed`` brokers could not run the desired version."""
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
        """Apply the number of unexpected exits since the rollout began, within and between stages."""
        if self.state not in (RolloutState.DEPLOYING, RolloutState.OBSERVING):
            return None
        if canary_exits < self.limits.unexpected_exit_limit or baseline_exits:
            return None
        reason = f"changed brokers died {canary_exits} times, no unchanged one"
        return self.apply_event(RolloutEvent.REGRESSED, reason)

    def observe_window(self, windows: list[BrokerWindow]) -> Transition | None:
        """Apply the statistics of all brokers in one observation window."""
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
            # A window in a fault says nothing about the new version, so it does not count.
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
        """Whether the stage lasted long enough.

        A stage that requires proof continues until it has it, up to its maximum duration. The last stage does
        not: it leaves no baseline to compare with.
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
        """Return the record to store, without the analysis: after a restore the stage is observed again."""
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
        """Continue from a record under a new term.

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
    """Whether the mean goodput of the brokers of both versions together is below ``FAULT_GOODPUT``."""
    total = total_statistics(windows)
    return total.queries >= FAULT_MIN_QUERIES and total.goodput < FAULT_GOODPUT * total.queries
