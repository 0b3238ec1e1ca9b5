"""Messages that open and check a connection: hello, version mismatch, ping and pong."""

from __future__ import annotations

from heathwell.codec.frames.message import Message


class Hello(Message, tag="hello"):
    """The first frame of each side.

    ``quiet_us`` is the silence after which the listening side may close the connection; 0: never. ``fleet``
    names the fleet of a member of fleet control: a connection from another fleet is rejected.
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
    """A probe."""

    number: int


class Pong(Message, tag="pong", rename={"number": "n"}):
    """A probe's answer."""

    number: int
    inflight: int = 0
