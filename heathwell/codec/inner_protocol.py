"""The inner wire on a stream: messages handed on one by one, after a sound hello, whichever side listens.

And one question at a time for command lines and the laboratory, on a blocking socket.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TypeVar

from heathwell.codec import frames
from heathwell.eventloop import Coro, Stream

Heard = Callable[[frames.AnyMessage], None]
A = TypeVar("A")


def listen(stream: Stream, heard: Heard, most: int = frames.FRAME_MOST) -> Coro[None]:
    """Hand on each message, the hello first, of ``most`` bytes each, until the other side ends; raises
    :class:`FrameError`."""
    decoder = frames.Frames(most, greeted=False)
    while data := (yield from stream.read()):
        for message in decoder.feed(data):
            heard(message)


def serve(stream: Stream, name: str, role: str, heard: Heard, most: int = frames.FRAME_MOST) -> Coro[None]:
    """Greet, and listen; a hello that won't do is answered with why, and that is the end."""
    stream.write(frames.encode(frames.Hello(frames.VERSION, name, role)))
    try:
        yield from listen(stream, heard, most)
    except frames.HelloError as problem:
        stream.write(frames.encode(frames.VersionMismatch(str(problem))))


def ask(address: str, name: str, role: str, question: frames.Message, kind: type[A], seconds: float) -> A:
    """For programs without a loop: one question, and the answer of that kind, each wait of ``seconds`` at
    the most. Raises :class:`OSError`, :class:`FrameError`, :class:`ValueError` for no address or answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), seconds) as sock:
        sock.sendall(frames.encode(frames.Hello(frames.VERSION, name, role)) + frames.encode(question))
        decoder = frames.Frames()
        while data := sock.recv(65_536):
            for message in decoder.feed(data):
                if isinstance(message, kind):
                    return message
    raise ValueError("closed without an answer")
