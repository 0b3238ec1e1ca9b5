"""Messages by which test scripts inject faults into stand-ins."""

from __future__ import annotations

from heathwell.codec.frames.message import Message


class FaultCommand(Message, tag="control"):
    """Injects a fault into a stand-in: its kind, its parameter (``value``, ``text``) and its duration."""

    kind: str
    value: float = 0.0
    span_us: int = 0
    text: str = ""


class FaultCommandReply(Message, tag="done"):
    """The reply to a :class:`FaultCommand`; ``text`` is the error, empty if the fault was injected."""

    text: str = ""
