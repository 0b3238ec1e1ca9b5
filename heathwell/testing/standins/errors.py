"""Errors raised by the stand-ins."""

from __future__ import annotations

from collections.abc import Sequence


class StandInError(Exception):
    """Base of all errors of this package."""


class FaultInjectionError(StandInError):
    """A fault command can't be executed; the error's text is the reply on the wire."""


class UnknownFaultError(FaultInjectionError):
    """The stand-in has no fault of this kind."""

    def __init__(self, kind: str, known_kinds: Sequence[str]) -> None:
        super().__init__(f"unknown trouble '{kind}'; known: {', '.join(known_kinds)}")
        self.kind = kind
        self.known_kinds = tuple(known_kinds)
