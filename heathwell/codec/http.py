"""HTTP/1.1 requests and responses by h11, without I/O.

Pipelined requests are yielded one by one, each after the response to the one before it. Chunked bodies,
bodies with a length and ``Expect: 100-continue`` are supported, and every length is bounded.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import h11

from heathwell.codec.errors import CodecError

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 65_536
HEADER_SEPARATOR_BYTES = 4  # colon, space and line end, which each header has besides its name and value
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


class ServerSide:
    """The server's side of one connection: bytes to requests, and responses to bytes.

    The response to a head over ``max_head_bytes`` is 431 and that to a body over ``max_body_bytes`` is 413
    (on its Content-Length, before it is sent); both close the connection.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, max_head_bytes: int = MAX_HEAD_BYTES) -> None:
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._head: h11.Request | None = None
        self._body = bytearray()
        self.interim = b""
        self.closing = False
        self.served = 0

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        buffered, _ = self._connection.trailing_data
        return self._head is not None or bool(buffered)

    def feed(self, data: bytes) -> Iterator[Request | Response]:
        """Yield the complete requests; a :class:`Response` is an error to be sent before closing.

        After each step :meth:`take_interim` returns bytes to be sent at once (``100 Continue``). The bytes of
        the next request are buffered until :meth:`respond`.
        """
        self.receive(data)
        yield from self.events()

    def receive(self, data: bytes) -> None:
        """Buffer received bytes; b"" is the client's end."""
        self._connection.receive_data(data)

    def events(self) -> Iterator[Request | Response]:
        """Yield as :meth:`feed` does, from the bytes received before."""
        try:
            while not self.closing:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    self.closing = True
                    return
                if isinstance(event, h11.Request):
                    yield from self._begin(event)
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self._max_body_bytes:
                        yield self._too_long()
                        return
                elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                    head = self._head
                    self._head = None
                    yield self._complete(head)
        except h11.RemoteProtocolError as problem:
            self.closing = True
            yield Response(problem.error_status_hint or 400, f"{problem}\n".encode())

    def _begin(self, head: h11.Request) -> Iterator[Response]:
        """Begin a request; yield an error if its head is not acceptable."""
        self._head = head
        self._body = bytearray()
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # Request smuggling: a proxy may find the end of such a request elsewhere, so its body isn't read.
            self.closing = True
            yield Response(400, b"both Content-Length and Transfer-Encoding\n")
            return
        headers_bytes = sum(len(name) + len(text) + HEADER_SEPARATOR_BYTES for name, text in head.headers)
        if len(head.target) + headers_bytes > self._max_head_bytes:
            self.closing = True
            yield Response(
                431, f"request line and headers longer than {self._max_head_bytes} bytes\n".encode()
            )
            return
        length = next((int(text) for name, text in head.headers if name == b"content-length"), 0)
        if length > self._max_body_bytes:
            yield self._too_long()
        elif self._connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.interim += self._connection.send(continue_response) or b""

    def take_interim(self) -> bytes:
        """Return the bytes to be sent before the request is complete, once."""
        interim = self.interim
        self.interim = b""
        return interim

    def _too_long(self) -> Response:
        self.closing = True
        return Response(413, f"body longer than {self._max_body_bytes} bytes\n".encode())

    def _complete(self, head: h11.Request) -> Request:
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = {name.decode("latin-1"): text.decode("latin-1") for name, text in head.headers}
        body = bytes(self._body)
        self._body = bytearray()
        self.served += 1
        return Request(head.method.decode("latin-1"), path, query, headers, body)

    def respond(self, response: Response) -> bytes:
        """Return the bytes of a response, after which the next request can be yielded."""
        headers = [
            ("content-type", response.content_type),
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
                    return Response(self._status, bytes(self._body))
        except h11.ProtocolError as problem:
            raise HttpError(str(problem)) from None
