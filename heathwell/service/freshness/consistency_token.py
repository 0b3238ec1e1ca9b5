"""Consistency tokens, by which a client requests an answer that is not older than an earlier one.

A token holds by shard the source positions of an answer's data, in a form short enough for a memcached key.
If an answer has too many shards its token only holds their lowest position. A checksum detects corrupted
tokens. Tokens are not signed, as a client that forges one affects only its own answers.
"""

from __future__ import annotations

import base64
import binascii
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from heathwell.codec import varint
from heathwell.service.freshness.errors import TokenError

MAXIMUM_CHARACTERS = 120
BY_SHARD = 1  # The first byte of a token with a position for each shard.
MINIMUM_ONLY = 2  # The first byte of a token with only the lowest position.
CHECKSUM_BYTES = 4


@dataclass(frozen=True, slots=True)
class TokenPositions:
    """Positions by shard, and the position that applies to all other shards."""

    by_shard: dict[int, int] = field(default_factory=dict)
    minimum: int = 0


def make_token(positions: Mapping[int, int]) -> str:
    """Return the token for an answer's positions by shard; empty if there are none."""
    if not positions:
        return ""
    minimum = min(positions.values())
    body = bytearray([BY_SHARD]) + varint.encode(minimum)
    previous_shard = 0
    for shard in sorted(positions):
        body += varint.encode(shard - previous_shard) + varint.encode(positions[shard] - minimum)
        previous_shard = shard
    text = _seal(bytes(body))
    return text if len(text) <= MAXIMUM_CHARACTERS else _seal(bytes([MINIMUM_ONLY]) + varint.encode(minimum))


def read_token(text: str) -> TokenPositions:
    """Return the positions in a token; raise :class:`TokenError`."""
    body = _unseal(text)
    try:
        minimum, offset = varint.decode(body, 1)
        if body[0] == MINIMUM_ONLY and offset == len(body):
            return TokenPositions(minimum=minimum)
        positions = _read_positions(body, offset, minimum) if body[0] == BY_SHARD else {}
    except ValueError as problem:
        raise TokenError(str(problem)) from None
    if body[0] != BY_SHARD:
        raise TokenError("of an unknown kind")
    return TokenPositions(by_shard=positions)


def _read_positions(body: bytes, offset: int, minimum: int) -> dict[int, int]:
    positions = {}
    shard = 0
    while offset < len(body):
        gap, offset = varint.decode(body, offset)
        excess, offset = varint.decode(body, offset)
        shard += gap
        positions[shard] = minimum + excess
    return positions


def _seal(body: bytes) -> str:
    checksum = zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big")
    return base64.urlsafe_b64encode(body + checksum).decode().rstrip("=")


def _unseal(text: str) -> bytes:
    if len(text) > MAXIMUM_CHARACTERS:
        raise TokenError("too long")
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        raise TokenError("not base64") from None
    body = data[:-CHECKSUM_BYTES]
    checksum = data[-CHECKSUM_BYTES:]
    if not body or zlib.crc32(body) != int.from_bytes(checksum, "big"):
        raise TokenError("its checksum does not fit")
    return body
