"""What time it is at the source, as bounds that hold whatever the clocks show.

A sample is a question sent at ``sent`` and answered at ``received`` (own clock) with the source's time. The
source read its clock somewhere between, so its time at an own time ``t`` is at most ``source + (t - sent)``
and at least ``source + (t - received)``, but for the drift of two quartz clocks. No clock need be set right:
offsets cancel, only rates are trusted, to ``DRIFT``. The round trip is the uncertainty (Cristian's method, as
bounds).
"""

from __future__ import annotations

DRIFT = 200e-6  # how far two clocks' rates may differ: twice what quartz is specified for
ROUNDED = 2  # microseconds that whole numbers on both sides may hide
INSISTS = 8  # contradicting samples in a row from which the source's clock is taken to have been set


class SourceClock:
    """Bounds of the source's time, in microseconds of the source's clock.

    All upper bounds grow at one rate, so the best sample stays the best: one number is kept for each side.
    """

    def __init__(self) -> None:
        self._high: float | None = None  # the upper bound at the own time 0
        self._low = 0.0
        self.refused = 0

    @property
    def known(self) -> bool:
        """Whether there is any sample."""
        return self._high is not None

    def forget(self) -> None:
        """Know nothing any more."""
        self._high = None

    def add(self, sent: int, received: int, source: int) -> bool:
        """A sample; false, and it is not kept, where it contradicts the bounds known."""
        if received < sent:
            raise ValueError("a reply before its question")
        high, low = source - sent * (1 + DRIFT), source - received * (1 - DRIFT)
        if self._high is not None:
            if source > self.upper(received) or source + (received - sent) < self.lower(received):
                self.refused += 1
                if self.refused < INSISTS:
                    return False
                # It keeps saying so: the source's clock was set. What was known before is void.
            else:
                high, low = min(high, self._high), max(low, self._low)
        self.refused = 0
        self._high, self._low = high, low
        return True

    def upper(self, now: int) -> int:
        """The latest that it can be at the source; raises :class:`LookupError` without a sample."""
        if self._high is None:
            raise LookupError("no sample of the source's clock")
        return int(self._high + now * (1 + DRIFT)) + ROUNDED

    def lower(self, now: int) -> int:
        """The earliest that it can be at the source; raises :class:`LookupError` without a sample."""
        if self._high is None:
            raise LookupError("no sample of the source's clock")
        return int(self._low + now * (1 - DRIFT)) - ROUNDED

    def age(self, now: int, watermark_us: int) -> int | None:
        """The greatest age that data up to a source time can have now; None where no bound is known."""
        return max(0, self.upper(now) - watermark_us) if self._high is not None else None

    def from_the_future(self, now: int, watermark_us: int) -> bool:
        """Whether a watermark claims what the source can't have written yet."""
        return self._high is not None and watermark_us > self.upper(now)
