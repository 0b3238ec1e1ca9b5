"""Iteration over grouped items by rank, where taking an item may change the rank of groups."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
BasisT = TypeVar("BasisT")


@dataclass(frozen=True, slots=True)
class GroupRank(Generic[BasisT]):
    """A group's rank, lowest first, and the basis: the state that the rank was computed from."""

    order: tuple[float, ...]
    basis: BasisT


def drain_by_rank(
    groups: dict[int, list[T]],
    rank: Callable[[list[T]], GroupRank[BasisT]],
    is_current: Callable[[BasisT], bool],
    rng: random.Random,
) -> Iterator[T]:
    """Yield the items one by one, each a random item of the group of lowest rank.

    A group is ranked again only when it comes first and its basis is no longer current. If few groups share
    a basis, n items cost O(n log n). The lists in ``groups`` are emptied.
    """
    heap = []
    for key, group in groups.items():
        ranked = rank(group)
        heap.append((ranked.order, key, ranked.basis))
    heapq.heapify(heap)
    while heap:
        _, key, basis = heap[0]
        group = groups[key]
        if not is_current(basis):
            ranked = rank(group)
            heapq.heapreplace(heap, (ranked.order, key, ranked.basis))
            continue
        yield group.pop(rng.randrange(len(group)) if len(group) > 1 else 0)
        if not group:
            heapq.heappop(heap)
