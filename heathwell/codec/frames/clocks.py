"""Messages that read the clock of the data's source."""

from __future__ import annotations

from heathwell.codec.frames.message import Message


class ClockRequest(Message, tag="askclock"):
    """Requests the time of the source's clock."""

    n: int


class ClockReply(Message, tag="clock"):
    """The source's time, read between the arrival of the request and the sending of this reply."""

    n: int
    source_us: int
