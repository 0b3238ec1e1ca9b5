"""Parses the kinds of fault commands and replies to the commands on the wire."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

from heathwell.codec import frames
from heathwell.testing.standins.errors import FaultInjectionError, UnknownFaultError

FaultKind = TypeVar("FaultKind", bound=StrEnum)


def parse_fault_kind(kinds: type[FaultKind], kind: str) -> FaultKind:
    """Return the member of ``kinds`` with this value. Raise :class:`UnknownFaultError`."""
    try:
        return kinds(kind)
    except ValueError:
        raise UnknownFaultError(kind, tuple(kinds)) from None


def reply_to_fault_command(
    inject: Callable[[frames.FaultCommand], None], command: frames.FaultCommand
) -> frames.FaultCommandReply:
    """Inject a fault and return the reply, whose text is that of the error, or empty on success."""
    try:
        inject(command)
    except FaultInjectionError as error:
        return frames.FaultCommandReply(str(error))
    return frames.FaultCommandReply("")
