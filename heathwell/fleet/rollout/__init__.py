"""Rollout of a new program or new settings in stages, each compared with brokers that still run the old ones.

Pure: what brokers did is handed in a window at a time, the clock with it; the desired version of each broker
comes out. May import nothing of heathwell outside this package. The modules, each importing those above it:

- ``errors``: the exceptions;
- ``plan``: stages, and which brokers each one updates;
- ``observations``, ``verdict``: what brokers did in a window, and what can be concluded;
- ``sequential_analysis``, ``fault_detector``, ``immediate_checks``, ``canary_analysis``: the analysis of
  a stage;
- ``rollout_controller``: the state machine of a rollout;
- ``preflight_settings``, ``preflight``: checks of new settings before a rollout begins;
- ``broker_supervisor``: the processes of one broker on its machine.
"""

from heathwell.fleet.rollout.canary_analysis import CanaryAnalysis
from heathwell.fleet.rollout.errors import (
    InvalidPlanError,
    RecordMismatchError,
    RolloutError,
    StaleDecisionError,
)
from heathwell.fleet.rollout.observations import BrokerWindow, QueryStatistics
from heathwell.fleet.rollout.plan import Plan, Stage, select_brokers
from heathwell.fleet.rollout.rollout_controller import (
    FINAL_STATES,
    RESTART_SUFFIX,
    RolloutController,
    RolloutEvent,
    RolloutRecord,
    RolloutState,
    Transition,
)
from heathwell.fleet.rollout.verdict import AnalysisLimits, Verdict, VerdictKind

__all__ = [
    "FINAL_STATES",
    "RESTART_SUFFIX",
    "AnalysisLimits",
    "BrokerWindow",
    "CanaryAnalysis",
    "InvalidPlanError",
    "Plan",
    "QueryStatistics",
    "RecordMismatchError",
    "RolloutController",
    "RolloutError",
    "RolloutEvent",
    "RolloutRecord",
    "RolloutState",
    "Stage",
    "StaleDecisionError",
    "Transition",
    "Verdict",
    "VerdictKind",
    "select_brokers",
]
