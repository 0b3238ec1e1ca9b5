"""Decides which zones the fleet evacuates and restores, from the reports of brokers; does no I/O.

Owns the state machine of each zone and the numbered decision. Imports the other modules of this package
except the drill. The clock is an argument, in microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from heathwell.fleet.evacuation.decision import Decision
from heathwell.fleet.evacuation.errors import UnknownOperatorActionError, UnknownZoneError
from heathwell.fleet.evacuation.health import HealthAssessment, HealthAssessor
from heathwell.fleet.evacuation.orders import OperatorAction
from heathwell.fleet.evacuation.parameters import RESTORE_SHARES, EvacuationParameters
from heathwell.fleet.evacuation.plan import ClassHealth, EvacuationPlan, EvacuationPlanner, FleetLoad
from heathwell.fleet.evacuation.state_machine import (
    STATES_WITHOUT_DIRECTIVE,
    ZoneEvent,
    ZoneState,
    ZoneStateMachine,
)
from heathwell.fleet.evacuation.zone_observations import AttemptCounts, BrokerReport, ZoneClassKey, sum_counts

LOSS_MARGIN_STANDARD_ERRORS = 1.5  # standard errors by which a measured loss may exceed the limit
SPARSE_STEP_FACTOR = 4  # factor on the duration of a restore step with too few attempts to assess it


@dataclass(frozen=True, slots=True)
class ZoneTransition:
    """A change of a zone's state or restore step; ``str()`` returns its text for logs."""

    zone: str
    before: ZoneState
    after: ZoneState
    reason: str

    def __str__(self) -> str:
        return f"{self.zone}: {self.before} to {self.after}: {self.reason}"


class EvacuationController:
    """Decides for the fleet during one term.

    It starts from ``standing_decision``, which the brokers follow when it starts. ``priority_weights`` is the
    priority weight of a part by query class, set by the owner; without it no class is preferred.
    """

    def __init__(
        self,
        zones: list[str],
        parameters: EvacuationParameters,
        term: int,
        now_us: int,
        standing_decision: Decision | None = None,
    ) -> None:
        self.parameters = parameters
        self.term = term
        self.number = 0
        self.zones = {
            zone: ZoneStateMachine(parameters, now_us, parameters.minimum_evacuation_us) for zone in zones
        }
        self.health = HealthAssessor(parameters)
        self.load = FleetLoad()
        self.priority_weights: Mapping[str, float] = {}
        standing = dict(standing_decision.zones) if standing_decision is not None else {}
        for name, directive in standing.items():
            if name in self.zones:
                self.zones[name].resume(now_us, directive)
        self.decision = Decision(term, 0, standing)

    def record_report(self, now_us: int, report: BrokerReport) -> None:
        """Record a broker's report, which is used until the next one arrives or it is too old."""
        self.health.record_report(now_us, report)

    def update_load(
        self,
        rate: Mapping[str, float],
        capacity: Mapping[str, float],
        rate_by_class: Mapping[ZoneClassKey, float] | None = None,
    ) -> None:
        """Set the requested rate and the capacity by zone, in parts per second; ``rate_by_class`` is the
        requested rate by zone and query class, if known.
        """
        self.load = FleetLoad(rate, capacity, rate_by_class or {})

    def assess(self, zone: str, query_class: str | None = None) -> HealthAssessment:
        """Return whether the other zones agree that a zone, or one query class there, is unhealthy."""
        # A zone that does not serve as usual must not count as healthy for lack of attempts: its hosts are
        # ejected, so that few attempts are sent to it.
        is_serving = self.zones[zone].state == ZoneState.SERVING
        minimum_attempts = self.parameters.minimum_attempts if is_serving else 1
        return self.health.assess(zone, query_class, minimum_attempts)

    def execute_order(self, now_us: int, zone: str, action: str, operator: str, reason: str) -> None:
        """Carry out an operator's order; ``action`` is a value of `OperatorAction`.

        Raises `UnknownZoneError` or `UnknownOperatorActionError` without changing anything.
        """
        machine = self.zones.get(zone)
        if machine is None:
            raise UnknownZoneError(zone, self.zones)
        origin = f"{operator}: {reason or 'no reason given'}"
        match action:
            case OperatorAction.PIN:
                machine.pinned_by = origin
            case OperatorAction.UNPIN:
                machine.pinned_by = None
            case OperatorAction.EVACUATE:
                machine.set_scope(0.0, ())
                machine.handle(now_us, ZoneEvent.EVACUATION_ORDERED, origin)
                machine.pinned_by = origin
            case OperatorAction.RESTORE:
                machine.pinned_by = None
                machine.handle(now_us, ZoneEvent.RESTORE_ORDERED, origin)
            case _:
                raise UnknownOperatorActionError(action)
        self._publish()

    def reconcile(self, now_us: int) -> list[ZoneTransition]:
        """Apply the current reports to each zone's state machine and return the transitions.

        Must be called about once per second.
        """
        self.health.expire(now_us)
        transitions = []
        for name, machine in self.zones.items():
            # An evacuation ordered by an operator is completed although it pins the zone.
            if machine.pinned_by is not None and machine.state != ZoneState.EVACUATING:
                continue
            state_before = machine.state
            step_before = machine.restore_step
            self._reconcile_zone(now_us, name, machine)
            if (machine.state, machine.restore_step) != (state_before, step_before):
                transitions.append(ZoneTransition(name, state_before, machine.state, machine.reason))
        if transitions:
            self._publish()
        return transitions

    def _publish(self) -> None:
        """Make a new numbered decision if a directive has changed."""
        directives = {
            name: directive
            for name, machine in self.zones.items()
            if (directive := machine.to_directive()) is not None
        }
        if directives != self.decision.zones:
            self.number += 1
            self.decision = Decision(self.term, self.number, directives)

    def _reconcile_zone(self, now_us: int, name: str, machine: ZoneStateMachine) -> None:
        state_age_us = now_us - machine.state_since_us
        match machine.state:
            case ZoneState.SERVING:
                assessment = self.assess(name)
                if assessment.is_unhealthy:
                    machine.handle(now_us, ZoneEvent.UNHEALTHY, assessment.reason)
            case ZoneState.SUSPECTED:
                self._reconcile_suspected(now_us, name, machine, state_age_us)
            case ZoneState.EVACUATING if state_age_us >= self.parameters.drain_us:
                machine.handle(now_us, ZoneEvent.DRAINED, machine.reason)
            case ZoneState.EVACUATED if state_age_us >= machine.minimum_evacuation_us:
                if self.health.answers_probes(name):
                    reason = f"evacuated for {state_age_us / 1e6:.0f} s, probes are answered"
                    machine.handle(now_us, ZoneEvent.PROBES_ANSWERED, reason)
            case ZoneState.RESTORING:
                self._reconcile_restoring(now_us, name, machine, state_age_us)

    def _reconcile_suspected(
        self, now_us: int, name: str, machine: ZoneStateMachine, state_age_us: int
    ) -> None:
        assessment = self.assess(name)
        if not assessment.is_unhealthy:
            machine.handle(now_us, ZoneEvent.HEALTHY, assessment.reason)
            return
        if state_age_us < self.parameters.confirmation_us:
            return
        plan = self._plan(name)
        if not plan.evacuates:
            machine.reason = f"{assessment.reason}; not evacuated: {plan.reason}"
            return
        machine.set_scope(plan.traffic_share, plan.query_classes)
        machine.handle(now_us, ZoneEvent.CONFIRMED, f"{assessment.reason}; {plan.reason}")

    def _reconcile_restoring(
        self, now_us: int, name: str, machine: ZoneStateMachine, state_age_us: int
    ) -> None:
        counts = self._restored_counts(name, machine)
        loss = f"{counts.loss:.0%} of {counts.total} lost"
        enough_attempts = counts.total >= self.parameters.minimum_attempts
        loss_limit = 1 - self.parameters.required_success_fraction
        if enough_attempts and counts.loss - _loss_margin(counts) > loss_limit:
            if machine.restore_step == 0:
                machine.handle(now_us, ZoneEvent.RESTORE_FAILED, f"{loss} at the first step")
            else:
                machine.handle(now_us, ZoneEvent.STEP_REVERTED, f"{counts.loss:.0%} lost: one step back")
            return
        step_us = self.parameters.restore_step_us * (1 if enough_attempts else SPARSE_STEP_FACTOR)
        if state_age_us < step_us:
            return
        if machine.restore_step == len(RESTORE_SHARES) - 1:
            machine.handle(now_us, ZoneEvent.RESTORE_COMPLETED, f"{loss} at the last step")
        else:
            reason = f"step {machine.restore_step + 2} of {len(RESTORE_SHARES)}"
            machine.handle(now_us, ZoneEvent.STEP_COMPLETED, reason)

    def _restored_counts(self, name: str, machine: ZoneStateMachine) -> AttemptCounts:
        """Return what other zones' brokers observed of the query classes that are being restored."""
        if not machine.query_classes:
            return self.health.outside_counts(name)
        return sum_counts(
            self.health.outside_counts(name, query_class) for query_class in machine.query_classes
        )

    def _plan(self, name: str) -> EvacuationPlan:
        healthy_zones = [
            other
            for other, machine in self.zones.items()
            if other != name
            and machine.state in STATES_WITHOUT_DIRECTIVE
            and not self.assess(other).is_unhealthy
        ]
        observed = self.health.observed_classes(name)
        unhealthy = frozenset(
            query_class for query_class in observed if self.assess(name, query_class).is_unhealthy
        )
        load = FleetLoad(
            {zone: self.load.rate.get(zone, 0.0) for zone in self.zones},
            self.load.capacity,
            self.load.rate_by_class,
        )
        planner = EvacuationPlanner(load, self.priority_weights, self.parameters.usable_capacity_fraction)
        return planner.plan(name, healthy_zones, ClassHealth(observed, unhealthy))


def _loss_margin(counts: AttemptCounts) -> float:
    """Return the margin for random variation of the measured loss, in binomial standard errors."""
    if not counts.total:
        return 0.0
    return LOSS_MARGIN_STANDARD_ERRORS * math.sqrt(counts.loss * (1 - counts.loss) / counts.total)
