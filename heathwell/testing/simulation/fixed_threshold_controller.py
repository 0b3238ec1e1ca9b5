"""A baseline for zone evacuation: a health check of the fleet with fixed thresholds and without steps."""

from __future__ import annotations

from typing import Final

from heathwell.fleet.control.evacuation_coordinator import EvacuationCoordinator
from heathwell.fleet.evacuation import EvacuationController, ZoneState, ZoneTransition
from heathwell.fleet.evacuation.zone_observations import sum_counts
from heathwell.settings import ServiceSettings

LOSS_THRESHOLD: Final = 0.5
EVACUATE_AFTER_US: Final = 2_000_000
RESTORE_AFTER_US: Final = 5_000_000
TRANSITION_REASON: Final = "fixed check"


class FixedThresholdController(EvacuationController):
    """Evacuates and restores a zone at once by the attempts that fail there, whoever reports them."""

    def reconcile(self, now_us: int) -> list[ZoneTransition]:
        """Evacuate or restore zones and return what changed."""
        transitions = []
        for name, machine in self.zones.items():
            is_serving = machine.state is ZoneState.SERVING
            is_lost = self._is_lost(name)
            if is_lost != is_serving:
                machine.state_since_us = now_us
                continue
            delay_us = EVACUATE_AFTER_US if is_serving else RESTORE_AFTER_US
            if now_us - machine.state_since_us < delay_us:
                continue
            before = machine.state
            machine.state = ZoneState.EVACUATED if is_lost else ZoneState.SERVING
            machine.traffic_share = 0.0 if is_lost else 1.0
            machine.state_since_us = now_us
            transitions.append(ZoneTransition(name, before, machine.state, TRANSITION_REASON))
        if transitions:
            self._publish()
        return transitions

    def _is_lost(self, zone: str) -> bool:
        """Whether half of all attempts at a zone fail, and enough were reported."""
        counts = sum_counts(
            class_counts
            for report in self.health.reports()
            for key, class_counts in report.counts.items()
            if key.zone == zone
        )
        has_evidence = counts.total >= self.parameters.minimum_attempts
        return has_evidence and counts.bad >= LOSS_THRESHOLD * counts.total


def fixed_threshold_coordinator(service_settings: ServiceSettings) -> EvacuationCoordinator:
    """Return a coordinator that decides by fixed thresholds."""
    return EvacuationCoordinator(service_settings.fleet.zones, controller_type=FixedThresholdController)
