"""Checks of a client's request, which is accepted as a whole or not at all.

The module does no I/O; :class:`RequestChecker` owns nothing but indexes of the settings. Imports the HTTP
codec's request and the decision module's settings. Messages of errors are sent to clients.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from heathwell import policy
from heathwell.codec.http import Request
from heathwell.gateway.errors import GatewayError

# A request id has no dot, as a part's id is the request id, a dot and the shard.
REQUEST_ID = re.compile(r"[0-9A-Za-z_-]{1,64}")
TAG = re.compile(r"[0-9a-fA-F]{16}")
# Printable characters without space and comma, which separate fields in the line of a part on the wire.
IDEMPOTENCY_KEY = re.compile(r"[!-+\--~]{1,128}")
TIMEOUT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
MICROSECONDS_PER_UNIT = {"m": 1000.0, "u": 1.0}
MAX_TEXT_BYTES = 32_768
MAX_HINT_US = 3_600_000_000
WEIGHT_TOLERANCE = 5e-3  # allowed difference of the sum of weights from 1, as clients round them


class BadRequestError(GatewayError):
    """A request that is not accepted; ``status`` is the HTTP status of the answer."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class _Part(msgspec.Struct, frozen=True):
    id: int
    weight: float = msgspec.field(name="w")
    hint: float | None = None
    tag: str | None = None


class _Body(msgspec.Struct, frozen=True):
    parts: list[_Part]
    expr: str


_decoder = msgspec.json.Decoder(_Body)


@dataclass(frozen=True, slots=True)
class RequestedPart:
    """One part of a request, whose weights add up to 1; ``hint_us`` is the client's estimate of its work."""

    shard: int
    weight: float
    hint_us: int | None


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A checked request.

    ``wait_us`` is how long the client waits for the reply, from when it sent the request. ``tenant`` is the
    index of the request's owner in the settings' list of tenants, or the length of that list if the owner is
    not in it.
    """

    id: str
    query_class: int
    wait_us: int
    key: str
    retry: bool
    text: bytes
    parts: Sequence[RequestedPart]
    tenant: int = 0


class RequestChecker:
    """Checks requests against the settings with which the process started."""

    def __init__(self, settings: policy.Settings) -> None:
        self._settings = settings
        self._classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def check(self, request: Request) -> ClientRequest:
        """Return the checked request; raise :class:`BadRequestError`."""
        headers = request.headers
        query_class = self._query_class(request)
        request_id = headers.get("req-id", "")
        if not REQUEST_ID.fullmatch(request_id):
            raise BadRequestError("Req-Id: missing, or not of 1 to 64 letters, digits, '-' and '_'")
        spec = self._settings.classes[query_class]
        wait_us = min(_timeout_us(headers.get("req-deadline")), spec.timeout_us)
        key = headers.get("idempotency-key", "")
        is_keyed = spec.idempotency == policy.Idempotency.KEYED
        if is_keyed:
            _check_idempotency_key(key)
        body = _decode_body(request.body)
        text = _text(body)
        return ClientRequest(
            request_id,
            query_class,
            wait_us,
            key if is_keyed else "",
            headers.get("req-retry") == "1",
            text,
            self._parts(body),
            self._tenants.get(headers.get("req-owner", ""), len(self._tenants)),
        )

    def _query_class(self, request: Request) -> int:
        kind = request.headers.get("req-kind")
        path = request.path.removeprefix("/").partition("/")[0]
        if kind is None:
            raise BadRequestError("Req-Kind: missing")
        if kind not in self._classes:
            raise BadRequestError(f"Req-Kind: no class {kind[:64]!r}", 404)
        if path != kind:
            raise BadRequestError(f"Req-Kind: {kind!r}, but the path says {path[:64]!r}")
        if request.method != "POST":
            raise BadRequestError(f"{request.method}: a query is a POST", 405)
        return self._classes[kind]

    def _parts(self, body: _Body) -> Sequence[RequestedPart]:
        """Check the parts and scale their weights to a sum of 1."""
        seen: set[int] = set()
        total = 0.0
        for part in body.parts:
            self._check_part(part, seen)
            seen.add(part.id)
            total += part.weight
        if abs(total - 1) > WEIGHT_TOLERANCE:
            raise BadRequestError(f"parts: weights add up to {total:.6g}, not 1")
        return tuple(
            RequestedPart(part.id, part.weight / total, None if part.hint is None else int(part.hint))
            for part in body.parts
        )

    def _check_part(self, part: _Part, seen: set[int]) -> None:
        if not 0 <= part.id < self._settings.shards:
            raise BadRequestError(f"parts: no shard {part.id}")
        if part.id in seen:
            raise BadRequestError(f"parts: shard {part.id} twice")
        if not 0 < part.weight <= 1:
            raise BadRequestError(f"parts: shard {part.id}: a weight in (0, 1] is expected")
        if part.hint is not None and not 0 <= part.hint <= MAX_HINT_US:
            raise BadRequestError(f"parts: shard {part.id}: a hint of {part.hint} us")
        if part.tag is not None and not TAG.fullmatch(part.tag):
            raise BadRequestError(f"parts: shard {part.id}: a tag is 16 hex digits")


def _check_idempotency_key(key: str) -> None:
    if not IDEMPOTENCY_KEY.fullmatch(key):
        raise BadRequestError("Idempotency-Key: missing, or not of 1 to 128 printable characters without ','")


def _decode_body(data: bytes) -> _Body:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as problem:
        raise BadRequestError(f"body: {problem}") from None


def _text(body: _Body) -> bytes:
    try:
        text = body.expr.encode()
    except UnicodeError as problem:
        raise BadRequestError(f"body: {problem}") from None
    if not body.parts:
        raise BadRequestError("parts: none")
    if not text or len(text) > MAX_TEXT_BYTES:
        raise BadRequestError(f"expr: {len(text)} bytes, 1 to {MAX_TEXT_BYTES} are taken")
    return text


def _timeout_us(value: str | None) -> int:
    found = TIMEOUT.fullmatch(value or "")
    if found is None:
        raise BadRequestError("Req-Deadline: missing, or not a number followed by m or u")
    timeout_us = int(float(found[1]) * MICROSECONDS_PER_UNIT[found[2]])
    if timeout_us <= 0:
        raise BadRequestError("Req-Deadline: not positive")
    return timeout_us
