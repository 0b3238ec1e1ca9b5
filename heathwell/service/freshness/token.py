"""A token that a client hands back, so that a later answer is not older than an earlier one, or says that it
is.

It holds the positions that the answer rested on, by shard, in a form short enough for a memcached key: 120
characters at most. Where the shards are too many for that it holds their least position alone, and says so. A
checksum keeps a mangled token from being taken for a position; it is no signature: a client that forges one
misleads itself only.
"""

from __future__ import annotations

import base64
import binascii
import zlib
from collections.abc import Mapping

from heathwell.codec import varint

CHARACTERS_MOST = 120
EXACT, LEAST = 1, 2


class TokenError(ValueError):
    """Text that is not a token."""


def make_token(positions: Mapping[int, int]) -> str:
    """The token of an answer's positions by shard; empty where it rests on none."""
    if not positions:
        return ""
    least = min(positions.values())
    body = bytearray([EXACT]) + varint.put(least)
    before = 0
    for shard in sorted(positions):
        body += varint.put(shard - before) + varint.put(positions[shard] - least)
        before = shard
    text = _seal(bytes(body))
    return text if len(text) <= CHARACTERS_MOST else _seal(bytes([LEAST]) + varint.put(least))


def read_token(text: str) -> tuple[dict[int, int], int]:
    """Positions by shard, and the least position for any shard that is not among them; raises
    :class:`TokenError`.
    """
    if len(text) > CHARACTERS_MOST:
        raise TokenError("token: too long")
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        raise TokenError("token: not base64") from None
    if len(data) < 5 or zlib.crc32(data[:-4]) != int.from_bytes(data[-4:], "big"):
        raise TokenError("token: its checksum does not fit")
    body, at = data[:-4], 1
    positions, shard = {}, 0
    try:
        least, at = varint.take(body, at)
        if body[0] == LEAST and at == len(body):
            return {}, least
        while at < len(body) and body[0] == EXACT:
            gap, at = varint.take(body, at)
            over, at = varint.take(body, at)
            shard += gap
            positions[shard] = least + over
    except ValueError as problem:
        raise TokenError(f"token: {problem}") from None
    if body[0] != EXACT:
        raise TokenError("token: of an unknown kind")
    return positions, 0


def _seal(body: bytes) -> str:
    return base64.urlsafe_b64encode(body + zlib.crc32(body).to_bytes(4, "big")).decode().rstrip("=")
