"""Deprecated import path of :mod:`heathwell.client`, kept for one version."""

from __future__ import annotations

import warnings

from heathwell.client import FAILED, LOST, MISS, PARTIAL, REFUSED, WHOLE, Answer
from heathwell.client import RetryingClient as Heedful

__all__ = ["FAILED", "LOST", "MISS", "PARTIAL", "REFUSED", "WHOLE", "Answer", "Heedful"]

warnings.warn(
    "heathwell.heed is deprecated: import RetryingClient from heathwell.client",
    DeprecationWarning,
    stacklevel=2,
)
