"""All interleavings of a small world, breadth first: the first breach found has the shortest story."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol


class World(Protocol):
    """A small world. States are values of its own, never changed in place."""

    def initial(self) -> Any:
        """Where it begins."""

    def moves(self, state: Any) -> Iterator[tuple[str, Any]]:
        """What may happen next, each in words, and what comes of it."""

    def key(self, state: Any) -> Hashable:
        """What tells states apart; times as distances from now, so that the same situation later is the same
        state.
        """

    def broken(self, state: Any) -> str:
        """The sentence that this state breaks, or nothing."""


@dataclass(frozen=True, slots=True)
class Found:
    """``states`` were seen; ``whole``: all that can be reached within the depth. A breach comes with its
    story.
    """

    states: int
    whole: bool
    depth: int
    breach: str = ""
    story: tuple[str, ...] = ()

    def __str__(self) -> str:
        told = f"{self.states} states, {'all' if self.whole else 'not all'} within {self.depth} steps"
        if not self.breach:
            return told + ": kept"
        steps = "".join(f"\n  {number:2d}. {step}" for number, step in enumerate(self.story, 1))
        return f"{told}: {self.breach}{steps}"


def explore(world: World, depth: int, seconds: float = 60.0) -> Found:
    """Look at every state within so many steps, or until the time is up."""
    first = world.initial()
    came: dict[Hashable, tuple[Hashable, str]] = {world.key(first): (None, "")}
    edge: deque[tuple[Any, int]] = deque([(first, 0)])
    reached, ends = 0, time.monotonic() + seconds
    while edge:
        state, steps = edge.popleft()
        reached = max(reached, steps)
        if steps == depth:
            continue
        if time.monotonic() > ends:
            return Found(len(came), False, reached)
        here = world.key(state)
        for label, after in world.moves(state):
            key = world.key(after)
            if key in came:
                continue
            came[key] = here, label
            breach = world.broken(after)
            if breach:
                return Found(len(came), False, steps + 1, breach, _story(came, key))
            edge.append((after, steps + 1))
    return Found(len(came), True, reached)


def _story(came: dict[Hashable, tuple[Hashable, str]], key: Hashable) -> tuple[str, ...]:
    steps: list[str] = []
    while True:
        before, label = came[key]
        if before is None:
            return tuple(reversed(steps))
        steps.append(label)
        key = before
