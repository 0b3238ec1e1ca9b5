"""Settings of Python's garbage collector for a serving process."""

from __future__ import annotations

import gc

YOUNG_COLLECTION_THRESHOLD = 20_000  # allocations, less deallocations, between collections of the youngest
MIDDLE_COLLECTION_THRESHOLD = 20  # collections of a generation between collections of the next older one
OLD_COLLECTION_THRESHOLD = 20


def configure_garbage_collector() -> None:
    """Collect less often, and exclude the objects that exist now from later collections.

    The records of a query form reference cycles, so the collector can't be disabled.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_COLLECTION_THRESHOLD, MIDDLE_COLLECTION_THRESHOLD, OLD_COLLECTION_THRESHOLD)
