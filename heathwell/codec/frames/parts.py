"""Messages between brokers and hosts: attempts of parts, their cancellation and their results."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message


class PartRequest(msgspec.Struct, omit_defaults=True, rename={"query_class": "klass"}):
    """One attempt of a part. ``left_us`` is the time until the query's deadline.

    ``op`` names the operation of the host, as on the wire.
    """

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
    """Attempts that are sent in one frame; each has its own result."""

    parts: list[PartRequest]


class CancelPart(Message, tag="cancel"):
    """Cancels an attempt."""

    id: str
    seq: int


class Result(Message, tag="result"):
    """The outcome of an attempt: ``ok``, ``error`` or ``full`` (rejected, never begun).

    ``position`` and ``source_us`` are the data's watermark, ``inflight`` is the host's load report and
    ``work_us`` the duration of the work without queueing.
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
    """Sent by a host before it begins the work: an upper bound of the best row's score, for each search."""

    id: str
    seq: int
    best: list[float]


class DrainNotice(Message, tag="draining"):
    """The host is draining: it finishes its attempts and accepts no new ones."""
