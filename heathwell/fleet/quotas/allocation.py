"""Weighted max-min fair allocation (Bertsekas and Gallager, Data Networks, 6.5.2).

Divides an amount among requests so that no request gets more than its demand while another one, whose share
per weight is smaller, is not satisfied. Owns no state. Imports only the standard library.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """The demand of a member, and its weight (at least 1)."""

    demand: int
    weight: int = 1


def allocate(amount: int, requests: dict[str, QuotaRequest], minimum: int = 0) -> dict[str, int]:
    """Return allocations by name, whose sum never exceeds the amount.

    Each gets at least ``minimum`` if the amount suffices, because a member with little demand may need more
    before its next renewal. The remainder beyond all demands is divided by weight. Runs in linear time except
    for one sort.
    """
    if not requests:
        return {}
    minimum = min(minimum, amount // len(requests))
    allocations = dict.fromkeys(requests, minimum)
    unmet = {
        name: QuotaRequest(max(request.demand - minimum, 0), request.weight)
        for name, request in requests.items()
    }
    unbounded = {name: QuotaRequest(amount, request.weight) for name, request in requests.items()}
    for stage in (unmet, unbounded):
        remaining = amount - sum(allocations.values())
        for name, increase in _fill_progressively(remaining, stage).items():
            allocations[name] += increase
    return allocations


def _fill_progressively(amount: int, requests: dict[str, QuotaRequest]) -> dict[str, int]:
    """Allocate in ascending order of demand per weight, each a share of the remaining amount by weight.

    Amounts are integers: the remainders of the divisions go to the last requests, which are the largest.
    """
    remaining = amount
    remaining_weight = sum(request.weight for request in requests.values())
    allocations: dict[str, int] = {}
    for name in sorted(requests, key=lambda name: (requests[name].demand / requests[name].weight, name)):
        request = requests[name]
        allocations[name] = min(request.demand, remaining * request.weight // remaining_weight)
        remaining -= allocations[name]
        remaining_weight -= request.weight
    return allocations
