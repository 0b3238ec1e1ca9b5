"""Unsigned integers in seven bits a byte, least significant first (LEB128)."""

from __future__ import annotations

MAX_BYTES = 10
CONTINUATION_BIT = 0x80
VALUE_MASK = 0x7F
BITS_PER_BYTE = 7

Decoded = tuple[int, int]  # the number, and the offset of the byte that follows it


def encode(value: int) -> bytes:
    """Return the bytes of a number; raise :class:`ValueError` for a negative one."""
    if value < 0:
        raise ValueError(f"varint: {value} is negative")
    encoded = bytearray()
    while value > VALUE_MASK:
        encoded.append(value & VALUE_MASK | CONTINUATION_BIT)
        value >>= BITS_PER_BYTE
    encoded.append(value)
    return bytes(encoded)


def decode(data: bytes, offset: int) -> Decoded:
    """Return the number at an offset; raise :class:`ValueError` if it is incomplete or too long."""
    value = 0
    for index in range(MAX_BYTES):
        if offset + index >= len(data):
            break
        byte = data[offset + index]
        value |= (byte & VALUE_MASK) << (BITS_PER_BYTE * index)
        if byte < CONTINUATION_BIT:
            return value, offset + index + 1
    raise ValueError("varint: ends too early")  # sent to clients whose consistency token is malformed
