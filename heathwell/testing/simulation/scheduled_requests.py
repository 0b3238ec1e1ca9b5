"""Requests of clients at random times: a Poisson process whose rate varies over the run."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from heathwell.service.key_spaces import KeyShape
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fault_script import Load

RATE_STEP_SECONDS: Final = 0.25
MULTI_GET_KEYS: Final = 4
RECORDS_PER_TRADER: Final = 9000
REPORT_DAYS: Final = 28
POPULARITY_EXPONENT: Final = 2  # over 1: a few traders are requested far more often than the rest
VECTOR_DEVIATION: Final = 1.5


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request: a get of ``keys``, or a search where it has a vector. The time is from the run's start."""

    at_seconds: float
    keys: tuple[str, ...]
    query_class: str
    vector: tuple[float, ...] = ()


class RequestGenerator:
    """Draws requests for the key spaces and collections of a load's mix."""

    def __init__(self, load: Load, service_settings: ServiceSettings, draws: random.Random) -> None:
        self._load = load
        self._draws = draws
        self._key_spaces = {space.prefix: space for space in service_settings.keys}
        self._collections = {f"vector:{spec.name}": spec for spec in service_settings.collections}
        self._names = [mix.space for mix in load.mix]
        self._weights = [mix.share for mix in load.mix]

    def draw(self, at_seconds: float) -> ScheduledRequest:
        """Return a request for this time."""
        name = self._draws.choices(self._names, self._weights)[0]
        if name in self._collections:
            return self._draw_search(at_seconds, name)
        space = self._key_spaces[name]
        key_count = MULTI_GET_KEYS if self._draws.random() < self._load.multi else 1
        keys = tuple(self._draw_key(KeyShape(space.shape), space.prefix) for _ in range(key_count))
        return ScheduledRequest(at_seconds, keys, space.query_class)

    def _draw_search(self, at_seconds: float, name: str) -> ScheduledRequest:
        collection = self._collections[name]
        vector = tuple(self._draws.gauss(0, VECTOR_DEVIATION) for _ in range(collection.size))
        return ScheduledRequest(at_seconds, (name,), collection.query_class, vector)

    def _draw_key(self, shape: KeyShape, prefix: str) -> str:
        trader = int(self._load.traders * self._draws.random() ** POPULARITY_EXPONENT)
        if shape is KeyShape.RECORD:
            return f"{prefix}:t{trader}:{self._draws.randrange(RECORDS_PER_TRADER)}"
        if shape is KeyShape.SEARCH:
            return f"{prefix}:term{trader}"
        return f"{prefix}:t{trader}:2026-11-{1 + self._draws.randrange(REPORT_DAYS):02d}"


def poisson_requests(
    load: Load,
    service_settings: ServiceSettings,
    seed: int,
    begin_seconds: float,
    end_seconds: float,
    rate_factor: Callable[[float], float],
) -> Iterator[ScheduledRequest]:
    """Yield the requests between two times of a run, in order.

    The rate is that of the load times ``rate_factor`` of the time: requests are drawn at the highest rate,
    and dropped with the probability by which the rate of their time is lower.
    """
    draws = random.Random(seed)
    generator = RequestGenerator(load, service_settings, draws)
    peak_rate = load.rate * _peak_factor(begin_seconds, end_seconds, rate_factor)
    at_seconds = begin_seconds
    while (at_seconds := at_seconds + draws.expovariate(peak_rate)) < end_seconds:
        if draws.random() * peak_rate <= load.rate * rate_factor(at_seconds):
            yield generator.draw(at_seconds)


def _peak_factor(begin_seconds: float, end_seconds: float, rate_factor: Callable[[float], float]) -> float:
    step_count = int((end_seconds - begin_seconds) / RATE_STEP_SECONDS) + 1
    return max(
        (rate_factor(begin_seconds + step * RATE_STEP_SECONDS) for step in range(step_count)), default=1.0
    )
