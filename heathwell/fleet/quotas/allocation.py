"""Weighted max-min fair allocation (Bertsekas and Gallager, Data Networks, 6.5.2).

Job: divide an amount among requests so that nobody gets more than it requests while one that gets less for
its weight requests more. Owns no state. May import the standard library only.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """What a member could use now, and its weight (at least 1)."""

    demand: int
    weight: int = 1


def allocate(amount: int, requests: dict[str, QuotaRequest], minimum: int = 0) -> dict[str, int]:
    """Allocations of an amount by name; they never add up to more.

    Each gets at least ``minimum`` where the amount suffices, as who requests little now may request more
    before its next renewal. What nobody requests is spread by weight. Linear but for one sort.
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
    """Fill the least demand for its weight first, each from what remains for the weights that remain. Whole
    numbers: the rest of a division goes to the last, who request most.
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
