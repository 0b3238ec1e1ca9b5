"""Sums and averages that decay exponentially, and a running mean with a minimum gain."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """A sum that decays by a factor of e over each time constant."""

    __slots__ = ("updated_at_us", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at_us = 0

    def at(self, now_us: int, time_constant_us: float) -> float:
        """Return the decayed sum at an instant."""
        return self.value * exp((self.updated_at_us - now_us) / time_constant_us)

    def add(self, now_us: int, amount: float, time_constant_us: float) -> None:
        """Decay the sum up to an instant and add an amount."""
        self.value = self.at(now_us, time_constant_us) + amount
        self.updated_at_us = now_us


class DecayingAverage:
    """A moving average whose distance from its baseline decays by a factor of e over each time constant."""

    __slots__ = ("baseline", "updated_at_us", "value")

    def __init__(self, baseline: float) -> None:
        self.baseline = baseline
        self.value = baseline
        self.updated_at_us = 0

    def at(self, now_us: int, time_constant_us: float) -> float:
        """Return the average at an instant, decayed towards the baseline."""
        decay = exp((self.updated_at_us - now_us) / time_constant_us)
        return self.baseline + (self.value - self.baseline) * decay

    def add(self, now_us: int, sample: float, gain: float, time_constant_us: float) -> None:
        """Add a sample with a gain in [0, 1], the weight of the sample in the average."""
        self.value = self.at(now_us, time_constant_us) * (1 - gain) + sample * gain
        self.updated_at_us = now_us

    def reset(self) -> None:
        """Reset the average to its baseline; the instant of the last sample is kept."""
        self.value = self.baseline


class RunningMean:
    """The mean of all samples until their number exceeds 1 / gain, then a moving average with that gain."""

    __slots__ = ("count", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, sample: float, minimum_gain: float) -> None:
        """Add a sample with a weight of one over the number of samples, but at least the minimum gain."""
        self.count += 1
        self.value += (sample - self.value) * max(minimum_gain, 1 / self.count)
