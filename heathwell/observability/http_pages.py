"""Pages of HTTP on a stream, for the admin ports of brokers and quota coordinators."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.codec.http import Request, Response, ServerSide
from heathwell.eventloop import Coro, Stream

PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8"


def serve_pages(stream: Stream, answer: Callable[[Request], Response]) -> Coro[None]:
    """One connection: each request has its page, until either side ends it."""
    side = ServerSide()
    while not side.closing and (data := (yield from stream.read())):
        for whole in side.feed(data):
            stream.write(side.respond(whole if isinstance(whole, Response) else answer(whole)))
            yield from stream.drain()
