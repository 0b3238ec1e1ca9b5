"""Items of groups in rank order, where taking an item may change the rank of its group."""

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
    """A group's rank (least first) and the basis that it rests on."""

    order: tuple[float, ...]
    basis: BasisT


def drain_by_rank(
    groups: dict[int, list[T]],
    rank: Callable[[list[T]], GroupRank[BasisT]],
    is_current: Callable[[BasisT], bool],
    draws: random.Random,
) -> Iterator[T]:
    """Take the items one by one from the group of least rank, a drawn item of it each time.

    A group is ranked anew only when it comes first and its basis is not current any more: with few groups
    resting on one basis n items cost O(n log n). The lists in ``groups`` are emptied.
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
        yield group.pop(draws.randrange(len(group)) if len(group) > 1 else 0)
        if not group:
            heapq.heappop(heap)
