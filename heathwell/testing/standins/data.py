"""Generated sale and price data, the same in every process for the same shard, key and batch."""

from __future__ import annotations

import zlib
from enum import StrEnum
from typing import Final, TypeAlias

import msgspec

from heathwell.testing.standins.errors import StandInError

RECORDS_PER_TRADER: Final = 10_000
ITEMS_PER_BATCH: Final = 3
GOODS: Final = ("apple", "bread", "candle", "dill", "eel", "fennel", "goose", "honey")


class Operation(StrEnum):
    """The operation that a part requests, as the inner protocol names it."""

    RECORD = "record"
    SEARCH = "search"
    TOTALS = "totals"
    ITEMS = "items"


class UnknownOperationError(StandInError):
    """A part requests an operation that leaves do not support."""

    def __init__(self, operation: str) -> None:
        super().__init__(f"unknown operation {operation!r}")
        self.operation = operation


class SaleRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The result for the id of a sale."""

    found: bool = True
    trader: str
    id: str
    cents: int
    goods: str


class MissingRecord(msgspec.Struct, frozen=True):
    """The result for an id that no sale has."""

    found: bool = False


class Product(msgspec.Struct, frozen=True):
    """A product that a search found."""

    id: str
    price: int


class SearchResult(msgspec.Struct, frozen=True, rename={"products": "rows"}):
    """The products of one shard, the cheapest first."""

    products: list[Product]


class DayTotals(msgspec.Struct, frozen=True):
    """The number of a day's sales and the sum of their amounts."""

    count: int
    cents: int


class ReportItem(msgspec.Struct, frozen=True):
    """One sale in a report."""

    id: str
    trader: str
    cents: int


class ReportItems(msgspec.Struct, frozen=True):
    """One batch of a report's sales."""

    items: list[ReportItem]


Result: TypeAlias = SaleRecord | MissingRecord | SearchResult | DayTotals | ReportItems


def hash_names(*names: object) -> int:
    """Return a checksum of the names, which unlike ``hash`` is the same in every process."""
    return zlib.crc32("\x1f".join(map(str, names)).encode())


def generate_record(trader: str, sale_id: str) -> SaleRecord | MissingRecord:
    """Return a sale; valid ids are 0 to ``RECORDS_PER_TRADER - 1``."""
    if not sale_id.isdigit() or int(sale_id) >= RECORDS_PER_TRADER:
        return MissingRecord()
    code = hash_names("sale", trader, sale_id)
    return SaleRecord(trader=trader, id=sale_id, cents=100 + code % 9900, goods=GOODS[code % len(GOODS)])


def generate_search(shard: int, term: str, count: int) -> SearchResult:
    """Return ``count`` products of a shard for a search term."""
    products = [
        Product(f"{term}-{shard}-{number}", 50 + hash_names("price", shard, term, number) % 5000)
        for number in range(count)
    ]
    products.sort(key=lambda product: (product.price, product.id))
    return SearchResult(products)


def generate_totals(shard: int, traders: list[str], day: str) -> DayTotals:
    """Return the totals of some traders in a shard."""
    counts = [hash_names("count", shard, trader, day) % 50 for trader in traders]
    cents = [hash_names("cents", shard, trader, day) % 100_000 for trader in traders]
    return DayTotals(sum(counts), sum(cents))


def generate_items(shard: int, traders: list[str], day: str, batch: int) -> ReportItems:
    """Return one batch of a report's sales."""
    return ReportItems(
        [
            ReportItem(
                id=f"{day}-{shard}-{batch}-{number}",
                trader=traders[number % len(traders)],
                cents=hash_names("item", shard, day, batch, number) % 5000,
            )
            for number in range(ITEMS_PER_BATCH)
        ]
    )


def generate_result(operation: str, shard: int, key: str, batch: int, max_products: int) -> Result:
    """Return the result of a part. Raise :class:`UnknownOperationError`.

    The key is ``trader:id`` for a record, the term for a search, and ``trader,...:day`` for a report.
    """
    if operation == Operation.RECORD:
        trader, _, sale_id = key.partition(":")
        return generate_record(trader, sale_id)
    if operation == Operation.SEARCH:
        return generate_search(shard, key, max_products)
    traders, _, day = key.rpartition(":")
    if operation == Operation.TOTALS:
        return generate_totals(shard, traders.split(","), day)
    if operation == Operation.ITEMS:
        return generate_items(shard, traders.split(","), day, batch)
    raise UnknownOperationError(operation)
