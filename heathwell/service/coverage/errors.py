"""The error of the package."""

from __future__ import annotations


class CoverError(ValueError):
    """Bytes that are not an encoded cover, or part numbers that no cover may have."""
