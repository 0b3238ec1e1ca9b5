"""Staged rollout of a new program or new settings, compared with brokers that still run the old version.

Does no I/O: the statistics of the brokers are passed in one window at a time, with the clock; the result is
the desired version of each broker. Imports no other package of heathwell. Each module imports only modules
listed above it:

- ``errors``: the exceptions;
- ``plan``: the stages, and which brokers each one updates;
- ``observations``, ``verdict``: the statistics of a window, and the conclusions from them;
- ``sequential_analysis``, ``fault_detector``, ``immediate_checks``, ``canary_analysis``: the analysis of
  a stage;
- ``rollout_controller``: the state machine of a rollout;
- ``preflight_settings``, ``preflight``: checks of new settings before a rollout begins;
- ``broker_supervisor``: starts, replaces and stops the processes of one broker on its machine.
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
