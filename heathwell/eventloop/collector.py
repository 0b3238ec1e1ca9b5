"""The collector's pace in a serving process."""

from __future__ import annotations

import gc

GC_AFTER = 20_000  # objects made before the collector looks at the young ones


def calm_collector() -> None:
    """Records of a query refer to each other, so the collector is needed, but not every few queries; what the
    start made is never looked at again.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_AFTER, 20, 20)
