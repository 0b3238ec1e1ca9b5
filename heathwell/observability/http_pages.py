"""A minimal HTTP server for the admin ports of brokers and quota coordinators."""

from __future__ import annotations

from collections.abc import Callable

from heathwell.codec.http import Request, Response
from heathwell.codec.http_server import ServerSide
from heathwell.eventloop import Coro, Stream

PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def serve_pages(stream: Stream, answer: Callable[[Request], Response]) -> Coro[None]:
    """Serve one connection: respond to each request by ``answer`` until either side closes."""
    side = ServerSide()
    while not side.closing and (data := (yield from stream.read())):
        for message in side.feed(data):
            # The parser returns a response in place of a request that is invalid.
            response = message if isinstance(message, Response) else answer(message)
            stream.write(side.respond(response))
            yield from stream.drain()
