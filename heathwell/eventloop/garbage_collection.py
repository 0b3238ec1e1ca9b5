"""Settings of Python's garbage collector for a serving process."""

from __future__ import annotations

import gc

# Allocations minus deallocations that trigger a collection of the youngest generation.
YOUNG_COLLECTION_THRESHOLD = 5_000
# Collections of the youngest generation per collection of the middle one, and of that one per collection of
# the oldest.
MIDDLE_COLLECTION_THRESHOLD = 2
OLD_COLLECTION_THRESHOLD = 2


def configure_garbage_collector() -> None:
    """Collect less often, and exclude the objects that exist now from later collections.

    The records of a query form reference cycles, so the collector can't be disabled.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_COLLECTION_THRESHOLD, MIDDLE_COLLECTION_THRESHOLD, OLD_COLLECTION_THRESHOLD)
