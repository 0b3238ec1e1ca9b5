"""Records of the attempts on connections to the platform's nodes.

:mod:`heathwell.gateway.node_connection` keeps one for each attempt; this module owns no connection. Imports
the decision module's outcomes, the driver's key and the frame codec only.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.codec import nodeframes as nf

OUTCOME_OF_STATUS = {
    nf.PartStatus.OK: policy.Outcome.OK,
    nf.PartStatus.ERROR: policy.Outcome.ERROR,
    nf.PartStatus.REJECTED: policy.Outcome.REJECTED,
}
# Time for which a connection remembers the id of an abandoned attempt: a node may hang long before it
# answers.
ABANDONED_ID_RETENTION_US = 60_000_000
# Time for which a connection remembers an answered id: a duplicate follows soon after the first answer.
ANSWERED_ID_RETENTION_US = 1_000_000
MAX_RECENT_IDS = 1024  # limit of the ids of each kind that a connection remembers; the oldest is dropped


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """One attempt to be sent.

    ``encode`` returns the attempt's line and text within a call, given the remaining time in milliseconds;
    ``deadline_at_us`` is the attempt's deadline by the loop's clock.
    """

    id: str
    seq: int
    encode: Callable[[int], bytes]
    deadline_at_us: int

    @property
    def key(self) -> AttemptKey:
        """The driver's key of the attempt."""
        return (self.id, self.seq)


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt that was passed to a connection at ``sent_at_us``.

    ``frame_end`` is the offset in the stream at which its frame ends, ``None`` until it is written.
    """

    key: AttemptKey
    sent_at_us: int
    frame_end: int | None = None


class RecentIds:
    """A set that keeps each id for ``retention_us``, and at most ``MAX_RECENT_IDS`` ids."""

    def __init__(self, retention_us: int) -> None:
        self._retention_us = retention_us
        self._added_at_us: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._added_at_us

    def add(self, name: str, now_us: int) -> None:
        """Add an id, and drop the expired ones and the oldest beyond the maximum."""
        self._added_at_us[name] = now_us
        while self._is_oldest_due(now_us):
            self._added_at_us.popitem(last=False)

    def _is_oldest_due(self, now_us: int) -> bool:
        if len(self._added_at_us) > MAX_RECENT_IDS:
            return True
        return next(iter(self._added_at_us.values())) < now_us - self._retention_us
