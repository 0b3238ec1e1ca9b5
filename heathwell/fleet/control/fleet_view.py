"""A rollout controller's view of the fleet: the last report of each machine, and differences between reports.

Owns the last status of each broker, the time of its machine's report, and the statuses from which windows and
exits are counted. Imports the frames and the observations of the rollout package.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.codec import frames
from heathwell.fleet.rollout import BrokerWindow, QueryStatistics

QueryCounters = dict[str, float]  # counters of one query class since the start of a broker process, by name


@dataclass(frozen=True, slots=True)
class ExitCounts:
    """Unexpected exits of brokers that must run the new version, and of the others."""

    canary: int
    baseline: int


class FleetView:
    """The brokers of all machines by name; a machine is identified by its agent's address.

    A broker's status is recent if its machine reported less than ``report_timeout_us`` ago.
    """

    def __init__(self, report_timeout_us: int) -> None:
        self.report_timeout_us = report_timeout_us
        self.statuses: dict[str, frames.BrokerStatus] = {}
        self._machine_of: dict[str, str] = {}
        self._reported_at_us: dict[str, int] = {}
        self._window_start: dict[str, frames.BrokerStatus] = {}
        self._first_exits: dict[str, int] = {}

    @property
    def machine_count(self) -> int:
        """The number of machines that have reported at least once."""
        return len(self._reported_at_us)

    def on_report(self, now_us: int, address: str, view: frames.MachineView) -> None:
        """Record a machine's report."""
        self._reported_at_us[address] = now_us
        for status in view.running:
            self.statuses[status.broker] = status
            self._machine_of[status.broker] = address

    def machine_of(self, broker: str) -> str:
        """Return the address of the agent that runs a broker, which must be known."""
        return self._machine_of[broker]

    def is_recent(self, now_us: int, broker: str) -> bool:
        """Whether the status of a broker, which must be known, is recent."""
        return now_us - self._reported_at_us[self._machine_of[broker]] < self.report_timeout_us

    def running_versions(self, now_us: int) -> dict[str, str]:
        """Return the version of each broker with a recent status."""
        return {
            name: status.version for name, status in self.statuses.items() if self.is_recent(now_us, name)
        }

    def count_exits(self, canaries: set[str]) -> ExitCounts:
        """Return the unexpected exits of ``canaries`` and of the others since their first count."""
        canary_exits = 0
        baseline_exits = 0
        for name, status in self.statuses.items():
            exits = status.deaths - self._first_exits.setdefault(name, status.deaths)
            if name in canaries:
                canary_exits += exits
            else:
                baseline_exits += exits
        return ExitCounts(canary_exits, baseline_exits)

    def reset_windows(self) -> None:
        """Discard the start of the current window; the next call of :meth:`end_window` begins a new one."""
        self._window_start = {}

    def end_window(self, now_us: int, zones: dict[str, str], old_version: str) -> list[BrokerWindow]:
        """Return the window of each broker in ``zones`` since the last call, without those not known then."""
        windows = []
        for name, status in self.statuses.items():
            start = self._window_start.get(name)
            self._window_start[name] = status
            if start is None or name not in zones:
                continue
            silent = status.silent or not self.is_recent(now_us, name)
            windows.append(
                _window_between(start, status, is_canary=status.version != old_version, silent=silent)
            )
        return windows


def _window_between(
    start: frames.BrokerStatus, end: frames.BrokerStatus, *, is_canary: bool, silent: bool
) -> BrokerWindow:
    """Return the difference of two statuses of a broker; the counters of a new process began at 0."""
    same_process = start.run == end.run
    start_classes = start.classes if same_process else {}
    return BrokerWindow(
        broker=end.broker,
        zone=end.zone,
        is_canary=is_canary,
        classes={
            query_class: _statistics_between(start_classes.get(query_class, {}), counters)
            for query_class, counters in end.classes.items()
        },
        cpu_us=end.cpu_us - (start.cpu_us if same_process else 0),
        memory_bytes=end.memory,
        unexpected_exits=end.deaths - start.deaths,
        silent=silent,
    )


def _statistics_between(start: QueryCounters, end: QueryCounters) -> QueryStatistics:
    """Return the difference of a class's counters; one that ``end`` lacks counts as unchanged."""
    difference = {key: value - start.get(key, 0.0) for key, value in end.items()}
    return QueryStatistics(
        queries=int(difference.get("asked", 0.0)),
        goodput=difference.get("worth", 0.0),
        within_objective=int(difference.get("in_aim", 0.0)),
        shed=int(difference.get("refused", 0.0)),
        failed=int(difference.get("failed", 0.0)),
        partial=int(difference.get("partial", 0.0)),
    )
