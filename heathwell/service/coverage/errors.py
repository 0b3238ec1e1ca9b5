"""Errors of coverage."""

from __future__ import annotations


class CoverError(ValueError):
    """Raised for bytes that are not an encoded cover, and for part numbers that a cover can't hold."""
