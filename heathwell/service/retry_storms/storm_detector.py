"""Detects retry storms by the statistics of the last ticks, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heathwell.service.retry_storms.storm_window import WindowStatistics

BUILDING_REPEAT_FRACTION = 0.15
STORM_REPEAT_FRACTION = 0.3
LOW_REPEAT_FRACTION = 0.1
STORM_REJECTION_FRACTION = 0.1
CONFIRMATION_TICKS = 2
LOW_TICKS = 4
CALM_TICKS = 12
SURGE_FACTOR = 5.0  # A connection rate over this multiple of the baseline is a surge.
MINIMUM_SURGE_RATE = 20.0  # Connections a second; a lower rate is no surge.
BASELINE_RATE_GAIN = 0.02


class StormState(StrEnum):
    """The state of one broker; :mod:`.storm_controller` describes the states."""

    CALM = "calm"
    BUILDING = "building"
    STORM = "storm"
    DRAINING = "draining"


LIMITING_STATES = (StormState.STORM, StormState.DRAINING)  # Queries are limited in these states.


@dataclass(frozen=True, slots=True)
class StormChange:
    """A change of state, with a description of the evidence."""

    previous: StormState
    state: StormState
    evidence: str


class StormDetector:
    """The state machine; its input is one :class:`WindowStatistics` for each tick."""

    def __init__(self, now_us: int, *, is_warming_up: bool) -> None:
        self.state = StormState.DRAINING if is_warming_up else StormState.CALM
        self.since_us = now_us
        self.evidence = "just started" if is_warming_up else ""
        self._baseline_connection_rate = 0.0
        self._storm_tick_count = 0
        self._low_tick_count = 0

    def update(self, now_us: int, statistics: WindowStatistics) -> StormChange | None:
        """Update the state by the statistics of a tick, and return its change, if any."""
        is_surge = statistics.connection_rate > max(
            MINIMUM_SURGE_RATE, SURGE_FACTOR * self._baseline_connection_rate
        )
        is_storm = (
            statistics.repeat_fraction >= STORM_REPEAT_FRACTION
            and statistics.rejections >= STORM_REJECTION_FRACTION * statistics.requests
        )
        is_low = statistics.repeat_fraction < LOW_REPEAT_FRACTION and not is_surge
        self._storm_tick_count = self._storm_tick_count + 1 if is_storm else 0
        self._low_tick_count = self._low_tick_count + 1 if is_low else 0
        change = None
        next_state = self._next_state(statistics, is_surge=is_surge)
        if next_state is not None:
            change = self._enter(now_us, next_state, self._describe(statistics))
        if self.state == StormState.CALM:
            difference = statistics.connection_rate - self._baseline_connection_rate
            self._baseline_connection_rate += difference * BASELINE_RATE_GAIN
        return change

    def _next_state(self, statistics: WindowStatistics, *, is_surge: bool) -> StormState | None:
        is_confirmed = self._storm_tick_count >= CONFIRMATION_TICKS
        is_over = self._low_tick_count >= LOW_TICKS
        if self.state == StormState.STORM:
            return StormState.DRAINING if is_over else None
        if is_confirmed:
            return StormState.STORM
        if self.state == StormState.BUILDING:
            return StormState.CALM if is_over else None
        if self.state == StormState.CALM:
            is_building = statistics.repeat_fraction >= BUILDING_REPEAT_FRACTION or is_surge
            return StormState.BUILDING if is_building else None
        few_rejections = statistics.rejections <= STORM_REJECTION_FRACTION * max(statistics.requests, 1)
        return StormState.CALM if self._low_tick_count >= CALM_TICKS and few_rejections else None

    def _describe(self, statistics: WindowStatistics) -> str:
        """Return a description of the evidence; event records hold it, so its wording must not change."""
        return (
            f"{statistics.repeat_fraction:.0%} of {statistics.requests} asks a second are repeats that no "
            f"advice sent, {statistics.rejections} refused, {statistics.connection_rate:.0f} connects a "
            f"second, {self._baseline_connection_rate:.0f} usual"
        )

    def _enter(self, now_us: int, state: StormState, evidence: str) -> StormChange:
        change = StormChange(self.state, state, evidence)
        self.state = state
        self.since_us = now_us
        self.evidence = evidence
        self._storm_tick_count = 0
        self._low_tick_count = 0
        return change
