"""The configuration that the platform gives a broker; the keys are those of the platform's protocol."""

from __future__ import annotations

import json
from typing import Any, Final, TypeAlias

REPLICA_GROUPS: Final = 6
SHARDS: Final = 12
REPLICAS: Final = 3
NO_ENDPOINTS: Final = {"rev": 0, "all": True, "targets": []}

JsonObject: TypeAlias = dict[str, Any]  # encoded as it is; tests change it to what a broker must reject


def _query_class(
    name: str,
    *,
    objective_us: int,
    timeout_us: int,
    idempotency: str = "read_like",
    priority_weight: float = 1.0,
    late_weight: float = 0.1,
    idempotency_window_us: int = 5_000_000,
) -> JsonObject:
    return {
        "name": name,
        "objective-us": objective_us,
        "hard-limit-us": timeout_us,
        "idempotency": idempotency,
        "worth": priority_weight,
        "late-value": late_weight,
        "dedup-window-us": idempotency_window_us,
    }


def _query_classes() -> list[JsonObject]:
    return [
        _query_class(
            "price-search",
            objective_us=250_000,
            timeout_us=600_000,
            priority_weight=2.0,
            late_weight=0.3,
        ),
        _query_class("day-report", objective_us=300_000, timeout_us=900_000),
        _query_class(
            "sale-record",
            objective_us=200_000,
            timeout_us=500_000,
            idempotency="idempotency_key",
            idempotency_window_us=200_000,
        ),
    ]


def _limits() -> JsonObject:
    return {
        "cancelling": True,
        "conn-idle-us": 3_000_000,
        "connect-timeout-us": 250_000,
        "max-attempts": 4,
        "max-retry-after-us": 500_000,
        "open-cap": 400,
        "probing": True,
        "retry-after": True,
        "second-copies": False,
        "streams-per-conn": 8,
    }


def _rules() -> JsonObject:
    return {
        "drain-grace-us": 1_000_000,
        "fall-multiple": 2.5,
        "must-ask-in-us": 10_000_000,
        "start-capacity": 0.18,
        "tip-after-us": 1_000_000,
        "warm-within-us": 4_000_000,
    }


def _deployment(replica_groups: int, shards: int) -> JsonObject:
    return {
        "class-fetch": [0, 2, 0],
        "class-need": [0.75, 1.0, 1.0],
        "min-share": [0.75, 1.0, 1.0],
        "incomplete-worth": [0.9, 0.9, 0.9],
        "parts-a-call": 1,
        "places": replica_groups,
        "shards": shards,
        "warm-keys": True,
        "width": REPLICAS,
    }


def platform_settings(
    *, replica_groups: int = REPLICA_GROUPS, shards: int = SHARDS, brokers: int = 1
) -> JsonObject:
    """Return a new settings object, of three query classes, for a deployment of this size."""
    return {
        "az": 0,
        "zones": ["a", "b"],
        "siblings": brokers,
        "tick-us": 5000,
        "registry-mode": "ask",
        "value-by": "work",
        "classes": _query_classes(),
        "ceilings": _limits(),
        "invariants": _rules(),
        "specifics": _deployment(replica_groups, shards),
        "clients": {"marks-retry": False},
    }


def encode_config(**fields: object) -> bytes:
    """Return the bytes of a configuration file; ``fields`` replace or add top-level fields."""
    config: dict[str, object] = {
        "name": "n1",
        "listen": "broker:7070",
        "discovery": "registry:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.4, "memory_mb": 96, "sockets": 256},
        "known": NO_ENDPOINTS,
        "settings": platform_settings(),
    }
    config.update(fields)
    return json.dumps(config).encode()
