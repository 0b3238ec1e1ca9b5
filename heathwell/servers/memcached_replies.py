"""Encoding of the memcached server's replies, which docs/clients-memcached.md describes. No I/O.

A miss is left out of a get's reply (``EN`` for ``mg``). A partial answer has the client flag
``ValueFlag.PARTIAL``. A rejected or failed query also yields a value, flagged ``REFUSED`` or ``LOST``, whose
body has no data: libmemcached reports any error line of a get as a miss, so a get is answered by an error
only if the settings choose it (``refusals error``). ``mg`` is answered by ``SERVER_ERROR`` in that case.
"""

from __future__ import annotations

import zlib
from base64 import b64encode
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntFlag
from typing import Any

import msgspec

from heathwell.broker.replies import Reply, ReplyKind
from heathwell.codec import memcached as protocol
from heathwell.servers.answer_age import age_fields
from heathwell.servers.durations import milliseconds_rounded_up
from heathwell.service.coverage import encode_cover

_encoder = msgspec.json.Encoder()


class ValueFlag(IntFlag):
    """Client flags of a value, above the bits that pymemcache and libmemcached use."""

    PARTIAL = 1 << 16
    REFUSED = 1 << 17
    LOST = 1 << 18
    STALE = 1 << 19


class CoverageFields(msgspec.Struct, frozen=True):
    """The completeness of a value; the names of the fields are part of the protocol.

    ``parts`` and ``items``: the numbers answered and requested, of the first and of the second step.
    ``weight``: the fraction of the parts' weight that was answered. ``need`` and ``floor``: the fractions
    that a complete and a partial answer require. ``missing``: shards without an answer. ``set``: the encoded
    cover of the answer.
    """

    parts: tuple[int, int]
    weight: float
    need: float
    floor: float
    missing: list[int]
    items: tuple[int, int]
    set: str | msgspec.UnsetType = msgspec.UNSET


@dataclass(frozen=True, slots=True)
class MissingAnswers:
    """The keys of a get that have no answer, by their positions in the command (from 1)."""

    rejected: list[int]
    failed: list[int]
    retry_after_us: int

    def to_error(self) -> bytes:
        """Return the error line: ``heathwell refused=1,3-5 failed=2 retry-after-ms=250``."""
        words = []
        if self.rejected:
            words.append(f"refused={format_ranges(self.rejected)}")
        if self.failed:
            words.append(f"failed={format_ranges(self.failed)}")
        if self.retry_after_us:
            words.append(f"retry-after-ms={milliseconds_rounded_up(self.retry_after_us)}")
        return protocol.server_error("heathwell " + " ".join(words))


def value_flags(reply: Reply) -> int:
    """Return the client flags of a reply's value."""
    if reply.kind == ReplyKind.FAILED:
        return int(ValueFlag.LOST)
    if reply.kind != ReplyKind.ANSWERED:
        return int(ValueFlag.REFUSED)
    flags = ValueFlag(0) if reply.complete else ValueFlag.PARTIAL
    if reply.age is not None and (reply.age.stale or reply.age.behind):
        flags |= ValueFlag.STALE
    return int(flags)


def answer_body(reply: Reply) -> bytes:
    """Return the body of an answer's value; the coverage precedes the data, so that it is read first."""
    coverage = reply.coverage
    fields = CoverageFields(
        parts=(coverage.answered_parts, coverage.requested_parts),
        weight=coverage.weight,
        need=coverage.required_fraction,
        floor=coverage.minimum_fraction,
        missing=list(coverage.missing),
        items=(coverage.second_step_answered, coverage.second_step_requested),
        set=msgspec.UNSET if reply.age is None else b64encode(encode_cover(coverage.cover)).decode(),
    )
    body: dict[str, Any] = {"whole": reply.complete, "coverage": fields}
    if reply.age is not None:
        body |= age_fields(reply.age)
    return _encoder.encode(body | reply.body)


def missing_answer_body(reply: Reply) -> bytes:
    """Return the body of the value that replaces the answer of a rejected or failed query."""
    body: dict[str, Any] = {
        "whole": False,
        _kind_name(reply): True,
        "retry_after_ms": milliseconds_rounded_up(reply.retry_after_us),
    }
    if reply.reason:
        body["why"] = reply.reason
    return _encoder.encode(body)


def get_reply(command: protocol.Get, replies: list[Reply], *, as_error: bool) -> bytes:
    """Return the reply to a classic get: the values, then ``END``.

    With ``as_error``, keys without an answer get no value, and an error line that lists them replaces
    ``END``.
    """
    lines: list[bytes] = []
    unanswered: dict[int, Reply] = {}
    for position, (key, reply) in enumerate(zip(command.keys, replies, strict=True), 1):
        if reply.kind == ReplyKind.MISS:
            continue
        if reply.kind != ReplyKind.ANSWERED and as_error:
            unanswered[position] = reply
            continue
        body = answer_body(reply) if reply.kind == ReplyKind.ANSWERED else missing_answer_body(reply)
        cas = zlib.crc32(body) if command.cas else None
        lines.append(protocol.value(key, value_flags(reply), body, cas))
    lines.append(_missing_answers(unanswered).to_error() if unanswered else protocol.END)
    return b"".join(lines)


def meta_get_reply(command: protocol.MetaGet, reply: Reply) -> bytes:
    """Return the reply to an ``mg``."""
    if reply.kind == ReplyKind.MISS:
        return protocol.meta_miss(command)
    if reply.kind != ReplyKind.ANSWERED:
        return _missing_answers({1: reply}).to_error()
    body = answer_body(reply)
    return protocol.meta_value(command, value_flags(reply), body, zlib.crc32(body))


def format_ranges(numbers: Iterable[int]) -> str:
    """Format ascending numbers, consecutive ones as ranges: ``1,3-5``."""
    ranges: list[list[int]] = []
    for number in numbers:
        if ranges and number == ranges[-1][1] + 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ",".join(str(first) if first == last else f"{first}-{last}" for first, last in ranges)


def _missing_answers(replies: dict[int, Reply]) -> MissingAnswers:
    return MissingAnswers(
        rejected=[position for position, reply in replies.items() if reply.kind != ReplyKind.FAILED],
        failed=[position for position, reply in replies.items() if reply.kind == ReplyKind.FAILED],
        retry_after_us=max(reply.retry_after_us for reply in replies.values()),
    )


def _kind_name(reply: Reply) -> str:
    return ReplyKind.FAILED if reply.kind == ReplyKind.FAILED else ReplyKind.REFUSED
