"""HTTP/1.1 requests and responses, and the client's side of a connection by h11, without I/O.

:mod:`heathwell.codec.http_server` is the server's side. Every length is bounded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import h11

from heathwell.codec.errors import CodecError

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 65_536
Header = tuple[str, str]  # name and value


class HttpError(CodecError):
    """A response that can't be parsed, or a connection that ends before its response."""


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes
    content_type: str = "text/plain; charset=utf-8"
    headers: tuple[Header, ...] = ()


class ClientSide:
    """The client's side of one connection: one request and its response at a time."""

    def __init__(
        self, host: str, max_body_bytes: int = MAX_BODY_BYTES, max_head_bytes: int = MAX_HEAD_BYTES
    ) -> None:
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        self._host = host
        self._max_body_bytes = max_body_bytes
        self._status = 0
        self._body = bytearray()

    def request(self, method: str, target: str, headers: Iterable[Header] = (), body: bytes = b"") -> bytes:
        """Return the bytes of a request; raise :class:`HttpError` if the connection can't be used for one."""
        head = [("Host", self._host), *headers]
        if body:
            head.append(("Content-Length", str(len(body))))
        try:
            out = self._connection.send(h11.Request(method=method, target=target, headers=head)) or b""
            if body:
                out += self._connection.send(h11.Data(data=body)) or b""
            return out + (self._connection.send(h11.EndOfMessage()) or b"")
        except h11.LocalProtocolError as problem:
            raise HttpError(str(problem)) from None

    @property
    def reusable(self) -> bool:
        """Whether the connection is idle and open for another request."""
        return self._connection.our_state is h11.IDLE

    def feed(self, data: bytes) -> Response | None:
        """Return the response once it is complete (b"" is the server's end); raise :class:`HttpError`."""
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.ConnectionClosed):
                    raise HttpError("the server closed the connection before the end of its response")
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                    self._body = bytearray()
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self._max_body_bytes:
                        raise HttpError(f"response body longer than {self._max_body_bytes} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    if self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE:
                        self._connection.start_next_cycle()
                    body = bytes(self._body)
                    self._body = bytearray()
                    return Response(self._status, body)
        except h11.ProtocolError as problem:
            raise HttpError(str(problem)) from None
