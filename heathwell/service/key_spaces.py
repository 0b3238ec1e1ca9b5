"""Maps a client's key to a query's parts, and merges the answered parts into one body, without any I/O.

Shards are chosen by a checksum of the trader or search term, so that all brokers, hosts and auditors agree.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import replace
from enum import StrEnum

import msgspec

from heathwell.broker.replies import JsonObject
from heathwell.service.freshness import TokenError, read_token
from heathwell.service.query_plans import PartPlan, QueryPlan
from heathwell.settings import ServiceSettings
from heathwell.settings.schema import KeySpace

MAXIMUM_SEARCH_RESULTS = 10
TOKEN_MARK = "@~"  # Precedes a consistency token at the end of a key.


class KeyShape(StrEnum):
    """The form of a key space's keys and replies, as named in the settings."""

    RECORD = "record"
    SEARCH = "search"
    REPORT = "report"


class PartOperation(StrEnum):
    """What an endpoint does for a part, as named in the inner protocol."""

    RECORD = "record"
    SEARCH = "search"
    TOTALS = "totals"
    ITEMS = "items"


_json = msgspec.json.Decoder(JsonObject)


def first_shard(name: str, shards: int) -> int:
    """Return the first shard of a trader or search term."""
    return zlib.crc32(name.encode()) % shards


def consecutive_shards(first: int, count: int, shards: int) -> list[int]:
    """Return ``count`` consecutive shards from ``first``, wrapping around; no shard occurs twice."""
    return [(first + step) % shards for step in range(min(count, shards))]


class KeySpaces:
    """Plans queries from keys, by the key spaces of the settings."""

    def __init__(self, service_settings: ServiceSettings) -> None:
        self.shards = service_settings.fleet.shards
        self._classes = {spec.name: index for index, spec in enumerate(service_settings.classes)}
        self._spaces = {space.prefix: space for space in service_settings.keys}

    def plan(self, key: str) -> QueryPlan | None:
        """Return the plan of a key's query; None if the key is in no key space or not of its form."""
        name, mark, token = key.rpartition(TOKEN_MARK)
        prefix, colon, rest = (name if mark else key).partition(":")
        space = self._spaces.get(prefix)
        if space is None or not colon or not rest:
            return None
        plan = self._plan_in(space, key, rest)
        if plan is None or not mark:
            return plan
        try:
            positions = read_token(token)
        except TokenError as problem:
            return replace(plan, token_error=str(problem))
        return replace(plan, token_positions=positions.by_shard, minimum_token_position=positions.minimum)

    def _plan_in(self, space: KeySpace, key: str, rest: str) -> QueryPlan | None:
        """Return the plan of a key in a key space; ``rest`` is the key without its prefix and token."""
        match KeyShape(space.shape):
            case KeyShape.RECORD:
                return self._record(space, key, rest)
            case KeyShape.SEARCH:
                return self._search(space, key, rest)
            case KeyShape.REPORT:
                return self._report(space, key, rest)

    def _record(self, space: KeySpace, key: str, rest: str) -> QueryPlan | None:
        trader, colon, number = rest.partition(":")
        if not (trader and colon and number):
            return None
        part = PartPlan(first_shard(trader, self.shards), 1.0, PartOperation.RECORD, rest)
        return QueryPlan(
            self._classes[space.query_class], space.shape, zlib.crc32(trader.encode()), key, (part,)
        )

    def _search(self, space: KeySpace, key: str, rest: str) -> QueryPlan:
        shards = consecutive_shards(first_shard(rest, self.shards), space.parts, self.shards)
        parts = tuple(PartPlan(shard, 1 / len(shards), PartOperation.SEARCH, rest) for shard in shards)
        return QueryPlan(self._classes[space.query_class], space.shape, zlib.crc32(rest.encode()), key, parts)

    def _report(self, space: KeySpace, key: str, rest: str) -> QueryPlan | None:
        names, colon, day = rest.rpartition(":")
        traders = list(dict.fromkeys(name for name in names.split(",") if name))
        if not (colon and day and traders):
            return None
        holders: dict[int, list[str]] = {}
        for trader in traders:
            for shard in consecutive_shards(
                first_shard(trader, self.shards), space.report_parts, self.shards
            ):
                holders.setdefault(shard, []).append(trader)
        parts = tuple(
            PartPlan(shard, 1 / len(holders), PartOperation.TOTALS, ",".join(held) + ":" + day)
            for shard, held in holders.items()
        )
        return QueryPlan(
            self._classes[space.query_class], space.shape, zlib.crc32(traders[0].encode()), key, parts
        )


def second_step(answered: Iterable[PartPlan], count: int) -> list[PartPlan]:
    """Return at most ``count`` parts that request item details, one for each shard that answered."""
    first = list(answered)[:count]
    return [
        PartPlan(part.shard, 1 / len(first), PartOperation.ITEMS, part.key, n) for n, part in enumerate(first)
    ]


def merge(shape: str, first: Iterable[bytes], second: Iterable[bytes]) -> JsonObject:
    """Return one body merged from the data of both steps' parts, independent of the order of the parts."""
    first_bodies = [_json.decode(data) for data in first]
    match KeyShape(shape):
        case KeyShape.RECORD:
            return first_bodies[0] if first_bodies else {}
        case KeyShape.SEARCH:
            return _merge_search(first_bodies)
        case KeyShape.REPORT:
            return _merge_report(first_bodies, (_json.decode(data) for data in second))


def _merge_search(bodies: Iterable[JsonObject]) -> JsonObject:
    rows = [row for body in bodies for row in body["rows"]]
    rows.sort(key=lambda row: (row["price"], row["id"]))
    return {"rows": rows[:MAXIMUM_SEARCH_RESULTS], "found": len(rows)}


def _merge_report(first_bodies: Iterable[JsonObject], second_bodies: Iterable[JsonObject]) -> JsonObject:
    totals: dict[str, int] = {"count": 0, "cents": 0}
    for body in first_bodies:
        for name in totals:
            totals[name] += body[name]
    items = [item for body in second_bodies for item in body["items"]]
    items.sort(key=lambda item: str(item["id"]))
    return {"totals": totals, "items": items}
