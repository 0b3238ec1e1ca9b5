"""Settings of the demo deployment that experiments and tests share, as text by section.

Query classes are ``price-search``, ``day-report`` and ``sale-record``; their keys are spaces of their own. An
experiment composes its settings from the sections by :func:`settings_text`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

SALE_KEYS: Final = "(keys sale (class sale-record) (shape record))"
PRICE_KEYS: Final = "(keys price (class price-search) (shape search) (parts 8))"
RULES: Final = (
    "(rules (drain-grace 1s) (fall-multiple 2.5) (fall-after 1s) (start-capacity 18%) (warm-within 17s))"
)


def settings_text(*sections: str) -> str:
    """Return the text of settings that consist of these sections, one a line."""
    return "\n" + "".join(f"{section}\n" for section in sections)


def price_search_class(*, work_ms: int = 40, minimum_percent: int | None = None) -> str:
    """Return the class of searches; with ``minimum_percent`` of its weight it has partial answers."""
    partial = f" (floor {minimum_percent}%) (partial-worth 60%)" if minimum_percent is not None else ""
    return (
        "(class price-search (aim 1s) (limit 2s) (worth 2) (late-worth 30%) (need 75%)"
        f"{partial} (work {work_ms}ms))"
    )


def day_report_class(
    *, work_ms: int = 30, second_step_parts: int = 5, second_step_work_percent: int | None = None
) -> str:
    """Return the class of reports, whose work in the second step may be a percentage of the first's."""
    second_step_work = (
        f" (fetch-work {second_step_work_percent}%)" if second_step_work_percent is not None else ""
    )
    return (
        f"(class day-report (aim 1200ms) (limit 3s) (late-worth 10%) (fetch {second_step_parts})"
        f"{second_step_work} (work {work_ms}ms))"
    )


def sale_record_class(*, work_ms: int = 30) -> str:
    """Return the class of records, whose requests are idempotent by key for a while."""
    return (
        "(class sale-record (aim 750ms) (limit 1500ms) (repeat keyed) (dedup 750ms) (late-worth 10%)"
        f" (work {work_ms}ms))"
    )


def report_keys(*, parts: int = 4) -> str:
    """Return the key space of reports, with so many parts for each trader."""
    return f"(keys report (class day-report) (shape report) (report-parts {parts}))"


def fleet_section(
    *, shards: int, replica_groups: int, replicas: int, zones: Sequence[str], leaves: int, brokers: int
) -> str:
    """Return the fleet's size; each shard has ``replicas`` of the ``replica_groups``."""
    return (
        f"(fleet (shards {shards}) (cells {replica_groups}) (width {replicas}) (zones {' '.join(zones)})"
        f" (leaves {leaves}) (brokers {brokers}))"
    )


def limits_section(*, max_in_flight: int, max_retry_after_ms: int | None = None) -> str:
    """Return the limits of attempts, work in flight and of advice when to retry."""
    retry_after = f" (max-advice {max_retry_after_ms}ms)" if max_retry_after_ms is not None else ""
    return f"(limits (attempts 4) (open-cap {max_in_flight}) (by-work yes){retry_after})"


def discovery_section(*, notice_ms: int = 300, silent_notice_ms: int = 2_000) -> str:
    """Return after which times discovery notices that a host left, or that it is silent."""
    return f"(discovery (notice {notice_ms}ms) (silent-notice {silent_notice_ms}ms))"
