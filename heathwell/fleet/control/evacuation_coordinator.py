"""A quota coordinator's part in zone evacuation: it collects the brokers' reports, forwards the newest
decision, and makes decisions while it is the leader.

The leader is the holder of the first fraction's lease (`heathwell/fleet/quotas/__init__.py`), so there is at
most one. Nothing is stored on disk: the brokers keep the decision that they follow, and a new leader first
listens for it. Imports: `heathwell.fleet.evacuation`, the frames' converters and the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heathwell.codec import frames
from heathwell.fleet.control import messages
from heathwell.fleet.evacuation import (
    PROBE_CLASS,
    AttemptCounts,
    BrokerReport,
    CapacityEstimator,
    Decision,
    EvacuationController,
    EvacuationError,
    EvacuationParameters,
    LoadEstimator,
    ZoneClassKey,
    ZoneTransition,
)
from heathwell.settings import ServiceSettings

LISTEN_BEFORE_LEADING_US = 2_500_000  # longer than the brokers' renewal interval
LOAD_WINDOW_US = 2_000_000  # The brokers' counts of the last two seconds are summed.
DEFAULT_OPERATOR = "an operator"


class ZoneReadCommand(StrEnum):
    """An operator's command on zones that changes nothing."""

    STATUS = "status"


class NotLeaderError(EvacuationError):
    """An operator's order was sent to a coordinator that is not the leader."""

    def __init__(self) -> None:
        super().__init__("this coordinator does not decide: ask another")


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A broker's last report, and the time of its receipt."""

    received_at_us: int
    report: BrokerReport


def evacuation_coordinator_from_settings(service_settings: ServiceSettings) -> EvacuationCoordinator:
    """Return the evacuation coordinator that the settings define."""
    return EvacuationCoordinator(
        service_settings.fleet.zones,
        zone_capacity=service_settings.fleet.zone_capacity,
        priority_weights={spec.name: spec.priority_weight for spec in service_settings.classes},
    )


class EvacuationCoordinator:
    """Evacuation decisions at one quota coordinator.

    ``zone_capacity`` is the capacity of one zone's endpoints in parts per second; 0 means that it is
    estimated from their answers. ``priority_weights`` is the priority weight of a part by query class.
    ``controller_type`` is the class of the controller that is created for each term.
    """

    def __init__(
        self,
        zone_names: list[str],
        parameters: EvacuationParameters | None = None,
        zone_capacity: int = 0,
        priority_weights: dict[str, float] | None = None,
        controller_type: type[EvacuationController] = EvacuationController,
    ) -> None:
        self.zone_names = zone_names
        self.parameters = parameters or EvacuationParameters()
        self.zone_capacity = zone_capacity
        self.priority_weights = priority_weights or {}
        self.controller_type = controller_type
        self.capacity_estimator = CapacityEstimator(LOAD_WINDOW_US)
        self.load_estimator = LoadEstimator(LOAD_WINDOW_US)
        self.decision = Decision(0, 0)
        self.controller: EvacuationController | None = None
        self._capacity_observed_at_us = 0
        self._leading_since_us: int | None = None
        self._reports: dict[str, ReceivedReport] = {}

    def on_report(self, now_us: int, report: BrokerReport) -> None:
        """Record a broker's report, which replaces its previous one."""
        self._reports[report.broker] = ReceivedReport(now_us, report)
        if self.controller is not None:
            self.controller.record_report(now_us, report)

    def on_decision(self, decision: Decision) -> None:
        """Adopt a decision received from another process, if it is newer."""
        if decision.is_newer_than(self.decision):
            self.decision = decision

    def tick(self, now_us: int, *, is_leader: bool) -> list[ZoneTransition]:
        """Make decisions if this coordinator is the leader, and return the transitions.

        Must be called several times per second.
        """
        self._expire_reports(now_us)
        if not is_leader:
            self.controller = None
            self._leading_since_us = None
            return []
        controller = self._leading_controller(now_us)
        if controller is None:
            return []
        self._update_load(now_us, controller)
        transitions = controller.reconcile(now_us)
        self.on_decision(controller.decision)
        return transitions

    def total_counts(self) -> dict[ZoneClassKey, AttemptCounts]:
        """Return the attempt counts of all brokers' last reports, summed by zone and query class."""
        totals: dict[ZoneClassKey, AttemptCounts] = {}
        for received in self._reports.values():
            for key, counts in received.report.counts.items():
                if key.zone in self.zone_names:
                    totals[key] = totals.get(key, AttemptCounts()) + counts
        return totals

    def on_operator_command(self, now_us: int, command: frames.OperatorCommand) -> frames.ZonesStatus:
        """Carry out an operator's command; the reply has the zones' states, and any error in ``text``."""
        error_text = ""
        if command.word != ZoneReadCommand.STATUS:
            try:
                self._execute(now_us, command)
            except EvacuationError as error:
                error_text = str(error)
        return frames.ZonesStatus(
            self.controller is not None,
            error_text,
            messages.decision_to_frame(self.decision),
            self._zone_states(),
            messages.attempt_counts_to_frames(self.total_counts()),
        )

    def _execute(self, now_us: int, command: frames.OperatorCommand) -> None:
        """Carry out an order; raises :class:`EvacuationError`, also if this is not the leader."""
        if self.controller is None:
            raise NotLeaderError
        operator = command.who or DEFAULT_OPERATOR
        try:
            self.controller.execute_order(now_us, command.zone, command.word, operator, command.why)
        finally:
            self.on_decision(self.controller.decision)

    def _zone_states(self) -> dict[str, str]:
        """Return each zone's state and who pinned it, for operators; empty if this is not the leader."""
        if self.controller is None:
            return {}
        return {
            name: f"{zone.state}, pinned by {zone.pinned_by}" if zone.pinned_by else zone.state.value
            for name, zone in self.controller.zones.items()
        }

    def _expire_reports(self, now_us: int) -> None:
        self._reports = {
            broker: received
            for broker, received in self._reports.items()
            if now_us - received.received_at_us < self.parameters.report_max_age_us
        }

    def _leading_controller(self, now_us: int) -> EvacuationController | None:
        """Return the controller of the current term; None while the leader listens for the last decision."""
        if self._leading_since_us is None:
            self._leading_since_us = now_us
        if self.controller is not None:
            return self.controller
        if now_us - self._leading_since_us < LISTEN_BEFORE_LEADING_US:
            return None
        self.controller = self.controller_type(
            self.zone_names, self.parameters, self.decision.term + 1, now_us, self.decision
        )
        self.controller.priority_weights = self.priority_weights
        for received in self._reports.values():
            self.controller.record_report(received.received_at_us, received.report)
        return self.controller

    def _update_load(self, now_us: int, controller: EvacuationController) -> None:
        """Update the controller's load and capacity of each zone, without probes."""
        counts_by_key = {
            key: counts for key, counts in self.total_counts().items() if key.query_class != PROBE_CLASS
        }
        rate_by_key = self.load_estimator.observe(counts_by_key)
        if now_us - self._capacity_observed_at_us >= LOAD_WINDOW_US:
            self._capacity_observed_at_us = now_us
            self._observe_capacity(now_us, counts_by_key)
        rate_by_zone = {
            name: sum(rate for key, rate in rate_by_key.items() if key.zone == name)
            for name in self.zone_names
        }
        capacity_by_zone = {
            name: float(self.zone_capacity) or self.capacity_estimator.estimate(now_us, name)
            for name in self.zone_names
        }
        controller.update_load(rate_by_zone, capacity_by_zone, rate_by_key)

    def _observe_capacity(self, now_us: int, counts_by_key: dict[ZoneClassKey, AttemptCounts]) -> None:
        for name in self.zone_names:
            counts_by_class = {
                key.query_class: counts for key, counts in counts_by_key.items() if key.zone == name
            }
            self.capacity_estimator.observe(now_us, name, counts_by_class)
