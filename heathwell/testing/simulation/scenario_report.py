"""The results of a fault scenario: a table of the service by query class, and a summary as JSON."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from heathwell.testing.simulation.client_population import Outcome

OUTCOME_KINDS: Final = ("on time", "late", "partial", "refused", "failed", "lost", "broken", "no broker")
WINDOW_SECONDS: Final = 5.0
ENTIRE_RUN: Final = -1
"""In place of a window's number."""


@dataclass(frozen=True, slots=True)
class WindowKey:
    """A query class in one window of the run, or in the entire run."""

    query_class: str
    window: int

    @property
    def label(self) -> str:
        """The window's label in the table."""
        if self.window == ENTIRE_RUN:
            return "whole run"
        begin = self.window * WINDOW_SECONDS
        end = (self.window + 1) * WINDOW_SECONDS
        return f"{begin:3.0f}-{end:.0f} s"


class ScenarioSummary(
    msgspec.Struct,
    frozen=True,
    rename={
        "outcomes_by_class": "service",
        "late_starts": "off_schedule",
        "requests": "asked",
        "audited": "judged",
        "max_slow_start_load": "coldest",
        "restarts": "deaths",
    },
):
    """Numbers of one run. ``audited`` are the auditor's counts, ``breaches`` its texts."""

    outcomes_by_class: dict[str, dict[str, int]]
    late_starts: int
    requests: int
    audited: dict[str, int]
    max_slow_start_load: float
    breaches: list[str]
    restarts: int

    def to_json(self) -> str:
        """Return the summary as indented JSON."""
        return json.dumps(msgspec.to_builtins(self), indent=1) + "\n"


def count_outcomes(outcomes: Sequence[Outcome]) -> dict[str, dict[str, int]]:
    """Return the number of outcomes by query class and kind, in the order of the first of each."""
    counts: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for outcome in outcomes:
        counts[outcome.query_class][outcome.kind] += 1
    return counts


def service_table(outcomes: Sequence[Outcome], seconds: float) -> list[str]:
    """Return the lines of a table: by query class, a row for each window and the last for the entire run."""
    counts: dict[WindowKey, Counter[str]] = defaultdict(Counter)
    for outcome in outcomes:
        window = int(outcome.scheduled_at_seconds // WINDOW_SECONDS)
        counts[WindowKey(outcome.query_class, window)][outcome.kind] += 1
        counts[WindowKey(outcome.query_class, ENTIRE_RUN)][outcome.kind] += 1
    windows = [*range(int(seconds // WINDOW_SECONDS) + 1), ENTIRE_RUN]
    lines = []
    for query_class in sorted({key.query_class for key in counts}):
        heading = " ".join(f"{kind:>9}" for kind in OUTCOME_KINDS)
        lines.append(f"{query_class:<14} {'asked':>6} {heading}")
        keys = [WindowKey(query_class, window) for window in windows]
        lines += [_row(key, counts[key]) for key in keys if key in counts]
    return lines


def _row(key: WindowKey, counts: Mapping[str, int]) -> str:
    requests = sum(counts.values())
    shares = (
        f"{counts[kind] / requests:>9.1%}" if counts.get(kind) else f"{'-':>9}" for kind in OUTCOME_KINDS
    )
    return f"  {key.label:<12} {requests:>6} {' '.join(shares)}"
