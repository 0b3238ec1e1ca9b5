"""Limits the rate of accepted connections by a token bucket whose rate grows after the start."""

from __future__ import annotations

BURST_SECONDS = 0.25  # The bucket holds the tokens of this time.
GROWTH_FACTOR = 1.25  # For each tick.


class AcceptPacer:
    """Limits accepted connections to ``rate`` a second (0: no limit).

    The rate grows from ``initial_rate`` after the start. The grown rate applies during ``warm_up_us`` after
    the start, and later while the storm state is not calm.
    """

    def __init__(self, now_us: int, initial_rate: float, rate: float, warm_up_us: int) -> None:
        self._rate = rate
        self._grown_rate = initial_rate
        self._warm_until_us = now_us + warm_up_us
        self._tokens = initial_rate * BURST_SECONDS
        self._refilled_at_us = now_us

    def delay_us(self, now_us: int, *, is_calm: bool) -> int:
        """Return after how long the next connection may be accepted; 0: now."""
        is_warming_up = now_us < self._warm_until_us
        rate = self._grown_rate if is_warming_up or not is_calm else self._rate
        if rate <= 0:
            return 0
        refill = (now_us - self._refilled_at_us) * rate / 1e6
        self._tokens = min(rate * BURST_SECONDS + 1, self._tokens + refill)
        self._refilled_at_us = now_us
        if self._tokens >= 1:
            return 0
        return int((1 - self._tokens) / rate * 1e6) + 1

    def on_accepted(self) -> None:
        """Record an accepted connection."""
        self._tokens -= 1

    def tick(self) -> None:
        """Increase the grown rate up to its limit."""
        if self._grown_rate:
            grown_rate = self._grown_rate * GROWTH_FACTOR
            self._grown_rate = min(grown_rate, self._rate or grown_rate)
