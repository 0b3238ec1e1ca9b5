"""A client's request, checked completely before anything of it is accepted.

Pure: no I/O; :class:`RequestChecker` owns nothing but indexes of the settings. Imports the HTTP codec's
request and the module's settings.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from heathwell import policy
from heathwell.codec.http import Request
from heathwell.gateway.errors import GatewayError

REQUEST_ID = re.compile(r"[0-9A-Za-z_-]{1,64}")  # no dot: a part's id is this, a dot and the shard
TAG = re.compile(r"[0-9a-fA-F]{16}")
# Printable, no blank and no comma: the key is an item of a part's list on the wire.
IDEMPOTENCY_KEY = re.compile(r"[!-+\--~]{1,128}")
TIMEOUT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
MICROSECONDS_PER_UNIT = {"m": 1000.0, "u": 1.0}
MAX_TEXT_BYTES = 32_768
MAX_HINT_US = 3_600_000_000
WEIGHT_TOLERANCE = 5e-3  # how far from 1 rounding may leave the sum of weights


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
    """One part; weights of a request add up to 1; ``hint_us`` is the client's estimate of its work."""

    shard: int
    weight: float
    hint_us: int | None


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A checked request.

    ``wait_us`` is how long the client waits from when it sent the request; ``tenant`` is the index of its
    owner among the settings' tenants, and their number for an owner that is not among them.
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
    """Checks requests against the settings of the start."""

    def __init__(self, settings: policy.Settings) -> None:
        self._settings = settings
        self._classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def check(self, request: Request) -> ClientRequest:
        """Return the query of a request; raises :class:`BadRequestError`."""
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
            # A text of the wire, which clients receive.
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
