"""Units of times and sizes in a settings file."""

from __future__ import annotations

TIME_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZE_BYTES = {"b": 1, "kb": 1 << 10, "mb": 1 << 20, "gb": 1 << 30}
