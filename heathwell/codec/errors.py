"""The base class of this package's errors."""

from __future__ import annotations


class CodecError(Exception):
    """Bytes or values that a protocol does not allow."""
