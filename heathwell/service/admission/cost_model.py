"""Learns the cost of a part from the work that endpoints report, without any I/O.

The work of a search is nearly linear in a few of its features. The coefficients are learned by recursive
least squares with exponential forgetting (Ljung, System Identification, 11.2), so that the model follows a
change of the data or the endpoints within a few hundred answers. Until there are enough answers the
configured cost is used.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

MINIMUM_ANSWERS = 20  # Predictions are used from this number of answers on.
FORGETTING_FACTOR = 0.995
INITIAL_VARIANCE = 100.0
MAXIMUM_VARIANCE = 1e4
MAXIMUM_OUTLIER_FACTOR = 8.0  # A single answer is capped at this multiple of the prediction.
MINIMUM_COST_FACTOR = 0.05  # Predictions are at least this multiple of the configured cost.
MAXIMUM_COST_FACTOR = 50.0  # Predictions are at most this multiple of the configured cost.
ERROR_GAIN = 0.05
SMALLEST_DIVISOR = 1e-9
ROW_SCALE = 100.0  # Scales the number of rows to the magnitude of the other features.

Features = Sequence[float]
SearchFeatures = tuple[float, ...]
Matrix = list[list[float]]


@dataclass(slots=True)
class CostModel:
    """Predicts work (us) from ``size`` features; the settings define the cost of a unit of the first one."""

    configured_cost_us: float
    size: int
    answer_count: int = 0
    relative_error: float = 0.0
    weights: list[float] = field(default_factory=list)
    _covariance: Matrix = field(default_factory=list)

    def __post_init__(self) -> None:
        self.weights = [self.configured_cost_us] + [0.0] * (self.size - 1)
        self._covariance = self._initial_covariance()

    def _initial_covariance(self) -> Matrix:
        return [
            [INITIAL_VARIANCE * (row == column) for column in range(self.size)] for row in range(self.size)
        ]

    def predict(self, features: Features) -> float:
        """Return the predicted work of a part (us), within bounds around the configured cost."""
        configured_us = self.configured_cost_us * max(features[0], SMALLEST_DIVISOR)
        if self.answer_count < MINIMUM_ANSWERS:
            return configured_us
        predicted_us = _dot(self.weights, features)
        return min(
            max(predicted_us, MINIMUM_COST_FACTOR * configured_us), MAXIMUM_COST_FACTOR * configured_us
        )

    def learn(self, features: Features, work_us: float) -> None:
        """Learn from the work of an answered part."""
        if work_us <= 0 or len(features) != self.size:
            return
        predicted_us = self.predict(features)
        if self.answer_count >= MINIMUM_ANSWERS:
            work_us = min(work_us, MAXIMUM_OUTLIER_FACTOR * predicted_us)
        error = abs(work_us - predicted_us) / max(work_us, 1.0)
        self.relative_error += (error - self.relative_error) * ERROR_GAIN
        self.answer_count += 1
        self._update(features, work_us)

    def _update(self, features: Features, work_us: float) -> None:
        """Perform one step of recursive least squares."""
        # Weights are scaled to about one, which keeps the covariances at a similar magnitude.
        scale_us = max(self.configured_cost_us, SMALLEST_DIVISOR)
        scaled_weights = [weight / scale_us for weight in self.weights]
        projected = [
            sum(row[column] * features[column] for column in range(self.size)) for row in self._covariance
        ]
        divisor = FORGETTING_FACTOR + _dot(features, projected)
        gains = [value / divisor for value in projected]
        residual = work_us / scale_us - _dot(scaled_weights, features)
        self.weights = [
            (weight + gain * residual) * self.configured_cost_us
            for weight, gain in zip(scaled_weights, gains, strict=True)
        ]
        for row, gain in zip(self._covariance, gains, strict=True):
            for column in range(self.size):
                row[column] = (row[column] - gain * projected[column]) / FORGETTING_FACTOR
        if max(self._covariance[index][index] for index in range(self.size)) > MAXIMUM_VARIANCE:
            # The covariance grows without bound if features never vary.
            self._covariance = self._initial_covariance()


def _dot(left: Features, right: Features) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))


class CostModels:
    """The cost models of a broker by name: one for each collection of vectors."""

    def __init__(self) -> None:
        self._models: dict[str, CostModel] = {}

    def model(self, name: str, configured_cost_us: float, size: int) -> CostModel:
        """Return the model of a name; it is created at the first call, and again if the size changes."""
        model = self._models.get(name)
        if model is None or model.size != size:
            model = CostModel(configured_cost_us, size)
            self._models[name] = model
        return model


def search_features(search_count: int, row_count: int, filtered_count: int) -> SearchFeatures:
    """Return the features of a part whose searches share a matrix product.

    They are the number of searches, a constant, the number of rows to return (scaled), and the number of
    searches with a filter.
    """
    return (float(search_count), 1.0, row_count / ROW_SCALE, float(filtered_count))
