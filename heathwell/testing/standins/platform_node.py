"""A stand-in for a node of the platform, which answers each part after a fixed duration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from enum import StrEnum
from typing import Final, TypedDict

from heathwell.codec import nodeframes as nf
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream
from heathwell.observability.event_log import EventLog, NullEventLog
from heathwell.testing.standins.part_outcomes import PartOutcome
from heathwell.testing.standins.platform_frames import (
    ReceivedFrame,
    ReceivedPart,
    decode_call,
    encode_answer,
    take_frames,
)

DEFAULT_WORK_US: Final = 20_000
HEALTHY_PROBE_RESULT: Final = b"200"


class NodeState(StrEnum):
    """The state of a node in discovery's list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class NodeEntry(TypedDict):
    """A node's entry in discovery's list; the keys are those of the wire."""

    uid: str
    endpoint: str
    az: str
    model: str
    pod_group: int
    state: str
    capacity_hint: float
    boot_ms: int


class PlatformNode:
    """One node, which listens as soon as it is constructed.

    Where ``responder`` is set, it is called at the end of a part's work, and no answer is sent.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        uid: str,
        replica_group: int,
        *,
        work_us: int = DEFAULT_WORK_US,
        events: EventLog | None = None,
    ) -> None:
        self.loop = loop
        self.uid = uid
        self.replica_group = replica_group
        self.work_us = work_us
        self.events: EventLog = events or NullEventLog()
        self.responder: Callable[[PlatformNode, Stream, ReceivedPart], None] | None = None
        self.parts: list[ReceivedPart] = []
        """All received parts, the oldest first."""
        self.cancelled_ids: list[str] = []
        self.silent = False
        """Whether neither parts nor probes are answered."""
        self.draining = False
        self.booted_at_ms = 0
        """When the node was booted, in Unix time."""
        self.streams: dict[Stream, None] = {}
        self.listener: Listener = net.listen(address, self._serve, f"node {uid}")
        self.address = self.listener.address

    @property
    def entry(self) -> NodeEntry:
        """The node's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "m",
            "pod_group": self.replica_group,
            "state": NodeState.DRAINING if self.draining else NodeState.UP,
            "capacity_hint": 1.0,
            "boot_ms": self.booted_at_ms,
        }

    def kill(self) -> None:
        """Reset all connections and refuse new ones, as if the process had been killed."""
        self.listener.close()
        for stream in list(self.streams):
            stream.abort()

    def log_end(self, part: ReceivedPart, outcome: PartOutcome = PartOutcome.OK) -> None:
        """Log that a part began, unless it was rejected, and that it ended."""
        if outcome is not PartOutcome.REJECTED:
            self.events("begin", p=part.id, node=self.uid, n=part.number)
        self.events("done", p=part.id, node=self.uid, n=part.number, outcome=outcome)

    def finish_work(self, stream: Stream, part: ReceivedPart) -> None:
        """Answer a part, or call the responder; do neither while :attr:`silent`."""
        if self.silent or stream.closed:
            return
        if self.responder is not None:
            self.responder(self, stream, part)
            return
        self.log_end(part)
        stream.write(encode_answer(part))

    def _serve(self, stream: Stream) -> Coro[None]:
        self.streams[stream] = None
        buffer = bytearray()
        try:
            while data := (yield from stream.read()):
                buffer += data
                for frame in take_frames(buffer):
                    self._on_frame(stream, frame)
        finally:
            self.streams.pop(stream, None)

    def _on_frame(self, stream: Stream, frame: ReceivedFrame) -> None:
        if frame.letter == nf.CALL:
            for part in decode_call(frame.body):
                self._on_part(stream, replace(part, number=len(self.parts)))
        elif frame.letter == nf.CANCEL:
            self.cancelled_ids.append(frame.body.decode())
            self.events("cancel", p=frame.body.decode(), node=self.uid)
        elif frame.letter == nf.PROBE and not self.silent:
            stream.write(nf.encode_frame(nf.PROBE, HEALTHY_PROBE_RESULT))

    def _on_part(self, stream: Stream, part: ReceivedPart) -> None:
        self.parts.append(part)
        self.events("arrive", p=part.id, node=self.uid, n=part.number, shard=part.shard, warmth=1.0)
        self.loop.call_at(self.loop.now() + self.work_us, self.finish_work, stream, part)
