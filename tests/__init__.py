"""Tests of heathwell; `tests/fleet.py`, `tests/platform.py` and `tests/conftest.py` hold what they share."""
