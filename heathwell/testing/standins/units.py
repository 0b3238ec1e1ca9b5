"""Units of time."""

from __future__ import annotations

from typing import Final

US_PER_SECOND: Final = 1_000_000
MS_PER_SECOND: Final = 1_000
