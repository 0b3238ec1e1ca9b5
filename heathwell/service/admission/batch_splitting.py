"""Splits a batch of searches into chunks."""

from __future__ import annotations

from collections.abc import Sequence


def split_batch(costs_us: Sequence[float], maximum_cost_us: float, maximum_searches: int) -> list[list[int]]:
    """Return the indices of a batch's searches, in chunks of limited cost and size.

    Searches keep their order; a search that exceeds the cost by itself is a chunk of its own. A chunk
    occupies a slot of an endpoint until it is done, so other work can run between the chunks. Takes linear
    time.
    """
    chunks: list[list[int]] = []
    chunk_cost_us = 0.0
    for index, cost_us in enumerate(costs_us):
        is_full = bool(chunks) and len(chunks[-1]) >= maximum_searches
        if not chunks or chunk_cost_us + cost_us > maximum_cost_us or is_full:
            chunks.append([])
            chunk_cost_us = 0.0
        chunks[-1].append(index)
        chunk_cost_us += cost_us
    return chunks
