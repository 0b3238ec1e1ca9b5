"""Sums and averages that decay exponentially, and a mean with a least gain."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """A sum that fades by 1/e over each time constant."""

    __slots__ = ("updated_at_us", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at_us = 0

    def at(self, now_us: int, time_constant_us: float) -> float:
        """The sum as it stands at an instant."""
        return self.value * exp((self.updated_at_us - now_us) / time_constant_us)

    def add(self, now_us: int, amount: float, time_constant_us: float) -> None:
        """Fade the sum up to an instant and add an amount."""
        self.value = self.at(now_us, time_constant_us) + amount
        self.updated_at_us = now_us


class DecayingAverage:
    """A moving average that drifts back to its baseline by 1/e over each time constant without a sample."""

    __slots__ = ("baseline", "updated_at_us", "value")

    def __init__(self, baseline: float) -> None:
        self.baseline = baseline
        self.value = baseline
        self.updated_at_us = 0

    def at(self, now_us: int, time_constant_us: float) -> float:
        """The average as it stands at an instant."""
        decay = exp((self.updated_at_us - now_us) / time_constant_us)
        return self.baseline + (self.value - self.baseline) * decay

    def add(self, now_us: int, sample: float, gain: float, time_constant_us: float) -> None:
        """Move the average to a sample by a gain in [0, 1]."""
        self.value = self.at(now_us, time_constant_us) * (1 - gain) + sample * gain
        self.updated_at_us = now_us

    def reset(self) -> None:
        """Forget the samples; the instant of the last one stays known."""
        self.value = self.baseline


class RunningMean:
    """The mean of the first samples, and from then on a moving average with a least gain."""

    __slots__ = ("count", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, sample: float, minimum_gain: float) -> None:
        """Take a sample, which weighs one of all so far, but never less than the least gain."""
        self.count += 1
        self.value += (sample - self.value) * max(minimum_gain, 1 / self.count)
