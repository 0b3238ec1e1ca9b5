"""The settings object of the cases, with the names and units of the platform's first message."""

from __future__ import annotations

Settings = dict[str, object]


def query_class(
    name: str, aim_ms: int, deadline_ms: int, effect: str = "read_like", window_ms: int = 5000
) -> Settings:
    """Return one class of query."""
    return {
        "name": name,
        "objective-us": aim_ms * 1000,
        "hard-limit-us": deadline_ms * 1000,
        "idempotency": effect,
        "dedup-window-us": window_ms * 1000,
        "group": "all",
        "streaming": False,
        "worth": 1.0,
        "late-value": 0.1,
    }


def deployment(  # one argument for each figure in which the deployments differ
    classes: list[Settings],
    *,
    cells: int,
    shards: int,
    second_copies: bool,
    max_attempts: int,
    probing: bool = True,
) -> Settings:
    """Return the settings of a deployment in which every part of a query is needed."""
    count = len(classes)
    return {
        "az": 0,
        "zones": ["a", "b"],
        "siblings": 1,
        "my-number": 0,
        "tick-us": 5000,
        "registry-mode": "ask",
        "value-by": "work",
        "classes": classes,
        "clients": {"marks-retry": False},
        "ceilings": {
            "cancelling": True,
            "conn-idle-us": 30_000_000,
            "connect-timeout-us": 250_000,
            "max-attempts": max_attempts,
            "max-retry-after-us": 500_000,
            "open-cap": 400,
            "peers": False,
            "probing": probing,
            "retry-after": True,
            "second-copies": second_copies,
            "streams-per-conn": 100,
        },
        "invariants": {
            "answer-slack-us": 20_000,
            "drain-grace-us": 1_000_000,
            "fall-multiple": 2.5,
            "must-ask-in-us": 10_000_000,
            "start-capacity": 0.18,
            "tip-after-us": 1_000_000,
            "warm-within-us": 17_000_000,
        },
        "specifics": {
            "call-cost-us": 0,
            "class-fetch": [0] * count,
            "class-need": [1.0] * count,
            "incomplete-worth": [0.9] * count,
            "min-share": [1.0] * count,
            "parts-a-call": 1,
            "places": cells,
            "shards": shards,
            "warm-keys": False,
            "width": 3,
        },
    }
