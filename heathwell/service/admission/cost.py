"""What a part will cost a host, learned from the work that hosts report. Pure.

A search's work is close to linear in a few figures of it; the coefficients are learned by recursive least
squares with forgetting (Ljung, System Identification, 11.2), so that a change of the data or the hosts is
followed within some hundred answers. Until enough answers came the stated cost stands.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

TRUSTED_AFTER = 20  # answers
FORGET = 0.995
FIRST_SPREAD = 100.0
SPREAD_MOST = 1e4
OUTLIER = 8.0  # times the prediction beyond which one answer is taken as so many times only
LEAST_SHARE, MOST_TIMES = 0.05, 50.0  # of the stated cost: what no prediction leaves


@dataclass(slots=True)
class CostModel:
    """Predicts work (us) from figures of it. ``stated`` is what settings say a unit of the first figure
    costs.
    """

    stated: float
    size: int
    answers: int = 0
    error: float = 0.0
    weights: list[float] = field(default_factory=list)
    _spread: list[list[float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.weights = [self.stated] + [0.0] * (self.size - 1)
        self._spread = [[FIRST_SPREAD * (a == b) for b in range(self.size)] for a in range(self.size)]

    def predict(self, figures: Sequence[float]) -> float:
        """The work of a part with such figures, in microseconds, never off the stated cost by orders."""
        usual = self.stated * max(figures[0], 1e-9)
        if self.answers < TRUSTED_AFTER:
            return usual
        raw = sum(w * x for w, x in zip(self.weights, figures, strict=True))
        return min(max(raw, LEAST_SHARE * usual), MOST_TIMES * usual)

    def learn(self, figures: Sequence[float], work_us: float) -> None:
        """What a part with such figures cost its host."""
        if work_us <= 0 or len(figures) != self.size:
            return
        told = self.predict(figures)
        if self.answers >= TRUSTED_AFTER:
            work_us = min(work_us, OUTLIER * told)
        self.error += (abs(work_us - told) / max(work_us, 1.0) - self.error) * 0.05
        self.answers += 1
        # Scaled so that weights are about one: keeps the matrix's numbers of a size.
        scaled = work_us / max(self.stated, 1e-9)
        held = [w / max(self.stated, 1e-9) for w in self.weights]
        spread, x = self._spread, figures
        px = [sum(row[n] * x[n] for n in range(self.size)) for row in spread]
        gain_by = FORGET + sum(a * b for a, b in zip(x, px, strict=True))
        gain = [p / gain_by for p in px]
        miss = scaled - sum(w * v for w, v in zip(held, x, strict=True))
        self.weights = [(w + g * miss) * self.stated for w, g in zip(held, gain, strict=True)]
        for a in range(self.size):
            for b in range(self.size):
                spread[a][b] = (spread[a][b] - gain[a] * px[b]) / FORGET
        if max(spread[n][n] for n in range(self.size)) > SPREAD_MOST:
            # Figures that never vary let the matrix grow without end: begin its confidence anew.
            self._spread = [[FIRST_SPREAD * (a == b) for b in range(self.size)] for a in range(self.size)]


class Costs:
    """The models of a broker by what is asked: a class's plain parts, or a collection's searches."""

    def __init__(self) -> None:
        self.models: dict[str, CostModel] = {}

    def model(self, name: str, stated: float, size: int) -> CostModel:
        """The model of that name, made when first asked for."""
        known = self.models.get(name)
        if known is None or known.size != size:
            known = self.models[name] = CostModel(stated, size)
        return known


def search_figures(searches: int, rows_wanted: int, filtered: int) -> tuple[float, ...]:
    """The figures of a part of searches that share a product: their number, a part's fixed share, rows,
    filters.
    """
    return (float(searches), 1.0, rows_wanted / 100.0, float(filtered))


def cut_batch(costs: Sequence[float], most_us: float, searches_most: int) -> list[list[int]]:
    """Indices of a batch's searches in chunks that cost a host at most so much each; linear.

    Searches keep their order; one that alone costs more goes alone. A host's slot is held by a chunk at a
    time, so that other work gets in between.
    """
    chunks: list[list[int]] = []
    total = 0.0
    for index, cost in enumerate(costs):
        if not chunks or total + cost > most_us or len(chunks[-1]) >= searches_most:
            chunks.append([])
            total = 0.0
        chunks[-1].append(index)
        total += cost
    return chunks
