"""Model checking of the fleet's quota leases: explores every interleaving of small models.

Job: runs the production state machines of ``heathwell.fleet.quotas`` through every order of events that a
small model allows, and checks the model's invariants in each state. Ownership: no state outlives one
exploration. Imports: ``heathwell.fleet.quotas`` and the standard library; only tests import this package.
"""

from heathwell.testing.modelcheck.explorer import Exploration, InvariantViolation, Model, Transition, explore

__all__ = ["Exploration", "InvariantViolation", "Model", "Transition", "explore"]
