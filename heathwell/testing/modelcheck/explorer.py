"""Explores every interleaving of a small model by breadth-first search.

Job: finds a shortest trace from the initial state to a state that violates an invariant, or shows that no
state within a number of steps does. Ownership: an exploration owns the states that it visits. Imports: the
standard library only.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

DEFAULT_TIMEOUT_SECONDS = 60.0

StateT = TypeVar("StateT")


class Transition(NamedTuple, Generic[StateT]):
    """A possible next event: its label in a trace, and the state after it."""

    label: str
    state: StateT


class Model(Protocol[StateT]):
    """A small model. A transition returns a new state and does not modify the old one."""

    def initial_state(self) -> StateT:
        """Return the state from which every trace starts."""

    def transitions(self, state: StateT) -> Iterator[Transition[StateT]]:
        """Yield every possible next event in ``state``."""

    def state_key(self, state: StateT) -> Hashable:
        """Return a key that is equal for states with the same possible futures.

        The key has times relative to now, so that the same situation at a later time has the same key.
        """

    def find_violation(self, state: StateT) -> str | None:
        """Return a description of the invariant that ``state`` violates, or None."""


@dataclass(frozen=True, slots=True)
class InvariantViolation:
    """A violated invariant, and the labels of a shortest trace to the violation."""

    description: str
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of an exploration.

    ``is_complete``: the ``state_count`` distinct states are all that can be reached within ``depth`` steps.
    """

    state_count: int
    is_complete: bool
    depth: int
    violation: InvariantViolation | None = None

    def __str__(self) -> str:
        """Return the result with the trace of a violation, for the message of a failed test."""
        extent = "all" if self.is_complete else "not all"
        summary = f"{self.state_count} states, {extent} within {self.depth} steps"
        if self.violation is None:
            return f"{summary}: no violation"
        steps = (f"\n  {number:2d}. {label}" for number, label in enumerate(self.violation.trace, 1))
        return f"{summary}: {self.violation.description}{''.join(steps)}"


class _Predecessor(NamedTuple):
    """How a state was first reached: from which state's key (None for the initial state), by which event."""

    key: Hashable | None
    label: str


def explore(
    model: Model[StateT], maximum_depth: int, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
) -> Exploration:
    """Check every state within ``maximum_depth`` steps, until a violation is found or the timeout expires."""
    initial_state = model.initial_state()
    predecessors: dict[Hashable, _Predecessor] = {model.state_key(initial_state): _Predecessor(None, "")}
    frontier = deque([(initial_state, 0)])
    reached_depth = 0
    deadline = time.monotonic() + timeout_seconds
    while frontier:
        state, depth = frontier.popleft()
        reached_depth = max(reached_depth, depth)
        if depth == maximum_depth:
            continue
        if time.monotonic() > deadline:
            return Exploration(len(predecessors), is_complete=False, depth=reached_depth)
        key = model.state_key(state)
        for label, next_state in model.transitions(state):
            next_key = model.state_key(next_state)
            if next_key in predecessors:
                continue
            predecessors[next_key] = _Predecessor(key, label)
            description = model.find_violation(next_state)
            if description is not None:
                violation = InvariantViolation(description, tuple(_trace_to(predecessors, next_key)))
                return Exploration(len(predecessors), is_complete=False, depth=depth + 1, violation=violation)
            frontier.append((next_state, depth + 1))
    return Exploration(len(predecessors), is_complete=True, depth=reached_depth)


def _trace_to(predecessors: dict[Hashable, _Predecessor], key: Hashable) -> list[str]:
    labels: list[str] = []
    predecessor = predecessors[key]
    while predecessor.key is not None:
        labels.append(predecessor.label)
        predecessor = predecessors[predecessor.key]
    return labels[::-1]
