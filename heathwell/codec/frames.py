"""The inner wire: length-prefixed msgpack messages between brokers, hosts, discovery and scripts.

A frame is four bytes of length, big-endian, and a msgpack map tagged by ``type``. Unknown fields are
skipped, and so are whole messages of a type that is not known here, so either side may be newer; the first
frame of each side is :class:`Hello`, and a version that this side does not speak is refused by name.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

VERSION = 1
FRAME_MOST = 16 << 20


class FrameError(Exception):
    """Bytes that are not this wire; the connection can't go on."""


class HelloError(FrameError):
    """A first frame that is no hello, or one of a version that is not spoken here."""


class Message(msgspec.Struct, tag_field="type", omit_defaults=True):
    """A message; fields may be added, never taken away or changed within a version."""


class Hello(Message, tag="hello"):
    """First frame of each side."""

    version: int
    name: str
    role: str = ""
    quiet_us: int = 0  # the listener may close a connection from which nothing came for so long; 0: never
    fleet: str = ""  # of those of a fleet's control: which one; another's is refused


class PartRequest(msgspec.Struct, omit_defaults=True, rename={"query_class": "klass"}):
    """One attempt of a part. ``left_us`` is the time that the query still has."""

    id: str
    seq: int
    query_class: str
    op: str
    key: str
    shard: int
    left_us: int
    item: int = 0
    body: bytes = b""


class Call(Message, tag="call"):
    """Attempts that share a call; each has its own outcome."""

    parts: list[PartRequest]


class CancelPart(Message, tag="cancel"):
    """Nobody waits for this attempt any more."""

    id: str
    seq: int


class Ping(Message, tag="ping"):
    """A probe."""

    n: int


class Pong(Message, tag="pong"):
    """A probe's answer."""

    n: int
    inflight: int = 0


class Result(Message, tag="result"):
    """The one outcome of an attempt: ``ok``, ``error`` or ``full`` (never begun).

    ``position`` and ``source_us`` are the data's watermark, ``inflight`` the load report, ``work_us`` what
    the work alone took.
    """

    id: str
    seq: int
    outcome: str
    data: bytes = b""
    inflight: int = 0
    position: int = 0
    source_us: int = 0
    work_us: int = 0


class ScoreBound(Message, tag="bound"):
    """Before the work: how good an attempt's best row can be at most, by search."""

    id: str
    seq: int
    best: list[float]


class DrainNotice(Message, tag="draining"):
    """The host finishes what it has and takes nothing new."""


class EndpointListEntry(msgspec.Struct, omit_defaults=True):
    """A host in the list; ``birth`` names its process, ``age_us`` is how long that has run."""

    node: str
    cell: int
    zone: int
    state: str = "live"
    birth: int = 0
    age_us: int = -1


class Registration(Message, tag="register"):
    """A host reports to discovery; the connection is its heartbeat."""

    entry: EndpointListEntry


class WatchRequest(Message, tag="watch"):
    """A broker asks for the list and its changes."""

    index: int = 0


class EndpointList(Message, tag="hosts"):
    """Discovery's word: ``full`` or ``update``."""

    kind: str
    index: int
    entries: list[EndpointListEntry]


class ClockRequest(Message, tag="askclock"):
    """What time is it at the source?"""

    n: int


class ClockReply(Message, tag="clock"):
    """The source's time, read between the question's arrival and this."""

    n: int
    source_us: int


class FaultCommand(Message, tag="control"):
    """A script's order to a stand-in: a kind of trouble, its figure, and for how long."""

    kind: str
    value: float = 0.0
    span_us: int = 0
    text: str = ""


class FaultCommandReply(Message, tag="done"):
    """An order was carried out."""

    text: str = ""


class VersionMismatch(Message, tag="mismatch"):
    """The other side speaks a version that this one does not; the connection ends."""

    text: str


class QuotaDemand(msgspec.Struct, omit_defaults=True):
    """What a broker could use of one budget, and by which grant of each fraction it goes (fraction, owner,
    number).
    """

    budget: str
    demand: int
    goes_by: list[tuple[int, str, int]] = []


class ZoneReport(msgspec.Struct, omit_defaults=True, rename={"query_class": "klass"}):
    """What a broker saw of one class at one zone lately."""

    zone: str
    query_class: str
    good: int = 0
    late: int = 0
    bad: int = 0
    took_ms: int = 0


class ZoneDirective(msgspec.Struct, omit_defaults=True):
    """What is decided of one zone: how much of its usual first work goes there, or which classes leave it."""

    state: str
    share: float
    only: list[str] = []
    why: str = ""


class ZoneDecision(msgspec.Struct, omit_defaults=True):
    """All zones that are not plainly served; of two the greater (term, number) counts."""

    term: int
    number: int
    zones: dict[str, ZoneDirective] = {}


class RenewalRequest(Message, tag="renew"):
    """A broker to a keeper: what it is, and what it could use; ``asked_us`` is its own clock's and comes
    back.
    """

    name: str
    incarnation: int
    asked_us: int
    zone: str = ""
    program: str = ""
    digest: str = ""
    run: str = ""
    heard: int = 0
    leaves: bool = False
    needs: list[QuotaDemand] = []
    seen: list[ZoneReport] = []
    cut_off: bool = False
    decision: ZoneDecision | None = None


class Granted(msgspec.Struct, omit_defaults=True):
    """A share of one fraction of a budget."""

    budget: str
    fraction: int
    number: int
    amount: int = 0
    length_us: int = 0


class RenewalReply(Message, tag="renewed"):
    """The keeper's answer: the broker's state on its roll, and shares of the fractions that it owns."""

    run: str
    number: int
    state: str
    incarnation: int
    asked_us: int
    least: int = 0
    why: str = ""
    grants: list[Granted] = []
    decision: ZoneDecision | None = None


class LeaseRequest(Message, tag="claim"):
    """A keeper's run asks for the promise of a fraction."""

    fraction: int
    claimant: str
    asked_us: int
    decision: ZoneDecision | None = None


class LeaseVote(Message, tag="vote"):
    """A keeper's word on a claim: who has its promise now; empty where it may promise to nobody yet."""

    fraction: int
    voter: str
    asked_us: int
    owner: str = ""
    decision: ZoneDecision | None = None


class FleetRequest(Message, tag="askfleet"):
    """What does a keeper know of members and budgets?"""


class MemberStatus(msgspec.Struct, omit_defaults=True):
    """A line of a keeper's roll; times are ages (us)."""

    name: str
    incarnation: int
    state: str
    since_us: int
    state_us: int
    heard_us: int
    zone: str = ""
    program: str = ""
    digest: str = ""


class MemberShare(msgspec.Struct, omit_defaults=True):
    """What one member may hold of one fraction, and for how long yet."""

    budget: str
    fraction: int
    member: str
    amount: int
    left_us: int
    demand: int = 0


class QuotaStatus(msgspec.Struct, omit_defaults=True):
    """One budget as a keeper has it; a rate's figures are thousandths a second."""

    name: str
    kind: str
    whole: int
    aside: int
    most: int
    each: str = ""
    apart: int = 0


class FleetView(Message, tag="fleetview"):
    """A keeper's answer to :class:`FleetRequest`."""

    keeper: str
    run: str
    owned: dict[int, int] = {}
    members: list[MemberStatus] = []
    wholes: list[QuotaStatus] = []
    shares: list[MemberShare] = []


class DesiredVersion(Message, tag="want"):
    """A controller's wish of a machine: this broker runs that version, whose files lie there. Of an older
    (term, number) than the last one it is not taken.
    """

    term: int
    number: int
    broker: str
    version: str
    program: str = ""
    settings: str = ""


class DesiredVersionReply(Message, tag="wanttaken"):
    """Whether a wish was taken; ``why`` is empty where it was."""

    broker: str
    version: str
    why: str = ""


class MachineRequest(Message, tag="askmachine"):
    """What runs on a machine, and what did it do?"""


class BrokerStatus(msgspec.Struct, omit_defaults=True):
    """One broker of a machine. Sums are of the process that serves now, numbered ``run``."""

    broker: str
    zone: str
    state: str
    version: str = ""
    wanted: str = ""
    failed: str = ""
    run: int = 0
    deaths: int = 0
    address: str = ""
    silent: bool = False
    classes: dict[str, dict[str, float]] = {}
    cpu_us: int = 0
    memory: int = 0


class MachineView(Message, tag="machineview"):
    """A machine's answer to :class:`MachineRequest`."""

    machine: str
    running: list[BrokerStatus] = []


class OperatorCommand(Message, tag="order"):
    """An operator's word to a controller: hold, resume, undo or status."""

    word: str
    who: str = ""
    why: str = ""
    zone: str = ""


class ZonesStatus(Message, tag="zones"):
    """How a keeper has the zones; ``decides`` where it is the one that decides, ``text`` what was wrong with
    a word.
    """

    decides: bool
    text: str = ""
    decision: ZoneDecision | None = None
    states: dict[str, str] = {}
    seen: list[ZoneReport] = []


class RolloutStatus(Message, tag="course"):
    """How a change stands."""

    text: str
    record: dict[str, object] = {}


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


class _Tagged(msgspec.Struct):
    """Any message: its type alone."""

    type: str


_KNOWN = {kind.__struct_config__.tag for kind in AnyMessage.__args__}
_tagged = msgspec.msgpack.Decoder(_Tagged)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """A message as a frame; raises :class:`FrameError` when it is too long."""
    body = _encoder.encode(message)
    if len(body) > FRAME_MOST:
        raise FrameError(f"a frame of {len(body)} bytes is over the limit of {FRAME_MOST}")
    return len(body).to_bytes(4, "big") + body


class Frames:
    """The incremental decoder of one connection; with ``greeted`` false its first message must be a sound
    hello.
    """

    def __init__(self, most: int = FRAME_MOST, greeted: bool = True) -> None:
        self.most, self._greeted = most, greeted
        self.skipped = 0  # messages of a type that only the other side knows
        self._buffer = bytearray()

    @property
    def buffered(self) -> int:
        """Bytes of an unfinished frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """Messages completed by these bytes; raises :class:`FrameError`."""
        self._buffer += data
        at = 0
        try:
            while len(self._buffer) - at >= 4:
                size = int.from_bytes(self._buffer[at : at + 4], "big")
                if size > self.most:
                    raise FrameError(f"a frame of {size} bytes is over the limit of {self.most}")
                if len(self._buffer) - at - 4 < size:
                    return
                body = bytes(self._buffer[at + 4 : at + 4 + size])
                at += 4 + size
                try:
                    message = _decoder.decode(body)
                except msgspec.MsgspecError as problem:
                    if self._greeted and _is_unknown(body):
                        self.skipped += 1
                        continue
                    raise FrameError(f"a frame that is not a message: {problem}") from None
                if not self._greeted:
                    wrong = check_hello(message)
                    if wrong:
                        raise HelloError(wrong)
                    self._greeted = True
                yield message
        finally:
            del self._buffer[:at]


def _is_unknown(body: bytes) -> bool:
    """Whether a frame is a message, of a type that this side does not know."""
    try:
        return _tagged.decode(body).type not in _KNOWN
    except msgspec.MsgspecError:
        return False


def check_hello(message: AnyMessage) -> str:
    """What is wrong with a first frame, or nothing."""
    if isinstance(message, VersionMismatch):
        return message.text
    if not isinstance(message, Hello):
        return f"the first frame must be hello, not {type(message).__name__.lower()}"
    if message.version != VERSION:
        return f"version {message.version} of the wire is not spoken here, only {VERSION}"
    return ""
