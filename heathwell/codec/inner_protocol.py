"""The inner protocol on a stream, for either side of a connection, and on a blocking socket.

The latter sends one request and reads its reply, for programs without an event loop.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TypeVar

from heathwell.codec import frames
from heathwell.eventloop import Coro, Stream

MessageHandler = Callable[[frames.AnyMessage], None]
Reply = TypeVar("Reply")
READ_SIZE_BYTES = 65_536


def listen(
    stream: Stream, on_message: MessageHandler, max_frame_bytes: int = frames.MAX_FRAME_BYTES
) -> Coro[None]:
    """Call ``on_message`` with each message, the hello first, until the peer's end.

    Raise :class:`FrameError`.
    """
    decoder = frames.FrameDecoder(max_frame_bytes, hello_received=False)
    while data := (yield from stream.read()):
        for message in decoder.feed(data):
            on_message(message)


def serve(
    stream: Stream,
    name: str,
    role: str,
    on_message: MessageHandler,
    max_frame_bytes: int = frames.MAX_FRAME_BYTES,
) -> Coro[None]:
    """Send a hello and :func:`listen`; reply to an invalid hello with its error, and return."""
    stream.write(frames.encode(frames.Hello(frames.VERSION, name, role)))
    try:
        yield from listen(stream, on_message, max_frame_bytes)
    except frames.HelloError as error:
        stream.write(frames.encode(frames.VersionMismatch(str(error))))


def request(
    address: str,
    name: str,
    role: str,
    message: frames.Message,
    reply_type: type[Reply],
    timeout_seconds: float,
) -> Reply:
    """Send a message and return the first reply of a type, each read taking up to ``timeout_seconds``.

    Raise :class:`OSError`, :class:`FrameError`, or :class:`ValueError` for a malformed address or a missing
    reply.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout_seconds) as sock:
        sock.sendall(frames.encode(frames.Hello(frames.VERSION, name, role)) + frames.encode(message))
        decoder = frames.FrameDecoder()
        while data := sock.recv(READ_SIZE_BYTES):
            for reply in decoder.feed(data):
                if isinstance(reply, reply_type):
                    return reply
    raise ValueError(f"the connection was closed without a reply of type {reply_type.__name__}")
