"""The start settings from the platform's object, which the bench's wire and a broker's configuration hold.

Standard library only, as the bench adapter uses it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from heathwell import policy

REPEATS = {
    "read_like": policy.Idempotency.IDEMPOTENT,
    "idempotency_key": policy.Idempotency.KEYED,
    "non_idempotent": policy.Idempotency.NON_IDEMPOTENT,
}


CodeT = TypeVar("CodeT")


class WireError(Exception):
    """Input that is not what the wire promises; the text is for a person."""


def need(message: Any, field: str, where: str) -> Any:
    """The field's value, or a complaint that names it."""
    if not isinstance(message, dict):
        raise WireError(f"{where}: an object is expected")
    if field not in message:
        raise WireError(f"{where}: field '{field}' is missing")
    return message[field]


def number(message: Any, field: str, where: str) -> int:
    """A field that must be a number, as an integer."""
    value = need(message, field, where)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{where}: field '{field}' is not a number")
    return int(value)


def share(message: Any, field: str, where: str) -> float:
    """A field that must be a number, as a float."""
    value = need(message, field, where)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{where}: field '{field}' is not a number")
    return float(value)


def text(message: Any, field: str, where: str) -> str:
    """A field that must be text."""
    value = need(message, field, where)
    if not isinstance(value, str):
        raise WireError(f"{where}: field '{field}' is not text")
    return value


def coded(message: Any, field: str, where: str, codes: Mapping[str, CodeT]) -> CodeT:
    """A field that must hold one of the wire's words."""
    word = text(message, field, where)
    if word not in codes:
        raise WireError(f"{where}: field '{field}' has the unknown value {word!r}")
    return codes[word]


def rows(message: Any, field: str, where: str) -> list[Any]:
    """A field that must be an array."""
    value = need(message, field, where)
    if not isinstance(value, list):
        raise WireError(f"{where}: field '{field}' is not an array")
    return value


def _at(values: list[Any], index: int, default: float) -> float:
    return float(values[index]) if index < len(values) else default


def settings_from(setup: Any) -> policy.Settings:
    """The start settings of an instance from the wire's ``setup``."""
    where = "setup"
    family = need(setup, "specifics", where)
    limits = need(setup, "ceilings", where)
    rules = need(setup, "invariants", where)
    clients = setup.get("clients") or {}
    tables = {"specifics": family, "ceilings": limits, "invariants": rules, "clients": clients}
    for name, table in tables.items():
        if not isinstance(table, dict):
            raise WireError(f"setup: field '{name}' is not an object")
    needs = family.get("class-need") or []
    floors = family.get("min-share") or []
    partial = family.get("incomplete-worth") or []
    fetch = family.get("class-fetch") or []
    classes = []
    for index, entry in enumerate(rows(setup, "classes", where)):
        at = f"classes[{index}]"
        classes.append(
            policy.QueryClass(
                name=str(entry.get("name", index)),
                latency_objective_us=number(entry, "objective-us", at),
                timeout_us=number(entry, "hard-limit-us", at),
                idempotency=coded(entry, "idempotency", at, REPEATS),
                idempotency_window_us=int(entry.get("dedup-window-us") or 0),
                priority_weight=float(entry.get("worth", 1.0)),
                late_weight=float(entry.get("late-value") or 0.0),
                partial_weight=_at(partial, index, 0.0),
                required_fraction=_at(needs, index, 1.0),
                minimum_fraction=_at(floors, index, 1.0),
                second_step_parts=int(_at(fetch, index, 0.0)),
                objective_hint_ratio=float(entry.get("aim-stretch") or 0.0),
            )
        )
    return policy.Settings(
        classes=tuple(classes),
        shards=number(family, "shards", "specifics"),
        replica_groups=number(family, "places", "specifics"),
        groups_per_shard=number(family, "width", "specifics"),
        aggregator_count=int(setup.get("siblings") or 1),
        zone=int(setup.get("az") or 0),
        tick_us=int(setup.get("tick-us") or 1000),
        max_attempts=number(limits, "max-attempts", "ceilings"),
        max_open=int(limits.get("open-cap") or 0),
        hedging_allowed=bool(limits.get("second-copies")),
        cancellation_allowed=bool(limits.get("cancelling")),
        probing_allowed=bool(limits.get("probing")),
        retry_advice_allowed=bool(limits.get("retry-after")),
        max_retry_after_us=int(limits.get("max-retry-after-us") or 0),
        poll_mode=setup.get("registry-mode") == "ask",
        poll_within_us=int(rules.get("must-ask-in-us") or 0),
        parts_per_call=int(family.get("parts-a-call") or 1),
        clients_mark_retries=bool(clients.get("marks-retry")),
        drain_grace_us=int(rules.get("drain-grace-us") or 0),
        overload_multiple=float(rules.get("fall-multiple") or 0.0),
        overload_after_us=int(rules.get("tip-after-us") or 0),
        slow_start_capacity=float(rules.get("start-capacity") or 1.0),
        slow_start_duration_us=int(rules.get("warm-within-us") or 0),
        free_additional_attempts=int(rules.get("free-resends") or 0),
        additional_attempt_ratio=float(rules.get("further-ratio") or 0.0),
        attempt_budget_window_us=int(rules.get("counted-over-us") or 0),
        endpoints_cache_keys=bool(family.get("warm-keys")),
        weight_by_work=setup.get("value-by") == "work",
        over_quota_weight=float(setup.get("over-share-worth", 1.0)),
        tenants=tuple(
            policy.Tenant(str(entry.get("name", "")), float(entry.get("quota-rps") or 0.0))
            for entry in setup.get("accounts") or []
        ),
    )
