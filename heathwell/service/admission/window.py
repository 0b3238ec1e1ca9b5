"""How much work may be out at the hosts at once, followed from the queueing that answers show. Pure.

A host reports what a part's work took, so its time beyond that is queueing (and the way). As in TCP Vegas the
window is moved by that delay and not by losses: it shrinks while queueing lies over its target and grows
while work waits for it.
"""

from __future__ import annotations

GAIN = 0.05
SHRINK, SHRINK_EVERY_US = 0.85, 100_000
GROW_SHARE = 0.25  # of the released work added to the window while more waits
LEAST_PARTS = 4.0  # usual costs that always fit: below it nothing would be learned


class Window:
    """``target_us``: queueing that is put up with; ``first_us``: the work out at first."""

    def __init__(self, target_us: int, first_us: float) -> None:
        self.target, self.size, self.first = target_us, first_us, first_us
        self.queueing = 0.0
        self.usual = 0.0
        self._shrunk_at = -SHRINK_EVERY_US

    def answered(self, now: int, took_us: float, work_us: float) -> None:
        """One part's answer: all of its time, and the work in it."""
        wait = max(0.0, took_us - work_us)
        self.queueing += (wait - self.queueing) * GAIN
        self.usual += (work_us - self.usual) * (GAIN if self.usual else 1.0)
        if self.queueing > self.target and now - self._shrunk_at >= SHRINK_EVERY_US:
            self._shrunk_at = now
            self.size = max(self.size * SHRINK, LEAST_PARTS * self.usual)

    def released(self, cost_us: float, more_wait: bool) -> None:
        """Work ended; while more waits for its place the window may grow, if hosts queue little."""
        if more_wait and self.queueing < 0.5 * self.target:
            self.size += cost_us * GROW_SHARE
