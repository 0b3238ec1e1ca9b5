"""HTTP/1.1 requests and responses by h11, without I/O.

Pipelined requests come one after another, each once the one before it is answered; chunked bodies, bodies by
length and ``Expect: 100-continue`` are taken, and every length is bounded.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import h11

BODY_MOST, HEAD_MOST = 1 << 20, 65_536


class HttpError(Exception):
    """A response that can't be read, or an end where none may be."""


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    status: int
    body: bytes
    kind: str = "text/plain; charset=utf-8"
    headers: tuple[tuple[str, str], ...] = ()


class ServerSide:
    """One connection: feed bytes, get requests, and the bytes of responses in turn.

    A head longer than ``head_most`` is answered 431, a body longer than ``body_most`` 413 (by its stated
    length before it is sent), both before closing.
    """

    def __init__(self, body_most: int = BODY_MOST, head_most: int = HEAD_MOST) -> None:
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=head_most)
        self._body_most, self._head_most = body_most, head_most
        self._head: h11.Request | None = None
        self._body = bytearray()
        self.interim = b""
        self.closing = False
        self.served = 0

    @property
    def midway(self) -> bool:
        """Whether a request has begun and is not whole yet."""
        buffered, _ = self._connection.trailing_data
        return self._head is not None or bool(buffered)

    def feed(self, data: bytes) -> Iterator[Request | Response]:
        """Requests that are whole; a :class:`Response` is an error to be sent before closing.

        After each step :attr:`interim` holds bytes to be sent at once (``100 Continue``); take them by
        :meth:`take_interim`. Bytes of the next request are kept until this one is answered.
        """
        self.receive(data)
        yield from self.events()

    def receive(self, data: bytes) -> None:
        """Take bytes; none of them is the client's end."""
        self._connection.receive_data(data)

    def events(self) -> Iterator[Request | Response]:
        """As :meth:`feed`, of what was received before."""
        try:
            while not self.closing:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    self.closing = True
                    return
                if isinstance(event, h11.Request):
                    yield from self._begun(event)
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self._body_most:
                        yield self._too_long()
                        return
                elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                    head, self._head = self._head, None
                    yield self._whole(head)
        except h11.RemoteProtocolError as problem:
            self.closing = True
            yield Response(problem.error_status_hint or 400, f"{problem}\n".encode())

    def _begun(self, head: h11.Request) -> Iterator[Response]:
        self._head, self._body = head, bytearray()
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Two who read such a request may see its end in two places: nothing behind its head is read.
            self.closing = True
            yield Response(400, b"both Content-Length and Transfer-Encoding\n")
            return
        if len(head.target) + sum(len(name) + len(text) + 4 for name, text in head.headers) > self._head_most:
            self.closing = True
            yield Response(431, f"request line and headers longer than {self._head_most} bytes\n".encode())
            return
        length = next((int(text) for name, text in head.headers if name == b"content-length"), 0)
        if length > self._body_most:
            yield self._too_long()
        elif self._connection.they_are_waiting_for_100_continue:
            self.interim += (
                self._connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
            )

    def take_interim(self) -> bytes:
        """Bytes to be sent before the request is whole."""
        out, self.interim = self.interim, b""
        return out

    def _too_long(self) -> Response:
        self.closing = True
        return Response(413, f"body longer than {self._body_most} bytes\n".encode())

    def _whole(self, head: h11.Request) -> Request:
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = {name.decode("latin-1"): text.decode("latin-1") for name, text in head.headers}
        body, self._body = bytes(self._body), bytearray()
        self.served += 1
        return Request(head.method.decode("latin-1"), path, query, headers, body)

    def respond(self, response: Response) -> bytes:
        """The bytes of a response; the next request can be fed after it."""
        headers = [
            ("content-type", response.kind),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if self.closing:
            headers.append(("connection", "close"))
        out = b""
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=response.status, headers=headers)
            out += self._connection.send(head) or b""
            out += self._connection.send(h11.Data(data=response.body)) or b""
            out += self._connection.send(h11.EndOfMessage()) or b""
        if self._connection.our_state is h11.MUST_CLOSE:
            self.closing = True
        elif self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE:
            self._connection.start_next_cycle()
        return out


class ClientSide:
    """One connection to a server: a request out, its response back, one at a time."""

    def __init__(self, host: str, body_most: int = BODY_MOST, head_most: int = HEAD_MOST) -> None:
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_most)
        self._host, self._body_most = host, body_most
        self._status = 0
        self._body = bytearray()

    def request(
        self, method: str, target: str, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
    ) -> bytes:
        """The bytes of a request; raises :class:`HttpError` where the connection can't be used for one."""
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
        """Whether another request may follow."""
        return self._connection.our_state is h11.IDLE

    def feed(self, data: bytes) -> Response | None:
        """The response once it is whole (b"" is the server's end); raises :class:`HttpError`."""
        try:
            self._connection.receive_data(data)
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.ConnectionClosed):
                    raise HttpError("the server closed")
                if isinstance(event, h11.Response):
                    self._status, self._body = event.status_code, bytearray()
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self._body_most:
                        raise HttpError(f"a body longer than {self._body_most} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    if self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE:
                        self._connection.start_next_cycle()
                    return Response(self._status, bytes(self._body))
        except h11.ProtocolError as problem:
            raise HttpError(str(problem)) from None
