"""Log lines for those events of the decision module that operators need to see."""

from __future__ import annotations

from typing import Any, Protocol

from heathwell import policy

MICROSECONDS_PER_MILLISECOND = 1000


class Log(Protocol):
    """A structured logger."""

    def __call__(self, level: str, event: str, **fields: Any) -> None:  # noqa: ANN401  # of any JSON type
        """Write one line."""


def log_operator_event(log: Log, event: policy.OperatorEvent) -> None:
    """Write one line for an event, with its node, scope, reason and duration if it has them."""
    match event:
        case policy.EndpointEjected():
            log(
                "info",
                "endpoint ejected",
                node=event.node,
                scope="all classes" if event.query_class is None else f"class {event.query_class}",
                reason=event.reason.value,
                duration_ms=event.duration_us // MICROSECONDS_PER_MILLISECOND,
            )
        case policy.EndpointReadmitted():
            log("info", "endpoint readmitted", node=event.node)
        case policy.DiscoveryDegraded():
            retry_after_ms = event.retry_after_us // MICROSECONDS_PER_MILLISECOND
            log("info", "discovery degraded", retry_after_ms=retry_after_ms)
