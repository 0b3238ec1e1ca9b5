"""The inner protocol: length-prefixed msgpack messages between brokers, hosts, discovery and fleet control.

Unknown fields are skipped, and so are messages of unknown types, so either side may be the newer one. The
first frame of each side is :class:`Hello`; an unsupported version is rejected by :class:`VersionMismatch`.
"""

from heathwell.codec.frames.any_message import AnyMessage
from heathwell.codec.frames.clocks import ClockReply, ClockRequest
from heathwell.codec.frames.coordination import (
    Granted,
    LeaseRequest,
    LeaseVote,
    QuotaDemand,
    RenewalReply,
    RenewalRequest,
)
from heathwell.codec.frames.endpoints import EndpointList, EndpointListEntry, Registration, WatchRequest
from heathwell.codec.frames.faults import FaultCommand, FaultCommandReply
from heathwell.codec.frames.fleet_status import (
    FleetRequest,
    FleetView,
    MemberShare,
    MemberStatus,
    QuotaStatus,
)
from heathwell.codec.frames.framing import (
    MAX_FRAME_BYTES,
    VERSION,
    FrameDecoder,
    FrameError,
    FrameTooLongError,
    HelloError,
    check_hello,
    encode,
)
from heathwell.codec.frames.machines import (
    BrokerStatus,
    DesiredVersion,
    DesiredVersionReply,
    MachineRequest,
    MachineView,
    OperatorCommand,
    RolloutStatus,
)
from heathwell.codec.frames.message import Message
from heathwell.codec.frames.parts import Call, CancelPart, DrainNotice, PartRequest, Result, ScoreBound
from heathwell.codec.frames.session import Hello, Ping, Pong, VersionMismatch
from heathwell.codec.frames.zones import ZoneDecision, ZoneDirective, ZoneReport, ZonesStatus

__all__ = [
    "AnyMessage",
    "Message",
    "MAX_FRAME_BYTES",
    "VERSION",
    "FrameError",
    "FrameTooLongError",
    "FrameDecoder",
    "HelloError",
    "check_hello",
    "encode",
    "ClockReply",
    "ClockRequest",
    "Granted",
    "LeaseRequest",
    "LeaseVote",
    "QuotaDemand",
    "RenewalReply",
    "RenewalRequest",
    "EndpointList",
    "EndpointListEntry",
    "Registration",
    "WatchRequest",
    "FaultCommand",
    "FaultCommandReply",
    "FleetRequest",
    "FleetView",
    "MemberShare",
    "MemberStatus",
    "QuotaStatus",
    "BrokerStatus",
    "DesiredVersion",
    "DesiredVersionReply",
    "MachineRequest",
    "MachineView",
    "OperatorCommand",
    "RolloutStatus",
    "Call",
    "CancelPart",
    "DrainNotice",
    "PartRequest",
    "Result",
    "ScoreBound",
    "Hello",
    "Ping",
    "Pong",
    "VersionMismatch",
    "ZoneDecision",
    "ZoneDirective",
    "ZoneReport",
    "ZonesStatus",
]
