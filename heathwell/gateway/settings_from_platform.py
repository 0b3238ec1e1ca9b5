"""Conversion of the platform's settings object, which is in the bench's wire and a broker's configuration.

The object's field names and values are mapped to this project's terms here, and nowhere else. Uses the
standard library only, as the bench adapter imports it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias, TypeVar

from heathwell import policy
from heathwell.gateway.errors import GatewayError

IDEMPOTENCY_OF_WORD = {
    "read_like": policy.Idempotency.IDEMPOTENT,
    "idempotency_key": policy.Idempotency.KEYED,
    "non_idempotent": policy.Idempotency.NON_IDEMPOTENT,
}
POLL_MODE_WORD = "ask"  # value of the field "registry-mode"
WEIGHT_BY_WORK_WORD = "work"  # value of the field "value-by"

# Nested objects of the platform's object.
DEPLOYMENT_FIELD = "specifics"
LIMITS_FIELD = "ceilings"
RULES_FIELD = "invariants"
CLIENTS_FIELD = "clients"
# Limits of a broker's connections to nodes, within LIMITS_FIELD.
STREAMS_PER_CONNECTION_FIELD = "streams-per-conn"
IDLE_TIMEOUT_US_FIELD = "conn-idle-us"
CONNECT_TIMEOUT_US_FIELD = "connect-timeout-us"

DEFAULT_TICK_US = 1000

JsonValue: TypeAlias = Any  # decoded JSON of any type; the type is checked when a field is read
JsonObject: TypeAlias = dict[str, JsonValue]
CodeT = TypeVar("CodeT")


class WireError(GatewayError):
    """Input that violates the wire's specification; the message names the field."""


def required_field(message: JsonValue, field: str, where: str) -> JsonValue:
    """Return a field's value; raise :class:`WireError` if it is missing."""
    if not isinstance(message, dict):
        raise WireError(f"{where}: expected an object, got {type(message).__name__}")
    if field not in message:
        raise WireError(f"{where}: field '{field}' is missing")
    return message[field]


def number(message: JsonValue, field: str, where: str) -> int:
    """Return a number as an integer."""
    return int(_numeric(message, field, where))


def real_number(message: JsonValue, field: str, where: str) -> float:
    """Return a number as a float."""
    return float(_numeric(message, field, where))


def _numeric(message: JsonValue, field: str, where: str) -> int | float:
    value = required_field(message, field, where)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{where}: field '{field}': expected a number, got {type(value).__name__}")
    return value


def text(message: JsonValue, field: str, where: str) -> str:
    """Return a text."""
    value = required_field(message, field, where)
    if not isinstance(value, str):
        raise WireError(f"{where}: field '{field}': expected a string, got {type(value).__name__}")
    return value


def coded(message: JsonValue, field: str, where: str, codes: Mapping[str, CodeT]) -> CodeT:
    """Return the value that ``codes`` has for a text."""
    code = text(message, field, where)
    if code not in codes:
        raise WireError(f"{where}: field '{field}': expected one of {', '.join(codes)}, got {code!r}")
    return codes[code]


def array(message: JsonValue, field: str, where: str) -> list[JsonValue]:
    """Return an array."""
    value = required_field(message, field, where)
    if not isinstance(value, list):
        raise WireError(f"{where}: field '{field}': expected an array, got {type(value).__name__}")
    return value


class _Sections(NamedTuple):
    """The nested objects of the platform's object."""

    deployment: JsonObject
    limits: JsonObject
    rules: JsonObject
    clients: JsonObject


def settings_from(setup: JsonValue) -> policy.Settings:
    """Return the start settings in the platform's object.

    Raise :class:`WireError` if it is malformed, and ValueError, TypeError or AttributeError for a value that
    can't be converted.
    """
    deployment, limits, rules, clients = _sections(setup)
    return policy.Settings(
        classes=tuple(_classes(setup, deployment)),
        shards=number(deployment, "shards", DEPLOYMENT_FIELD),
        replica_groups=number(deployment, "places", DEPLOYMENT_FIELD),
        groups_per_shard=number(deployment, "width", DEPLOYMENT_FIELD),
        aggregator_count=int(setup.get("siblings") or 1),
        zone=int(setup.get("az") or 0),
        tick_us=int(setup.get("tick-us") or DEFAULT_TICK_US),
        max_attempts=number(limits, "max-attempts", LIMITS_FIELD),
        max_open=int(limits.get("open-cap") or 0),
        hedging_allowed=bool(limits.get("second-copies")),
        cancellation_allowed=bool(limits.get("cancelling")),
        probing_allowed=bool(limits.get("probing")),
        retry_advice_allowed=bool(limits.get("retry-after")),
        max_retry_after_us=int(limits.get("max-retry-after-us") or 0),
        poll_mode=setup.get("registry-mode") == POLL_MODE_WORD,
        max_poll_interval_us=int(rules.get("must-ask-in-us") or 0),
        parts_per_call=int(deployment.get("parts-a-call") or 1),
        clients_mark_retries=bool(clients.get("marks-retry")),
        drain_grace_us=int(rules.get("drain-grace-us") or 0),
        overload_multiple=float(rules.get("fall-multiple") or 0.0),
        overload_after_us=int(rules.get("tip-after-us") or 0),
        slow_start_capacity=float(rules.get("start-capacity") or 1.0),
        slow_start_duration_us=int(rules.get("warm-within-us") or 0),
        free_additional_attempts=int(rules.get("free-resends") or 0),
        additional_attempt_ratio=float(rules.get("further-ratio") or 0.0),
        attempt_budget_window_us=int(rules.get("counted-over-us") or 0),
        endpoints_cache_keys=bool(deployment.get("warm-keys")),
        priority_scales_with_work=setup.get("value-by") == WEIGHT_BY_WORK_WORD,
        over_quota_weight=float(setup.get("over-share-worth", 1.0)),
        tenants=tuple(_tenants(setup)),
    )


def _sections(setup: JsonValue) -> _Sections:
    """Return the nested objects, of which only that of the clients is optional."""
    deployment = required_field(setup, DEPLOYMENT_FIELD, "setup")
    limits = required_field(setup, LIMITS_FIELD, "setup")
    rules = required_field(setup, RULES_FIELD, "setup")
    clients = setup.get(CLIENTS_FIELD) or {}
    sections = (
        (DEPLOYMENT_FIELD, deployment),
        (LIMITS_FIELD, limits),
        (RULES_FIELD, rules),
        (CLIENTS_FIELD, clients),
    )
    for field, value in sections:
        if not isinstance(value, dict):
            raise WireError(f"setup: field '{field}': expected an object, got {type(value).__name__}")
    return _Sections(deployment, limits, rules, clients)


def _classes(setup: JsonValue, deployment: JsonObject) -> list[policy.QueryClass]:
    """Return the query classes; some of their values are in arrays of the deployment, by class index."""
    required_fractions = deployment.get("class-need") or []
    minimum_fractions = deployment.get("min-share") or []
    partial_weights = deployment.get("incomplete-worth") or []
    second_step_parts = deployment.get("class-fetch") or []
    classes = []
    for index, entry in enumerate(array(setup, "classes", "setup")):
        where = f"classes[{index}]"
        classes.append(
            policy.QueryClass(
                name=str(entry.get("name", index)),
                latency_objective_us=number(entry, "objective-us", where),
                timeout_us=number(entry, "hard-limit-us", where),
                idempotency=coded(entry, "idempotency", where, IDEMPOTENCY_OF_WORD),
                idempotency_window_us=int(entry.get("dedup-window-us") or 0),
                priority_weight=float(entry.get("worth", 1.0)),
                late_weight=float(entry.get("late-value") or 0.0),
                partial_weight=_float_at(partial_weights, index, 0.0),
                required_fraction=_float_at(required_fractions, index, 1.0),
                minimum_fraction=_float_at(minimum_fractions, index, 1.0),
                second_step_parts=int(_float_at(second_step_parts, index, 0.0)),
                objective_hint_ratio=float(entry.get("aim-stretch") or 0.0),
            )
        )
    return classes


def _float_at(values: list[JsonValue], index: int, default: float) -> float:
    """Return the value at an index, or ``default`` beyond the end."""
    return float(values[index]) if index < len(values) else default


def _tenants(setup: JsonValue) -> list[policy.Tenant]:
    return [
        policy.Tenant(str(entry.get("name", "")), float(entry.get("quota-rps") or 0.0))
        for entry in setup.get("accounts") or []
    ]
