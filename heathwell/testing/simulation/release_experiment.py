"""Releases of good and bad versions to a simulated fleet, on virtual time and seeded.

The rollout controller and the canary analysis are the real ones; only what brokers report is drawn, by
:class:`~heathwell.testing.simulation.release_fleet.ReleaseFleet`. For comparison, the rollout can also run
without the analysis, see :class:`Policy`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

from heathwell.fleet.rollout import (
    FINAL_STATES,
    BrokerWindow,
    Plan,
    RolloutController,
    RolloutEvent,
    RolloutState,
    Stage,
)
from heathwell.testing.simulation.release_fleet import (
    NEW_VERSION,
    OLD_VERSION,
    WINDOW_US,
    Defect,
    ReleaseFleet,
)

MAX_DURATION_US: Final = 1_800_000_000
GOODPUT_THRESHOLD: Final = 0.93
"""Of all queries of the changed brokers; usual is 0.98."""
MIN_THRESHOLD_QUERIES: Final = 50
STOPPED_STATES: Final = (RolloutState.ROLLING_BACK, RolloutState.ROLLED_BACK, RolloutState.HELD)


class Policy(enum.StrEnum):
    """Who decides whether a release goes on; the order of the members is that of reports."""

    CANARY_ANALYSIS = "judged"
    ALL_AT_ONCE = "all at once"
    """One stage with all brokers."""
    TIMED_STAGES = "unjudged stages"
    """Each stage takes its shortest time."""
    THRESHOLDS = "thresholds"
    """A stage ends the release below a fixed goodput, or when a changed broker exits."""


POLICIES: Final = tuple(Policy)

STAGED_PLAN: Final = Plan(
    (
        Stage(0.0, 30_000_000, 60_000_000),
        Stage(0.05, 60_000_000, 120_000_000),
        Stage(0.25, 120_000_000, 600_000_000, require_proof=True),
        Stage(1.0, 20_000_000, 20_000_000),
    ),
    max_concurrent=8,
)


@dataclass(frozen=True, slots=True)
class ReleaseOutcome:
    """How one release ended.

    ``stopped``: it was rolled back or held. ``stage`` is the last one that it reached.
    ``lost_broker_minutes`` is the goodput lost against the old version, in minutes of one broker's.
    ``reason`` is that of the rollout's last transition.
    """

    defect: Defect | None
    policy: Policy
    stopped: bool
    stage: int
    lost_broker_minutes: float
    duration_seconds: float
    reason: str


def _all_at_once_plan(brokers: int) -> Plan:
    return Plan((Stage(1.0, 20_000_000, 20_000_000),), max_zone_fraction=1.0, max_concurrent=brokers)


class ReleaseExperiment:
    """One release to a fleet; ``defect`` is that of the new version, ``rate`` is in queries a second."""

    def __init__(
        self,
        seed: int,
        defect: Defect | None = None,
        *,
        brokers: int = 89,
        zones: int = 9,
        rate: float = 130.0,
        plan: Plan = STAGED_PLAN,
        policy: Policy = Policy.CANARY_ANALYSIS,
    ) -> None:
        self.defect = defect
        self.policy = policy
        self.plan = _all_at_once_plan(brokers) if policy is Policy.ALL_AT_ONCE else plan
        self.fleet = ReleaseFleet(seed, defect, broker_count=brokers, zone_count=zones, rate=rate)
        self.controller = RolloutController(
            "c", OLD_VERSION, NEW_VERSION, self.fleet.zones, self.plan, window_duration_us=WINDOW_US
        )
        self.now_us = 0
        self._canary_queries = 0
        self._canary_goodput = 0.0

    def run(self) -> ReleaseOutcome:
        """Run the release until it ends, needs an operator or takes half an hour; return its outcome."""
        controller = self.controller
        controller.apply_event(RolloutEvent.STARTED)
        controller.apply_event(RolloutEvent.PREFLIGHT_PASSED)
        last_stage = 0
        while controller.state not in FINAL_STATES and self.now_us < MAX_DURATION_US:
            last_stage = max(last_stage, controller.stage)
            self._run_window()
            if controller.state is RolloutState.HELD and not controller.held_for_fault:
                break
        return ReleaseOutcome(
            defect=self.defect,
            policy=self.policy,
            stopped=controller.state in STOPPED_STATES,
            stage=last_stage,
            lost_broker_minutes=self.fleet.lost_goodput_seconds / 60,
            duration_seconds=self.now_us / 1e6,
            reason=controller.reason,
        )

    def _run_window(self) -> None:
        fleet = self.fleet
        fleet.finish_replacements(self.now_us)
        updates = self.controller.next_updates(fleet.running_versions, fleet.brokers_being_replaced)
        fleet.start_replacements(self.now_us, updates)
        self.controller.observe_versions(fleet.running_versions, fleet.failed_replacements)
        windows = fleet.observe_window(self.now_us)
        if self.policy is Policy.CANARY_ANALYSIS:
            self.controller.observe_window(windows)
        elif self.controller.state is RolloutState.OBSERVING:
            self._observe_without_analysis(windows)
        self.now_us += WINDOW_US

    def _observe_without_analysis(self, windows: list[BrokerWindow]) -> None:
        controller = self.controller
        controller.observed_duration_us += WINDOW_US
        if self.policy is Policy.THRESHOLDS and self._is_below_threshold(windows):
            controller.apply_event(RolloutEvent.REGRESSED, "under a threshold")
            return
        if controller.observed_duration_us >= self.plan.stages[controller.stage].min_duration_us:
            self._canary_queries = 0
            self._canary_goodput = 0.0
            is_last = self.plan.is_last(controller.stage)
            event = RolloutEvent.LAST_STAGE_PASSED if is_last else RolloutEvent.STAGE_PASSED
            controller.apply_event(event, "its time was over")

    def _is_below_threshold(self, windows: list[BrokerWindow]) -> bool:
        """Whether the changed brokers' goodput in this stage is too low, or one of them has exited."""
        canary_windows = [window for window in windows if window.is_canary]
        for window in canary_windows:
            for statistics in window.classes.values():
                self._canary_queries += statistics.queries
                self._canary_goodput += statistics.goodput
        has_exited = any(window.unexpected_exits or window.silent for window in canary_windows)
        is_low = self._canary_goodput < GOODPUT_THRESHOLD * self._canary_queries
        return has_exited or (is_low and self._canary_queries >= MIN_THRESHOLD_QUERIES)


def run_release(
    seed: int, defect: Defect | None = None, policy: Policy = Policy.CANARY_ANALYSIS
) -> ReleaseOutcome:
    """Run one release to the default fleet and return its outcome."""
    return ReleaseExperiment(seed, defect, policy=policy).run()
