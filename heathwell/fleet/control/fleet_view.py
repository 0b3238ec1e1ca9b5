"""The fleet as a rollout's controller sees it: each machine's last report, and changes between reports.

Owns the last status of each broker, when its machine reported it, and the statuses that windows and exits are
counted from. Imports the wire's records and the observations of the rollout package.
"""

from __future__ import annotations

from dataclasses import dataclass

from heathwell.codec import frames
from heathwell.fleet.rollout import BrokerWindow, QueryStatistics

QueryCounters = dict[str, float]  # of one class, as a broker reports them since its start


@dataclass(frozen=True, slots=True)
class ExitCounts:
    """Unexpected exits of brokers that are to run the new version, and of the others."""

    canary: int
    baseline: int


class FleetView:
    """The brokers of all machines by name; a machine is known by its agent's address.

    A broker's status is recent where its machine reported less than ``report_timeout_us`` ago.
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
        """Machines that have reported at least once."""
        return len(self._reported_at_us)

    def on_report(self, now_us: int, address: str, view: frames.MachineView) -> None:
        """Take a machine's report."""
        self._reported_at_us[address] = now_us
        for status in view.running:
            self.statuses[status.broker] = status
            self._machine_of[status.broker] = address

    def machine_of(self, broker: str) -> str:
        """The address of the agent that runs a broker, which must be known."""
        return self._machine_of[broker]

    def is_recent(self, now_us: int, broker: str) -> bool:
        """Whether the machine of a broker, which must be known, has reported lately."""
        return now_us - self._reported_at_us[self._machine_of[broker]] < self.report_timeout_us

    def running_versions(self, now_us: int) -> dict[str, str]:
        """The version of each broker with a recent status."""
        return {
            name: status.version for name, status in self.statuses.items() if self.is_recent(now_us, name)
        }

    def count_exits(self, canaries: set[str]) -> ExitCounts:
        """Unexpected exits since each broker was first counted: of ``canaries``, and of the others."""
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
        """Forget where the last window ended; the next call of :meth:`end_window` starts anew."""
        self._window_start = {}

    def end_window(self, now_us: int, zones: dict[str, str], old_version: str) -> list[BrokerWindow]:
        """What each broker in ``zones`` did since the last call; one without a status then is left out."""
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
    """The difference of two statuses of a broker; the sums of a new process began at 0."""
    same_process = start.run == end.run
    start_classes = start.classes if same_process else {}
    return BrokerWindow(
        broker=end.broker,
        zone=end.zone,
        is_canary=is_canary,
        classes={
            query_class: _statistics_between(start_classes.get(query_class, {}), sums)
            for query_class, sums in end.classes.items()
        },
        cpu_us=end.cpu_us - (start.cpu_us if same_process else 0),
        memory_bytes=end.memory,
        unexpected_exits=end.deaths - start.deaths,
        silent=silent,
    )


def _statistics_between(start: QueryCounters, end: QueryCounters) -> QueryStatistics:
    """The difference of two reports of a class; a sum that the second one lacks counts as unchanged."""
    difference = {key: value - start.get(key, 0.0) for key, value in end.items()}
    return QueryStatistics(
        queries=int(difference.get("asked", 0.0)),
        goodput=difference.get("worth", 0.0),
        within_objective=int(difference.get("in_aim", 0.0)),
        shed=int(difference.get("refused", 0.0)),
        failed=int(difference.get("failed", 0.0)),
        partial=int(difference.get("partial", 0.0)),
    )
