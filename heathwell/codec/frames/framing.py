"""Encoding of messages as frames, and the incremental decoder of a connection.

A frame is a length of four bytes, big-endian, and a msgpack map whose field ``type`` names the message.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from heathwell.codec.errors import CodecError
from heathwell.codec.frames.any_message import AnyMessage
from heathwell.codec.frames.message import Message
from heathwell.codec.frames.session import Hello, VersionMismatch

VERSION = 1
MAX_FRAME_BYTES = 16 << 20
LENGTH_BYTES = 4


class FrameError(CodecError):
    """Received bytes that are not frames of this protocol; the connection can't be used any further."""


class FrameTooLongError(FrameError):
    """A frame of ``size_bytes``, over ``limit_bytes``."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"a frame of {size_bytes} bytes is over the limit of {limit_bytes} bytes")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class HelloError(FrameError):
    """The first frame is not a hello, or its protocol version is not supported."""


class _MessageType(msgspec.Struct):
    """Any message, of which only the type is decoded."""

    type: str


_KNOWN_TYPES = {kind.__struct_config__.tag for kind in AnyMessage.__args__}
_type_decoder = msgspec.msgpack.Decoder(_MessageType)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return a message as a frame; raise :class:`FrameTooLongError`."""
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLongError(len(body), MAX_FRAME_BYTES)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """The incremental decoder of one connection.

    With ``hello_received=False`` its first message must be a valid :class:`Hello`. ``skipped`` counts the
    messages of unknown types, which a newer peer may send.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES, *, hello_received: bool = True) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.skipped = 0
        self._hello_received = hello_received
        self._buffer = bytearray()

    @property
    def buffered(self) -> int:
        """Number of buffered bytes of an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[AnyMessage]:
        """Yield the messages that these bytes complete; raise :class:`FrameError`."""
        self._buffer += data
        position = 0
        try:
            while len(self._buffer) - position >= LENGTH_BYTES:
                body_start = position + LENGTH_BYTES
                size = int.from_bytes(self._buffer[position:body_start], "big")
                if size > self.max_frame_bytes:
                    raise FrameTooLongError(size, self.max_frame_bytes)
                if len(self._buffer) - body_start < size:
                    return
                position = body_start + size
                body = bytes(self._buffer[body_start:position])
                try:
                    message = _decoder.decode(body)
                except msgspec.MsgspecError as error:
                    if self._hello_received and _is_unknown(body):
                        self.skipped += 1
                        continue
                    raise FrameError(f"the frame is not a message of this protocol: {error}") from None
                if not self._hello_received:
                    check_hello(message)
                    self._hello_received = True
                yield message
        finally:
            del self._buffer[:position]


def _is_unknown(body: bytes) -> bool:
    """Return whether a frame is a message of an unknown type."""
    try:
        return _type_decoder.decode(body).type not in _KNOWN_TYPES
    except msgspec.MsgspecError:
        return False


def check_hello(message: AnyMessage) -> None:
    """Raise :class:`HelloError` unless a first message is a hello of a supported version."""
    if isinstance(message, VersionMismatch):
        raise HelloError(message.text)
    if not isinstance(message, Hello):
        raise HelloError(f"the first frame must be hello, not {type(message).__name__.lower()}")
    if message.version != VERSION:
        raise HelloError(f"version {message.version} of the wire is not spoken here, only {VERSION}")
