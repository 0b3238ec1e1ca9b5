"""Bounds the time at the data source, without any assumption about how clocks are set.

A sample is a request sent at ``sent_at_us`` and answered at ``received_at_us`` (both on the own clock) with
the source's time. The source read its clock at some time in between. So at the own time ``t`` its time is at
most ``source + (t - sent)`` and at least ``source + (t - received)``, apart from the drift between the
clocks. Clock offsets cancel out; only the rates are assumed to be within ``MAXIMUM_DRIFT``. The uncertainty
is the round trip (Cristian's method, as bounds).
"""

from __future__ import annotations

from heathwell.service.freshness.errors import SampleOrderError, UnknownSourceTimeError

MAXIMUM_DRIFT = 200e-6  # Between the rates of two clocks: twice the specification of quartz clocks.
ROUNDING_US = 2  # Times are rounded to microseconds on both sides.
CONTRADICTIONS_UNTIL_RESET = 8  # This many contradicting samples in a row mean that the source clock was set.


class SourceClock:
    """Bounds of the source's time, in microseconds of the source's clock.

    All upper bounds grow at the same rate, and so do all lower bounds, so the tightest one stays the
    tightest. Therefore only one number is kept for each side: the bound at the own time 0.
    """

    def __init__(self) -> None:
        self._upper_at_zero_us: float | None = None
        self._lower_at_zero_us = 0.0
        self._contradiction_count = 0

    @property
    def is_known(self) -> bool:
        """Whether there is any sample."""
        return self._upper_at_zero_us is not None

    def reset(self) -> None:
        """Discard all samples."""
        self._upper_at_zero_us = None

    def add(self, sent_at_us: int, received_at_us: int, source_us: int) -> bool:
        """Add a sample, and return whether it was accepted; a sample that contradicts the bounds is not.

        Raise :class:`SampleOrderError` if the reply precedes its request.
        """
        if received_at_us < sent_at_us:
            raise SampleOrderError(sent_at_us, received_at_us)
        upper_us = source_us - sent_at_us * (1 + MAXIMUM_DRIFT)
        lower_us = source_us - received_at_us * (1 - MAXIMUM_DRIFT)
        if self._upper_at_zero_us is not None:
            if self._contradicts(sent_at_us, received_at_us, source_us):
                self._contradiction_count += 1
                if self._contradiction_count < CONTRADICTIONS_UNTIL_RESET:
                    return False
                # The source clock was set: the bounds are replaced.
            else:
                upper_us = min(upper_us, self._upper_at_zero_us)
                lower_us = max(lower_us, self._lower_at_zero_us)
        self._contradiction_count = 0
        self._upper_at_zero_us = upper_us
        self._lower_at_zero_us = lower_us
        return True

    def _contradicts(self, sent_at_us: int, received_at_us: int, source_us: int) -> bool:
        round_trip_us = received_at_us - sent_at_us
        return source_us > self.upper_bound_us(
            received_at_us
        ) or source_us + round_trip_us < self.lower_bound_us(received_at_us)

    def upper_bound_us(self, now_us: int) -> int:
        """Return the latest possible time at the source; raise :class:`UnknownSourceTimeError`."""
        if self._upper_at_zero_us is None:
            raise UnknownSourceTimeError
        return int(self._upper_at_zero_us + now_us * (1 + MAXIMUM_DRIFT)) + ROUNDING_US

    def lower_bound_us(self, now_us: int) -> int:
        """Return the earliest possible time at the source; raise :class:`UnknownSourceTimeError`."""
        if self._upper_at_zero_us is None:
            raise UnknownSourceTimeError
        return int(self._lower_at_zero_us + now_us * (1 - MAXIMUM_DRIFT)) - ROUNDING_US

    def maximum_age_us(self, now_us: int, watermark_us: int) -> int | None:
        """Return the greatest possible age (us) of data with a watermark; None without a sample."""
        return max(0, self.upper_bound_us(now_us) - watermark_us) if self.is_known else None
