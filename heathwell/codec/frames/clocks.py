"""Messages that read the clock of the data's source."""

from __future__ import annotations

from heathwell.codec.frames.message import Message


class ClockRequest(Message, tag="askclock", rename={"number": "n"}):
    """Requests the time of the source's clock; the reply has the same ``number``."""

    number: int


class ClockReply(Message, tag="clock", rename={"number": "n"}):
    """The source's time, read between the arrival of the request and the sending of this reply."""

    number: int
    source_us: int
