"""The table of attempts in flight."""

from __future__ import annotations

from collections.abc import Collection

from heathwell.policy.actions import Cancel
from heathwell.policy.context import DecisionContext
from heathwell.policy.events import Outcome
from heathwell.policy.load import LoadModel
from heathwell.policy.records import Attempt, Endpoint, Part


class AttemptTable:
    """Owns the attempts in flight and numbers the calls that carry them."""

    def __init__(self, context: DecisionContext, load: LoadModel) -> None:
        self._context = context
        self._load = load
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._last_call_id = 0

    def begin(self, part: Part, endpoint: Endpoint) -> Attempt:
        """Add an attempt of a part at an endpoint, in the endpoint's call of this instant or a new call."""
        parts_per_call = self._context.settings.parts_per_call
        attempt = endpoint.add_attempt(part, self._context.now_us, self._last_call_id + 1, parts_per_call)
        self._last_call_id = max(self._last_call_id, attempt.call_id)
        self._attempts[part.id, attempt.seq] = attempt
        return attempt

    def get(self, part_id: str, seq: int) -> Attempt | None:
        """Return an attempt without an outcome from its endpoint, or None."""
        return self._attempts.get((part_id, seq))

    def end(self, part_id: str, seq: int, outcome: Outcome) -> Attempt | None:
        """Remove an attempt that has ended; return it, or None if it is not known.

        A cancelled attempt keeps the outcome CANCELLED.
        """
        attempt = self._attempts.pop((part_id, seq), None)
        if attempt is not None:
            attempt.outcome = attempt.outcome or outcome
            attempt.endpoint.release(attempt)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt.

        The endpoint may still be working on it, so its load becomes a penalty that decays.
        """
        attempt.outcome = Outcome.CANCELLED
        attempt.endpoint.release(attempt)
        self._load.add_penalty(attempt.endpoint)
        self._context.emit(Cancel(attempt.part.id, attempt.seq))

    def in_flight(self) -> Collection[Attempt]:
        """Return all attempts without an outcome from their endpoint, cancelled ones among them."""
        return self._attempts.values()
