"""Explores the pure machines of the fleet's control over all interleavings of small worlds. It drives the
real code.
"""

from heathwell.modelcheck.explore import Found, World, explore

__all__ = ["Found", "World", "explore"]
