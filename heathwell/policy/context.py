"""State shared by the components of the decision module: settings, clock, generator, timers, actions."""

from __future__ import annotations

import random

from heathwell.datastructures import RateLimitedTopics, TimerQueue
from heathwell.policy.actions import Action
from heathwell.policy.operator_events import OperatorEvent
from heathwell.policy.records import Timer, TimerKind, TimerSubject
from heathwell.policy.settings import Settings

# Least time between two operator events of one topic, in shortest latency objectives.
LOG_INTERVAL_OBJECTIVES = 10
# Number of stored topics from which expired ones are dropped.
LOG_TOPICS = 64


class DecisionContext:
    """The state of one aggregator that belongs to no single component.

    ``now_us`` is the instant of the present batch and ``started_at_us`` that of the first one (None before
    it). Components append to ``actions`` in the order in which the caller carries them out. They draw from
    ``random`` in a fixed order, so the same seed and events give the same actions.
    """

    __slots__ = (
        "_topics",
        "actions",
        "now_us",
        "random",
        "settings",
        "shortest_objective_us",
        "started_at_us",
        "timers",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0
        self.started_at_us: int | None = None
        self.actions: list[Action] = []
        self.timers: TimerQueue[Timer] = TimerQueue()
        self.shortest_objective_us = min(query_class.latency_objective_us for query_class in settings.classes)
        self._topics = RateLimitedTopics(LOG_INTERVAL_OBJECTIVES * self.shortest_objective_us, LOG_TOPICS)

    def begin_batch(self, now_us: int) -> None:
        """Set the clock to the instant of a batch and begin its list of actions."""
        self.now_us = now_us
        self.actions = []
        if self.started_at_us is None:
            self.started_at_us = now_us

    @property
    def elapsed_us(self) -> int:
        """The time since the first batch."""
        return self.now_us - (self.started_at_us or 0)

    def emit(self, action: Action) -> None:
        """Append an action to those of this batch."""
        self.actions.append(action)

    def schedule(self, at_us: int, kind: TimerKind, subject: TimerSubject = None) -> None:
        """Set a timer of a kind for an instant; ``subject`` is the record that it concerns."""
        self.timers.schedule(at_us, Timer(kind, subject))

    def notify_operators(self, topic: str, event: OperatorEvent) -> None:
        """Emit an operator event, at most one per topic in :data:`LOG_INTERVAL_OBJECTIVES`."""
        if self._topics.admit(topic, self.now_us):
            self.emit(event)
