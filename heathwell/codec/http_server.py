"""The server's side of HTTP/1.1 by h11, without I/O: received bytes to requests, and responses to bytes.

Pipelined requests are returned one by one, each after the response to the one before it. Chunked bodies,
bodies with a length and ``Expect: 100-continue`` are supported, and every length is bounded.

:class:`ServerSide` holds each received byte once and hands h11 no more than one head, or one piece of a body,
at a time. So the fields of a head are counted before h11 makes objects of them, and what a connection holds
is known at any time (:attr:`ServerSide.held_bytes`).
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

import h11

from heathwell.codec.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, Request, Response

HEADER_SEPARATOR_BYTES = 4  # colon, space and line end, which each header has besides its name and value
MAX_HEADER_FIELDS = 100  # of a head, and of the trailer behind a chunked body
LINES_BESIDE_FIELDS = 2  # the request line and the empty line that ends the head
# Memory of the objects of one header field, besides the bytes of its name and value.
FIELD_OBJECT_BYTES = 160
# Bytes of a chunked body that h11 is given at a time: it holds them until their chunk or trailer is complete.
CHUNKED_PIECE_BYTES = 1_024
UNLIMITED_STEPS = 1 << 62
END_OF_HEAD = re.compile(rb"\n\r?\n")
END_OF_HEAD_OVERLAP_BYTES = 2  # bytes searched again, as the match may begin in bytes received before
FIRST_PRINTABLE_BYTE = 0x21  # a request line begins with no control character, space or line end


class _Progress(Enum):
    """What a step of the parser ended with, where it was no message."""

    MORE = auto()
    NEEDS_BYTES = auto()


@dataclass(slots=True)
class _Head:
    """A request whose body is being received; ``memory_bytes`` is what the head occupies.

    ``body_bytes`` is the length of the body, or the longest one allowed if it is chunked.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    memory_bytes: int
    body_bytes: int
    body_bytes_left: int | None  # bytes of the body that h11 was not given yet, None if it is chunked


class ServerSide:
    """The server's side of one connection: bytes to requests, and responses to bytes.

    The response to a head of more than ``max_head_bytes`` or ``MAX_HEADER_FIELDS`` is 431 and that to a body
    over ``max_body_bytes`` is 413 (on its Content-Length, before it is sent); both close the connection.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, max_head_bytes: int = MAX_HEAD_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._connection: h11.Connection | None = None  # of the request in progress
        self._unparsed = bytearray()  # received, and not given to h11
        self._searched_bytes = 0  # leading bytes of them that contain no end of a head
        self._pending_in_h11_bytes = 0  # given to h11, and part of an incomplete chunk line or trailer
        self._head: _Head | None = None
        self._is_head_method = False  # of the request in progress: its response has no body
        self._body = bytearray()
        self._awaits_response = False
        self._has_ended = False
        self.interim = b""
        self.closing = False
        self.served = 0
        self.is_parsing = False
        """Whether the last :meth:`next_message` ended at its limit of steps, with more to parse."""

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._head is not None or bool(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Memory of what was received of incomplete requests, and of those behind the one in progress."""
        head_bytes = 0 if self._head is None else self._head.memory_bytes
        return len(self._unparsed) + self._pending_in_h11_bytes + head_bytes + len(self._body)

    @property
    def unparsed_bytes(self) -> int:
        """How many received bytes no step of the parser has taken yet."""
        return len(self._unparsed)

    @property
    def expected_bytes(self) -> int:
        """Memory that the incomplete request takes once it is whole; where that is unknown, the most."""
        if self._head is None:
            return self._max_head_bytes + self._max_body_bytes
        return self._head.memory_bytes + self._head.body_bytes

    def discard(self) -> None:
        """Drop all received bytes, as no further request is served."""
        self.closing = True
        self._unparsed = bytearray()
        self._body = bytearray()
        self._head = None
        self._pending_in_h11_bytes = 0

    def drop_unparsed(self) -> None:
        """Drop what was received behind the request in progress; its response is unaffected."""
        self._drop_unparsed(len(self._unparsed))

    def feed(self, data: bytes) -> Iterator[Request | Response]:
        """Yield the complete requests; a :class:`Response` is an error to be sent before closing.

        After each step :meth:`take_interim` returns bytes to be sent at once (``100 Continue``). The bytes of
        the next request are buffered until :meth:`respond`.
        """
        self.receive(data)
        yield from self.events()

    def receive(self, data: bytes) -> None:
        """Buffer received bytes; b"" is the client's end."""
        self._unparsed += data
        self._has_ended = self._has_ended or not data

    def events(self) -> Iterator[Request | Response]:
        """Yield as :meth:`feed` does, from the bytes received before."""
        while (message := self.next_message()) is not None:
            yield message

    def next_message(self, max_steps: int = UNLIMITED_STEPS) -> Request | Response | None:
        """Return the next complete request, or an error to be sent before closing, or None.

        At most ``max_steps`` events of h11 are processed: a chunked body may consist of a chunk for each of
        its bytes. Where that ended the parsing, :attr:`is_parsing` is set.
        """
        self.is_parsing = False
        for _ in range(max_steps):
            if self.closing or self._awaits_response:
                return None
            try:
                result = self._parse_head() if self._head is None else self._parse_body(self._head)
            except h11.RemoteProtocolError as problem:
                return self._error(problem.error_status_hint or 400, str(problem))
            if result is _Progress.NEEDS_BYTES:
                return None
            if not isinstance(result, _Progress):
                return result
        self.is_parsing = not self.closing and not self._awaits_response
        return None

    def _parse_head(self) -> Request | Response | _Progress:
        end = self._end_of_head()
        if end is None:
            return self._check_incomplete_head()
        if self._unparsed.count(b"\n", 0, end) > MAX_HEADER_FIELDS + LINES_BESIDE_FIELDS:
            return self._too_many_fields()
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=self._max_head_bytes)
        self._connection.receive_data(bytes(self._unparsed[:end]))
        self._drop_unparsed(end)
        event = self._connection.next_event()
        if not isinstance(event, h11.Request):
            return self._error(400, "no request line received")
        return self._begin(event, self._connection)

    def _end_of_head(self) -> int | None:
        """Return where the first head ends; for one that h11 rejects by its first byte, the buffer's end."""
        unparsed = self._unparsed
        if unparsed and unparsed[0] < FIRST_PRINTABLE_BYTE:
            return len(unparsed)
        found = END_OF_HEAD.search(unparsed, self._searched_bytes)
        if found is not None:
            return found.end()
        self._searched_bytes = max(0, len(unparsed) - END_OF_HEAD_OVERLAP_BYTES)
        return None

    def _check_incomplete_head(self) -> Response | _Progress:
        if len(self._unparsed) > self._max_head_bytes:
            return self._too_long_head()
        if self._unparsed.count(b"\n") > MAX_HEADER_FIELDS + LINES_BESIDE_FIELDS:
            return self._too_many_fields()
        if self._has_ended and self._unparsed:
            return self._error(400, "the connection ended within a request")
        self.closing = self._has_ended
        return _Progress.NEEDS_BYTES

    def _begin(self, head: h11.Request, connection: h11.Connection) -> Response | _Progress:
        """Begin a request; return an error if its head is not acceptable."""
        names = [name for name, _ in head.headers]
        is_chunked = b"transfer-encoding" in names
        if b"content-length" in names and is_chunked:
            # Request smuggling: a proxy may find the end of such a request elsewhere, so its body isn't read.
            return self._error(400, "both Content-Length and Transfer-Encoding")
        text_bytes = len(head.target) + sum(
            len(name) + len(text) + HEADER_SEPARATOR_BYTES for name, text in head.headers
        )
        if text_bytes > self._max_head_bytes:
            return self._too_long_head()
        length = next((int(text) for name, text in head.headers if name == b"content-length"), 0)
        if length > self._max_body_bytes:
            return self._too_long_body()
        self._is_head_method = head.method == b"HEAD"
        path, _, query = head.target.decode("latin-1").partition("?")
        headers = {name.decode("latin-1"): text.decode("latin-1") for name, text in head.headers}
        memory_bytes = text_bytes + len(headers) * FIELD_OBJECT_BYTES
        self._head = _Head(
            head.method.decode("latin-1"),
            path,
            query,
            headers,
            memory_bytes,
            body_bytes=self._max_body_bytes if is_chunked else length,
            body_bytes_left=None if is_chunked else length,
        )
        if connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self.interim += connection.send(continue_response) or b""
        return _Progress.MORE

    def _parse_body(self, head: _Head) -> Request | Response | _Progress:
        connection = self._connection
        assert connection is not None
        event = connection.next_event()
        if isinstance(event, h11.Data):
            self._body += event.data
            return self._too_long_body() if len(self._body) > self._max_body_bytes else _Progress.MORE
        if isinstance(event, h11.EndOfMessage):
            return self._complete(head, connection)
        return self._feed_body(head, connection)

    def _feed_body(self, head: _Head, connection: h11.Connection) -> Response | _Progress:
        """Give h11 the next piece of the body."""
        piece_bytes = head.body_bytes_left
        if piece_bytes is None:
            incomplete, _ = connection.trailing_data
            self._pending_in_h11_bytes = len(incomplete)
            if incomplete.count(b"\n") > MAX_HEADER_FIELDS:
                return self._too_many_fields()
            piece_bytes = CHUNKED_PIECE_BYTES
        if not self._unparsed:
            if self._has_ended:
                connection.receive_data(b"")  # h11 reports the incomplete body
                return _Progress.MORE
            return _Progress.NEEDS_BYTES
        piece = bytes(self._unparsed[:piece_bytes])
        self._drop_unparsed(len(piece))
        if head.body_bytes_left is not None:
            head.body_bytes_left -= len(piece)
        connection.receive_data(piece)
        return _Progress.MORE

    def _complete(self, head: _Head, connection: h11.Connection) -> Request:
        following, _ = connection.trailing_data
        self._unparsed[:0] = following
        self._head = None
        self._pending_in_h11_bytes = 0
        body = bytes(self._body)
        self._body = bytearray()
        self._awaits_response = True
        self.served += 1
        return Request(head.method, head.path, head.query, head.headers, body)

    def _drop_unparsed(self, count: int) -> None:
        del self._unparsed[:count]
        self._searched_bytes = 0

    # Errors and responses.

    def _too_long_head(self) -> Response:
        return self._error(431, f"request line and headers longer than {self._max_head_bytes} bytes")

    def _too_many_fields(self) -> Response:
        return self._error(431, f"more than {MAX_HEADER_FIELDS} header fields")

    def _too_long_body(self) -> Response:
        return self._error(413, f"body longer than {self._max_body_bytes} bytes")

    def _error(self, status: int, text: str) -> Response:
        self.discard()
        return Response(status, f"{text}\n".encode())

    def take_interim(self) -> bytes:
        """Return the bytes to be sent before the request is complete, once."""
        interim = self.interim
        self.interim = b""
        return interim

    def respond(self, response: Response) -> bytes:
        """Return the bytes of a response, after which the next request can be returned."""
        connection = self._connection or h11.Connection(h11.SERVER)
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if self.closing:
            headers.append(("connection", "close"))
        out = b""
        if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=response.status, headers=headers)
            out += connection.send(head) or b""
            if not self._is_head_method:
                out += connection.send(h11.Data(data=response.body)) or b""
            out += connection.send(h11.EndOfMessage()) or b""
        if connection.our_state is h11.MUST_CLOSE:
            self.closing = True
        elif connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            self._connection = None
            self._is_head_method = False
        self._awaits_response = False
        return out
