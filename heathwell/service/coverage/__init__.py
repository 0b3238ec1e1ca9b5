"""Covers: sets of the parts that an answer is made from, which merge idempotently, and their encoding."""

from heathwell.service.coverage.cover import Cover
from heathwell.service.coverage.cover_codec import decode_cover, encode_cover
from heathwell.service.coverage.errors import CoverError

__all__ = ["Cover", "CoverError", "decode_cover", "encode_cover"]
