"""Messages that open and check a connection: hello, version mismatch, ping and pong."""

from __future__ import annotations

from heathwell.codec.frames.message import Message


class Hello(Message, tag="hello"):
    """The first frame of each side.

    ``quiet_us`` is the silence after which the sender lets its peer close the connection; 0 means never.
    ``fleet`` names the fleet of a member of fleet control: a connection from another fleet is rejected.
    """

    version: int
    name: str
    role: str = ""
    quiet_us: int = 0
    fleet: str = ""


class VersionMismatch(Message, tag="mismatch"):
    """The peer's protocol version is not supported; the connection ends."""

    text: str


class Ping(Message, tag="ping", rename={"number": "n"}):
    """A probe; its answer has the same number."""

    number: int


class Pong(Message, tag="pong", rename={"number": "n"}):
    """The answer to a :class:`Ping`; ``inflight`` is the host's number of requests in flight."""

    number: int
    inflight: int = 0
