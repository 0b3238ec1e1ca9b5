"""The base class of this package's errors."""

from __future__ import annotations


class GatewayError(Exception):
    """Input that violates the platform's specification, or a peer that does not answer."""
