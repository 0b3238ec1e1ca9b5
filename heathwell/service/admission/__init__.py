"""Admission by cost: learned costs, fair sharing between servers, and splitting of batches, without I/O."""

from heathwell.service.admission.batch_splitting import split_batch
from heathwell.service.admission.concurrency_limiter import ConcurrencyLimiter
from heathwell.service.admission.cost_model import CostModel, CostModels, search_features
from heathwell.service.admission.fair_queue import AdmissionDecision, FairQueue, QueueUpdate

__all__ = [
    "AdmissionDecision",
    "ConcurrencyLimiter",
    "CostModel",
    "CostModels",
    "FairQueue",
    "QueueUpdate",
    "search_features",
    "split_batch",
]
