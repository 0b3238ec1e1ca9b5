"""State of open queries, their parts, and the settings versions under which they are decided."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, PlannedPart
from heathwell.broker.replies import OnReply
from heathwell.eventloop import Timer
from heathwell.policy.aggregator import Aggregator

ExtensionT = TypeVar("ExtensionT")


@dataclass(slots=True)
class SettingsVersion(Generic[ExtensionT]):
    """One version of the settings with the aggregator that decides under it.

    A query belongs to one version from its admission to its end; a version that was replaced stays until its
    last query has ended. ``extension`` is what a subclass of the driver derives from its own settings;
    ``inbox`` holds the events of the current turn of the loop, ``timers`` the pending timers by label.
    """

    settings: policy.Settings
    aggregator: Aggregator
    extension: ExtensionT
    version: str = ""
    inbox: list[policy.Event] = field(default_factory=list)
    timers: dict[str, Timer] = field(default_factory=dict)
    open_queries: int = 0


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt that was passed to the link of its endpoint."""

    node: str
    reason: policy.AttemptReason


@dataclass(slots=True)
class PartState:
    """A part of an open query.

    ``data``, ``node`` and ``seq`` are those of the attempt whose answer is used; ``status`` is the outcome of
    the attempt that ended last, "out" while one is in flight, or "not sent".
    """

    id: str
    plan: PlannedPart
    step: int
    attempt_count: int = 0
    data: bytes | None = None
    node: str = ""
    seq: int = -1
    status: str = "not sent"
    sent_attempts: list[SentAttempt] = field(default_factory=list)

    def attempted_nodes(self) -> list[str]:
        """Return the endpoint of each attempt, in the order of sending."""
        return [attempt.node for attempt in self.sent_attempts]


PartT = TypeVar("PartT", bound=PartState)


@dataclass(frozen=True, slots=True)
class HintedPart(Generic[PartT]):
    """A part to register, with the work that it is expected to take, ``None`` if that is not known."""

    part: PartT
    work_hint_us: int | None


@dataclass(slots=True)
class QueryState(Generic[PartT, ExtensionT]):
    """A query from its arrival until its last attempt has ended.

    ``on_reply`` is ``None`` once the reply was given or the client has disconnected. ``in_flight`` maps each
    attempt without an outcome to its endpoint. ``queued`` is set while the query waits for its admission.
    ``deadline_reported`` is set once the aggregator was told that the deadline has passed.
    """

    id: str
    job: int
    query_class: int
    started_at_us: int
    deadline_us: int
    on_reply: OnReply | None
    parts: dict[str, PartT] = field(default_factory=dict)
    in_flight: dict[AttemptKey, str] = field(default_factory=dict)
    step: int = 1
    timer: Timer | None = None
    queued: bool = False
    deadline_reported: bool = False
    admitted_under: SettingsVersion[ExtensionT] | None = None

    @property
    def settings_version(self) -> SettingsVersion[ExtensionT]:
        """The version under which the query is decided; available once it is admitted."""
        assert self.admitted_under is not None
        return self.admitted_under


QueryT = TypeVar("QueryT", bound=QueryState[Any, Any])


class DisconnectListener(Protocol):
    """Receives the disconnects of clients."""

    def on_client_disconnected(self, query_id: str) -> None:
        """Called when the client of a query has disconnected."""


class Handle:
    """A server's reference to a query that it started."""

    __slots__ = ("_listener", "query")

    def __init__(self, listener: DisconnectListener, query: str) -> None:
        self._listener = listener
        self.query = query

    def disconnect(self) -> None:
        """Report that the client has disconnected; no reply will be given."""
        self._listener.on_client_disconnected(self.query)
