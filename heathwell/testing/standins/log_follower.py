"""The position up to which a leaf has applied the source's log, and the one that it reports under faults."""

from __future__ import annotations

import random
from typing import Final

from heathwell.testing.standins.leaf_faults import LeafFault
from heathwell.testing.standins.source import SourceLog

CATCH_UP_RATE: Final = 10.0
"""Speed at which a restored host applies the log, as a multiple of real time."""
LAG_SPREAD: Final = (0.5, 1.5)
"""Bounds of the random factor that the usual lag is multiplied by."""


class LogFollower:
    """Applies the log with a lag. ``machine_us`` is the machine's time, ``applied_us`` the source's."""

    def __init__(self, source_log: SourceLog, usual_lag_us: int, draws: random.Random) -> None:
        self.source_log = source_log
        self._usual_lag_us = usual_lag_us
        self._random = draws
        self._applied_us = 0
        self._advanced_at_us: int | None = None
        self._catch_up_us = 0.0
        """The part of the log, as a duration, that is still to be applied after a restore."""
        self._extra_lag_us = 0
        self._extra_lag_until_us = 0
        self._stuck_until_us = 0
        self._overstatement_us = 0
        self._overstated_until_us = 0

    def advance(self, machine_us: int) -> int:
        """Apply the log up to now; return the source time up to which all of it is applied."""
        elapsed_us = 0 if self._advanced_at_us is None else machine_us - self._advanced_at_us
        self._advanced_at_us = machine_us
        if machine_us < self._stuck_until_us:
            return self._applied_us
        self._catch_up_us = max(0.0, self._catch_up_us - elapsed_us * (CATCH_UP_RATE - 1))
        lag_us = self._usual_lag_us * self._random.uniform(*LAG_SPREAD) + self._catch_up_us
        if machine_us < self._extra_lag_until_us:
            lag_us += self._extra_lag_us
        # The log is applied in order: applied entries stay applied when the lag grows.
        self._applied_us = max(self._applied_us, self.source_log.now(machine_us) - int(lag_us))
        return self._applied_us

    def reported_us(self, machine_us: int) -> int:
        """Return the source time up to which the host reports that the log is applied."""
        if machine_us < self._overstated_until_us:
            return self._applied_us + self._overstatement_us
        return self._applied_us

    def inject_fault(self, fault: LeafFault, machine_us: int, value_us: int, duration_us: int) -> None:
        """Inject one of the faults of the data's age."""
        ends_at_us = machine_us + duration_us
        match fault:
            case LeafFault.LAG:
                self._extra_lag_us = value_us
                self._extra_lag_until_us = ends_at_us
            case LeafFault.STUCK:
                self._stuck_until_us = ends_at_us
            case LeafFault.RESTORE_OLD_COPY:
                self._applied_us -= value_us
                self._catch_up_us = float(value_us)
            case LeafFault.OVERSTATE_POSITION:
                self._overstatement_us = value_us
                self._overstated_until_us = ends_at_us
