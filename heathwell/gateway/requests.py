"""A client's request, checked whole before anything is taken. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from heathwell import policy
from heathwell.codec.http import Request

ID = re.compile(r"[0-9A-Za-z_-]{1,64}")  # no dot: a part's id is this, a dot and the shard
TAG = re.compile(r"[0-9a-fA-F]{16}")
KEY = re.compile(r"[!-+\--~]{1,128}")  # printable, no blank and no comma: it stands in a part's list
TIME = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)([mu])")
UNITS = {"m": 1000.0, "u": 1.0}
TEXT_MOST = 32_768
HINT_MOST = 3_600_000_000
WEIGHT_SLACK = 5e-3  # how far from 1 rounding may leave a sum of weights


class BadRequest(Exception):
    """A request that is not taken; ``status`` is HTTP's."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class _Part(msgspec.Struct, frozen=True):
    id: int
    w: float
    hint: float | None = None
    tag: str | None = None


class _Body(msgspec.Struct, frozen=True):
    parts: list[_Part]
    expr: str


_decoder = msgspec.json.Decoder(_Body)


@dataclass(frozen=True, slots=True)
class WantedPart:
    """One part; weights add up to 1, rounding removed; ``hint_us`` is the client's estimate of its work."""

    shard: int
    weight: float
    hint_us: int | None


@dataclass(frozen=True, slots=True)
class Wanted:
    """A checked request. ``wait_us`` is how long the client waits from when it sent it; ``tenant`` is its
    owner's place among the settings' accounts, their number for one that is not among them.
    """

    id: str
    query_class: int
    wait_us: int
    key: str
    retry: bool
    text: bytes
    parts: tuple[WantedPart, ...]
    tenant: int = 0


class Checker:
    """Checks requests against the start settings."""

    def __init__(self, settings: policy.Settings) -> None:
        self._settings = settings
        self._classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self._tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def check(self, request: Request) -> Wanted:
        """The query that a request asks for; raises :class:`BadRequest`."""
        headers = request.headers
        kind = headers.get("req-kind")
        path = request.path.removeprefix("/").partition("/")[0]
        if kind is None:
            raise BadRequest("Req-Kind: missing")
        if kind not in self._classes:
            raise BadRequest(f"Req-Kind: no class {kind[:64]!r}", 404)
        if path != kind:
            raise BadRequest(f"Req-Kind: {kind!r}, but the path says {path[:64]!r}")
        if request.method != "POST":
            raise BadRequest(f"{request.method}: a query is a POST", 405)
        name = headers.get("req-id", "")
        if not ID.fullmatch(name):
            raise BadRequest("Req-Id: missing, or not of 1 to 64 letters, digits, '-' and '_'")
        query_class = self._classes[kind]
        spec = self._settings.classes[query_class]
        wait = min(_time(headers.get("req-deadline")), spec.timeout_us)
        key = headers.get("idempotency-key", "")
        if spec.idempotency == policy.Idempotency.KEYED and not KEY.fullmatch(key):
            raise BadRequest("Idempotency-Key: missing, or not of 1 to 128 printable characters without ','")
        return Wanted(
            name,
            query_class,
            wait,
            key if spec.idempotency == policy.Idempotency.KEYED else "",
            headers.get("req-retry") == "1",
            *self._body(request.body),
            self._tenants.get(headers.get("req-owner", ""), len(self._tenants)),
        )

    def _body(self, data: bytes) -> tuple[bytes, tuple[WantedPart, ...]]:
        try:
            body = _decoder.decode(data)
            text = body.expr.encode()
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as problem:
            raise BadRequest(f"body: {problem}") from None
        if not body.parts:
            raise BadRequest("parts: none")
        if not text or len(text) > TEXT_MOST:
            raise BadRequest(f"expr: {len(text)} bytes, 1 to {TEXT_MOST} are taken")
        seen: set[int] = set()
        total = 0.0
        for part in body.parts:
            if not 0 <= part.id < self._settings.shards:
                raise BadRequest(f"parts: no shard {part.id}")
            if part.id in seen:
                raise BadRequest(f"parts: shard {part.id} twice")
            seen.add(part.id)
            if not 0 < part.w <= 1:
                raise BadRequest(f"parts: shard {part.id}: a weight in (0, 1] is expected")
            if part.hint is not None and not 0 <= part.hint <= HINT_MOST:
                raise BadRequest(f"parts: shard {part.id}: a hint of {part.hint} us")
            if part.tag is not None and not TAG.fullmatch(part.tag):
                raise BadRequest(f"parts: shard {part.id}: a tag is 16 hex digits")
            total += part.w
        if abs(total - 1) > WEIGHT_SLACK:
            raise BadRequest(f"parts: weights add up to {total:.6g}, not 1")
        return text, tuple(
            WantedPart(part.id, part.w / total, None if part.hint is None else int(part.hint))
            for part in body.parts
        )


def _time(words: str | None) -> int:
    found = TIME.fullmatch(words or "")
    if found is None:
        raise BadRequest("Req-Deadline: missing, or not a number followed by m or u")
    span = int(float(found[1]) * UNITS[found[2]])
    if span <= 0:
        raise BadRequest("Req-Deadline: not positive")
    return span
