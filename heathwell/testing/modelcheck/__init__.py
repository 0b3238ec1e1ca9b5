"""Model checking of the fleet's quota leases: explores all interleavings of small models.

Job: drives the real state machines of ``heathwell.fleet.quotas`` through every order of events that a small
model allows and checks its invariants in each state. Ownership: nothing outlives one exploration. Imports:
``heathwell.fleet.quotas`` and the standard library; only tests import this package.
"""

from heathwell.testing.modelcheck.explorer import Exploration, InvariantViolation, Model, Transition, explore

__all__ = ["Exploration", "InvariantViolation", "Model", "Transition", "explore"]
