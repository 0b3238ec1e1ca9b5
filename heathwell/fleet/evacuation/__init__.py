"""Fleet-wide evacuation of a failing zone, and its restore in steps that its hosts have the capacity for.

Each broker counts the results of its attempts at each zone (`zone_observations`). The quota coordinator that
holds the first fraction's lease assesses the zones from these reports (`health`), estimates load and
capacity, and publishes one numbered decision for all brokers (`controller`). The package does no I/O, and the
clock is an argument. It imports no other package of heathwell.
"""

from heathwell.fleet.evacuation.capacity import CapacityEstimator
from heathwell.fleet.evacuation.controller import EvacuationController, ZoneTransition
from heathwell.fleet.evacuation.decision import Decision, ZoneDirective
from heathwell.fleet.evacuation.drill import Drill, DrillStage, DrillStageReport
from heathwell.fleet.evacuation.errors import EvacuationError, UnknownOperatorActionError, UnknownZoneError
from heathwell.fleet.evacuation.health import HealthAssessment
from heathwell.fleet.evacuation.load import LoadEstimator
from heathwell.fleet.evacuation.orders import OperatorAction
from heathwell.fleet.evacuation.parameters import RESTORE_SHARES, EvacuationParameters
from heathwell.fleet.evacuation.state_machine import ZoneEvent, ZoneState, ZoneStateMachine
from heathwell.fleet.evacuation.zone_observations import (
    PROBE_CLASS,
    AttemptCounts,
    AttemptResult,
    BrokerReport,
    ZoneClassKey,
    ZoneObservations,
)

__all__ = [
    "PROBE_CLASS",
    "RESTORE_SHARES",
    "AttemptCounts",
    "AttemptResult",
    "BrokerReport",
    "CapacityEstimator",
    "Decision",
    "Drill",
    "DrillStage",
    "DrillStageReport",
    "EvacuationController",
    "EvacuationError",
    "EvacuationParameters",
    "ZoneObservations",
    "HealthAssessment",
    "LoadEstimator",
    "OperatorAction",
    "UnknownOperatorActionError",
    "UnknownZoneError",
    "ZoneClassKey",
    "ZoneDirective",
    "ZoneEvent",
    "ZoneState",
    "ZoneStateMachine",
    "ZoneTransition",
]
