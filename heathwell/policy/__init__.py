"""The decisions of heathwell: pure, no input or output, no clock; the caller hands in time and a seed.

``aggregator`` decides. ``settings``, ``events``, ``actions`` and ``records`` beside it hold types and decide
nothing; this package exports those that a caller needs. Standard library only.
"""

from heathwell.policy.actions import (
    Action,
    Answer,
    Cancel,
    Fail,
    Log,
    Probe,
    QuotaExhausted,
    Reject,
    Send,
    SetTimer,
    WatchEndpoints,
)
from heathwell.policy.events import (
    NOT_EXECUTED,
    AttemptEnded,
    AttemptSuperseded,
    ClientDisconnected,
    EndpointEntry,
    EndpointState,
    EndpointUpdate,
    Event,
    HolderRestrictions,
    Outcome,
    PartArrived,
    ProbeEnded,
    QueryArrived,
    QuotaUpdate,
    ShutdownStarted,
    TimerFired,
    UpdateKind,
)
from heathwell.policy.settings import Idempotency, QueryClass, Settings, Tenant

__all__ = [
    "Action",
    "Answer",
    "AttemptEnded",
    "AttemptSuperseded",
    "Cancel",
    "ClientDisconnected",
    "EndpointEntry",
    "EndpointState",
    "EndpointUpdate",
    "Event",
    "Fail",
    "HolderRestrictions",
    "Idempotency",
    "Log",
    "NOT_EXECUTED",
    "Outcome",
    "PartArrived",
    "Probe",
    "ProbeEnded",
    "QueryArrived",
    "QueryClass",
    "QuotaExhausted",
    "QuotaUpdate",
    "Reject",
    "Send",
    "SetTimer",
    "Settings",
    "ShutdownStarted",
    "Tenant",
    "TimerFired",
    "UpdateKind",
    "WatchEndpoints",
]
