"""The base class of this package's errors."""

from __future__ import annotations


class GatewayError(Exception):
    """Input that does not have the form that the platform's pages state, or a peer that does not answer."""
