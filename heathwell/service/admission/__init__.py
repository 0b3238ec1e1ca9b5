"""Admission by cost: what work will cost, how fronts share the hosts, how a batch is cut up. Pure
deciders.
"""

from heathwell.service.admission.cost import CostModel, Costs
from heathwell.service.admission.fair import GO, REFUSE, WAIT, FairGate
from heathwell.service.admission.window import Window

__all__ = ["GO", "REFUSE", "WAIT", "CostModel", "Costs", "FairGate", "Window"]
