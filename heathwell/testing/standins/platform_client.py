"""A client of a platform broker over HTTP, with one connection and one request at a time."""

from __future__ import annotations

from typing import Final

import msgspec

from heathwell.codec.http import ClientSide, Header, Response
from heathwell.eventloop import Coro, Loop, Net, Stream, StreamBrokenError

CONNECT_TIMEOUT_US: Final = 1_000_000
DEFAULT_TIMEOUT_MS: Final = 1_000
DEFAULT_TEXT: Final = "c41e77d0"
DEFAULT_WORK_HINT_US: Final = 9_000
WEIGHT_DECIMALS: Final = 4


class PlatformClient:
    """A client that connects when it sends its first request."""

    def __init__(self, loop: Loop, net: Net, address: str) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.side = ClientSide(address)
        self.stream: Stream | None = None

    def send_query(
        self,
        query_id: str,
        query_class: str,
        shards: list[int],
        *,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        key: str = "",
        text: str = DEFAULT_TEXT,
        work_hint_us: int = DEFAULT_WORK_HINT_US,
        **body_fields: object,
    ) -> Coro[Response]:
        """Send a query with one part per shard, of equal weights, and return the response.

        ``body_fields`` are added to the request's body. Raise :class:`StreamBrokenError` if the connection
        ends before the response.
        """
        headers = [("Req-Id", query_id), ("Req-Kind", query_class), ("Req-Deadline", f"{timeout_ms}m")]
        if key:
            headers.append(("Idempotency-Key", key))
        weight = round(1 / len(shards), WEIGHT_DECIMALS)
        body = {
            "parts": [{"id": shard, "w": weight, "hint": work_hint_us} for shard in shards],
            "expr": text,
            **body_fields,
        }
        return (yield from self.post(f"/{query_class}", headers, msgspec.json.encode(body)))

    def post(self, target: str, headers: list[Header], body: bytes) -> Coro[Response]:
        """Send a POST request and return its response. Raise :class:`StreamBrokenError`."""
        return (yield from self.send(self.side.request("POST", target, headers, body)))

    def send(self, data: bytes) -> Coro[Response]:
        """Send raw bytes and return the next response. Raise :class:`StreamBrokenError`."""
        if self.stream is None:
            self.stream = yield from self.net.connect(self.address, CONNECT_TIMEOUT_US)
        self.stream.write(data)
        while True:
            received = yield from self.stream.read()
            if not received:
                raise StreamBrokenError("the broker closed the connection before a complete response")
            response = self.side.feed(received)
            if response is not None:
                return response
