"""The union of all messages, which the decoder accepts."""

from __future__ import annotations

from heathwell.codec.frames.clocks import ClockReply, ClockRequest
from heathwell.codec.frames.coordination import LeaseRequest, LeaseVote, RenewalReply, RenewalRequest
from heathwell.codec.frames.endpoints import EndpointList, Registration, WatchRequest
from heathwell.codec.frames.faults import FaultCommand, FaultCommandReply
from heathwell.codec.frames.fleet_status import FleetRequest, FleetView
from heathwell.codec.frames.machines import (
    DesiredVersion,
    DesiredVersionReply,
    MachineRequest,
    MachineView,
    OperatorCommand,
    RolloutStatus,
)
from heathwell.codec.frames.parts import Call, CancelPart, DrainNotice, Result, ScoreBound
from heathwell.codec.frames.session import Hello, Ping, Pong, VersionMismatch
from heathwell.codec.frames.zones import ZonesStatus

AnyMessage = (
    Hello
    | Call
    | CancelPart
    | Ping
    | Pong
    | Result
    | DrainNotice
    | Registration
    | WatchRequest
    | EndpointList
    | FaultCommand
    | FaultCommandReply
    | VersionMismatch
    | ClockRequest
    | ClockReply
    | ScoreBound
    | RenewalRequest
    | RenewalReply
    | LeaseRequest
    | LeaseVote
    | FleetRequest
    | FleetView
    | DesiredVersion
    | DesiredVersionReply
    | MachineRequest
    | MachineView
    | OperatorCommand
    | RolloutStatus
    | ZonesStatus
)
