"""Records of the freshness decider: policies of query classes, watermarks, verdicts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class StaleAction(StrEnum):
    """What is done with an answer that is older than the target age of its class."""

    USE = "use"
    TREAT_AS_MISSING = "missing"  # Applies to answers over the maximum age.
    ASK_ANOTHER = "another"


class StaleReason(StrEnum):
    """Why an answer is not as fresh as its query class requires."""

    FROM_THE_FUTURE = "claims data newer than the source"
    BEHIND = "behind what was seen"
    OVER_MAXIMUM_AGE = "too old"
    OVER_TARGET_AGE = "older than wanted"


@dataclass(frozen=True, slots=True)
class FreshnessPolicy:
    """The target age and the maximum age of a query class's data (us; 0: no limit)."""

    target_age_us: int = 0
    maximum_age_us: int = 0
    stale_action: StaleAction = StaleAction.USE


@dataclass(frozen=True, slots=True)
class Watermark:
    """How far a replica has applied the source's log: the position and its source time."""

    position: int
    source_us: int


@dataclass(frozen=True, slots=True)
class FreshnessVerdict:
    """Whether an answer is used, the upper bound of its age (None: unknown), and why it is stale, if so."""

    is_accepted: bool
    age_us: int | None
    reason: StaleReason | None = None
