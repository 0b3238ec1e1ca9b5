"""Generated sale and price data: every host, checker and test works out the same rows from the same names."""

from __future__ import annotations

import zlib
from typing import Any

RECORDS_A_TRADER = 10_000
GOODS = ("apple", "bread", "candle", "dill", "eel", "fennel", "goose", "honey")


def draw(*names: object) -> int:
    """A number that depends on nothing but its names."""
    return zlib.crc32("\x1f".join(map(str, names)).encode())


def record(trader: str, number: str) -> dict[str, Any]:
    """A sale record; numbers that are none, or too high, were never sold."""
    if not number.isdigit() or int(number) >= RECORDS_A_TRADER:
        return {"found": False}
    code = draw("sale", trader, number)
    return {
        "found": True,
        "trader": trader,
        "id": number,
        "cents": 100 + code % 9900,
        "goods": GOODS[code % len(GOODS)],
    }


def search(shard: int, term: str, rows: int) -> dict[str, Any]:
    """A shard's products for a term, the cheapest first."""
    made = [
        {"id": f"{term}-{shard}-{n}", "price": 50 + draw("price", shard, term, n) % 5000} for n in range(rows)
    ]
    made.sort(key=lambda row: (row["price"], row["id"]))
    return {"rows": made}


def totals(shard: int, traders: list[str], day: str) -> dict[str, int]:
    """A shard's day totals for some traders."""
    counts = [draw("count", shard, trader, day) % 50 for trader in traders]
    cents = [draw("cents", shard, trader, day) % 100_000 for trader in traders]
    return {"count": sum(counts), "cents": sum(cents)}


def items(shard: int, traders: list[str], day: str, number: int) -> dict[str, Any]:
    """One batch of a report's item detail."""
    made = [
        {
            "id": f"{day}-{shard}-{number}-{n}",
            "trader": traders[n % len(traders)],
            "cents": draw("item", shard, day, number, n) % 5000,
        }
        for n in range(3)
    ]
    return {"items": made}


def answer(op: str, shard: int, key: str, item: int, rows: int) -> dict[str, Any]:
    """What a part is answered with; raises :class:`ValueError` for what no host knows."""
    head, _, tail = key.rpartition(":")
    if op == "record":
        trader, _, number = key.partition(":")
        return record(trader, number)
    if op == "search":
        return search(shard, key, rows)
    if op == "totals":
        return totals(shard, head.split(","), tail)
    if op == "items":
        return items(shard, head.split(","), tail, item)
    raise ValueError(f"unknown operation {op!r}")
